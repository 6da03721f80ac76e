//! Measures the cost of scheduling decisions for different numbers of workers and open requests. A simple owner
//! drives the scheduler in a loop; the same is measured for the reference implementation, which recomputes
//! everything in each pass. Also compares the cached order of prefill workers with one that is sorted each time.
//! `cargo bench --bench decisions`.

// The benchmark calls fewer of its functions than its test does.
#[allow(dead_code)]
#[path = "../tests/reference/mod.rs"]
mod reference;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hint::black_box;
use std::time::{Duration, Instant};

use tideroute::rendezvous::{unit_hash, RendezvousRanking};
use tideroute::scheduler::Scheduler;
use tideroute::types::*;
// The reference implementation refers to these modules through its crate root.
use tideroute::{ewma, rng, types};

const MS: TenthMillis = 10;
const SECOND: u64 = 10_000;
const START: TenthMillis = 1_000_000;
/// The duration of a prefill.
const PREFILL_TIME: TenthMillis = 60 * MS;
/// Number of runs, of which the fastest counts, because other work on the machine can only slow a run down.
const RUNS: usize = 3;
/// The largest number of requests for which the reference implementation is measured, because it is slow.
const MAX_MEASURED_BY_REFERENCE: u64 = 300;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A client sends a new request.
    Request,
    ReservationAnswer(RequestId),
    PrefillEnd(RequestId, u16),
    ResponseStart(RequestId, u16),
    ResponseEnd(RequestId, u16),
    Timer,
}

/// The size of one measurement.
#[derive(Clone, Copy)]
struct Size {
    workers: u16,
    /// Requests per second; multiplied by the length of a response, this gives the number of open requests.
    rate: u64,
    response_time: TenthMillis,
    measured: u64,
    /// Whether no two requests share a prefix or a session.
    unique_keys: bool,
}

/// The calls that both implementations support.
trait Implementation {
    fn begin(seed: u64) -> Self;
    fn begin_endpoint_snapshot(&mut self, now: TenthMillis);
    fn endpoint_updated(&mut self, now: TenthMillis, endpoint: Endpoint);
    fn request_arrived(&mut self, now: TenthMillis, new_request: NewRequest) -> bool;
    fn reservation_answered(&mut self, now: TenthMillis, id: RequestId, granted: bool);
    fn response_started(&mut self, now: TenthMillis, id: RequestId, attempt: u16);
    fn attempt_finished(
        &mut self,
        now: TenthMillis,
        id: RequestId,
        attempt: u16,
        outcome: AttemptOutcome,
        terminal: bool,
    );
    fn timer_fired(&mut self, now: TenthMillis);
    fn next_action(&mut self, now: TenthMillis) -> Option<Action>;
}

/// Implements [`Implementation`] for a router, given the router's method names in the order of the trait's methods.
macro_rules! implementation {
    ($router:ty: $snapshot:ident, $updated:ident, $requested:ident, $reserved:ident, $started:ident, $finished:ident,
     $fired:ident, $next:ident) => {
        impl Implementation for $router {
            fn begin(seed: u64) -> Self {
                <$router>::new(config(), seed, START)
            }
            fn begin_endpoint_snapshot(&mut self, now: TenthMillis) {
                <$router>::$snapshot(self, now)
            }
            fn endpoint_updated(&mut self, now: TenthMillis, endpoint: Endpoint) {
                <$router>::$updated(self, now, endpoint)
            }
            fn request_arrived(&mut self, now: TenthMillis, new_request: NewRequest) -> bool {
                <$router>::$requested(self, now, new_request)
            }
            fn reservation_answered(&mut self, now: TenthMillis, id: RequestId, granted: bool) {
                <$router>::$reserved(self, now, id, granted)
            }
            fn response_started(&mut self, now: TenthMillis, id: RequestId, attempt: u16) {
                <$router>::$started(self, now, id, attempt)
            }
            fn attempt_finished(
                &mut self,
                now: TenthMillis,
                id: RequestId,
                attempt: u16,
                outcome: AttemptOutcome,
                terminal: bool,
            ) {
                <$router>::$finished(self, now, id, attempt, outcome, terminal)
            }
            fn timer_fired(&mut self, now: TenthMillis) {
                <$router>::$fired(self, now)
            }
            fn next_action(&mut self, now: TenthMillis) -> Option<Action> {
                <$router>::$next(self, now)
            }
        }
    };
}

implementation!(Scheduler: begin_endpoint_snapshot, endpoint_updated, request_arrived, reservation_answered,
    response_started, attempt_finished, timer_fired, next_action);
implementation!(reference::router::Router: list_anew, listed, arrived, answered_ahead, started, settled, woken,
    decide);

