//! Every routing decision. The host makes a `Scheduler` for each instance and tells it what happens through its
//! public calls, which only update what is known; after them it pulls `decide` until that gives None.
//! The types at the edge are in `types.rs`; the reasons are in `docs/design.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use foldhash::fast::FixedState;

use crate::ewma::{Ewma, EwmaMean};
use crate::ledger::{Attempt, Booked, Ledger, Load};
use crate::needs::{Filed, Need, Needs, Prompt};
use crate::ranking::draw;
use crate::rng::Rng;
use crate::roster::Roster;
use crate::seen::Seen;
use crate::types::*;

/// Prompt tokens of this router that may wait at a reader before reads spill.
const SPILL: f64 = 4_000.0;
/// The least filled takes up to so many times the bound where all are past it.
const FILLED: f64 = 2.0;
/// A reader's part of all reads differs by so much of an even one at most, which readers as a whole can spare, where
/// all have writers in their cell; by as much less as fewer of them have, for then most pairs go beyond it anyway.
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
/// A prefix seen less than so often of late is forgotten.
const FADED: f64 = 0.01;
/// The bound on the chance that many routers' sum at a cold worker goes beyond its budget and twice its root and two.
const RISK: f64 = 1e-4;
/// A cold worker may get so many times what it can do for sure: what it works on warms it.
const WARMS: f64 = 1.5;
/// Shots that a fresh worker may have out before its first answer.
const FRESH: u32 = 2;
/// A shot counts as lost after the usual wait times this and the logarithm of the odds of a loss.
const PATIENCE: f64 = 2.0;
/// The part of shots that are lost while nothing is known.
const RARE: f64 = 0.01;
/// And not before this part of its contract time, which leaves time for two more; then a probe asks.
const DOUBTFUL: f64 = 0.25;
/// A worker is left alone for a track if it loses so much more than all, as a part of what could be more.
const DOUBT: f64 = 0.2;
/// Part of the release time after which a state that found no writer is let go; the rest covers ticks.
const PINNED: f64 = 0.7;
/// Readers, in the order of a key, that are asked how much they have before a read goes to one of them.
const ASKED: usize = 3;
/// Shots like its own by which one has to be emptier: a kept text saves a read about that much work.
const EMPTIER: f64 = 1.0;
/// Tenths: how long their word is believed, in which few arrive; longer than it is waited for, two looks.
const HEARSAY: TenthMillis = 300;
/// Tenths: how often undecided submissions are looked at, and how often only workers are watched.
const LOOK: TenthMillis = 100;
const WATCH: TenthMillis = 500;

type Ticket = (RequestId, u8);
type Open = HashMap<RequestId, RequestState>;

#[derive(Default)]
struct Worker {
    list: Endpoint,
    role: Role,
    answers: u32,
    fresh_from: TenthMillis,
    read_wait: EwmaMean,
    denied: TenthMillis,
    rests: u32,
    rests_until: TenthMillis,
    suspect: bool,
    probing: bool,
    /// The probe that is out only asks how much it has.
    asked: bool,
    /// When it last said how much it has, and how much with the shots sent since.
    told: (TenthMillis, f64),
    /// The part of shots lost there, by track.
    losses: BTreeMap<u8, EwmaMean>,
}

#[derive(Default)]
struct RequestState {
    new_request: NewRequest,
    came: TenthMillis,
    ttft_objective: TenthMillis,
    deadline: TenthMillis,
    attempts: u16,
    out: Option<Attempt>,
    /// The writer asked for a place, and whether it is known to be held.
    place: Option<(WorkerId, bool)>,
    asked: Vec<WorkerId>,
    state: Option<WorkerId>,
    since: TenthMillis,
    /// When and where the first shot went that may have run.
    ran: Option<(TenthMillis, Endpoint)>,
    let_go: bool,
    let_in: bool,
    ended: bool,
    booked: Booked,
    filed: Filed,
}

#[derive(Default)]
pub struct Scheduler {
    terms: SchedulerConfig,
    rng: Rng,
    workers: HashMap<WorkerId, Worker, FixedState>,
    open: Open,
    /// Those that events, and decisions, changed since what is out was last counted.
    touched: BTreeSet<RequestId>,
    looked: Vec<RequestId>,
    ledger: Ledger,
    needs: Needs,
    /// Workers that rest or are suspected.
    watched: BTreeSet<WorkerId>,
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
    roster: Roster,
    relisted: bool,
    /// How often each prefix was seen lately.
    seen: Seen,
    /// What was lately sent to and answered by writers and by readers.
    flows: [[Ewma; 2]; 2],
    /// The part of all shots lost, by track.
    losses: BTreeMap<u8, EwmaMean>,
}

