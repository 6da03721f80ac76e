//! The books of one router: submissions, shots and workers as plain data, and the pulling of the module's
//! decisions. Both protocols keep theirs here and carry words through [`Transport`].

use std::collections::BTreeMap;

use metrics::{counter, gauge, histogram};
use tideroute::scheduler::Scheduler;
use tideroute::types::{
    AttemptOutcome, Endpoint, EndpointStatus, Idempotency, NewRequest, RequestId, Role, TenthMillis, WorkerId,
};
use tideroute_admission::{Asked, Known, Tenant, Ticket, Verdict};
use tideroute_invariants::{AttemptPermit, FinalAnswer, RequestRecord, Violation};
use tideroute_wire::Micros;

use crate::lateness::LoopLag;
use crate::starts::{EndpointIncarnations, Incarnation};
use crate::submissions::{RequestState, RequestTable};
use crate::tenancy::TenantAdmission;
use crate::terms::LifecycleConfig;
use crate::ways::{Response, Timer, Transport};

/// Microseconds in one of the module's tenths of a millisecond.
pub(crate) const TENTH: Micros = 100;

pub(crate) fn tenths(at: Micros) -> TenthMillis {
    (at / TENTH) as TenthMillis
}

pub struct RequestLifecycle<A> {
    pub(crate) terms: LifecycleConfig,
    pub(crate) module: Scheduler,
    pub submissions: RequestTable<A>,
    /// What the list says of each worker, the role by its kind beside it.
    pub(crate) listed: BTreeMap<WorkerId, (Endpoint, Role)>,
    version: u64,
    starts: EndpointIncarnations,
    /// What came of decisions while they were pulled; the module hears it after the last of them.
    pub(crate) settled: Vec<(RequestId, u16, AttemptOutcome)>,
    /// Submissions that may be over and free of everything.
    pub(crate) closing: Vec<RequestId>,
    pub(crate) probes: BTreeMap<u64, WorkerId>,
    pub(crate) nonce: u64,
    /// The module has heard something since it was last asked.
    pub(crate) stirred: bool,
    pub(crate) lateness: LoopLag,
    pub(crate) tenancy: Option<TenantAdmission>,
    stopping: bool,
    /// How many open submissions the figures show.
    shown: Option<usize>,
}

impl<A> RequestLifecycle<A> {
    pub fn new(terms: LifecycleConfig, now: Micros) -> RequestLifecycle<A> {
        RequestLifecycle {
            module: Scheduler::new(terms.module.clone(), terms.seed, tenths(now)),
            submissions: RequestTable::new(terms.seed),
            tenancy: terms
                .tenants
                .as_ref()
                .map(|t| TenantAdmission::new(t, terms.part, shares_terms(&terms), now)),
            terms,
            listed: BTreeMap::new(),
            version: 0,
            starts: EndpointIncarnations::default(),
            settled: vec![],
            closing: vec![],
            probes: BTreeMap::new(),
            nonce: 0,
            stirred: true,
            lateness: LoopLag::default(),
            stopping: false,
            shown: None,
        }
    }

    /// The version of the list in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The list will be asked for all that it holds.
    pub fn forget_version(&mut self) {
        self.version = 0;
    }

    /// Discovery has been heard, and what it told has been taken.
    pub fn list_heard(&mut self, now: Micros) {
        self.starts.heard(now);
    }

    /// The Unix time of a worker's start as it was told.
    pub fn start_told(&self, worker: WorkerId) -> Micros {
        self.starts.told(worker)
    }

