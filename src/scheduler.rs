//! The scheduler records events, decides in scheduling passes and returns actions. Each rule has its own file in
//! this module.
//!
//! The owner of a [`Scheduler`] notifies it of events through its public methods, which only update its state.
//! The owner then calls [`Scheduler::next_action`] until that returns None; the first of these calls runs a
//! scheduling pass.

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

/// Decides where requests are sent, when they are retried and when they are given up.
///
/// All times passed to it must be readings of one clock that never goes back. The same configuration, seed and
/// calls give the same actions.
pub struct Scheduler {
    dispatcher: Dispatcher,
    requests: HashMap<RequestId, RequestState>,
    queue: SchedulingQueue,
    /// Requests that were changed by events since the last pass.
    changed: BTreeSet<RequestId>,
    /// Requests that the last pass decided about; in-flight accounting is brought up to date in the next pass.
    examined: Vec<RequestId>,
    /// The endpoint list has changed since the last pass.
    endpoints_changed: bool,
    /// A pass has run since [`Scheduler::next_action`] last returned None.
    pass_done: bool,
    /// When the pending timer fires; the maximum if none is set.
    timer_at: TenthMillis,
    /// When the watch on the endpoint list is to be opened; None if it is open or disabled.
    watch_at: Option<TenthMillis>,
}

impl Scheduler {
    /// Creates a scheduler without workers or requests; `seed` is the seed of its random numbers.
    pub fn new(config: SchedulerConfig, seed: u64, now: TenthMillis) -> Self {
        Scheduler {
            watch_at: config.endpoint_watch_enabled.then_some(now),
            dispatcher: Dispatcher::new(Fleet::new(config, seed, now)),
            requests: HashMap::new(),
            queue: SchedulingQueue::default(),
            changed: BTreeSet::new(),
            examined: vec![],
            endpoints_changed: false,
            pass_done: false,
            timer_at: TenthMillis::MAX,
        }
    }

    /// Begins a full snapshot of the endpoint list: workers that it does not name are removed.
    pub fn begin_endpoint_snapshot(&mut self, _now: TenthMillis) {
        self.endpoints_changed = true;
        self.dispatcher.fleet.begin_endpoint_snapshot();
    }

    /// Records that the watch on the endpoint list failed. The current list stays in force, and the watch is
    /// reopened after a random delay, so that routers do not reopen theirs all at once.
    pub fn discovery_failed(&mut self, now: TenthMillis) {
        let fleet = &mut self.dispatcher.fleet;
        let pause = FIRST_BACKOFF as f64 * (1.0 + fleet.rng.unit());
        self.watch_at = fleet.config.endpoint_watch_enabled.then_some(now + pause as TenthMillis);
    }

    /// Adds or updates a worker that the endpoint list names, in a snapshot or as a change.
    pub fn endpoint_updated(&mut self, now: TenthMillis, endpoint: Endpoint) {
        self.endpoints_changed = true;
        self.dispatcher.fleet.update_endpoint(now, endpoint);
    }

