//! Which prefill worker a prompt goes to: prefix-affinity workers first, by rendezvous hashing with bounded load, then
//! the least loaded by its own report.

use std::cmp::Reverse;

use super::decode_placement::DecodeScope;
use super::fleet::Fleet;
use super::request::RequestState;
use super::retry;
use super::timing::{PASS_INTERVAL, RATE_TIME_CONSTANT};
use super::worker::{Worker, SPILL_TOKENS};
use crate::rendezvous::{unit_hash, RendezvousRanking};
use crate::types::{Role, TenthMillis, WorkerId};

/// Where all workers are past the spill threshold, the least filled one takes up to so many times as many tokens.
const OVERFULL_FACTOR: f64 = 2.0;
/// One prefix may take so many times an even share of the prefills at each of its affinity workers.
const PREFIX_SHARE_BOUND: f64 = 1.0;
/// Workers, in the order of a key, that are asked for a load report before a prefill goes to one of them.
const LOAD_REPORT_CANDIDATES: usize = 3;
/// By how many requests like its own another worker has to be emptier: a cached prefix saves a prefill about that
/// much work.
const EMPTIER_BY_REQUESTS: f64 = 1.0;
/// How many passes the first candidate's load report is waited for, and how many any.
const FIRST_REPORT_PASSES: TenthMillis = 1;
const ANY_REPORT_PASSES: TenthMillis = 3;

/// The workers that a prompt may go to.
pub struct PrefillCandidates {
    /// In the order of preference; more than one only where load reports are asked for.
    pub workers: Vec<WorkerId>,
    /// No prefill worker takes any more, whatever the request.
    pub exhausted: bool,
}

/// A choice by load reports.
pub struct ReportedChoice {
    /// Workers whose load report is to be asked for.
    pub to_query: Vec<WorkerId>,
    /// The worker to send to; None while reports are awaited.
    pub worker: Option<WorkerId>,
}

/// How a prefill worker suits a request.
enum Suitability {
    /// It takes no prefill, or no decode worker grants for it.
    Unavailable,
    /// It takes prefills, but not this one.
    Unsuitable,
    /// It takes this one; with how many tokens waiting.
    Suitable(f64),
}

/// A request's order of prefill workers.
struct PrefillOrder {
    key: u64,
    preferred: Vec<WorkerId>,
    /// How many of the preferred ones were taken.
    taken: usize,
    /// The next rank of the key's order.
    next_rank: usize,
}

impl PrefillOrder {
    fn next(&mut self, ranking: &mut RendezvousRanking) -> Option<WorkerId> {
        if let Some(id) = self.preferred.get(self.taken) {
            self.taken += 1;
            return Some(*id);
        }
        loop {
            let id = ranking.nth(self.key, self.next_rank)?;
            self.next_rank += 1;
            if !self.preferred.contains(&id) {
                return Some(id);
            }
        }
    }
}

impl Fleet {
    /// The workers that a request's prompt may go to; where load reports are asked for, the first few.
    pub fn prefill_candidates(&mut self, now: TenthMillis, request: &RequestState) -> PrefillCandidates {
        if self.registry.prefill_ranking.is_empty() && self.config.decode_workers_prefill {
            let worker = self.decode_worker_that_prefills(now, request);
            return PrefillCandidates { workers: worker.into_iter().collect(), exhausted: false };
        }
        let wanted = if self.config.load_reports_enabled { LOAD_REPORT_CANDIDATES } else { 1 };
        let mut candidates = PrefillCandidates { workers: vec![], exhausted: true };
        let mut least_overfull: Option<(f64, WorkerId)> = None;
        let mut order = self.prefill_order(now, request);
        while candidates.workers.len() < wanted {
            let Some(id) = order.next(&mut self.registry.prefill_ranking) else { break };
            let suitability = self.prefill_suitability(now, request, id);
            if matches!(suitability, Suitability::Unavailable) {
                continue;
            }
            candidates.exhausted = false;
            let Suitability::Suitable(tokens) = suitability else { continue };
            if tokens <= SPILL_TOKENS {
                candidates.workers.push(id);
            } else if least_overfull.is_none_or(|(least, _)| tokens < least) {
                least_overfull = Some((tokens, id));
            }
        }
        if candidates.workers.is_empty() {
            candidates.workers.extend(least_overfull.map(|(_, id)| id));
        }
        candidates
    }

    /// Where there is no prefill worker and decode workers may prefill: the least loaded of them.
    fn decode_worker_that_prefills(&mut self, now: TenthMillis, request: &RequestState) -> Option<WorkerId> {
        let idempotency = retry::idempotency(&self.config, request);
        let fits = |worker: &Worker| {
            !worker.has_just_rejected(now) && retry::deduplicates_at(idempotency, request, worker)
        };
        self.least_loaded_decode_worker(now, request.requester(), DecodeScope::anywhere(), fits)
    }

    fn prefill_suitability(&mut self, now: TenthMillis, request: &RequestState, id: WorkerId) -> Suitability {
        let requester = request.requester();
        if !self.is_usable(now, id, requester, None) {
            return Suitability::Unavailable;
        }
        let Some(worker) = self.workers.get_mut(&id) else { return Suitability::Unavailable };
        let load = self.in_flight.at(id);
        let is_slow = worker.response_wait(now, load) > request.usable_wait();
        let is_idle = load.prefills == 0;
        let limit = SPILL_TOKENS * OVERFULL_FACTOR;
        if worker.has_just_rejected(now) || !is_idle && load.prefill_tokens > limit {
            return Suitability::Unavailable;
        }
        let tokens = if is_idle { 0.0 } else { load.prefill_tokens + request.new_request.prompt_tokens };
        let is_busy = !is_idle && is_slow || tokens > limit;
        // Exception to waiting for a decode worker: a prefill worker further down whose cell grants is taken first.
        let cell = worker.endpoint.cell;
        if worker.role != Role::Mixed && !self.any_decode_worker_grants(now, cell, requester) {
            return Suitability::Unavailable;
        }
        if is_busy || !retry::may_run_at(&self.config, now, request, self.workers.get(&id)) {
            return Suitability::Unsuitable;
        }
        Suitability::Suitable(tokens)
    }