impl Scheduler {
    pub fn new(terms: SchedulerConfig, seed: u64, now: TenthMillis) -> Self {
        let (subscribe, rng) = (terms.endpoint_watch_enabled.then_some(now), Rng::new(seed));
        Scheduler { rng, wake: TenthMillis::MAX, subscribe, began: now, terms, ..Scheduler::default() }
    }

    /// A whole list begins: workers that it does not name are gone.
    pub fn begin_endpoint_snapshot(&mut self, _now: TenthMillis) {
        self.relisted = true;
        self.workers.values_mut().for_each(|w| w.list.status = EndpointStatus::Removed);
    }

    /// The call for the list failed; the old list stays in force, and the next call keeps apart from others'.
    pub fn discovery_failed(&mut self, now: TenthMillis) {
        let pause = REST as f64 * (1.0 + self.rng.unit());
        self.subscribe = self.terms.endpoint_watch_enabled.then_some(now + pause as TenthMillis);
    }

    pub fn endpoint_updated(&mut self, now: TenthMillis, list: Endpoint) {
        self.relisted = true;
        let Some(&role) = self.terms.role_by_kind.get(usize::from(list.kind)) else { return };
        let worker = self.workers.entry(list.worker).or_insert_with(|| Worker {
            list,
            fresh_from: list.start_time,
            denied: now - BELIEF,
            told: (now - BELIEF, f64::INFINITY),
            ..Worker::default()
        });
        if worker.list.start_time != list.start_time {
            (worker.answers, worker.fresh_from, worker.rests, worker.rests_until) =
                (0, list.start_time, 0, 0);
        }
        (worker.list, worker.role) = (list, role);
    }

    /// False if the submission names a track that the terms do not have.
    pub fn request_arrived(&mut self, now: TenthMillis, new_request: NewRequest) -> bool {
        let Some(class) = self.terms.classes.get(usize::from(new_request.class)) else { return false };
        self.seen.add(now, KNOWN, new_request.prefix, FADED);
        let ttft_objective = now + class.ttft_objective_for(new_request.prompt_tokens);
        let (came, deadline) = (now, now + new_request.remaining_time);
        let request = RequestState {
            new_request,
            came,
            ttft_objective,
            deadline,
            since: now,
            ..RequestState::default()
        };
        if let Some(mut old) = self.open.insert(new_request.id, request) {
            self.needs.file(new_request.id, old.new_request.class, &mut old.filed, Filed::default());
            self.ledger.leave(new_request.id, old.booked);
        }
        self.touched.insert(new_request.id);
        true
    }

    pub fn response_started(&mut self, now: TenthMillis, id: RequestId, attempt: u16) {
        let Some(request) = self.open.get_mut(&id) else { return };
        let Some(out) = request.out.as_mut().filter(|out| out.number == attempt && !out.started) else {
            return;
        };
        out.started = true;
        if out.cross {
            self.cross_wait.add(now, MEMORY, (now - out.sent) as f64);
        }
        (request.state, request.place, request.let_go) = (None, None, false);
        let (worker, sent, class) = (out.worker, out.sent, request.new_request.class);
        self.touched.insert(id);
        self.answered(now, worker, class, 0, now - sent);
    }

    /// A writer, 0, began to answer, or a reader, 1, read.
    fn answered(&mut self, now: TenthMillis, worker: WorkerId, class: u8, stage: usize, took: TenthMillis) {
        self.waits[stage].entry(class).or_default().add(now, MEMORY, took as f64);
        self.flows[stage][1].add(now, KNOWN, 1.0);
        self.judge(now, worker, class, 0.0);
        let Some(w) = self.workers.get_mut(&worker) else { return };
        w.read_wait.add(now, MEMORY, took as f64);
        (w.rests, w.rests_until) = (0, 0);
        w.answers += stage as u32;
    }

    /// The answer names the reader, so the writer is the one asked last.
    pub fn reservation_answered(&mut self, now: TenthMillis, id: RequestId, held: bool) {
        let Some(request) = self.open.get_mut(&id) else { return };
        let Some((writer, _)) = request.place else { return };
        request.place = held.then_some((writer, true));
        self.touched.insert(id);
        if let Some(w) = self.workers.get_mut(&writer) {
            w.denied = if held { now - BELIEF } else { now };
        }
    }

