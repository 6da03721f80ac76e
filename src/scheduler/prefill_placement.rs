//! Which prefill worker a prompt goes to: rendezvous hashing with bounded load orders the workers, with those
//! that have affinity to its prefix first; among the first few, load reports decide.

use std::cmp::Reverse;

use super::decode_placement::DecodeScope;
use super::fleet::Fleet;
use super::request::RequestState;
use super::retry;
use super::timing::{PASS_INTERVAL, RATE_TIME_CONSTANT};
use super::worker::{Worker, SPILL_TOKENS};
use crate::rendezvous::{unit_hash, RendezvousRanking};
use crate::types::{Role, TenthMillis, WorkerId};

/// When all suitable workers would have more than [`SPILL_TOKENS`] in flight, the one with the fewest takes the
/// prompt, unless it would then have more than this multiple of [`SPILL_TOKENS`].
const OVERFULL_FACTOR: f64 = 2.0;
/// At each of its affinity workers, one prefix may take this multiple of an even share of all prefills.
const PREFIX_SHARE_BOUND: f64 = 1.0;
/// Number of workers, in the order of a key, whose load reports decide which one gets a prefill.
const LOAD_REPORT_CANDIDATES: usize = 3;
/// A worker further down the order is preferred only if its load is lower by at least this many requests of the
/// same size, because a cached prefix saves about that much work.
const EMPTIER_BY_REQUESTS: f64 = 1.0;
/// Number of scheduling passes for which a request waits for its first candidate's load report.
const FIRST_REPORT_PASSES: TenthMillis = 1;
/// A request stops waiting for load reports when the next scheduling pass would come this many pass intervals
/// after it began to wait.
const ANY_REPORT_PASSES: TenthMillis = 3;

/// The prefill workers that a prompt may go to.
pub struct PrefillCandidates {
    /// In the order of preference; more than one only where load reports are enabled.
    pub workers: Vec<WorkerId>,
    /// No prefill worker takes another prefill, whatever the request.
    pub exhausted: bool,
}

/// The choice of a prefill worker by load reports.
pub struct ReportedChoice {
    /// The workers whose load reports are to be requested.
    pub to_query: Vec<WorkerId>,
    /// The worker to send to; None while load reports are awaited.
    pub worker: Option<WorkerId>,
}

/// How a prefill worker suits a request.
enum Suitability {
    /// The worker takes no prefill, or no decode worker would grant a reservation for its prefills.
    Unavailable,
    /// The worker takes prefills, but not of this request.
    Unsuitable,
    /// The worker takes this prefill. Holds the prompt tokens in flight there, this prompt included; 0 if it is
    /// idle.
    Suitable(f64),
}

/// An iteration over the prefill workers in the order in which a request prefers them.
struct PrefillOrder {
    key: u64,
    /// Workers that come before the key's order.
    preferred: Vec<WorkerId>,
    /// How many of the preferred workers were returned.
    taken: usize,
    /// The next rank to look at in the key's order.
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
    /// Returns the workers that a request's prompt may go to: the first that suits it, or the first
    /// [`LOAD_REPORT_CANDIDATES`] where load reports are enabled.
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