    pub fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.listed.values().map(|(listing, _)| listing)
    }

    /// Whether the shot is the one that is out, at this worker. What comes for another was called back.
    pub fn is_out(&self, id: RequestId, number: u16, worker: WorkerId) -> bool {
        let shot = self.submissions.get(id).and_then(|s| s.shot.as_ref());
        shot.is_some_and(|s| s.number == number && s.worker == worker)
    }

    /// Gives a submission its final answer, once.
    pub(crate) fn answer(
        &mut self,
        now: Micros,
        id: RequestId,
        answer: Response,
        ways: &mut impl Transport<Asked = A>,
    ) {
        let Some(s) = self.submissions.get_mut(id).filter(|s| !s.over) else { return };
        let (answer, permit) = match s.record.permit_answer(kind_of(answer)) {
            Ok(permit) => (answer, permit),
            Err(violation) => {
                self.refuse_step(id, violation);
                // What may not be refused has failed: it is owed an answer all the same.
                let Some(s) = self.submissions.get_mut(id) else { return };
                let Ok(permit) = s.record.permit_answer(FinalAnswer::Failed) else { return };
                (Response::Failed, permit)
            }
        };
        let Some(s) = self.submissions.get_mut(id) else { return };
        s.over = true;
        self.closing.push(id);
        let first = s.first.or_else(|| matches!(answer, Response::Rejected(_)).then_some(Micros::MAX));
        let (came, prompt, track_of) = (s.came, s.prompt_tokens, usize::from(s.track));
        ways.answer(id, s, answer, permit);
        let outcome = match answer {
            Response::Completed(_) => "honoured",
            Response::Rejected(_) => "turned back",
            Response::Failed => "abandoned",
        };
        let track = self.terms.tracks.get(track_of).cloned().unwrap_or_default();
        counter!("tideroute_answers_total", "outcome" => outcome, "track" => track).increment(1);
        histogram!("tideroute_answer_seconds").record(now.saturating_sub(came) as f64 / 1e6);
        tracing::debug!(id, outcome, shots = s.shots, "answered");
        if let (Some(tenancy), Some(track)) = (&mut self.tenancy, self.terms.module.tracks.get(track_of)) {
            let contract = came + track.contract_of(f64::from(prompt)) as Micros * TENTH;
            let known = first.map(|at| if at <= contract { Known::InTime } else { Known::Late });
            tenancy.shares.answered(now, Ticket(id), known.unwrap_or(Known::Nothing));
            self.stirred = true;
        }
    }

    /// Counts and tells a step that a rule forbids, with the request's story. The step is not done.
    pub(crate) fn refuse_step(&mut self, id: RequestId, violation: Violation) {
        let (rule, reason) = (violation.rule().name(), violation.reason.name());
        counter!("tideroute_invariant_violations_total", "rule" => rule).increment(1);
        let record = self.submissions.get(id).map(|s| &s.record);
        tracing::error!(id, rule, reason, ?record, "an invariant would be broken: the step is refused");
    }

    /// Asks whether an attempt may leave on its connection, which has just come up.
    pub fn permit_bytes(&mut self, now: Micros, id: RequestId, number: u16) -> Option<AttemptPermit> {
        let permit = self.submissions.get(id)?.record.permit_bytes(tenths(now), number);
        permit.map_err(|violation| self.refuse_step(id, violation)).ok()
    }

    /// A shot has ended: the module hears of it, and the client if that was the end of its stream.
    pub fn settle(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u16,
        ending: AttemptOutcome,
        ways: &mut impl Transport<Asked = A>,
    ) {
        let Some(s) = self.submissions.get_mut(id) else { return };
        let Some(shot) = s.shot.take_if(|s| s.number == number) else { return };
        s.record.attempt_ended(number, ending);
        ways.settled(id, s, &shot, ending);
        let terminal = s.over || shot.started || ending == AttemptOutcome::Completed;
        if ending == AttemptOutcome::PrefillComplete {
            s.state = Some(shot.worker);
        }
        tracing::debug!(id, shot = number, worker = ?shot.worker, ?ending, "a shot ended");
        counter!("tideroute_shots_ended_total", "ending" => name_of(ending)).increment(1);
        self.module.settled(tenths(now), id, number, ending, terminal);
        self.stirred = true;
        self.closing.push(id);
        if ending == AttemptOutcome::Completed {
            self.answer(now, id, Response::Completed(shot.tokens), ways);
        } else if shot.started {
            self.answer(now, id, Response::Failed, ways);
        }
    }

    /// The first of the shot's answer is there: it belongs to the client now, and all else held goes by itself.
    pub fn started(&mut self, now: Micros, id: RequestId, ways: &mut impl Transport<Asked = A>) {
        let Some(s) = self.submissions.get_mut(id) else { return };
        let Some(shot) = s.shot.as_mut().filter(|s| !s.started) else { return };
        shot.started = true;
        s.record.began();
        let (worker, number, came) = (shot.worker, shot.number, s.came);
        (s.state, s.first) = (None, Some(now));
        for place in std::mem::take(&mut s.places) {
            ways.unplace(id, place, place != worker);
        }
        tracing::debug!(id, shot = number, worker = %shown(worker), "an answer begins");
        self.module.started(tenths(now), id, number);
        self.stirred = true;
        histogram!("tideroute_first_token_seconds").record(now.saturating_sub(came) as f64 / 1e6);
    }

    /// A writer's answer on a place. The module hears it while the read is out; after that it has gone by what
    /// it knew then.
    pub fn held(
        &mut self,
        now: Micros,
        id: RequestId,
        at: WorkerId,
        held: bool,
        ways: &mut impl Transport<Asked = A>,
    ) {
        let Some(s) = self.submissions.get_mut(id).filter(|s| s.places.last() == Some(&at)) else { return };
        if !held {
            s.places.clear();
            ways.unplace(id, at, false);
        }
        if s.shot.as_ref().is_some_and(|s| s.reading) {
            self.module.answered_ahead(tenths(now), id, held);
            self.stirred = true;
        }
    }

    /// The client no longer waits. A stream that nobody reads ends; the rest is the module's to call back.
    pub fn dropped(&mut self, now: Micros, id: RequestId, ways: &mut impl Transport<Asked = A>) {
        let Some(s) = self.submissions.get_mut(id) else { return };
        s.over = true;
        s.record.client_left();
        self.closing.push(id);
        counter!("tideroute_left_total").increment(1);
        self.module.dropped(tenths(now), id);
        self.tenancy.iter_mut().for_each(|t| t.shares.left(now, Ticket(id)));
        self.stirred = true;
        let Some(shot) = &s.shot else { return };
        let number = shot.number;
        if shot.started {
            ways.withdraw(id, shot);
            self.settle(now, id, number, AttemptOutcome::Cancelled, ways);
        } else if ways.recall(id, shot) {
            // Guards against a connection that comes up only now, and an attempt that begins for nobody.
            self.settle(now, id, number, AttemptOutcome::NotSent, ways);
        }
    }

    /// Why one more submission can't be taken: all that may be open is.
    pub fn untaken(&self, full_client: bool) -> Option<(&'static str, Micros)> {
        let full = full_client || self.submissions.len() >= self.terms.most_open;
        if !full && !self.stopping {
            return None;
        }
        let why = if full { "full" } else { "stopping" };
        counter!("tideroute_untaken_total", "why" => why).increment(1);
        Some((why, if full { self.advice() } else { 0 }))
    }

    /// How long who is told that there is no room should stay away; 0 where the terms allow no such advice.
    pub fn advice(&self) -> Micros {
        let terms = &self.terms.module;
        if terms.advice {
            terms.longest_advice.max(0) as Micros * TENTH
        } else {
            0
        }
    }

    /// Takes a new submission; with a tenant it may have to wait until its share lets it in.
    pub fn submitted(
        &mut self,
        now: Micros,
        s: RequestState<A>,
        tenant: Option<Tenant>,
        ways: &mut impl Transport<Asked = A>,
    ) -> RequestId {
        let (track, cut_off, tokens) = (s.track, s.cut_off, s.prompt_tokens);
        let repeat =
            self.terms.module.tracks.get(usize::from(track)).map_or(Idempotency::NonIdempotent, |t| t.repeat);
        let record = RequestRecord::new(repeat, tenths(cut_off));
        let id = self.submissions.insert(RequestState { record, ..s });
        counter!("tideroute_taken_total").increment(1);
        ways.ring(cut_off, Timer::CutOff(id));
        self.stirred = true;
        let earnings = self.terms.module.tracks.get(usize::from(track)).map_or(0.0, |t| t.earnings);
        let Some(tenancy) = &mut self.tenancy else {
            self.let_in(now, id);
            return id;
        };
        match tenant {
            Some(tenant) => {
                let ticket = Ticket(id);
                tenancy.shares.asked(now, Asked { ticket, tenant, tokens, earnings, cut_off });
            }
            None => self.answer(now, id, Response::Rejected(0), ways),
        }
        id
    }

    /// The module hears of a submission.
    fn let_in(&mut self, now: Micros, id: RequestId) {
        let Some(s) = self.submissions.get(id).filter(|s| !s.over) else { return };
        let arrival = NewRequest {
            id,
            track: s.track,
            session: s.session,
            prefix: s.prefix,
            prompt: f64::from(s.prompt_tokens),
            left: tenths(s.cut_off.saturating_sub(now)),
        };
        self.module.arrived(tenths(now), arrival);
        self.stirred = true;
    }

    /// Carries out what the shares decide.
    fn admit(&mut self, now: Micros, ways: &mut impl Transport<Asked = A>) {
        while let Some(verdict) = self.tenancy.as_mut().and_then(|t| t.shares.decide(now)) {
            match verdict {
                Verdict::Let(Ticket(id)) => self.let_in(now, id),
                Verdict::TurnBack { ticket: Ticket(id), after } => {
                    counter!("tideroute_untaken_total", "why" => "share").increment(1);
                    let after = if self.terms.module.advice { after } else { 0 };
                    self.answer(now, id, Response::Rejected(after), ways);
                }
                Verdict::Wake { at } => ways.ring(at, Timer::Shares),
            }
        }
    }

    /// The client's time is up: a shot that has not begun to answer has timed out, also where its client has gone and
    /// nothing may be called back.
    fn cut_off(&mut self, now: Micros, id: RequestId, ways: &mut impl Transport<Asked = A>) {
        let Some(s) = self.submissions.get(id).filter(|s| !s.streams()) else { return };
        let Some(shot) = &s.shot else {
            self.stirred = true;
            return;
        };
        let number = shot.number;
        let ending = if ways.withdraw(id, shot) { AttemptOutcome::NotSent } else { AttemptOutcome::TimedOut };
        self.settle(now, id, number, ending, ways);
    }

    /// A worker that was probed says how much it works on or has waiting, in the unit of the terms.
    pub fn told(&mut self, now: Micros, nonce: u64, amount: f64) {
        if let Some(&worker) = self.probes.get(&nonce) {
            self.module.told(tenths(now), worker, amount);
        }
    }

    pub fn probed(&mut self, now: Micros, nonce: u64, well: bool, ways: &mut impl Transport<Asked = A>) {
        let Some(worker) = self.probes.remove(&nonce) else { return };
        ways.probed(worker);
        self.module.probed(tenths(now), worker, well);
        self.stirred = true;
    }

    /// Begins a page of the list; entries follow.
    pub fn page(&mut self, now: Micros, version: u64, whole: bool) {
        if whole {
            self.listed.values_mut().for_each(|(l, _)| l.standing = EndpointStatus::Removed);
            self.module.list_anew(tenths(now));
        }
        (self.version, self.stirred) = (version, true);
    }

    /// A worker that is gone may be told by its name alone.
    pub fn gone(&mut self, now: Micros, worker: WorkerId) {
        if let Some((known, _)) = self.listed.get(&worker) {
            let gone = Endpoint { standing: EndpointStatus::Removed, ..*known };
            self.take_entry(now, gone);
        }
    }

    /// A worker is listed, its start in Unix time; what that says of its process.
    pub fn entry(&mut self, now: Micros, listing: Endpoint) -> Incarnation {
        let told = listing.started.max(0) as Micros * TENTH;
        let process = self.starts.listed(now, listing.worker, told);
        self.take_entry(now, Endpoint { started: tenths(process.began), ..listing });
        process
    }

    /// The module hears of a worker whose start is one on this router's clock.
    fn take_entry(&mut self, now: Micros, listing: Endpoint) {
        let Some(&role) = self.terms.module.roles.get(usize::from(listing.kind)) else {
            tracing::warn!(worker = %shown(listing.worker), kind = listing.kind, "a kind that no term names");
            return;
        };
        let Endpoint { worker, kind, size, standing, cell, zone, started } = listing;
        tracing::debug!(worker = %shown(worker), ?standing, kind, size, cell, zone, started, "listed");
        self.listed.insert(listing.worker, (listing, role));
        self.module.listed(tenths(now), listing);
    }

    /// The page is complete. Workers that are gone need no books.
    pub fn page_over(&mut self, now: Micros) {
        let gone = |(l, _): &(Endpoint, Role)| l.standing == EndpointStatus::Removed;
        let removed = self.listed.iter().filter(|(_, entry)| gone(entry)).map(|(worker, _)| *worker);
        removed.for_each(|worker| self.starts.removed(now, worker));
        self.listed.retain(|_, entry| !gone(entry));
        self.starts.forget_old(now);
    }

    /// The list can't be heard; the old one stays in force.
    pub fn list_failed(&mut self, now: Micros) {
        self.module.list_failed(tenths(now));
        self.stirred = true;
    }

    pub fn rang(&mut self, now: Micros, timer: Timer, ways: &mut impl Transport<Asked = A>) {
        match timer {
            Timer::Wake => {
                self.module.woken(tenths(now));
                self.stirred = true;
            }
            Timer::CutOff(id) => self.cut_off(now, id, ways),
            Timer::Probe(nonce) => self.probed(now, nonce, false, ways),
            Timer::Shares => self.stirred = true,
        }
    }

    /// Pulls decisions until none is left.
    pub fn turn(&mut self, now: Micros, ways: &mut impl Transport<Asked = A>) {
        while std::mem::take(&mut self.stirred) {
            self.admit(now, ways);
            while let Some(decision) = self.module.decide(tenths(now)) {
                self.carry_out(now, decision, ways);
            }
            for (id, shot, ending) in std::mem::take(&mut self.settled) {
                self.settle(now, id, shot, ending, ways);
            }
        }
        self.close_up(ways);
        if self.shown != Some(self.submissions.len()) {
            self.shown = Some(self.submissions.len());
            gauge!("tideroute_open", "core" => self.terms.name.clone()).set(self.submissions.len() as f64);
        }
    }

    /// Lets go of what is left of submissions that are over and forgets them.
    fn close_up(&mut self, ways: &mut impl Transport<Asked = A>) {
        for id in std::mem::take(&mut self.closing) {
            let Some(s) = self.submissions.get(id).filter(|s| s.over && s.shot.is_none()) else { continue };
            if !s.holds_nothing() {
                self.let_go(id, ways);
            }
            let Some(s) = self.submissions.get(id) else { continue };
            match s.record.permit_close(s.holds_nothing()) {
                Ok(permit) => {
                    ways.closed(id, permit);
                    self.submissions.remove(id);
                }
                Err(violation) => self.refuse_step(id, violation),
            }
        }
    }

    pub fn late(&mut self, now: Micros, by: Micros) {
        let before = self.lateness.worst();
        self.lateness.note(now, by);
        // Each turn of the loop comes here: the figure is only written when it is another.
        if self.lateness.worst() != before {
            gauge!("tideroute_late_seconds", "core" => self.terms.name.clone())
                .set(self.lateness.worst() as f64 / 1e6);
        }
    }

    /// What is left of a client's time, given how late the loop has been of late.
    pub fn left(&self, left: Micros) -> Micros {
        self.lateness.left(left)
    }

    /// Takes nothing new from now on.
    pub fn stop(&mut self) {
        tracing::info!(open = self.submissions.len(), "stops: takes nothing new");
        self.stopping = true;
    }

    pub fn done(&self) -> bool {
        self.stopping && self.submissions.none_waits()
    }
}

