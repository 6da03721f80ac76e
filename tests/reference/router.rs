//! The module as it was before its books were kept as events come: the plain way, counted anew at each look.
//! tests/matches_reference.rs holds the scheduler against it, benches/decisions.rs measures both.
//!
//! Every routing decision. The host makes a `Router` for each instance and tells it what happens through its
//! public calls, which only update what is known; after them it pulls `decide` until that gives None.
//! The types at the edge are in `types.rs`; the reasons are in `docs/design.md`.

use std::collections::{BTreeMap, VecDeque};

use crate::ewma::{Ewma, EwmaMean};
use crate::rng::Rng;
use crate::types::*;

/// Prompt tokens of this router that may wait at a reader before reads spill.
const SPILL: f64 = 4_000.0;
/// The least filled takes up to so many times the bound where all are past it.
const FILLED: f64 = 2.0;
/// A reader's part of all reads differs by so much of an even one at most, times the part that has writers near.
const LEAN: f64 = 0.5;
/// Steps in which the parts are scaled until they fit between the two bounds; more change little.
const ROUNDS: u32 = 8;
/// One prefix may take so many times an even part of the reads at each of its homes.
const CROWD: f64 = 1.0;
/// Tenths: how long a writer's 'not held' or a server's 'full' is believed; the design's 50 ms.
const DENIAL: TenthMillis = 500;
/// Tenths: how long a writer's 'not held' is believed when another could be asked.
const BELIEF: TenthMillis = 10_000;
/// Part of the contract time that the way to a first token may take before less is sent that way.
const READING: f64 = 0.5;
/// Readings' worth of no wait at all with which the door weighs what it knows of waits: one, so that a second
/// of some traffic outweighs it and a router that sees little forgets in a few times the memory.
const DOOR: f64 = 1.0;
/// What waits is given up when less than so many times the usual way to a first token is left.
const SLACK: f64 = 3.0;
/// One pair in so many passes a shut gate, to measure again; the design's value.
const MEASURE: f64 = 50.0;
/// Places that a read may ask for, over which it looks no further beyond its cell: each costs a probe.
const ASKS: usize = 4;
/// Tenths: the memory of the means, long against one submission and short against a trouble.
const MEMORY: TenthMillis = 50_000;
/// Tenths: the first rest of a worker that failed, about the time in which a process starts again.
const REST: TenthMillis = 5_000;
/// Doublings of the rest at most: a dead worker is tried every eight seconds or so.
const RESTS: u32 = 4;
/// Tenths: the memory of losses, flows and which prefixes come: some forty submissions at one a second.
const KNOWN: TenthMillis = 400_000;
/// Standard deviations of a sum of many routers' chances that stay free at a cold worker.
const RISK: f64 = 1e-4;
const WARMS: f64 = 1.5;
/// Shots that a fresh worker may have out before its first answer.
const FRESH: u32 = 2;
/// A shot counts as lost after the usual wait times this and the logarithm of the odds of a loss.
const PATIENCE: f64 = 2.0;
/// The part of shots that are lost while nothing is known.
const RARE: f64 = 0.01;
/// And not before this part of its contract time, which leaves time for two more.
const PATIENCE_LEAST: f64 = 0.25;
/// A worker is left alone for a track if it loses so much more than all, as a part of what could be more.
const DOUBT: f64 = 0.2;
/// Part of the release time after which a state that found no writer is let go; the rest covers ticks.
const PINNED: f64 = 0.7;
/// Tenths: how often undecided submissions are looked at, and how often only workers are watched.
const LOOK: TenthMillis = 100;
const WATCH: TenthMillis = 500;

type Ticket = (RequestId, u8);

#[derive(Default)]
struct Worker {
    list: Endpoint,
    role: Role,
    tokens: f64,
    reads: u32,
    streams: u32,
    /// Those of them that have begun to answer.
    begun: u32,
    oldest: TenthMillis,
    answers: u32,
    fresh_from: TenthMillis,
    read_wait: EwmaMean,
    denied: TenthMillis,
    rests: u32,
    rests_until: TenthMillis,
    suspect: bool,
    probing: bool,
    /// The part of shots lost there, by track.
    losses: BTreeMap<u8, EwmaMean>,
}

#[derive(Default)]
struct Shot {
    number: u16,
    worker: WorkerId,
    reading: bool,
    sent: TenthMillis,
    started: bool,
    withdrawn: bool,
    doubted: bool,
    suspected: bool,
    cross: bool,
}

#[derive(Default)]
struct Submission {
    new_request: NewRequest,
    came: TenthMillis,
    ttft_objective: TenthMillis,
    deadline: TenthMillis,
    attempts: u16,
    out: Option<Shot>,
    /// The writer asked for a place, and whether it is known to be held.
    place: Option<(WorkerId, bool)>,
    asked: Vec<WorkerId>,
    state: Option<WorkerId>,
    since: TenthMillis,
    /// When and where the first shot went that may have run.
    ran: Option<(TenthMillis, WorkerId)>,
    let_go: bool,
    let_in: bool,
    ended: bool,
}