    pub fn attempt_finished(
        &mut self,
        now: TenthMillis,
        id: RequestId,
        attempt: u16,
        outcome: AttemptOutcome,
        terminal: bool,
    ) {
        let Some(request) = self.open.get_mut(&id) else { return };
        let Some(out) = request.out.take_if(|out| out.number == attempt) else { return };
        self.touched.insert(id);
        request.since = now;
        request.ended |= terminal;
        if !out.reading && !outcome.never_ran() && request.ran.is_none() {
            request.ran = Some((out.sent, out.list));
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
                // A connection may break by itself: the first time a probe tells at once.
                let first = worker.rests == 0 && self.terms.health_checks_enabled;
                worker.rest(now, if first { 0.0 } else { 1.0 + self.rng.unit() });
                self.watched.insert(out.worker);
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
        if lost > 0.0 {
            self.suspect(worker);
        }
    }

    /// Has a probe tell whether all of a worker is dead.
    fn suspect(&mut self, worker: WorkerId) {
        let Some(w) = self.workers.get_mut(&worker) else { return };
        w.suspect = true;
        self.watched.insert(worker);
    }

    pub fn client_disconnected(&mut self, _now: TenthMillis, id: RequestId) {
        let Some(s) = self.open.get_mut(&id) else { return };
        s.ended = true;
        self.touched.insert(id);
    }

    pub fn timer_fired(&mut self, now: TenthMillis) {
        self.wake = if now >= self.wake { TenthMillis::MAX } else { self.wake };
    }

    pub fn health_check_finished(&mut self, now: TenthMillis, worker: WorkerId, well: bool) {
        let Some(w) = self.workers.get_mut(&worker) else { return };
        // Where it says nothing that can be read, what was believed stands, and it is not asked again and again.
        (w.probing, w.told.0) = (false, if well { now } else { w.told.0 });
        if std::mem::take(&mut w.asked) && !well {
            self.suspect(worker);
        } else if !well {
            w.rest(now, 1.0 + self.rng.unit());
            self.watched.insert(worker);
        } else if w.rests_until > 0 {
            w.back(now);
        }
    }

    /// A probed worker says how much it works on or has waiting, in the unit of the terms.
    pub fn load_reported(&mut self, now: TenthMillis, worker: WorkerId, amount: f64) {
        // Exception to places: where none may be asked for, prompts that wait at a writer are its 'no'.
        let no = !self.terms.reservations_enabled && self.terms.load_in_tokens && amount > SPILL;
        let Some(w) = self.workers.get_mut(&worker) else { return };
        (w.told, w.denied) = ((now, amount), if no && w.role != Role::Prefill { now } else { w.denied });
    }

    pub fn next_action(&mut self, now: TenthMillis) -> Option<Action> {
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
        let touched = std::mem::take(&mut self.touched);
        self.count(&touched);
        self.shut = false;
        if self.subscribe.take_if(|at| *at <= now).is_some() {
            self.ready.push_back(Action::WatchEndpoints);
        }
        let mut open = std::mem::take(&mut self.open);
        for id in &touched {
            let Some(s) = open.get_mut(id) else { continue };
            if s.let_go || (s.ended && s.out.is_none() && (s.state.is_some() || s.place.is_some())) {
                self.let_go(s);
            }
            self.file(id, false, &mut open);
        }
        self.watch(now, &touched, &mut open);
        self.look(now, &mut open);
        let mut waits = false;
        for id in std::mem::take(&mut self.looked) {
            self.file(&id, true, &mut open);
            waits |= open.get(&id).is_some_and(|s| s.out.is_none());
            self.looked.push(id);
        }
        waits |= self.needs.any_parked();
        let busy = self.needs.any_awaited();
        let resting = self.watched.iter().any(|id| self.workers[id].rests_until > 0);
        self.open = open;
        let pause = if waits { LOOK } else { WATCH };
        if (waits || busy || resting || self.subscribe.is_some()) && self.wake > now + pause {
            self.wake = now + pause;
            self.ready.push_back(Action::SetTimer { delay: pause });
        }
    }

    /// Decides about all that need it, best first; of those that wait, while no reader takes any more or only
    /// short prompts, about those that a look can change.
    fn look(&mut self, now: TenthMillis, open: &mut Open) {
        let (mut last, mut due, mut sent, mut room) = (None, None, usize::MAX, None);
        loop {
            if !self.shut && self.needs.any_parked() && sent != self.ledger.ahead() {
                (sent, room) = (self.ledger.ahead(), self.room(now));
            }
            let next = if self.shut || room.is_some() {
                let due = due.get_or_insert_with(|| self.due(now, room, open));
                self.needs.next_eager(last, due)
            } else {
                self.needs.next(last)
            };
            let Some(need) = next else { return };
            last = Some(need);
            let Some(s) = open.get_mut(&need.2) else { continue };
            if s.out.is_none() {
                self.forward(now, s);
            } else {
                self.ask(now, s);
            }
            self.looked.push(need.2);
        }
    }

    /// The longest prompt that a reader may still take, if a look for a longer one is sure to change nothing:
    /// no chance is drawn, and some reader, of which nothing is doubted, will take shorter ones.
    fn room(&mut self, now: TenthMillis) -> Option<f64> {
        let (classes, warm) = (self.terms.classes.len() as u8, self.terms.warm_up_time);
        let readers = self.roster.readers.all();
        let (mut room, mut takes): (f64, Option<WorkerId>) = (0.0, None);
        for id in readers {
            let w = self.workers.get_mut(&id).filter(|w| w.alive() && now >= w.denied + DENIAL);
            let (Some(w), load) = (w, self.ledger.at(id)) else { continue };
            let left = SPILL * FILLED - load.tokens;
            if load.reads == 0 {
                return None;
            }
            if w.wait(now, load) <= self.needs.longest_wait() {
                room = room.max(left);
            }
            let sure = takes.is_none() && left >= 0.0 && !w.cold(now, warm);
            if sure && (0..classes).all(|class| self.usable(now, id, (0, class), None)) {
                takes = Some(id);
            }
        }
        takes.filter(|id| self.workers[id].role == Role::Mixed || self.grants_any(now)).map(|_| room)
    }

    /// Whether a writer grants wherever the read is, and whatever is read.
    fn grants_any(&mut self, now: TenthMillis) -> bool {
        let (classes, warm) = (self.terms.classes.len() as u8, self.terms.warm_up_time);
        let sure = |w: &Worker| !w.tight(now) && !w.cold(now, warm);
        let first = self.roster.writers.iter().copied().find(|id| sure(&self.workers[id]));
        first.is_some_and(|id| (0..classes).all(|class| self.usable(now, id, (0, class), None)))
            && self.is_open(now)
    }

    /// Those parked that may be hopeless, may have to end by now, or have a prompt for which there is room.
    fn due(&mut self, now: TenthMillis, room: Option<f64>, open: &Open) -> BTreeSet<Need> {
        let mut due = BTreeSet::new();
        for class in self.needs.classes() {
            let until = now + (self.usual(now, class) * SLACK) as TenthMillis + LOOK;
            due.extend(self.needs.parked(class, until).filter_map(|id| open.get(&id)?.filed.need));
        }
        due.extend(room.iter().flat_map(|room| self.needs.short(*room)));
        due
    }

    /// Brings what this router has out at each worker up to date.
    fn count(&mut self, touched: &BTreeSet<RequestId>) {
        self.ledger.close();
        for id in std::mem::take(&mut self.looked).iter().chain(touched) {
            let Some(s) = self.open.get_mut(id) else { continue };
            self.ledger.book(*id, s.booked, false);
            s.booked = s.occupies();
            self.ledger.book(*id, s.booked, true);
        }
    }

    /// Files a submission as it now stands, or takes it off all books if it is over.
    fn file(&mut self, id: &RequestId, looked: bool, open: &mut Open) {
        let Some(s) = open.get_mut(id) else { return };
        let (class, mut to) = (s.new_request.class, Filed::default());
        if let Some(out) = s.out.as_ref().filter(|out| !out.started) {
            to.doubt = Some(out.sent + ((s.ttft_objective - s.came) as f64 * DOUBTFUL) as TenthMillis);
        }
        let asks = |out: &Attempt| {
            out.reading && !out.withdrawn && s.place.is_none() && self.terms.reservations_enabled
        };
        if !s.ended && s.out.as_ref().is_none_or(asks) {
            to.need = Some((s.state.is_none(), s.ttft_objective, *id));
            if looked && s.out.is_none() && s.state.is_none() {
                let window = match self.terms.classes[usize::from(class)].idempotency {
                    Idempotency::IdempotentWithKey { window, .. } => s.ran.map(|(first, _)| first + window),
                    _ => None,
                };
                let latest = s.ttft_objective.min(s.deadline).min(window.unwrap_or(s.deadline));
                to.parked = Some((latest, Prompt(s.new_request.prompt_tokens)));
            }
        }
        self.needs.file(*id, class, &mut s.filed, to);
        to.parked.into_iter().for_each(|_| self.needs.may_wait(s.usable_wait()));
        if s.ended && s.out.is_none() {
            self.ledger.leave(*id, s.booked);
            open.remove(id);
        }
    }

    /// Guards against answers that never come, of a worker or of one track there: a shot out for long has its worker
    /// probed; for some times the usual wait, as slow as it may be while little is known, it is called back where it
    /// may run again and counts against its worker there. Its age is a wait too. Harms slow reads taken for lost.
    fn watch(&mut self, now: TenthMillis, touched: &BTreeSet<RequestId>, open: &mut Open) {
        // No other shot can be called back: it is too young to be lost, awaited, and at a worker that works.
        let mut suspects: BTreeSet<_> = self.needs.doubtful(now).collect();
        suspects.extend(touched.iter().filter(|id| open.get(id).is_some_and(|s| s.ended)));
        for id in self.watched.iter().filter(|id| self.workers[*id].rests_until > 0) {
            suspects.extend(self.ledger.at(*id).awaited.iter().map(|(_, id)| id));
        }
        for id in suspects {
            let Some(s) = open.get_mut(&id) else { continue };
            let repeat = self.terms.classes[usize::from(s.new_request.class)].idempotency;
            let Some(out) = s.out.as_mut().filter(|o| !o.started && !o.withdrawn) else { continue };
            let resting = self.workers.get(&out.worker).is_some_and(|w| w.rests_until > now);
            let waits = self.waits[usize::from(out.reading)].entry(s.new_request.class).or_default();
            let ttft_objective = (s.ttft_objective - s.came) as f64;
            let usual = waits.shrunk(now, MEMORY, ttft_objective * READING, 1.0);
            let mean = usual_loss(self.losses.entry(s.new_request.class).or_default(), now);
            let odds = mean / (1.0 - mean);
            let (age, least) = ((now - out.sent) as f64, ttft_objective * DOUBTFUL);
            let patience = (usual * PATIENCE * -odds.ln().min(-1.0)).max(least);
            let lost = age > patience;
            if lost && !std::mem::replace(&mut out.lost, true) {
                waits.add(now, MEMORY, patience);
                self.judge(now, out.worker, s.new_request.class, 1.0);
            } else if age > least && !std::mem::replace(&mut out.suspected, true) {
                self.suspect(out.worker);
            }
            let free = out.reading || repeat == Idempotency::Idempotent;
            let again = free && (lost || resting) && s.attempts + 1 < self.terms.max_attempts;
            if self.terms.cancellation_enabled && (s.ended || again) {
                out.withdrawn = true;
                self.ready.push_back(Action::CancelAttempt { id, attempt: out.number });
            }
        }
        for &id in &self.watched {
            let Some(w) = self.workers.get_mut(&id).filter(|w| w.list.status != EndpointStatus::Removed)
            else {
                continue;
            };
            let rested = w.rests_until > 0 && now >= w.rests_until;
            if self.terms.health_checks_enabled && !w.probing && (rested || w.suspect && w.rests_until == 0) {
                (w.probing, w.suspect) = (true, false);
                self.ready.push_back(Action::CheckHealth { worker: id });
            } else if !self.terms.health_checks_enabled && rested {
                w.back(now);
            }
        }
        self.watched.retain(|id| self.workers[id].suspect || self.workers[id].rests_until > 0);
    }

    /// Whether a shot or place may go to the worker, a choice for all or for those read in one cell.
    fn usable(&mut self, now: TenthMillis, id: WorkerId, (ticket, class): Ticket, cell: Option<u16>) -> bool {
        let Some(w) = self.workers.get(&id) else { return false };
        let load = self.ledger.at(id);
        let fresh = now - w.fresh_from < self.terms.warm_up_time && w.fresh_from > 0;
        let cold = w.cold(now, self.terms.warm_up_time);
        w.alive()
            && !(fresh && load.reads + load.streams >= FRESH + w.answers)
            && !self.doubted(now, id, class)
            && (!cold || self.lot(now, id, ticket, cell))
    }

    /// Whether the worker loses clearly more of a track than all do; what is known is shrunk by one shot.
    fn doubted(&mut self, now: TenthMillis, id: WorkerId, class: u8) -> bool {
        let mean = usual_loss(self.losses.entry(class).or_default(), now);
        let known = self.workers.get_mut(&id).and_then(|w| w.losses.get_mut(&class));
        known.map_or(mean, |k| k.shrunk(now, KNOWN, mean, 1.0)) - mean > DOUBT * (1.0 - mean)
    }

    /// Guards against pushing over a cold worker, by any number of routers: only submissions that draw it go
    /// there, by its part of what all can do, and so few that their sum hardly ever goes beyond the stated multiple
    /// of what it can do and what is put down to chance. Fleet-wide, a warm peer answers `peer` in the stated span.
    fn lot(&mut self, now: TenthMillis, id: WorkerId, ticket: RequestId, cell: Option<u16>) -> bool {
        let flow = cell.map_or(1.0, |cell| self.roster.part(cell));
        let (t, w) = (&self.terms, &self.workers[&id]);
        let (all, warm, part) = self.roster.peers(&w.list, w.role, now, t.warm_up_time);
        let flows = self.flows[usize::from(w.role == Role::Prefill)].each_mut();
        let [sent, done] = flows.map(|flow| flow.read(now, KNOWN));
        let warmed = (now - w.list.start_time) as f64 / t.warm_up_time as f64;
        let present = t.cold_capacity_share + (1.0 - t.cold_capacity_share) * warmed;
        let able = (warm + (all - warm) * present).max(1.0) / part;
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
        let ready = |w: &&&Worker| w.list.status == EndpointStatus::Serving;
        let mut workers: Vec<&Worker> = self.workers.values().collect();
        workers.sort_unstable_by_key(|w| w.list.worker);
        for w in workers.iter().filter(ready) {
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
        let readers = workers.iter().filter(|w| ready(w) && w.role != Role::Decode);
        let leans: Vec<_> = readers.map(|w| (w.list.worker, w.list.size.max(0.01), lean(w))).collect();
        let sum = |all: bool| leans.iter().filter(|l| all || l.2 > 0.0).map(|l| l.1).sum::<f64>();
        let most = LEAN * sum(false) / sum(true).max(0.01);
        let (mut scale, mut shares) = (1.0, vec![]);
        for _ in 0..ROUNDS {
            let part = |l: f64| (l * scale).clamp(1.0 - most, 1.0 + most);
            shares = leans.iter().map(|&(id, size, l)| (id, size * part(l))).collect();
            scale *= sum(true) / shares.iter().map(|(_, part)| part).sum::<f64>().max(0.01);
        }
        self.roster = Roster::new(workers.iter().map(|w| (&w.list, w.role)), shares);
    }

    /// The readers to try first, by rendezvous hashing of the prefix or session, and how many of its order
    /// these take up.
    fn readers(&mut self, now: TenthMillis, new_request: &NewRequest) -> (Vec<WorkerId>, usize) {
        let key = new_request.placement_key();
        // A cold reader that the submission drew comes first, or its part would fall to the hash again.
        let mut first = self.roster.cold_readers(now, self.terms.warm_up_time);
        first.retain(|id| self.lot(now, *id, new_request.id, None));
        // Exception to one home: a prefix has as many as its part of all needs, shared out by session.
        let (drawn, readers) = (first.len(), self.roster.readers.len());
        let homes = self.homes(now, new_request.prefix, readers).min(readers - drawn);
        let mut place = 0;
        for id in self.roster.readers.first(key, drawn + homes) {
            if first.len() < drawn + homes {
                place += 1;
                if !first[..drawn].contains(&id) {
                    first.push(id);
                }
            }
        }
        first[drawn..].sort_by_cached_key(|id| std::cmp::Reverse(draw(new_request.session, *id).to_bits()));
        (first, place)
    }

    /// How many readers a prefix takes: its part of what this router has seen, less what chance adds to it.
    fn homes(&mut self, now: TenthMillis, prefix: u64, readers: usize) -> usize {
        let (seen, all) = self.seen.read(now, KNOWN, prefix);
        let part = (seen - seen.sqrt()).max(0.0) / all.max(1.0);
        (part * readers as f64 / CROWD).ceil().max(1.0) as usize
    }

    /// Whether a writer in the cell, or beyond it through the gate, may grant.
    fn grants(&mut self, now: TenthMillis, cell: u16, ticket: Ticket) -> bool {
        (0..self.roster.writers.len()).any(|n| {
            let id = self.roster.writers[n];
            let near = self.workers[&id].list.cell == cell;
            !self.workers[&id].tight(now)
                && (near || self.gate(now))
                && self.usable(now, id, ticket, near.then_some(cell))
        })
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
        let writers = if near { self.roster.near(cell) } else { &self.roster.writers };
        let in_place = |w: &&Worker| (w.list.cell == cell) == near && fits(w);
        let mut fitting = writers.to_vec();
        fitting.retain(|id| self.workers.get(id).filter(in_place).is_some());
        fitting.retain(|&id| self.usable(now, id, ticket, near.then_some(cell)));
        // Ties go by chance: of many routers most have no stream there, and the first id would get them all.
        let mut best: Option<((bool, bool, f64, f64), WorkerId)> = None;
        for id in fitting {
            let w = &self.workers[&id];
            let own = f64::from(self.ledger.at(id).streams) / w.list.size.max(0.01);
            let warm = !w.cold(now, self.terms.warm_up_time);
            let rank = (w.list.zone != zone, warm, own, self.rng.unit());
            best = Some(best.filter(|b| b.0 <= rank).unwrap_or((rank, id)));
        }
        best.map(|(_, id)| id)
    }

    /// The gate to another cell: open while first tokens over cells come soon enough, else now and then.
    fn gate(&mut self, now: TenthMillis) -> bool {
        self.is_open(now) || self.rng.unit() * MEASURE < 1.0
    }

    fn is_open(&mut self, now: TenthMillis) -> bool {
        let bound = self.terms.classes.iter().map(|t| t.ttft_objective).min().unwrap_or(0) as f64 / 2.0;
        self.cross_wait.read(now, MEMORY).is_none_or(|mean| mean < bound)
    }

    /// The next step of a submission that has no shot out.
    fn forward(&mut self, now: TenthMillis, s: &mut RequestState) {
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
        let found = self.reader_for(now, s);
        if let Some(worker) = self.emptiest(now, s, &found) {
            let reading = self.workers.get(&worker).is_some_and(|w| w.role == Role::Prefill);
            s.asked.clear();
            self.send(now, s, worker, reading, false);
            return self.ask(now, s);
        }
        if found.is_empty() {
            self.end_if_hopeless(now, s);
        }
    }

    /// Exception to the first reader: the first than which none behind it is clearly emptier by its own word, which
    /// is asked where that may be; none while that is awaited. Guards against reads that meet at one while others
    /// idle, where a router sees little. Harms where a worker that fails at once looks empty.
    fn emptiest(&mut self, now: TenthMillis, s: &RequestState, found: &[WorkerId]) -> Option<WorkerId> {
        let (mut best, mut awaited): (Option<(f64, WorkerId)>, bool) = (None, false);
        let margin = EMPTIER * self.terms.load_of(s.new_request.prompt_tokens);
        for id in found.iter().filter(|_| found.len() > 1) {
            if best.map_or(awaited && now < s.since + LOOK, |(least, _)| least < margin) {
                break;
            }
            let Some(w) = self.workers.get_mut(id) else { continue };
            let has = w.told.1 / w.list.size.max(0.01);
            if now < w.told.0 + HEARSAY {
                best = best.filter(|(least, _)| has + margin > *least).or(Some((has, *id)));
            } else if now + LOOK < s.ttft_objective.min(s.since + 3 * LOOK) {
                awaited = true;
                self.inquire(*id);
            }
        }
        best.map(|(_, id)| id).or(found.first().copied()).filter(|_| !awaited)
    }

    /// The reader to send to; where readers are asked, the first few.
    fn reader_for(&mut self, now: TenthMillis, s: &RequestState) -> Vec<WorkerId> {
        let (mut found, most) = (vec![], if self.terms.load_reports_enabled { ASKED } else { 1 });
        if self.shut {
            return found;
        }
        let ticket = (s.new_request.id, s.new_request.class);
        if self.roster.readers.is_empty() && self.terms.decode_workers_prefill {
            let (repeat, ran) = (self.repeat(s), s.ran);
            let fits = |w: &Worker| now >= w.denied + DENIAL && repeat.deduplicates_at(ran, &w.list);
            let any = self.least(now, ticket, (false, u16::MAX, 0), fits);
            return any.into_iter().collect();
        }
        self.shut = true;
        let usable_wait = s.usable_wait();
        let mut past: Option<(f64, WorkerId)> = None;
        let (first, mut place) = self.readers(now, &s.new_request);
        let (key, mut tried) = (s.new_request.placement_key(), 0);
        while found.len() < most {
            let id = if let Some(id) = first.get(tried) {
                *id
            } else {
                place += 1;
                match self.roster.readers.nth(key, place - 1) {
                    Some(id) if first.contains(&id) => continue,
                    Some(id) => id,
                    None => break,
                }
            };
            tried += 1;
            if !self.usable(now, id, ticket, None) {
                continue;
            }
            let Some(w) = self.workers.get_mut(&id) else { continue };
            let load = self.ledger.at(id);
            let slow = w.wait(now, load) > usable_wait;
            let (cell, mixed) = (w.list.cell, w.role == Role::Mixed);
            let tokens = if load.reads > 0 { load.tokens + s.new_request.prompt_tokens } else { 0.0 };
            if now < w.denied + DENIAL || load.reads > 0 && load.tokens > SPILL * FILLED {
                continue;
            }
            let busy = load.reads > 0 && slow || tokens > SPILL * FILLED;
            // Exception to the wait: a reader further down whose cell grants is taken first.
            if !mixed && !self.grants(now, cell, ticket) {
                continue;
            }
            self.shut = false;
            if busy || !self.may_run(now, s, id) {
                continue;
            }
            if tokens <= SPILL {
                found.push(id);
            } else if past.is_none_or(|(least, _)| tokens < least) {
                past = Some((tokens, id));
            }
        }
        found.extend(past.filter(|_| found.is_empty()).map(|(_, id)| id));
        found
    }

    /// The held writer, else the fewest own streams in the reader's cell, else beyond it through the gate.
    fn writer_for(&mut self, now: TenthMillis, s: &RequestState, reader: WorkerId) -> Option<WorkerId> {
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

    /// Asks a worker how much it has.
    fn inquire(&mut self, worker: WorkerId) {
        let Some(w) = self.workers.get_mut(&worker).filter(|w| !w.probing && w.alive()) else { return };
        (w.probing, w.asked) = (true, true);
        self.ready.push_back(Action::CheckHealth { worker });
    }

    /// Asks for a place at the next writer of the reader's cell while the prompt is read; where none may be asked
    /// for, all of them how much they have.
    fn ask(&mut self, now: TenthMillis, s: &mut RequestState) {
        let may = s.place.is_none()
            && (self.terms.reservations_enabled
                || self.terms.load_reports_enabled && self.terms.load_in_tokens);
        let Some(out) = s.out.as_ref().filter(|o| may && o.reading && !o.withdrawn) else { return };
        let Some(Endpoint { cell, zone, .. }) = self.workers.get(&out.worker).map(|w| w.list) else { return };
        if !self.terms.reservations_enabled {
            return self.roster.near(cell).to_vec().into_iter().take(ASKS).for_each(|id| self.inquire(id));
        }
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
        // A place is a send to come: a cold writer's cap must know of it from the start.
        self.ledger.add_ahead(worker, None);
        self.ready.push_back(Action::ReserveDecode { id: s.new_request.id, worker });
    }

    fn send(&mut self, now: TenthMillis, s: &mut RequestState, worker: WorkerId, reading: bool, cross: bool) {
        let list = self.workers.get(&worker).map(|w| w.list).unwrap_or_default();
        s.out = Some(Attempt {
            number: s.attempts,
            worker,
            list,
            reading,
            sent: now,
            cross,
            ..Attempt::default()
        });
        s.attempts += 1;
        if let Some(w) = self.workers.get_mut(&worker) {
            w.told.1 += self.terms.load_of(s.new_request.prompt_tokens);
            if reading {
                self.ledger.add_ahead(worker, Some(s.new_request.prompt_tokens));
            } else if s.place.is_none_or(|(p, _)| p != worker) {
                self.ledger.add_ahead(worker, None);
            }
            self.flows[usize::from(reading)][0].add(now, KNOWN, 1.0);
        }
        self.ready.push_back(Action::Dispatch { id: s.new_request.id, worker, timeout: 0 });
    }

    /// Rule 2: whether the track lets the submission run again now, somewhere.
    fn may_repeat(&self, now: TenthMillis, s: &RequestState) -> bool {
        s.ran.is_none_or(|(first, _)| self.repeat(s).allows_retry_after(now - first))
    }

    /// And whether it may at this worker: one that knows a repeat of what may have run.
    fn may_run(&self, now: TenthMillis, s: &RequestState, worker: WorkerId) -> bool {
        let knows = self.workers.get(&worker).is_some_and(|w| self.repeat(s).deduplicates_at(s.ran, &w.list));
        s.ran.is_none() || knows && self.may_repeat(now, s)
    }

    fn repeat(&self, s: &RequestState) -> Idempotency {
        self.terms.classes[usize::from(s.new_request.class)].idempotency
    }

    /// The usual way to a first token: read and wait at the writer.
    fn usual(&mut self, now: TenthMillis, class: u8) -> f64 {
        self.waits.iter_mut().filter_map(|w| w.get_mut(&class)?.read(now, MEMORY)).sum()
    }

    /// The same, as far as it was seen of late: guards against a door that stays shut for want of readings,
    /// as hardly any comes while it is. Harms where one slow way in a lull tells of a jam that goes on.
    fn recent(&mut self, now: TenthMillis, class: u8) -> f64 {
        self.waits.iter_mut().filter_map(|w| Some(w.get_mut(&class)?.shrunk(now, MEMORY, 0.0, DOOR))).sum()
    }

    fn end_if_hopeless(&mut self, now: TenthMillis, s: &mut RequestState) {
        let usual = self.usual(now, s.new_request.class);
        if now + (usual * SLACK) as TenthMillis + LOOK > s.ttft_objective.min(s.deadline) {
            self.end(s);
        }
    }

    fn let_go(&mut self, s: &mut RequestState) {
        self.ready.push_back(Action::Release { id: s.new_request.id });
        (s.state, s.place, s.let_go) = (None, None, false);
    }

    /// The final answer: a turn-back where its promise is true, else an abandonment.
    fn end(&mut self, s: &mut RequestState) {
        let id = s.new_request.id;
        let harmless = s.ran.is_none() || self.repeat(s).is_safe_anywhere();
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

impl RequestState {
    /// How long a reader may take to begin a read.
    fn usable_wait(&self) -> f64 {
        (self.ttft_objective - self.came) as f64 * READING
    }

    fn occupies(&self) -> Booked {
        let attempt = self.out.as_ref().map(|out| {
            let prompt = (out.reading && !out.started).then_some(self.new_request.prompt_tokens);
            (out.worker, prompt, (!out.started).then_some(out.sent))
        });
        let place = self.place.map(|(place, _)| place);
        Booked { attempt, place: place.filter(|p| attempt.is_none_or(|(worker, ..)| worker != *p)) }
    }
}

impl Worker {
    /// Back through a trickle: the cap on what is in flight starts anew.
    fn back(&mut self, now: TenthMillis) {
        (self.rests_until, self.answers, self.fresh_from) = (0, 0, now);
    }

    /// How long reads take there, of late or by the oldest that is out.
    fn wait(&mut self, now: TenthMillis, load: &Load) -> f64 {
        self.read_wait.read(now, MEMORY).unwrap_or(0.0).max((now - load.oldest(now)) as f64)
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
    losses.shrunk(now, KNOWN, RARE, 2.0)
}