    /// Adds a request that arrived. Returns false, and ignores it, if its class is not in the configuration.
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
        self.changed.insert(id);
        true
    }

    /// Records that the response of a request's attempt began.
    pub fn response_started(&mut self, now: TenthMillis, id: RequestId, attempt: u16) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = request.class();
        let current = request.attempt.as_mut();
        let Some(answered) = current.filter(|known| known.number == attempt && !known.started) else {
            return;
        };
        answered.started = true;
        let fleet = &mut self.dispatcher.fleet;
        if answered.cross_cell {
            fleet.gate.record(now, now - answered.sent_at);
        }
        fleet.record_answer(now, class, answered, Stage::Decode);
        request.clear_state();
        self.changed.insert(id);
    }

    /// Records a decode worker's answer to a reservation request. The answer does not name the decode worker (it
    /// names the prefill worker), so it is attributed to the one that was asked last.
    pub fn reservation_answered(&mut self, now: TenthMillis, id: RequestId, granted: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(Reservation { worker, .. }) = request.reservation else { return };
        request.reservation = granted.then_some(Reservation { worker, confirmed: true });
        self.changed.insert(id);
        self.dispatcher.fleet.record_reservation_answer(now, worker, granted);
    }

    /// Records that a request's attempt finished; `terminal` is true if the client has its whole response, or if
    /// nothing more can be sent to it.
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
        self.changed.insert(id);
        self.dispatcher.fleet.record_outcome(now, request, &finished, outcome);
    }

    /// Records that the client of a request disconnected.
    pub fn client_disconnected(&mut self, _now: TenthMillis, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.ended = true;
        self.changed.insert(id);
    }

    /// Records that a timer fired that was set by [`Action::SetTimer`].
    pub fn timer_fired(&mut self, now: TenthMillis) {
        if now >= self.timer_at {
            self.timer_at = TenthMillis::MAX;
        }
    }

    /// Records the result of a health check. If the check returned a load report, [`Scheduler::load_reported`]
    /// must be called before.
    pub fn health_check_finished(&mut self, now: TenthMillis, worker: WorkerId, healthy: bool) {
        self.dispatcher.fleet.record_health_check(now, worker, healthy);
    }

    /// Records the load that a worker reported in a health check: all that it works on or has waiting, in the
    /// unit that the configuration sets.
    pub fn load_reported(&mut self, now: TenthMillis, worker: WorkerId, load: f64) {
        self.dispatcher.fleet.record_load_report(now, worker, load);
    }

    /// Returns the next action to carry out; None once all events so far have been decided about.
    pub fn next_action(&mut self, now: TenthMillis) -> Option<Action> {
        // One pass runs for each series of calls that ends with None.
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
        let changed = std::mem::take(&mut self.changed);
        self.update_accounts(&changed);
        self.dispatcher.prefill_exhausted = false;
        if self.watch_at.take_if(|at| *at <= now).is_some() {
            self.dispatcher.actions.push_back(Action::WatchEndpoints);
        }
        for id in &changed {
            self.release_unneeded_state(*id);
            self.update_queue(*id, false);
        }
        self.review_attempts(now, &changed);
        self.dispatcher.check_watched_workers(now);
        self.decide(now);
        let any_waiting = self.requeue_examined();
        self.set_timer(now, any_waiting);
    }

    /// Brings the accounts of what this router has in flight at each worker up to date.
    fn update_accounts(&mut self, changed: &BTreeSet<RequestId>) {
        let in_flight = &mut self.dispatcher.fleet.in_flight;
        in_flight.settle();
        for id in std::mem::take(&mut self.examined).iter().chain(changed) {
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

    /// Moves a request to its current position in the queue; drops the request if it has ended and has no attempt
    /// in flight.
    fn update_queue(&mut self, id: RequestId, examined: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let fleet = &mut self.dispatcher.fleet;
        let position = request.current_queue_position(&fleet.config, examined);
        self.queue.reposition(id, request.class(), &mut request.queue_position, position);
        if position.parked.is_some() {
            self.queue.record_usable_wait(request.usable_wait());
        }
        if request.ended && request.attempt.is_none() {
            fleet.in_flight.finish(id, request.occupancy);
            self.requests.remove(&id);
        }
    }

    /// Reviews the attempts that may be lost, whose worker is in a backoff, or whose request has ended. No other
    /// attempt can be due for cancellation: it is too young to be lost, its client still waits, and its worker is
    /// in service.
    fn review_attempts(&mut self, now: TenthMillis, changed: &BTreeSet<RequestId>) {
        let mut suspicious: BTreeSet<RequestId> = self.queue.suspicious(now).collect();
        let has_ended = |id: &&RequestId| self.requests.get(id).is_some_and(|request| request.ended);
        suspicious.extend(changed.iter().filter(has_ended));
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

    /// Decides about all requests in the queue, in its order. While no prefill worker takes another prefill, or
    /// only short prompts are taken, skips parked requests for which a decision would change nothing.
    fn decide(&mut self, now: TenthMillis) {
        let mut last: Option<QueueKey> = None;
        let mut due: Option<BTreeSet<QueueKey>> = None;
        let mut longest_prompt: Option<f64> = None;
        let mut sent_at_last_check = usize::MAX;
        loop {
            let sent = self.dispatcher.fleet.in_flight.provisional_count();
            let exhausted = self.dispatcher.prefill_exhausted;
            if !exhausted && self.queue.any_parked() && sent_at_last_check != sent {
                sent_at_last_check = sent;
                let longest_wait = self.queue.longest_usable_wait();
                longest_prompt = self.dispatcher.fleet.longest_acceptable_prompt(now, longest_wait);
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

    /// Returns the parked requests that may be hopeless, may have to end by now, or have a prompt short enough
    /// for the room that is left.
    fn due_parked(&mut self, now: TenthMillis, longest_prompt: Option<f64>) -> BTreeSet<QueueKey> {
        let mut due = BTreeSet::new();
        for class in self.queue.parked_classes() {
            let until = hopeless_before(now, self.dispatcher.fleet.waits.usual(now, class));
            let ids = self.queue.parked_until(class, until);
            due.extend(ids.filter_map(|id| self.requests.get(&id)?.queue_position.key));
        }
        if let Some(longest_prompt) = longest_prompt {
            due.extend(self.queue.parked_with_prompt_up_to(longest_prompt));
        }
        due
    }

    /// Moves the requests that the pass decided about to their current position in the queue. Returns whether any
    /// request waits for a decision.
    fn requeue_examined(&mut self) -> bool {
        let examined = std::mem::take(&mut self.examined);
        let mut any_waiting = false;
        for id in &examined {
            self.update_queue(*id, true);
            any_waiting |= self.requests.get(id).is_some_and(|request| request.attempt.is_none());
        }
        self.examined = examined;
        any_waiting || self.queue.any_parked()
    }

    fn set_timer(&mut self, now: TenthMillis, any_waiting: bool) {
        let pause = if any_waiting { PASS_INTERVAL } else { WATCH_INTERVAL };
        let any_in_backoff = self.dispatcher.fleet.in_backoff().next().is_some();
        let needs_timer =
            any_waiting || self.queue.any_awaited() || any_in_backoff || self.watch_at.is_some();
        if needs_timer && self.timer_at > now + pause {
            self.timer_at = now + pause;
            self.dispatcher.actions.push_back(Action::SetTimer { delay: pause });
        }
    }
}