#[derive(Default)]
pub struct Router {
    terms: SchedulerConfig,
    rng: Rng,
    workers: BTreeMap<WorkerId, Worker>,
    open: BTreeMap<RequestId, Submission>,
    /// Those whose answer streams: until it ends nothing is decided about them, so that no survey meets them.
    streaming: BTreeMap<RequestId, Submission>,
    ready: VecDeque<Action>,
    surveyed: bool,
    /// No reader takes any more: the rest of a flood need not look.
    shut: bool,
    wake: TenthMillis,
    subscribe: Option<TenthMillis>,
    began: TenthMillis,
    /// By track, how long first tokens take and, apart, reads.
    waits: [BTreeMap<u8, EwmaMean>; 2],
    cross_wait: EwmaMean,
    /// Readers and mixed workers that are ready, and their parts of all reads.
    shares: BTreeMap<WorkerId, f64>,
    relisted: bool,
    /// How often each prefix was seen lately, and all submissions.
    seen: BTreeMap<u64, Ewma>,
    all_seen: Ewma,
    /// What was lately sent to and answered by writers and by readers.
    flows: [(Ewma, Ewma); 2],
    /// The part of all shots lost, by track.
    losses: BTreeMap<u8, EwmaMean>,
}

impl Router {
    pub fn new(terms: SchedulerConfig, seed: u64, now: TenthMillis) -> Self {
        let subscribe = terms.endpoint_watch_enabled.then_some(now);
        Router {
            rng: Rng::new(seed),
            wake: TenthMillis::MAX,
            subscribe,
            began: now,
            terms,
            ..Router::default()
        }
    }

    /// A whole list begins: workers that it does not name are gone.
    pub fn list_anew(&mut self, _now: TenthMillis) {
        self.relisted = true;
        self.workers.values_mut().for_each(|w| w.list.status = EndpointStatus::Removed);
    }

    /// The call for the list failed; the old list stays in force, and the next call keeps apart from others'.
    pub fn list_failed(&mut self, now: TenthMillis) {
        let pause = REST as f64 * (1.0 + self.rng.unit());
        self.subscribe = self.terms.endpoint_watch_enabled.then_some(now + pause as TenthMillis);
    }

    pub fn listed(&mut self, now: TenthMillis, list: Endpoint) {
        self.relisted = true;
        let role = self.terms.role_by_kind.get(usize::from(list.kind)).copied();
        let Some(role) = role else { return };
        let worker = self.workers.entry(list.worker).or_insert_with(|| Worker {
            list,
            fresh_from: list.start_time,
            denied: now - BELIEF,
            ..Worker::default()
        });
        if worker.list.start_time != list.start_time {
            (worker.answers, worker.fresh_from, worker.rests, worker.rests_until) =
                (0, list.start_time, 0, 0);
        }
        (worker.list, worker.role) = (list, role);
    }

    /// False if the submission names a track that the terms do not have.
    pub fn arrived(&mut self, now: TenthMillis, new_request: NewRequest) -> bool {
        let Some(class) = self.terms.classes.get(usize::from(new_request.class)) else { return false };
        let stretch =
            class.ttft_objective_per_1000_tokens as f64 * new_request.prompt_tokens.max(0.0) / 1000.0;
        self.all_seen.add(now, KNOWN, 1.0);
        if new_request.prefix != 0 {
            self.seen.entry(new_request.prefix).or_default().add(now, KNOWN, 1.0);
            self.seen.retain(|_, s| s.read(now, KNOWN) > 0.01);
        }
        let ttft_objective = now + class.ttft_objective + stretch as TenthMillis;
        let (came, deadline) = (now, now + new_request.remaining_time);
        let request =
            Submission { new_request, came, ttft_objective, deadline, since: now, ..Submission::default() };
        self.open.insert(new_request.id, request);
        true
    }

    pub fn started(&mut self, now: TenthMillis, id: RequestId, attempt: u16) {
        let Some(request) = self.open.get_mut(&id) else { return };
        let Some(out) = request.out.as_mut().filter(|out| out.number == attempt) else { return };
        out.started = true;
        if out.cross {
            self.cross_wait.add(now, MEMORY, (now - out.sent) as f64);
        }
        (request.state, request.place, request.let_go) = (None, None, false);
        let (worker, sent, class) = (out.worker, out.sent, request.new_request.class);
        if let Some(w) = self.workers.get_mut(&worker) {
            w.begun += 1;
            self.streaming.extend(self.open.remove_entry(&id));
        }
        self.answered(now, worker, class, 0, now - sent);
    }

    /// A writer, 0, began to answer, or a reader, 1, read.
    fn answered(&mut self, now: TenthMillis, worker: WorkerId, class: u8, stage: usize, took: TenthMillis) {
        self.waits[stage].entry(class).or_default().add(now, MEMORY, took as f64);
        self.flows[stage].1.add(now, KNOWN, 1.0);
        self.judge(now, worker, class, 0.0);
        let Some(w) = self.workers.get_mut(&worker) else { return };
        w.read_wait.add(now, MEMORY, took as f64);
        (w.rests, w.rests_until) = (0, 0);
        w.answers += stage as u32;
    }