fn config() -> SchedulerConfig {
    let class = RequestClass {
        idempotency: Idempotency::Idempotent,
        ttft_objective: 1_500 * MS,
        ttft_objective_per_1000_tokens: 40 * MS,
        priority_weight: 1.0,
    };
    SchedulerConfig {
        router_count: 3,
        classes: vec![class],
        role_by_kind: vec![Role::Prefill, Role::Decode],
        reservations_enabled: true,
        state_release_timeout: 500 * MS,
        cold_capacity_share: 0.3,
        warm_up_time: 10_000 * MS,
        overload_multiple: 2.5,
        overload_window: 2_000 * MS,
        max_attempts: 5,
        cancellation_enabled: true,
        health_checks_enabled: true,
        load_reports_enabled: false,
        retry_after_enabled: true,
        max_retry_after: 1_000 * MS,
        ..SchedulerConfig::default()
    }
}

fn endpoint(n: u16, status: EndpointStatus) -> Endpoint {
    Endpoint {
        worker: [10, 0, 0, (n >> 8) as u8, n as u8, 1],
        kind: u16::from(!n.is_multiple_of(3)),
        size: 8.0,
        status,
        cell: n / 9,
        zone: (n / 9 % 3) as u8,
        start_time: 0,
    }
}

/// The result of one run.
#[derive(Clone, Copy)]
struct Cost {
    microseconds_per_request: f64,
    open_requests: usize,
}

/// An implementation and the simple owner that drives it in virtual time.
struct Run<I> {
    implementation: I,
    size: Size,
    now: TenthMillis,
    events: BinaryHeap<Reverse<(TenthMillis, u64, Event)>>,
    sequence: u64,
    requests_sent: u64,
    open: usize,
    /// Number of attempts sent for each request.
    attempts: HashMap<RequestId, u16>,
    /// The time spent inside the implementation.
    spent: Duration,
}

impl<I: Implementation> Run<I> {
    fn new(size: Size) -> Run<I> {
        let mut implementation = I::begin(7);
        implementation.begin_endpoint_snapshot(START);
        for n in 0..size.workers {
            implementation.endpoint_updated(START, endpoint(n, EndpointStatus::Serving));
        }
        let mut events = BinaryHeap::new();
        events.push(Reverse((START, 0, Event::Request)));
        Run {
            implementation,
            size,
            now: START,
            events,
            sequence: 0,
            requests_sent: 0,
            open: 0,
            attempts: HashMap::new(),
            spent: Duration::ZERO,
        }
    }

    /// Runs until the intended number of requests is open, then measures the following requests.
    fn measure(mut self) -> Cost {
        let gap = SECOND / self.size.rate.max(1);
        let warm_up = self.size.rate * (self.size.response_time as u64 / SECOND + 1);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.sequence += 1;
            if event == Event::Request {
                self.requests_sent += 1;
                if self.requests_sent == warm_up {
                    self.spent = Duration::ZERO;
                }
                if self.requests_sent == warm_up + self.size.measured {
                    return self.cost();
                }
                self.open += 1;
                self.events.push(Reverse((at + gap as TenthMillis, self.sequence, Event::Request)));
            }
            if matches!(event, Event::ResponseEnd(..)) {
                self.open -= 1;
            }
            let started_at = Instant::now();
            self.handle(event);
            let mut actions = vec![];
            actions.extend(std::iter::from_fn(|| self.implementation.next_action(at)));
            self.spent += started_at.elapsed();
            for action in actions {
                self.sequence += 1;
                self.perform(action);
            }
        }
        unreachable!("the next request is always scheduled")
    }

    fn cost(&self) -> Cost {
        let microseconds_per_request = self.spent.as_secs_f64() * 1e6 / self.size.measured as f64;
        Cost { microseconds_per_request, open_requests: self.open }
    }

    fn handle(&mut self, event: Event) {
        let (now, implementation) = (self.now, &mut self.implementation);
        match event {
            Event::Request => {
                let id = self.requests_sent;
                let (session, prefix) = if self.size.unique_keys { (id, 0) } else { (id % 997, id % 20) };
                let new_request = NewRequest {
                    id,
                    class: 0,
                    session,
                    prefix,
                    prompt_tokens: 800.0,
                    remaining_time: 5_000 * MS,
                };
                assert!(implementation.request_arrived(now, new_request));
            }
            Event::ReservationAnswer(id) => implementation.reservation_answered(now, id, true),
            Event::PrefillEnd(id, attempt) => {
                implementation.attempt_finished(now, id, attempt, AttemptOutcome::PrefillComplete, false)
            }
            Event::ResponseStart(id, attempt) => implementation.response_started(now, id, attempt),
            Event::ResponseEnd(id, attempt) => {
                implementation.attempt_finished(now, id, attempt, AttemptOutcome::Completed, true)
            }
            Event::Timer => implementation.timer_fired(now),
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Dispatch { id, .. } => {
                let attempts = self.attempts.entry(id).or_insert(0);
                let number = *attempts;
                *attempts += 1;
                if number == 0 {
                    self.schedule(PREFILL_TIME, Event::PrefillEnd(id, 0));
                } else {
                    self.schedule(10 * MS, Event::ResponseStart(id, number));
                    self.schedule(self.size.response_time, Event::ResponseEnd(id, number));
                }
            }
            Action::ReserveDecode { id, .. } => self.schedule(2 * MS, Event::ReservationAnswer(id)),
            Action::SetTimer { delay } => self.schedule(delay, Event::Timer),
            Action::Reject { .. } | Action::Fail { .. } => self.open -= 1,
            _ => {}
        }
    }

    fn schedule(&mut self, delay: TenthMillis, event: Event) {
        self.events.push(Reverse((self.now + delay, self.sequence, event)));
    }
}