    /// Returns the least loaded decode worker that may prefill, for a fleet without prefill workers.
    fn decode_worker_that_prefills(&mut self, now: TenthMillis, request: &RequestState) -> Option<WorkerId> {
        let idempotency = retry::idempotency(&self.config, request);
        let fits = |worker: &Worker| {
            !worker.has_recent_rejection(now) && retry::deduplicates_at(idempotency, request, worker)
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
        if worker.has_recent_rejection(now) || !is_idle && load.prefill_tokens > limit {
            return Suitability::Unavailable;
        }
        let tokens = if is_idle { 0.0 } else { load.prefill_tokens + request.new_request.prompt_tokens };
        let is_busy = !is_idle && is_slow || tokens > limit;
        // A prefill worker is skipped if no decode worker may grant a reservation for its cell: the request goes
        // to a worker further down the order instead of waiting for a decode worker.
        let cell = worker.endpoint.cell;
        if worker.role != Role::Mixed && !self.any_decode_worker_may_grant(now, cell, requester) {
            return Suitability::Unavailable;
        }
        if is_busy || !retry::may_run_at(&self.config, now, request, self.workers.get(&id)) {
            return Suitability::Unsuitable;
        }
        Suitability::Suitable(tokens)
    }

    /// Returns the order of prefill workers for a request, by rendezvous hashing of its prefix or session.
    fn prefill_order(&mut self, now: TenthMillis, request: &RequestState) -> PrefillOrder {
        let new_request = &request.new_request;
        let key = new_request.placement_key();
        // Warming workers that slow start admits for this request come first. Otherwise rendezvous hashing would
        // reduce their share once more.
        let mut preferred = self.registry.warming_prefill_workers(now, self.config.warm_up_time);
        let requester = request.requester();
        preferred.retain(|id| self.slow_start_admits(now, *id, requester, None));
        let warming_count = preferred.len();
        let worker_count = self.registry.prefill_ranking.len();
        let affinity = self
            .affinity_worker_count(now, new_request.prefix, worker_count)
            .min(worker_count - warming_count);
        let mut next_rank = 0;
        for id in self.registry.prefill_ranking.first(key, warming_count + affinity) {
            if preferred.len() < warming_count + affinity {
                next_rank += 1;
                if !preferred[..warming_count].contains(&id) {
                    preferred.push(id);
                }
            }
        }
        preferred[warming_count..]
            .sort_by_cached_key(|id| Reverse(unit_hash(new_request.session, *id).to_bits()));
        PrefillOrder { key, preferred, taken: 0, next_rank }
    }

    /// Returns how many affinity workers a prefix has.
    ///
    /// Most prefixes have one affinity worker. A popular prefix has as many as its part of all requests needs,
    /// and its sessions are spread over them. One standard deviation is subtracted from its count, so that chance
    /// alone adds no workers. Guards against a hot prefix that fills a cell.
    fn affinity_worker_count(&mut self, now: TenthMillis, prefix: u64, worker_count: usize) -> usize {
        let popularity = self.prefixes.read(now, RATE_TIME_CONSTANT, prefix);
        let count_less_deviation = (popularity.prefix_count - popularity.prefix_count.sqrt()).max(0.0);
        let request_share = count_less_deviation / popularity.total_count.max(1.0);
        (request_share * worker_count as f64 / PREFIX_SHARE_BOUND).ceil().max(1.0) as usize
    }

    /// Chooses among the candidates by their load reports, and requests the reports that are missing.
    ///
    /// The first candidate is chosen unless a later one is clearly emptier by its load report. No worker is
    /// chosen while reports are awaited. Guards against several routers that send prefills to the same worker
    /// while others idle, because each router sees only its own part of the load. The drawback: a worker that
    /// fails every request at once looks empty.
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
        let mut any_report_awaited = false;
        for id in candidates {
            let can_stop = match best {
                Some((least, _)) => least < margin,
                None => any_report_awaited && now < first_awaited_until,
            };
            if can_stop {
                break;
            }
            let Some(worker) = self.workers.get(id) else { continue };
            if let Some(load) = worker.reported_load(now) {
                if best.is_none_or(|(least, _)| load + margin <= least) {
                    best = Some((load, *id));
                }
            } else if now + PASS_INTERVAL < all_awaited_until {
                any_report_awaited = true;
                if self.begin_load_query(*id) {
                    to_query.push(*id);
                }
            }
        }
        let choice = best.map(|(_, id)| id).or(candidates.first().copied());
        ReportedChoice { to_query, worker: choice.filter(|_| !any_report_awaited) }
    }

    /// Returns the length in tokens of the longest prompt that a prefill worker may still take. None if deciding
    /// about requests with longer prompts may change something, because it may draw a random number, an idle
    /// worker takes any prompt, or no worker is sure to be usable.
    ///
    /// `longest_usable_wait` is an upper bound of the usable waits of all parked requests.
    pub fn longest_acceptable_prompt(&mut self, now: TenthMillis, longest_usable_wait: f64) -> Option<f64> {
        let mut longest: f64 = 0.0;
        let mut certain_worker: Option<WorkerId> = None;
        for id in self.registry.prefill_ranking.all() {
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            if !worker.is_available() || worker.has_recent_rejection(now) {
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
            let may_be_certain = certain_worker.is_none()
                && room >= 0.0
                && !worker.is_warming_up(now, self.config.warm_up_time);
            if may_be_certain && self.is_usable_for_all_classes(now, id) {
                certain_worker = Some(id);
            }
        }
        let is_prefill_only = self.workers[&certain_worker?].role != Role::Mixed;
        if is_prefill_only && !self.is_decode_grant_certain(now) {
            return None;
        }
        Some(longest)
    }
}