    /// The answer names the reader, so the writer is the one asked last.
    pub fn answered_ahead(&mut self, now: TenthMillis, id: RequestId, held: bool) {
        let Some(request) = self.open.get_mut(&id) else { return };
        let Some((writer, _)) = request.place else { return };
        request.place = held.then_some((writer, true));
        if let Some(w) = self.workers.get_mut(&writer) {
            w.denied = if held { now - BELIEF } else { now };
        }
    }

    pub fn settled(
        &mut self,
        now: TenthMillis,
        id: RequestId,
        attempt: u16,
        outcome: AttemptOutcome,
        terminal: bool,
    ) {
        if let Some((id, request)) = self.streaming.remove_entry(&id) {
            let worker = request.out.as_ref().and_then(|out| self.workers.get_mut(&out.worker));
            worker.into_iter().for_each(|w| w.begun -= 1);
            self.open.insert(id, request);
        }
        let Some(request) = self.open.get_mut(&id) else { return };
        let Some(out) = request.out.take_if(|out| out.number == attempt) else { return };
        request.since = now;
        request.ended |= terminal;
        let proven = matches!(
            outcome,
            AttemptOutcome::PrefillComplete
                | AttemptOutcome::Rejected
                | AttemptOutcome::StateMissing
                | AttemptOutcome::Unreachable
                | AttemptOutcome::NotSent
        );
        if !out.reading && !proven && request.ran.is_none() {
            request.ran = Some((out.sent, out.worker));
        }
        let held_there = request.place.is_some_and(|(w, held)| held && w == out.worker);
        if outcome == AttemptOutcome::PrefillComplete {
            request.state = Some(out.worker);
        } else if out.reading || outcome == AttemptOutcome::StateMissing || held_there {
            // The state is gone, or went ahead to a writer that failed: only a new read helps.
            request.let_go |= request.state.is_some() || request.place.is_some();
            (request.state, request.place) = (None, None);
        } else {
            request.place = None;
        }
        let class = request.new_request.class;
        let Some(worker) = self.workers.get_mut(&out.worker) else { return };
        match outcome {
            AttemptOutcome::PrefillComplete => self.answered(now, out.worker, class, 1, now - out.sent),
            AttemptOutcome::Completed | AttemptOutcome::StateMissing => worker.answers += 1,
            AttemptOutcome::Rejected => {
                worker.denied = now;
                if out.reading {
                    let all = (request.ttft_objective - request.came) as f64;
                    self.waits[1].entry(class).or_default().add(now, MEMORY, all);
                }
            }
            AttemptOutcome::Unreachable | AttemptOutcome::ConnectionReset => {
                let first = worker.rests == 0 && self.terms.health_checks_enabled;
                worker.rest(now, if first { 0.0 } else { 1.0 + self.rng.unit() });
            }
            AttemptOutcome::ServerError => self.judge(now, out.worker, class, 1.0),
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }

    /// Books an answer, or with 1 a loss, to a worker; after a loss a probe tells whether all of it is dead.
    fn judge(&mut self, now: TenthMillis, worker: WorkerId, class: u8, lost: f64) {
        self.losses.entry(class).or_default().add(now, KNOWN, lost);
        let Some(w) = self.workers.get_mut(&worker) else { return };
        w.losses.entry(class).or_default().add(now, KNOWN, lost);
        w.suspect |= lost > 0.0;
    }

    pub fn dropped(&mut self, _now: TenthMillis, id: RequestId) {
        let held = self.open.get_mut(&id).or_else(|| self.streaming.get_mut(&id));
        held.into_iter().for_each(|s| s.ended = true);
    }

    pub fn woken(&mut self, now: TenthMillis) {
        self.wake = if now >= self.wake { TenthMillis::MAX } else { self.wake };
    }

    pub fn probed(&mut self, now: TenthMillis, worker: WorkerId, well: bool) {
        let Some(w) = self.workers.get_mut(&worker) else { return };
        w.probing = false;
        if !well {
            w.rest(now, 1.0 + self.rng.unit());
        } else if w.rests_until > 0 {
            w.back(now);
        }
    }

    pub fn decide(&mut self, now: TenthMillis) -> Option<Action> {
        // One survey a round of pulls, which ends with None.
        if self.ready.is_empty() && !std::mem::replace(&mut self.surveyed, true) {
            self.survey(now);
        }
        let next = self.ready.pop_front();
        self.surveyed = next.is_some();
        next
    }

    fn survey(&mut self, now: TenthMillis) {
        if std::mem::take(&mut self.relisted) {
            self.share_out();
        }
        self.count(now);
        self.shut = false;
        if self.subscribe.take_if(|at| *at <= now).is_some() {
            self.ready.push_back(Action::WatchEndpoints);
        }
        let mut open = std::mem::take(&mut self.open);
        for s in open.values_mut() {
            if s.let_go || (s.ended && s.out.is_none() && (s.state.is_some() || s.place.is_some())) {
                self.let_go(s);
            }
        }
        open.retain(|_, s| !s.ended || s.out.is_some());
        self.watch(now, &mut open);
        let mut order: Vec<_> = open
            .iter()
            .filter(|(_, s)| !s.ended)
            .map(|(&id, s)| (s.state.is_none(), s.ttft_objective, id))
            .collect();
        order.sort_unstable();
        let mut waits = false;
        for (.., id) in order {
            let Some(s) = open.get_mut(&id) else { continue };
            if s.out.is_none() {
                self.forward(now, s);
                waits |= s.out.is_none() && !s.ended;
            } else {
                self.ask(now, s);
            }
        }
        open.retain(|_, s| !s.ended || s.out.is_some());
        let busy = open.values().any(|s| s.out.as_ref().is_some_and(|o| !o.started));
        let resting = self.workers.values().any(|w| w.rests_until > 0);
        self.open = open;
        let pause = if waits { LOOK } else { WATCH };
        if (waits || busy || resting || self.subscribe.is_some()) && self.wake > now + pause {
            self.wake = now + pause;
            self.ready.push_back(Action::SetTimer { delay: pause });
        }
    }

    /// Counts anew what this router has out at each worker.
    fn count(&mut self, now: TenthMillis) {
        for w in self.workers.values_mut() {
            (w.tokens, w.reads, w.streams, w.oldest) = (0.0, 0, w.begun, now);
        }
        for s in self.open.values() {
            if let Some(out) = &s.out {
                if let Some(w) = self.workers.get_mut(&out.worker) {
                    if out.reading {
                        w.reads += 1;
                        w.tokens += s.new_request.prompt_tokens;
                    } else {
                        w.streams += 1;
                    }
                    w.oldest = if out.started { w.oldest } else { w.oldest.min(out.sent) };
                }
            }
            if let Some((place, _)) = s.place.filter(|(p, _)| s.out.as_ref().is_none_or(|o| o.worker != *p)) {
                if let Some(w) = self.workers.get_mut(&place) {
                    w.streams += 1;
                }
            }
        }
    }

    /// Guards against answers that never come, of a worker or of one track there: a shot out for some times
    /// the usual wait is called back where it may run again and counts against its worker there. Its age is
    /// a wait too, so that patience grows when all is slow. Harms when a slow read is taken for lost.
    fn watch(&mut self, now: TenthMillis, open: &mut BTreeMap<RequestId, Submission>) {
        for (&id, s) in open {
            let repeat = self.terms.classes[usize::from(s.new_request.class)].idempotency;
            let Some(out) = s.out.as_mut().filter(|o| !o.started && !o.withdrawn) else { continue };
            let resting = self.workers.get(&out.worker).is_some_and(|w| w.rests_until > now);
            let waits = self.waits[usize::from(out.reading)].entry(s.new_request.class).or_default();
            let ttft_objective = (s.ttft_objective - s.came) as f64;
            let usual = waits.shrunk(now, MEMORY, ttft_objective * READING, 1.0);
            let mean = usual_loss(self.losses.entry(s.new_request.class).or_default(), now);
            let odds = mean / (1.0 - mean);
            let (age, least) = ((now - out.sent) as f64, ttft_objective * PATIENCE_LEAST);
            let patience = (usual * PATIENCE * -odds.ln().min(-1.0)).max(least);
            let lost = age > patience;
            if lost && !out.doubted {
                out.doubted = true;
                waits.add(now, MEMORY, patience);
                self.judge(now, out.worker, s.new_request.class, 1.0);
            } else if age > least && !out.suspected {
                out.suspected = true;
                self.workers.entry(out.worker).and_modify(|w| w.suspect = true);
            }
            let free = out.reading || repeat == Idempotency::Idempotent;
            let again = free && (lost || resting) && s.attempts + 1 < self.terms.max_attempts;
            if self.terms.cancellation_enabled && (s.ended || again) {
                out.withdrawn = true;
                self.ready.push_back(Action::CancelAttempt { id, attempt: out.number });
            }
        }
        for (&id, w) in self.workers.iter_mut().filter(|(_, w)| w.list.status != EndpointStatus::Removed) {
            let rested = w.rests_until > 0 && now >= w.rests_until;
            if self.terms.health_checks_enabled && !w.probing && (rested || w.suspect && w.rests_until == 0) {
                (w.probing, w.suspect) = (true, false);
                self.ready.push_back(Action::CheckHealth { worker: id });
            } else if !self.terms.health_checks_enabled && rested {
                w.back(now);
            }
        }
    }

    /// Whether a shot or place may go to the worker, a choice for all or for those read in one cell.
    fn usable(&mut self, now: TenthMillis, id: WorkerId, (ticket, class): Ticket, cell: Option<u16>) -> bool {
        let Some(w) = self.workers.get(&id) else { return false };
        let fresh = now - w.fresh_from < self.terms.warm_up_time && w.fresh_from > 0;
        let cold = w.cold(now, self.terms.warm_up_time);
        w.alive()
            && !(fresh && w.reads + w.streams >= FRESH + w.answers)
            && !self.doubted(now, id, class)
            && (!cold || self.lot(now, id, ticket, cell))
    }

    /// Whether the worker loses clearly more of a track than all do; what is known is shrunk by one shot.
    fn doubted(&mut self, now: TenthMillis, id: WorkerId, class: u8) -> bool {
        let mean = usual_loss(self.losses.entry(class).or_default(), now);
        let known = self.workers.get_mut(&id).and_then(|w| w.losses.get_mut(&class));
        let (lost, attempts) = known.map_or((0.0, 0.0), |k| k.sums(now, KNOWN));
        (lost + mean) / (attempts + 1.0) - mean > DOUBT * (1.0 - mean)
    }

    /// Guards against pushing over a cold worker, by any number of routers: only submissions that draw it go
    /// there, so few that their sum stays under the stated multiple of what it can do by some times its own
    /// spread, reckoned from what warm peers answer. Harms where many are cold: they do little till warm.
    fn lot(&mut self, now: TenthMillis, id: WorkerId, ticket: RequestId, cell: Option<u16>) -> bool {
        let flow = cell.map_or(1.0, |cell| self.flow(cell));
        let (t, w) = (&self.terms, &self.workers[&id]);
        let kin = self.workers.values().filter(|k| {
            (k.role == Role::Prefill) == (w.role == Role::Prefill) && k.list.status == EndpointStatus::Serving
        });
        let (all, warm, sizes) = kin.fold((0.0, 0.0, 0.0), |(all, warm, sizes), k| {
            (all + 1.0, warm + f64::from(u8::from(!k.cold(now, t.warm_up_time))), sizes + k.list.size)
        });
        let size: f64 = w.list.size * all / f64::max(sizes, 0.01);
        let (sent, done) = &mut self.flows[usize::from(w.role == Role::Prefill)];
        let (sent, done) = (sent.read(now, KNOWN), done.read(now, KNOWN));
        let part = (now - w.list.start_time) as f64 / t.warm_up_time as f64;
        let present = t.cold_capacity_share + (1.0 - t.cold_capacity_share) * part;
        // Fleet-wide, a warm peer answers so many within the stated span; a router that has just begun knows less.
        let able = (warm + (all - warm) * present).max(1.0) / size.clamp(0.01, 1.0);
        let known = KNOWN as f64 * (1.0 - (-((now - self.began + REST) as f64 / KNOWN as f64)).exp());
        let peer = done * t.overload_window as f64 / known * f64::from(t.router_count) / able;
        let budget = t.overload_multiple * present * peer;
        let most = budget + 2.0 * budget.sqrt() + 2.0;
        let mean = most / std::f64::consts::E * RISK.powf(1.0 / most);
        let share = (mean / peer.max(0.001)).min(present * WARMS);
        draw(ticket, id) < share * done / (sent.max(1.0) * able * flow.max(0.001))
    }

    /// Each reader's part of all reads follows the writers for each reader in its cell and zone, in bounds:
    /// lone readers among writers would drown, and readers with no writers near choke their link.
    fn share_out(&mut self) {
        let mut around: [BTreeMap<u16, (f64, f64)>; 2] = Default::default();
        let ready = |w: &&Worker| w.list.status == EndpointStatus::Serving;
        for w in self.workers.values().filter(ready) {
            for (map, place) in around.iter_mut().zip([w.list.cell, u16::from(w.list.zone)]) {
                let (reads, writes) = map.entry(place).or_default();
                *reads += if w.role == Role::Decode { 0.0 } else { w.list.size.max(0.01) };
                *writes += if w.role == Role::Prefill { 0.0 } else { w.list.size.max(0.01) };
            }
        }
        let per_reader = |(reads, writes): (f64, f64)| writes / reads.max(0.01);
        let lean = |w: &Worker| {
            let near = [around[0][&w.list.cell], around[1][&u16::from(w.list.zone)]].map(per_reader);
            (near[0] * near[1]).sqrt()
        };
        let readers = self.workers.iter().filter(|(_, w)| ready(w) && w.role != Role::Decode);
        let leans: Vec<_> = readers.map(|(&id, w)| (id, w.list.size.max(0.01), lean(w))).collect();
        let sum = |all: bool| leans.iter().filter(|l| all || l.2 > 0.0).map(|l| l.1).sum::<f64>();
        let most = LEAN * sum(false) / sum(true).max(0.01);
        let mut scale = 1.0;
        for _ in 0..ROUNDS {
            let part = |l: f64| (l * scale).clamp(1.0 - most, 1.0 + most);
            self.shares = leans.iter().map(|&(id, size, l)| (id, size * part(l))).collect();
            scale *= sum(true) / self.shares.values().sum::<f64>().max(0.01);
        }
    }

    /// Readers and mixed workers, best first, by rendezvous hashing of the prefix or session.
    fn readers(&mut self, now: TenthMillis, new_request: &NewRequest) -> Vec<WorkerId> {
        let key = if new_request.prefix != 0 { new_request.prefix } else { new_request.session };
        let mut ranked = Vec::new();
        let shares = std::mem::take(&mut self.shares);
        for (&id, share) in &shares {
            // A cold reader that the submission drew comes first, or its part would fall to the hash again.
            let cold = self.workers[&id].cold(now, self.terms.warm_up_time);
            let drawn = cold && self.lot(now, id, new_request.id, None);
            let rank = if drawn { f64::MAX } else { share / -draw(key, id).ln() };
            ranked.push((rank, id));
        }
        self.shares = shares;
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        // Exception to one home: a prefix has as many as its part of all needs, shared out by session.
        let drawn = ranked.iter().take_while(|(rank, _)| *rank == f64::MAX).count();
        let homes = self.homes(now, new_request.prefix, ranked.len()).min(ranked.len() - drawn);
        ranked[drawn..drawn + homes]
            .sort_by(|a, b| draw(new_request.session, b.1).total_cmp(&draw(new_request.session, a.1)));
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    /// How many readers a prefix takes: its part of what this router has seen, less what chance adds to it.
    fn homes(&mut self, now: TenthMillis, prefix: u64, readers: usize) -> usize {
        let seen = self.seen.get_mut(&prefix).map_or(0.0, |s| s.read(now, KNOWN));
        let all = self.all_seen.read(now, KNOWN).max(1.0);
        let part = (seen - seen.sqrt()).max(0.0) / all;
        (part * readers as f64 / CROWD).ceil().max(1.0) as usize
    }

    /// Whether a writer in the cell, or beyond it through the gate, may grant.
    fn grants(&mut self, now: TenthMillis, cell: u16, ticket: Ticket) -> bool {
        let writers = self.writers(|w| !w.tight(now));
        writers.into_iter().any(|id| {
            let near = self.workers[&id].list.cell == cell;
            (near || self.gate(now)) && self.usable(now, id, ticket, near.then_some(cell))
        })
    }

    fn writers(&self, fits: impl Fn(&Worker) -> bool) -> Vec<WorkerId> {
        self.workers.iter().filter(|(_, w)| w.role != Role::Prefill && fits(w)).map(|(&id, _)| id).collect()
    }

    /// The part of all reads that a cell's readers take.
    fn flow(&self, cell: u16) -> f64 {
        let own = self.shares.iter().filter(|(id, _)| self.workers[*id].list.cell == cell);
        own.map(|(_, share)| share).sum::<f64>() / self.shares.values().sum::<f64>().max(0.01)
    }

    /// Of the writers that fit, in the reader's cell or beyond it, the usable one with the fewest own streams
    /// for its size; a cold one that the submission drew comes first.
    fn least(
        &mut self,
        now: TenthMillis,
        ticket: Ticket,
        (near, cell, zone): (bool, u16, u8),
        fits: impl Fn(&Worker) -> bool,
    ) -> Option<WorkerId> {
        let mut fitting = self.writers(|w| (w.list.cell == cell) == near && fits(w));
        fitting.retain(|&id| self.usable(now, id, ticket, near.then_some(cell)));
        // Ties go by chance: of many routers most have no stream there, and the first id would get them all.
        let mut best: Option<((bool, bool, f64, f64), WorkerId)> = None;
        for id in fitting {
            let w = &self.workers[&id];
            let own = f64::from(w.streams) / w.list.size.max(0.01);
            let warm = !w.cold(now, self.terms.warm_up_time);
            let rank = (w.list.zone != zone, warm, own, self.rng.unit());
            best = Some(best.filter(|b| b.0 <= rank).unwrap_or((rank, id)));
        }
        best.map(|(_, id)| id)
    }

    /// The gate to another cell: open while first tokens over cells come soon enough, else now and then.
    fn gate(&mut self, now: TenthMillis) -> bool {
        let bound = self.terms.classes.iter().map(|t| t.ttft_objective).min().unwrap_or(0) as f64 / 2.0;
        self.cross_wait.read(now, MEMORY).is_none_or(|mean| mean < bound) || self.rng.unit() * MEASURE < 1.0
    }

    /// The next step of a submission that has no shot out.
    fn forward(&mut self, now: TenthMillis, s: &mut Submission) {
        // Without a shot left not even a state that waits at its reader can be answered.
        if now + LOOK >= s.deadline || !self.may_repeat(now, s) || s.attempts >= self.terms.max_attempts {
            return self.end(s);
        }
        if let Some(reader) = s.state {
            let overdue = s.since + (self.terms.state_release_timeout as f64 * PINNED) as TenthMillis <= now;
            match self.writer_for(now, s, reader) {
                Some(writer) if self.may_run(now, s, writer) => {
                    let cross = self.workers.get(&reader).map(|w| w.list.cell)
                        != self.workers.get(&writer).map(|w| w.list.cell);
                    if s.place.is_some_and(|(w, _)| w != writer) {
                        s.place = None;
                    }
                    return self.send(now, s, writer, false, cross);
                }
                _ if overdue || s.place.is_some_and(|(_, held)| held) => self.let_go(s),
                _ => return self.end_if_hopeless(now, s),
            }
        }
        if s.attempts + 2 > self.terms.max_attempts {
            return self.end(s);
        }
        // Guards against a jam that feeds itself, reads that all end too late: the more of the contract time,
        // its own or of tracks that earn more, the usual way takes, a full reader all, the fewer are let in.
        if s.attempts == 0 && !std::mem::replace(&mut s.let_in, true) {
            let own = &self.terms.classes[usize::from(s.new_request.class)];
            let above = self.terms.classes.iter().filter(|t| t.priority_weight >= own.priority_weight);
            let spare =
                own.ttft_objective - above.map(|t| t.ttft_objective).min().unwrap_or(own.ttft_objective);
            let part = self.recent(now, s.new_request.class) / (s.ttft_objective - s.came - spare) as f64;
            if self.rng.unit() > (READING / part).powi(2) {
                return self.end(s);
            }
        }
        if let Some(worker) = self.reader_for(now, s) {
            let reading = self.workers.get(&worker).is_some_and(|w| w.role == Role::Prefill);
            s.asked.clear();
            self.send(now, s, worker, reading, false);
            return self.ask(now, s);
        }
        self.end_if_hopeless(now, s);
    }

    fn reader_for(&mut self, now: TenthMillis, s: &Submission) -> Option<WorkerId> {
        if self.shut {
            return None;
        }
        let ticket = (s.new_request.id, s.new_request.class);
        let readers = self.readers(now, &s.new_request);
        if readers.is_empty() && self.terms.decode_workers_prefill {
            return self.least(now, ticket, (false, u16::MAX, 0), |w| now >= w.denied + DENIAL);
        }
        self.shut = true;
        let usable_wait = (s.ttft_objective - s.came) as f64 * READING;
        let mut past: Option<(f64, WorkerId)> = None;
        for id in readers {
            if !self.usable(now, id, ticket, None) {
                continue;
            }
            let Some(w) = self.workers.get_mut(&id) else { continue };
            let slow =
                w.read_wait.read(now, MEMORY).unwrap_or(0.0).max((now - w.oldest) as f64) > usable_wait;
            let (cell, mixed) = (w.list.cell, w.role == Role::Mixed);
            let tokens = if w.reads > 0 { w.tokens + s.new_request.prompt_tokens } else { 0.0 };
            if now < w.denied + DENIAL || w.reads > 0 && w.tokens > SPILL * FILLED {
                continue;
            }
            let busy = w.reads > 0 && slow || tokens > SPILL * FILLED;
            // Exception to the wait: a reader further down whose cell grants is taken first.
            if !mixed && !self.grants(now, cell, ticket) {
                continue;
            }
            self.shut = false;
            if busy || !self.may_run(now, s, id) {
                continue;
            }
            if tokens <= SPILL {
                return Some(id);
            }
            if past.is_none_or(|(least, _)| tokens < least) {
                past = Some((tokens, id));
            }
        }
        past.map(|(_, id)| id)
    }

    /// The held writer, else the fewest own streams in the reader's cell, else beyond it through the gate.
    fn writer_for(&mut self, now: TenthMillis, s: &Submission, reader: WorkerId) -> Option<WorkerId> {
        // A short read ends before the answer on its place, but the state may have gone ahead all the same.
        let ticket = (s.new_request.id, s.new_request.class);
        if let Some((writer, held)) = s.place {
            // One asked before its restart was told is a send to a cold worker like any other.
            let cell = self.workers.get(&reader).map(|r| r.list.cell);
            let w = self.workers.get(&writer).filter(|w| w.alive());
            let cold = w.map(|w| w.cold(now, self.terms.warm_up_time));
            let fit = cold.is_some_and(|cold| !cold || self.lot(now, writer, ticket.0, cell));
            if held || fit {
                return fit.then_some(writer);
            }
        }
        let (cell, zone) = self.workers.get(&reader).map(|w| (w.list.cell, w.list.zone))?;
        // Those that refused this submission a place, or lately any, come last.
        let asked = s.asked.clone();
        let (near, far) = ((true, cell, zone), (false, cell, zone));
        let open = |w: &Worker| now >= w.denied + DENIAL;
        let fits = |w: &Worker| !w.tight(now) && !asked.contains(&w.list.worker);
        let mut found = self.least(now, ticket, near, fits);
        if found.is_none() && self.gate(now) {
            found = self.least(now, ticket, far, fits);
        }
        found.or_else(|| self.least(now, ticket, near, open)).or_else(|| self.least(now, ticket, far, open))
    }

    /// Asks for a place at the next writer of the reader's cell while the prompt is read.
    fn ask(&mut self, now: TenthMillis, s: &mut Submission) {
        let Some(out) = s.out.as_ref().filter(|o| o.reading && !o.withdrawn) else { return };
        if s.place.is_some() || !self.terms.reservations_enabled {
            return;
        }
        let Some(Endpoint { cell, zone, .. }) = self.workers.get(&out.worker).map(|w| w.list) else { return };
        let asked = s.asked.clone();
        let fits = |w: &Worker| !asked.contains(&w.list.worker) && !w.tight(now);
        let ticket = (s.new_request.id, s.new_request.class);
        let mut writer = self.least(now, ticket, (true, cell, zone), fits);
        if writer.is_none() && s.asked.len() < ASKS && self.gate(now) {
            writer = self.least(now, ticket, (false, cell, zone), fits);
        }
        let Some(worker) = writer.filter(|&w| self.may_run(now, s, w)) else { return };
        s.asked.push(worker);
        s.place = Some((worker, false));
        if let Some(w) = self.workers.get_mut(&worker) {
            // A place is a send to come: a cold writer's cap must know of it from the start.
            w.streams += 1;
        }
        self.ready.push_back(Action::ReserveDecode { id: s.new_request.id, worker });
    }

    fn send(&mut self, now: TenthMillis, s: &mut Submission, worker: WorkerId, reading: bool, cross: bool) {
        let number = s.attempts;
        s.attempts += 1;
        s.out = Some(Shot { number, worker, reading, sent: now, cross, ..Shot::default() });
        if let Some(w) = self.workers.get_mut(&worker) {
            if reading {
                w.reads += 1;
                w.tokens += s.new_request.prompt_tokens;
            } else if s.place.is_none_or(|(p, _)| p != worker) {
                w.streams += 1;
            }
            self.flows[usize::from(reading)].0.add(now, KNOWN, 1.0);
        }
        self.ready.push_back(Action::Dispatch { id: s.new_request.id, worker, timeout: 0 });
    }

    /// Rule 2: whether the track lets the submission run again now, somewhere.
    fn may_repeat(&self, now: TenthMillis, s: &Submission) -> bool {
        s.ran.is_none_or(|(first, _)| {
            match self.terms.classes[usize::from(s.new_request.class)].idempotency {
                Idempotency::Idempotent => true,
                Idempotency::NonIdempotent => false,
                Idempotency::IdempotentWithKey { window, .. } => now < first + window,
            }
        })
    }

    /// And whether it may at this worker.
    fn may_run(&self, now: TenthMillis, s: &Submission, worker: WorkerId) -> bool {
        let Some((_, ran_at)) = s.ran else { return true };
        let (Some(there), Some(here)) = (self.workers.get(&ran_at), self.workers.get(&worker)) else {
            return false;
        };
        let together = match self.terms.classes[usize::from(s.new_request.class)].idempotency {
            Idempotency::IdempotentWithKey { scope: DeduplicationScope::Zone, .. } => {
                there.list.zone == here.list.zone
            }
            Idempotency::IdempotentWithKey { scope: DeduplicationScope::Cell, .. } => {
                there.list.cell == here.list.cell
            }
            _ => true,
        };
        together && self.may_repeat(now, s)
    }

    /// The usual way to a first token: read and wait at the writer.
    fn usual(&mut self, now: TenthMillis, class: u8) -> f64 {
        self.waits.iter_mut().filter_map(|w| w.get_mut(&class)?.read(now, MEMORY)).sum()
    }

    /// The same as far as readings are recent: a router whose door is nearly shut has none, and must try again.
    fn recent(&mut self, now: TenthMillis, class: u8) -> f64 {
        let waits = self.waits.iter_mut().filter_map(|w| Some(w.get_mut(&class)?.sums(now, MEMORY)));
        waits.map(|(total, count)| total / (count + DOOR)).sum()
    }

    fn end_if_hopeless(&mut self, now: TenthMillis, s: &mut Submission) {
        let usual = self.usual(now, s.new_request.class);
        if now + (usual * SLACK) as TenthMillis + LOOK > s.ttft_objective.min(s.deadline) {
            self.end(s);
        }
    }

    fn let_go(&mut self, s: &mut Submission) {
        self.ready.push_back(Action::Release { id: s.new_request.id });
        (s.state, s.place, s.let_go) = (None, None, false);
    }

    /// The final answer: a turn-back where its promise is true, else an abandonment.
    fn end(&mut self, s: &mut Submission) {
        let id = s.new_request.id;
        let harmless = s.ran.is_none()
            || match self.terms.classes[usize::from(s.new_request.class)].idempotency {
                Idempotency::Idempotent => true,
                Idempotency::NonIdempotent => false,
                Idempotency::IdempotentWithKey { scope: group, .. } => group == DeduplicationScope::All,
            };
        if s.state.is_some() || s.place.is_some() {
            self.let_go(s);
        }
        s.ended = true;
        // Spread out, or a burst would return as one.
        let spread = 0.5 + self.rng.unit() / 2.0;
        let retry_after = if self.terms.retry_after_enabled {
            (self.terms.max_retry_after as f64 * spread) as TenthMillis
        } else {
            0
        };
        self.ready.push_back(if harmless { Action::Reject { id, retry_after } } else { Action::Fail { id } });
    }
}

impl Worker {
    /// Back through a trickle: the cap on what is in flight starts anew.
    fn back(&mut self, now: TenthMillis) {
        (self.rests_until, self.answers, self.fresh_from) = (0, 0, now);
    }

    fn alive(&self) -> bool {
        self.list.status == EndpointStatus::Serving && self.rests_until == 0
    }

    /// Its last answer on a place, or to a send, was no, and that is still believed.
    fn tight(&self, now: TenthMillis) -> bool {
        now < self.denied + BELIEF
    }

    fn cold(&self, now: TenthMillis, warm: TenthMillis) -> bool {
        self.list.start_time > 0 && now - self.list.start_time < warm
    }

    /// Out of service, twice as long after each failure; the jitter keeps routers apart.
    fn rest(&mut self, now: TenthMillis, jitter: f64) {
        if now < self.rests_until {
            return;
        }
        self.rests_until = now + (REST as f64 * jitter) as TenthMillis * (1 << self.rests.min(RESTS));
        self.rests += 1;
    }
}

/// The part of shots that are lost, shrunk by two shots towards what is usual.
fn usual_loss(losses: &mut EwmaMean, now: TenthMillis) -> f64 {
    let (lost, attempts) = losses.sums(now, KNOWN);
    (lost + 2.0 * RARE) / (attempts + 2.0)
}

/// A number between 0 and 1 that depends only on the key and the worker.
fn draw(key: u64, worker: WorkerId) -> f64 {
    let mut x = worker.iter().fold(key, |x, &b| (x ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    for _ in 0..2 {
        x = (x ^ (x >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
    ((x >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}