fn print_row(size: Size) {
    let runs = (0..RUNS).map(|_| Run::<Scheduler>::new(size).measure());
    let best = runs.min_by(|a, b| a.microseconds_per_request.total_cmp(&b.microseconds_per_request));
    let Some(Cost { microseconds_per_request: cost, open_requests }) = best else { return };
    let measured = size.measured.min(MAX_MEASURED_BY_REFERENCE);
    let reference = Run::<reference::router::Router>::new(Size { measured, ..size }).measure();
    let reference_cost = reference.microseconds_per_request;
    let keys = if size.unique_keys { "alone" } else { "shared" };
    let (workers, rate, ratio) = (size.workers, size.rate, reference_cost / cost);
    println!("{workers:>7}{rate:>9}{open_requests:>9}{keys:>9}{cost:>9.1}{reference_cost:>10.1}{ratio:>8.1}");
}

/// Prints the nanoseconds to find the first prefill worker, with a cached order and with one that is sorted anew.
fn print_ranking_costs() {
    println!("\nworkers   cached, ns   a new key, ns   sorted each time, ns");
    for workers in [13u16, 37, 133, 400] {
        let shares: Vec<_> = (0..workers).map(|n| ([10, 0, 0, (n >> 8) as u8, n as u8, 1], 1.0)).collect();
        let mut ranking = RendezvousRanking::default();
        ranking.replace(shares.clone());
        let time = |look_up: &mut dyn FnMut(u64)| {
            let started_at = Instant::now();
            (0..20_000).for_each(look_up);
            started_at.elapsed().as_nanos() as f64 / 20_000.0
        };
        let cached = time(&mut |n| _ = black_box(ranking.nth(n % 500, 0)));
        let new_key = time(&mut |n| _ = black_box(ranking.nth(n + 1_000, 0)));
        let sorted = time(&mut |n| {
            let scores = shares.iter().map(|(id, share)| (share / -unit_hash(n, *id).ln(), *id));
            let mut scores: Vec<_> = scores.collect();
            scores.sort_by(|a, b| b.0.total_cmp(&a.0));
            black_box(scores);
        });
        println!("{workers:>7}{cached:>13.0}{new_key:>16.0}{sorted:>23.0}");
    }
}

/// Prints the longest time that the scheduler takes for a snapshot of 1,200 workers in which one worker in ten has
/// changed, with 6,000 requests open.
fn print_snapshot_cost() {
    let (mut scheduler, mut now) = (Scheduler::new(config(), 7, START), START);
    let (mut longest, mut total) = (Duration::ZERO, Duration::ZERO);
    for round in 0..50u16 {
        for n in 0..120 {
            let id = u64::from(round) * 120 + n;
            let new_request = NewRequest {
                id,
                class: 0,
                session: id,
                prefix: n % 20,
                prompt_tokens: 80.0,
                remaining_time: 60_000 * MS,
            };
            assert!(scheduler.request_arrived(now, new_request));
        }
        while scheduler.next_action(now).is_some() {}
        now += 50 * MS;
        let started_at = Instant::now();
        scheduler.begin_endpoint_snapshot(now);
        for n in 0..1_200 {
            let is_draining = n % 10 == round % 10;
            let status = if is_draining { EndpointStatus::Draining } else { EndpointStatus::Serving };
            scheduler.endpoint_updated(now, endpoint(n, status));
        }
        while black_box(scheduler.next_action(now)).is_some() {}
        longest = longest.max(started_at.elapsed());
        total += started_at.elapsed();
    }
    let mean = total.as_secs_f64() * 20.0;
    let longest = longest.as_secs_f64() * 1e3;
    println!("\na snapshot of 1,200 workers: {mean:.2} ms on average, {longest:.2} ms at most");
}

fn main() {
    println!("workers a second     open     keys   us now reference   ratio");
    let size =
        Size { workers: 40, rate: 100, response_time: 6_000 * MS, measured: 2_000, unique_keys: false };
    for workers in [40, 110, 400, 1_200] {
        for response_millis in [6_000, 60_000, 600_000] {
            print_row(Size { workers, response_time: response_millis * MS, ..size });
        }
    }
    for (workers, rate, unique_keys) in
        [(110, 300, false), (400, 1_000, false), (1_200, 5_000, false), (40, 100, true), (1_200, 100, true)]
    {
        print_row(Size { workers, rate, unique_keys, ..size });
    }
    print_ranking_costs();
    print_snapshot_cost();
}
