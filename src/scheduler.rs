//! The scheduler: events in, a scheduling pass, actions out. Each rule has a file of its own in this module.
//!
//! Its owner makes a [`Scheduler`] for each instance and tells it what happens through its public calls, which only
//! update what is known; after them it calls [`Scheduler::next_action`] until that gives None.

mod admission;
mod backoff;
mod cross_cell_gate;
mod decode_placement;
mod dispatcher;
mod fleet;
mod load_shares;
mod lost_attempts;
mod outlier_detection;
mod prefill_placement;
mod request;
mod reservations;
mod retry;
mod slow_start;
mod stage;
mod timing;
mod wait_times;
mod worker;

use std::collections::{BTreeSet, HashMap};

use crate::scheduling_queue::{QueueKey, QueuePosition, SchedulingQueue};
use crate::types::{
    Action, AttemptOutcome, Endpoint, NewRequest, RequestId, SchedulerConfig, TenthMillis, WorkerId,
};

use admission::hopeless_before;
use backoff::FIRST_BACKOFF;
use dispatcher::Dispatcher;
use fleet::Fleet;
use request::{RequestState, Reservation};
use stage::Stage;
use timing::{PASS_INTERVAL, WATCH_INTERVAL};

/// Decides where requests go, when they are retried and when they are given up.
///
/// Times are readings of one clock that never goes back. The same configuration, seed and calls give the same
/// actions.
pub struct Scheduler {
    dispatcher: Dispatcher,
    requests: HashMap<RequestId, RequestState>,
    queue: SchedulingQueue,
    /// Requests that events changed since the last pass.
    touched: BTreeSet<RequestId>,
    /// Requests that the last pass decided about; the accounts do not know of it yet.
    examined: Vec<RequestId>,
    endpoints_changed: bool,
    /// A pass has run since the last action was asked for in vain.
    pass_done: bool,
    /// When the timer that is set fires.
    timer_at: TenthMillis,
    /// When the watch on the endpoint list is to be opened.
    watch_at: Option<TenthMillis>,
}

impl Scheduler {
    /// A scheduler without workers or requests; `seed` starts its random numbers.
    pub fn new(config: SchedulerConfig, seed: u64, now: TenthMillis) -> Self {
        Scheduler {
            watch_at: config.endpoint_watch_enabled.then_some(now),
            dispatcher: Dispatcher::new(Fleet::new(config, seed, now)),
            requests: HashMap::new(),
            queue: SchedulingQueue::default(),
            touched: BTreeSet::new(),
            examined: vec![],
            endpoints_changed: false,
            pass_done: false,
            timer_at: TenthMillis::MAX,
        }
    }

    /// A full snapshot of the endpoint list begins: workers that it does not name are removed.
    pub fn begin_endpoint_snapshot(&mut self, _now: TenthMillis) {
        self.endpoints_changed = true;
        self.dispatcher.fleet.begin_endpoint_snapshot();
    }

    /// The call for the endpoint list failed: the old list stays in force, and the next call is spread out against
    /// other routers'.
    pub fn discovery_failed(&mut self, now: TenthMillis) {
        let fleet = &mut self.dispatcher.fleet;
        let pause = FIRST_BACKOFF as f64 * (1.0 + fleet.rng.unit());
        self.watch_at = fleet.config.endpoint_watch_enabled.then_some(now + pause as TenthMillis);
    }

    /// The endpoint list names a worker, in a snapshot or as a change.
    pub fn endpoint_updated(&mut self, now: TenthMillis, endpoint: Endpoint) {
        self.endpoints_changed = true;
        self.dispatcher.fleet.update_endpoint(now, endpoint);
    }

    /// A request arrived; false if it names a class that the configuration does not have.
    pub fn request_arrived(&mut self, now: TenthMillis, new_request: NewRequest) -> bool {
        let fleet = &mut self.dispatcher.fleet;
        let Some(class) = fleet.config.classes.get(usize::from(new_request.class)) else { return false };
        let request = RequestState::new(now, new_request, class);
        fleet.record_prefix(now, new_request.prefix);
        let id = new_request.id;
        if let Some(mut replaced) = self.requests.insert(id, request) {
            let class = replaced.class();
            self.queue.reposition(id, class, &mut replaced.queue_position, QueuePosition::default());
            fleet.in_flight.finish(id, replaced.occupancy);
        }
        self.touched.insert(id);
        true
    }