    /// The order of prefill workers for a request, by rendezvous hashing of its prefix or session.
    fn prefill_order(&mut self, now: TenthMillis, request: &RequestState) -> PrefillOrder {
        let new_request = &request.new_request;
        let key = new_request.placement_key();
        // A warming worker that the request drew comes first, or its part would fall to the hash again.
        let mut preferred = self.registry.warming_prefill_workers(now, self.config.warm_up_time);
        let requester = request.requester();
        preferred.retain(|id| self.slow_start_admits(now, *id, requester, None));
        let drawn = preferred.len();
        let worker_count = self.registry.prefill_ranking.len();
        let affinity =
            self.affinity_worker_count(now, new_request.prefix, worker_count).min(worker_count - drawn);
        let mut next_rank = 0;
        for id in self.registry.prefill_ranking.first(key, drawn + affinity) {
            if preferred.len() < drawn + affinity {
                next_rank += 1;
                if !preferred[..drawn].contains(&id) {
                    preferred.push(id);
                }
            }
        }
        preferred[drawn..].sort_by_cached_key(|id| Reverse(unit_hash(new_request.session, *id).to_bits()));
        PrefillOrder { key, preferred, taken: 0, next_rank }
    }

    /// Exception to one affinity worker for each prefix: a prefix has as many as its part of all requests needs, less
    /// what chance adds to it, shared out by session. Guards against a hot prefix that fills a cell.
    fn affinity_worker_count(&mut self, now: TenthMillis, prefix: u64, worker_count: usize) -> usize {
        let popularity = self.prefixes.read(now, RATE_TIME_CONSTANT, prefix);
        let sure_count = (popularity.of_prefix - popularity.of_prefix.sqrt()).max(0.0);
        let part = sure_count / popularity.of_all.max(1.0);
        (part * worker_count as f64 / PREFIX_SHARE_BOUND).ceil().max(1.0) as usize
    }

    /// Exception to the first candidate: the first than which none behind it is clearly emptier by its load report is
    /// taken, which is asked for where that may be; none while reports are awaited.
    ///
    /// Guards against prefills that meet at one worker while others idle, where a router sees little; harms where a
    /// worker that fails at once looks empty.
    pub fn least_loaded_by_report(
        &mut self,
        now: TenthMillis,
        request: &RequestState,
        candidates: &[WorkerId],
    ) -> ReportedChoice {
        let mut to_query = vec![];
        if candidates.len() <= 1 {
            return ReportedChoice { to_query, worker: candidates.first().copied() };
        }
        let first_awaited_until = request.idle_since + FIRST_REPORT_PASSES * PASS_INTERVAL;
        let all_awaited_until =
            request.ttft_objective.min(request.idle_since + ANY_REPORT_PASSES * PASS_INTERVAL);
        let margin = EMPTIER_BY_REQUESTS * self.config.load_of(request.new_request.prompt_tokens);
        let mut best: Option<(f64, WorkerId)> = None;
        let mut is_awaited = false;
        for id in candidates {
            let is_enough = match best {
                Some((least, _)) => least < margin,
                None => is_awaited && now < first_awaited_until,
            };
            if is_enough {
                break;
            }
            let Some(worker) = self.workers.get(id) else { continue };
            if let Some(load) = worker.reported_load(now) {
                if best.is_none_or(|(least, _)| load + margin <= least) {
                    best = Some((load, *id));
                }
            } else if now + PASS_INTERVAL < all_awaited_until {
                is_awaited = true;
                if self.begin_load_query(*id) {
                    to_query.push(*id);
                }
            }
        }
        let choice = best.map(|(_, id)| id).or(candidates.first().copied());
        ReportedChoice { to_query, worker: choice.filter(|_| !is_awaited) }
    }

    /// The longest prompt that a prefill worker may still take, if a look at requests with longer ones is sure to
    /// change nothing: no random number is drawn, and some worker, of which nothing is doubted, takes shorter ones.
    /// No parked request may wait longer than `longest_usable_wait` for its prefill to begin.
    pub fn longest_prompt_taken(&mut self, now: TenthMillis, longest_usable_wait: f64) -> Option<f64> {
        let mut longest: f64 = 0.0;
        let mut sure_worker: Option<WorkerId> = None;
        for id in self.registry.prefill_ranking.all() {
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            if !worker.is_available() || worker.has_just_rejected(now) {
                continue;
            }
            let load = self.in_flight.at(id);
            let room = SPILL_TOKENS * OVERFULL_FACTOR - load.prefill_tokens;
            if load.prefills == 0 {
                return None;
            }
            if worker.response_wait(now, load) <= longest_usable_wait {
                longest = longest.max(room);
            }
            let may_be_sure =
                sure_worker.is_none() && room >= 0.0 && !worker.is_warming_up(now, self.config.warm_up_time);
            if may_be_sure && self.is_usable_for_all_classes(now, id) {
                sure_worker = Some(id);
            }
        }
        let prefills_alone = self.workers[&sure_worker?].role != Role::Mixed;
        if prefills_alone && !self.decode_worker_surely_grants(now) {
            return None;
        }
        Some(longest)
    }
}