/// A quarter of what may be open may wait to be let in.
fn shares_terms(terms: &LifecycleConfig) -> tideroute_admission::Terms {
    tideroute_admission::Terms {
        longest_wait: terms.longest_wait,
        most_waiting: (terms.most_open / 4).max(1),
        longest_advice: terms.module.longest_advice.max(0) as Micros * TENTH,
    }
}

fn kind_of(answer: Response) -> FinalAnswer {
    match answer {
        Response::Completed(_) => FinalAnswer::Served,
        Response::Rejected(_) => FinalAnswer::Refused,
        Response::Failed => FinalAnswer::Failed,
    }
}

fn name_of(ending: AttemptOutcome) -> &'static str {
    match ending {
        AttemptOutcome::Completed => "honoured",
        AttemptOutcome::ServerError => "fault",
        AttemptOutcome::Rejected => "full",
        AttemptOutcome::StateMissing => "stateless",
        AttemptOutcome::TimedOut => "timed out",
        AttemptOutcome::Unreachable => "unreachable",
        AttemptOutcome::ConnectionReset => "broken",
        AttemptOutcome::Cancelled => "withdrawn",
        AttemptOutcome::NotSent => "never sent",
        AttemptOutcome::PrefillComplete => "read",
    }
}

/// A worker's address as people write it.
pub fn shown(worker: WorkerId) -> String {
    let [a, b, c, d, high, low] = worker;
    format!("{a}.{b}.{c}.{d}:{}", u16::from_be_bytes([high, low]))
}