    /// The response of a request's attempt began.
    pub fn response_started(&mut self, now: TenthMillis, id: RequestId, attempt: u16) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = request.class();
        let in_flight = request.attempt.as_mut();
        let Some(started) = in_flight.filter(|known| known.number == attempt && !known.started) else {
            return;
        };
        started.started = true;
        let fleet = &mut self.dispatcher.fleet;
        if started.cross_cell {
            fleet.gate.record(now, now - started.sent_at);
        }
        fleet.record_answer(now, class, started, Stage::Decode);
        request.clear_state();
        self.touched.insert(id);
    }

    /// A decode worker answered a reservation. The answer names the prefill worker, so the decode worker is the one
    /// that was asked last.
    pub fn reservation_answered(&mut self, now: TenthMillis, id: RequestId, granted: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(Reservation { worker, .. }) = request.reservation else { return };
        request.reservation = granted.then_some(Reservation { worker, confirmed: true });
        self.touched.insert(id);
        self.dispatcher.fleet.record_reservation_answer(now, worker, granted);
    }

    /// A request's attempt finished; `terminal` if the client has its whole answer, or nothing more can be sent.
    pub fn attempt_finished(
        &mut self,
        now: TenthMillis,
        id: RequestId,
        attempt: u16,
        outcome: AttemptOutcome,
        terminal: bool,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(finished) = request.finish_attempt(now, attempt, outcome, terminal) else { return };
        self.touched.insert(id);
        self.dispatcher.fleet.record_outcome(now, request, &finished, outcome);
    }

    /// The client of a request is gone.
    pub fn client_disconnected(&mut self, _now: TenthMillis, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.ended = true;
        self.touched.insert(id);
    }

    /// A timer that was set fired.
    pub fn timer_fired(&mut self, now: TenthMillis) {
        if now >= self.timer_at {
            self.timer_at = TenthMillis::MAX;
        }
    }

    /// A health check finished. If it brought a load report, [`Scheduler::load_reported`] is called before.
    pub fn health_check_finished(&mut self, now: TenthMillis, worker: WorkerId, healthy: bool) {
        self.dispatcher.fleet.record_health_check(now, worker, healthy);
    }

    /// A worker that was checked reported how much it works on or has waiting, in the unit of the configuration.
    pub fn load_reported(&mut self, now: TenthMillis, worker: WorkerId, load: f64) {
        self.dispatcher.fleet.record_load_report(now, worker, load);
    }

    /// The next action to carry out; None once all that happened so far is decided about.
    pub fn next_action(&mut self, now: TenthMillis) -> Option<Action> {
        // One pass a round of calls, which ends with None.
        if self.dispatcher.actions.is_empty() && !std::mem::replace(&mut self.pass_done, true) {
            self.run_pass(now);
        }
        let next = self.dispatcher.actions.pop_front();
        self.pass_done = next.is_some();
        next
    }

    fn run_pass(&mut self, now: TenthMillis) {
        if std::mem::take(&mut self.endpoints_changed) {
            self.dispatcher.fleet.rebuild_registry();
        }
        let touched = std::mem::take(&mut self.touched);
        self.update_accounts(&touched);
        self.dispatcher.prefill_exhausted = false;
        if self.watch_at.take_if(|at| *at <= now).is_some() {
            self.dispatcher.actions.push_back(Action::WatchEndpoints);
        }
        for id in &touched {
            self.release_unneeded_state(*id);
            self.update_queue(*id, false);
        }
        self.review_attempts(now, &touched);
        self.dispatcher.check_watched_workers(now);
        self.decide(now);
        let any_waits = self.requeue_examined();
        self.set_timer(now, any_waits);
    }

    /// Brings what this router has in flight at each worker up to date.
    fn update_accounts(&mut self, touched: &BTreeSet<RequestId>) {
        let in_flight = &mut self.dispatcher.fleet.in_flight;
        in_flight.settle();
        for id in std::mem::take(&mut self.examined).iter().chain(touched) {
            let Some(request) = self.requests.get_mut(id) else { continue };
            in_flight.remove(*id, request.occupancy);
            request.occupancy = request.current_occupancy();
            in_flight.add(*id, request.occupancy);
        }
    }

    fn release_unneeded_state(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_over = request.ended && request.attempt.is_none();
        if request.must_release || is_over && request.holds_state() {
            self.dispatcher.release(request);
        }
    }

    /// Moves a request to where it now stands in the queue, or forgets it if it is over.
    fn update_queue(&mut self, id: RequestId, examined: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let fleet = &mut self.dispatcher.fleet;
        let position = request.current_queue_position(&fleet.config, examined);
        self.queue.reposition(id, request.class(), &mut request.queue_position, position);
        if position.parked.is_some() {
            self.queue.note_usable_wait(request.usable_wait());
        }
        if request.ended && request.attempt.is_none() {
            fleet.in_flight.finish(id, request.occupancy);
            self.requests.remove(&id);
        }
    }

    /// Reviews the attempts that may be lost or that nobody waits for. No other can be cancelled: it is too young to
    /// be lost, awaited, and at a worker that is in service.
    fn review_attempts(&mut self, now: TenthMillis, touched: &BTreeSet<RequestId>) {
        let mut suspicious: BTreeSet<RequestId> = self.queue.suspicious(now).collect();
        let has_ended = |id: &&RequestId| self.requests.get(id).is_some_and(|request| request.ended);
        suspicious.extend(touched.iter().filter(has_ended));
        let fleet = &mut self.dispatcher.fleet;
        let in_backoff: Vec<WorkerId> = fleet.in_backoff().collect();
        for worker in in_backoff {
            suspicious.extend(fleet.in_flight.at(worker).awaited.iter().map(|(_, id)| id));
        }
        for id in suspicious {
            if let Some(request) = self.requests.get_mut(&id) {
                self.dispatcher.review_attempt(now, request);
            }
        }
    }

    /// Decides about all requests that need it, best first; of those parked, while no prefill worker takes any more
    /// or only short prompts, about those that a decision can change.
    fn decide(&mut self, now: TenthMillis) {
        let mut last: Option<QueueKey> = None;
        let mut due: Option<BTreeSet<QueueKey>> = None;
        let mut longest_prompt: Option<f64> = None;
        let mut sent_when_measured = usize::MAX;
        loop {
            let sent = self.dispatcher.fleet.in_flight.provisional_count();
            let exhausted = self.dispatcher.prefill_exhausted;
            if !exhausted && self.queue.any_parked() && sent_when_measured != sent {
                sent_when_measured = sent;
                let longest_wait = self.queue.longest_usable_wait();
                longest_prompt = self.dispatcher.fleet.longest_prompt_taken(now, longest_wait);
            }
            let next = if exhausted || longest_prompt.is_some() {
                let due = due.get_or_insert_with(|| self.due_parked(now, longest_prompt));
                self.queue.next_unparked(last, due)
            } else {
                self.queue.next(last)
            };
            let Some(key) = next else { return };
            last = Some(key);
            let Some(request) = self.requests.get_mut(&key.id) else { continue };
            self.dispatcher.advance(now, request);
            self.examined.push(key.id);
        }
    }

    /// The parked requests that may be hopeless, may have to end by now, or have a prompt for which there is room.
    fn due_parked(&mut self, now: TenthMillis, longest_prompt: Option<f64>) -> BTreeSet<QueueKey> {
        let mut due = BTreeSet::new();
        for class in self.queue.parked_classes() {
            let until = hopeless_before(now, self.dispatcher.fleet.waits.usual(now, class));
            let ids = self.queue.parked_until(class, until);
            due.extend(ids.filter_map(|id| self.requests.get(&id)?.queue_position.key));
        }
        if let Some(longest_prompt) = longest_prompt {
            due.extend(self.queue.parked_up_to(longest_prompt));
        }
        due
    }

    /// Puts the requests that the pass decided about where they now stand; whether any waits is returned.
    fn requeue_examined(&mut self) -> bool {
        let examined = std::mem::take(&mut self.examined);
        let mut any_waits = false;
        for id in &examined {
            self.update_queue(*id, true);
            any_waits |= self.requests.get(id).is_some_and(|request| request.attempt.is_none());
        }
        self.examined = examined;
        any_waits || self.queue.any_parked()
    }

    fn set_timer(&mut self, now: TenthMillis, any_waits: bool) {
        let pause = if any_waits { PASS_INTERVAL } else { WATCH_INTERVAL };
        let any_in_backoff = self.dispatcher.fleet.in_backoff().next().is_some();
        let is_needed = any_waits || self.queue.any_awaited() || any_in_backoff || self.watch_at.is_some();
        if is_needed && self.timer_at > now + pause {
            self.timer_at = now + pause;
            self.dispatcher.actions.push_back(Action::SetTimer { delay: pause });
        }
    }
}
