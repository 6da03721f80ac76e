//! Generated fleets in virtual time, checked against a simple model of what all routers together may send to a
//! warming worker: its budget in the overload window plus an allowance for chance. The model is independent of
//! the scheduler.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Range;

use tideroute::rng::Rng;
use tideroute::scheduler::Scheduler;
use tideroute::types::*;

const MS: TenthMillis = 10;
const SECOND: f64 = 10_000.0;
/// Number of fleets that are generated.
const FLEETS: u64 = 1_000;
/// Number of threads that run the fleets.
const THREADS: u64 = 8;

const PREFILL_KIND: u16 = 0;
const DECODE_KIND: u16 = 1;
const MIXED_KIND: u16 = 2;

/// An attempt of a router's request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    router: usize,
    id: RequestId,
    number: u16,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A client sends a new request.
    Request,
    PrefillEnd(Attempt),
    Rejection(Attempt),
    ResponseStart(Attempt),
    ResponseEnd(Attempt),
    Timer(usize),
}

/// The parameters from which a fleet is generated.
#[derive(Clone, Copy)]
struct FleetKind {
    /// Whether decode and mixed workers of many sizes start; otherwise prefill workers start.
    decode_workers_start: bool,
    /// The bounds on the number of routers.
    routers: (f64, f64),
    /// The share of attempts that warming workers reject.
    rejections: f64,
}

const PREFILL_WORKERS_START: FleetKind =
    FleetKind { decode_workers_start: false, routers: (2.0, 300.0), rejections: 0.0 };

#[derive(Clone, Copy)]
struct FleetWorker {
    kind: u16,
    size: f64,
}

/// Counts of overload windows of a fleet, and of the attempts sent to warming workers.
#[derive(Clone, Copy, Default)]
struct FleetResult {
    /// Number of windows; each begins with an attempt sent to a warming worker.
    windows: usize,
    /// Number of windows with more attempts than the budget plus the allowance for chance.
    over_budget: usize,
    attempts: f64,
    /// The sum of the budgets of the warming workers.
    budgets: f64,
}

impl FleetResult {
    fn merge(self, other: FleetResult) -> FleetResult {
        FleetResult {
            windows: self.windows + other.windows,
            over_budget: self.over_budget + other.over_budget,
            attempts: self.attempts + other.attempts,
            budgets: self.budgets + other.budgets,
        }
    }
}

struct Fleet {
    rng: Rng,
    config: SchedulerConfig,
    routers: Vec<Scheduler>,
    /// For each router, the share of all requests that it and the routers before it receive.
    traffic_up_to: Vec<f64>,
    workers: Vec<FleetWorker>,
    /// Indices of the workers that start together.
    warming: Range<u16>,
    /// When they start.
    started_at: TenthMillis,
    /// Requests per second.
    rate: f64,
    /// Requests per second that a worker of size 1 can serve.
    capacity: f64,
    queue: BinaryHeap<Reverse<(TenthMillis, u64, Event)>>,
    event_count: u64,
    /// The share of attempts that warming workers reject; rejected attempts count against the budget too.
    rejections: f64,
    /// When attempts were sent to each warming worker.
    sent_at: BTreeMap<WorkerId, Vec<TenthMillis>>,
    attempts: BTreeMap<(usize, RequestId), u16>,
}

fn worker(n: u16) -> WorkerId {
    let [high, low] = n.to_be_bytes();
    [10, 0, high, low, 1, 0]
}

/// Returns a random number between two bounds, uniform on a logarithmic scale.
fn sample(rng: &mut Rng, least: f64, most: f64) -> f64 {
    least * (most / least).powf(rng.unit())
}

/// Returns a random configuration for a number of routers.
fn generate_config(rng: &mut Rng, routers: usize, cold_capacity_share: f64) -> SchedulerConfig {
    let overload_window = sample(rng, 500.0, 2_000.0);
    let warm_up_time = sample(rng, 8_000.0, 14_000.0);
    let overload_multiple = sample(rng, 2.0, 3.0);
    let class = RequestClass {
        idempotency: Idempotency::Idempotent,
        ttft_objective: 1_200 * MS,
        ttft_objective_per_1000_tokens: 0,
        priority_weight: 1.0,
    };
    SchedulerConfig {
        router_count: routers as u32,
        classes: vec![class],
        role_by_kind: vec![Role::Prefill, Role::Decode, Role::Mixed],
        state_release_timeout: 1_000 * MS,
        cold_capacity_share,
        warm_up_time: warm_up_time as TenthMillis * MS,
        overload_multiple,
        overload_window: overload_window as TenthMillis * MS,
        max_attempts: 6,
        ..SchedulerConfig::default()
    }
}

/// Returns the cumulative traffic share of each router. Some routers receive several times the traffic of others.
fn generate_traffic(rng: &mut Rng, routers: usize) -> Vec<f64> {
    let weights: Vec<f64> = (0..routers).map(|_| sample(rng, 0.2, 5.0)).collect();
    let total: f64 = weights.iter().sum();
    let up_to = weights.iter().scan(0.0, |sum, weight| {
        *sum += weight / total;
        Some(*sum)
    });
    up_to.collect()
}

/// Returns `prefill_count` prefill workers followed by `decode_count` decode workers. If `varied`, the latter are decode
/// and mixed workers of many sizes.
fn generate_workers(rng: &mut Rng, prefill_count: u16, decode_count: u16, varied: bool) -> Vec<FleetWorker> {
    let mut workers = vec![FleetWorker { kind: PREFILL_KIND, size: 1.0 }; usize::from(prefill_count)];
    for n in 0..decode_count {
        let generated = if n % 3 == 2 {
            FleetWorker { kind: MIXED_KIND, size: sample(rng, 0.3, 0.8) }
        } else {
            FleetWorker { kind: DECODE_KIND, size: sample(rng, 0.6, 2.0) }
        };
        workers.push(if varied { generated } else { FleetWorker { kind: DECODE_KIND, size: 1.0 } });
    }
    workers
}

impl Fleet {
    fn generate(seed: u64, kind: FleetKind) -> Fleet {
        let mut rng = Rng::new(seed);
        let router_count = sample(&mut rng, kind.routers.0, kind.routers.1) as usize;
        let prefill_count = sample(&mut rng, 4.0, 40.0) as u16;
        let cold_capacity_share = sample(&mut rng, 0.2, 0.5);
        let config = generate_config(&mut rng, router_count, cold_capacity_share);
        let capacity = sample(&mut rng, 1.0, 12.0);
        let utilization = sample(&mut rng, 0.4, 0.9);
        let warming_share = sample(&mut rng, 0.05, 0.6);
        let traffic_up_to = generate_traffic(&mut rng, router_count);
        let router = |n: usize| Scheduler::new(config.clone(), seed * 1_000 + n as u64, 0);
        let routers = (0..router_count).map(router).collect();
        let varied = kind.decode_workers_start;
        let decode_count = if varied { prefill_count } else { prefill_count.div_ceil(2) };
        let workers = generate_workers(&mut rng, prefill_count, decode_count, varied);
        let (first, count) = if varied { (prefill_count, decode_count) } else { (0, prefill_count) };
        let warming = first..first + (f64::from(count) * warming_share).max(1.0) as u16;
        let starting = &workers[usize::from(first)..usize::from(first + count)];
        let total_size: f64 = starting.iter().map(|worker| worker.size).sum();
        let mut fleet = Fleet {
            rng,
            config,
            routers,
            traffic_up_to,
            workers,
            warming,
            started_at: 0,
            rate: total_size * capacity * utilization,
            capacity,
            queue: BinaryHeap::new(),
            event_count: 0,
            rejections: kind.rejections,
            sent_at: BTreeMap::new(),
            attempts: BTreeMap::new(),
        };
        fleet.update_endpoints(0, 0..prefill_count + decode_count, 0);
        fleet
    }

    /// Notifies all routers of the endpoints of workers.
    fn update_endpoints(&mut self, now: TenthMillis, workers: Range<u16>, start_time: TenthMillis) {
        for n in workers {
            let FleetWorker { kind, size } = self.workers[usize::from(n)];
            let endpoint = Endpoint {
                worker: worker(n),
                kind,
                size,
                status: EndpointStatus::Serving,
                cell: n % 4,
                zone: 0,
                start_time,
            };
            self.routers.iter_mut().for_each(|router| router.endpoint_updated(now, endpoint));
        }
    }

    fn schedule(&mut self, at: TenthMillis, event: Event) {
        self.event_count += 1;
        self.queue.push(Reverse((at, self.event_count, event)));
    }

    fn schedule_next_request(&mut self, now: TenthMillis) {
        let gap = -(1.0 - self.rng.unit()).ln() / self.rate * SECOND;
        self.schedule(now + gap.ceil() as TenthMillis, Event::Request);
    }

    fn drain_actions(&mut self, now: TenthMillis, router: usize) {
        while let Some(action) = self.routers[router].next_action(now) {
            match action {
                Action::Dispatch { id, worker, .. } => self.dispatch(now, router, id, worker),
                Action::SetTimer { delay } => self.schedule(now + delay, Event::Timer(router)),
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.attempts.remove(&(router, id));
                }
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, now: TenthMillis, router: usize, id: RequestId, worker: WorkerId) {
        let attempts = self.attempts.entry((router, id)).or_default();
        let attempt = Attempt { router, id, number: *attempts };
        *attempts += 1;
        let n = u16::from_be_bytes([worker[2], worker[3]]);
        let is_prefill = self.workers[usize::from(n)].kind == PREFILL_KIND;
        let is_warming = self.warming.contains(&n);
        if is_warming {
            self.sent_at.entry(worker).or_default().push(now);
        }
        let may_reject = self.rejections > 0.0 && is_warming && self.started_at > 0;
        let event = if may_reject && self.rejections > self.rng.unit() {
            Event::Rejection(attempt)
        } else if is_prefill {
            Event::PrefillEnd(attempt)
        } else {
            Event::ResponseStart(attempt)
        };
        let millis = if is_prefill { 100.0 + 100.0 * self.rng.unit() } else { 5.0 };
        self.schedule(now + millis as TenthMillis * MS, event);
    }

    fn run_until(&mut self, until: TenthMillis) {
        while let Some(Reverse((now, ..))) = self.queue.peek() {
            if *now >= until {
                return;
            }
            let Some(Reverse((now, sequence, event))) = self.queue.pop() else { return };
            let router = self.handle(now, sequence, event);
            self.drain_actions(now, router);
        }
    }

    /// Notifies a router of an event and returns its index.
    fn handle(&mut self, now: TenthMillis, sequence: u64, event: Event) -> usize {
        let (attempt, outcome) = match event {
            Event::Request => {
                self.schedule_next_request(now);
                return self.send_request(now, sequence);
            }
            Event::Timer(router) => {
                self.routers[router].timer_fired(now);
                return router;
            }
            Event::ResponseStart(attempt) => {
                self.routers[attempt.router].response_started(now, attempt.id, attempt.number);
                self.schedule(now + 100 * MS, Event::ResponseEnd(attempt));
                return attempt.router;
            }
            Event::PrefillEnd(attempt) => (attempt, AttemptOutcome::PrefillComplete),
            Event::Rejection(attempt) => (attempt, AttemptOutcome::Rejected),
            Event::ResponseEnd(attempt) => (attempt, AttemptOutcome::Completed),
        };
        let Attempt { router, id, number } = attempt;
        let terminal = outcome == AttemptOutcome::Completed;
        self.routers[router].attempt_finished(now, id, number, outcome, terminal);
        if terminal {
            self.attempts.remove(&(router, id));
        }
        router
    }

    fn send_request(&mut self, now: TenthMillis, sequence: u64) -> usize {
        let position = self.rng.unit();
        let router =
            self.traffic_up_to.partition_point(|up_to| *up_to < position).min(self.routers.len() - 1);
        let new_request = NewRequest {
            id: sequence,
            class: 0,
            session: sequence,
            prefix: 1 + (self.rng.unit() * 50.0) as u64,
            prompt_tokens: 900.0,
            remaining_time: 60_000,
        };
        self.routers[router].request_arrived(now, new_request);
        router
    }

    /// Evaluates what was sent to the warming workers since they started.
    fn evaluate(&self) -> FleetResult {
        let config = &self.config;
        let mut result = FleetResult::default();
        let warm_up_time = config.warm_up_time as f64;
        for n in self.warming.clone() {
            let size = self.workers[usize::from(n)].size;
            let sent = self.sent_at.get(&worker(n)).map_or(&[][..], Vec::as_slice);
            let sent: Vec<_> = sent.iter().filter(|at| **at >= self.started_at).collect();
            result.budgets +=
                config.overload_multiple * self.capacity * size * (1.0 + config.cold_capacity_share) / 2.0
                    * warm_up_time
                    / SECOND;
            result.attempts += sent.len() as f64;
            for (index, &at) in sent.iter().enumerate() {
                let warm_up_progress = (at - self.started_at) as f64 / warm_up_time;
                let present_share = config.cold_capacity_share
                    + (1.0 - config.cold_capacity_share) * warm_up_progress.min(1.0);
                let capacity = self.capacity * size * present_share;
                let budget = config.overload_multiple * capacity * config.overload_window as f64 / SECOND;
                let count = sent[index..].partition_point(|sent_at| **sent_at < at + config.overload_window);
                result.windows += 1;
                result.over_budget += usize::from(count as f64 > budget + 2.0 * budget.sqrt() + 2.0);
            }
        }
        result
    }
}

/// Runs a fleet until the workers that start in it are warm.
fn run_fleet(seed: u64, kind: FleetKind) -> FleetResult {
    let mut fleet = Fleet::generate(seed, kind);
    fleet.schedule_next_request(0);
    // Some routers have just started themselves when the workers start.
    let millis = 1_000.0 + 11_000.0 * fleet.rng.unit();
    fleet.started_at = millis as TenthMillis * MS;
    fleet.run_until(fleet.started_at);
    fleet.update_endpoints(fleet.started_at, fleet.warming.clone(), fleet.started_at);
    fleet.run_until(fleet.started_at + fleet.config.warm_up_time);
    fleet.evaluate()
}

/// Runs a number of fleets and sums up their results.
fn run_fleets(fleets: u64, kind: FleetKind) -> FleetResult {
    let run_part = move |part: u64| {
        let seeds = (0..fleets).filter(|seed| seed % THREADS == part);
        seeds.map(|seed| run_fleet(seed, kind)).fold(FleetResult::default(), FleetResult::merge)
    };
    let threads: Vec<_> = (0..THREADS).map(|part| std::thread::spawn(move || run_part(part))).collect();
    let results = threads
        .into_iter()
        .map(|thread| thread.join().expect("the thread should run its part of the fleets"));
    let total = results.fold(FleetResult::default(), FleetResult::merge);
    let FleetResult { windows, over_budget, attempts, budgets } = total;
    println!("{over_budget} of {windows} windows exceed the budget plus the allowance for chance; {attempts} attempts, {budgets:.0} in all budgets");
    total
}

#[test]
fn many_routers_with_uneven_traffic_do_not_overload_prefill_workers_that_start_together() {
    let FleetResult { windows, over_budget, attempts, budgets } = run_fleets(FLEETS, PREFILL_WORKERS_START);
    // With a mean that fills the budget, chance alone exceeds the budget in a few of a hundred windows.
    assert!(windows > 40_000 && over_budget * 20_000 <= windows, "{over_budget} of {windows}");
    assert!(attempts > budgets / 20.0, "warming workers should receive attempts: {attempts} of {budgets}");
}

#[test]
fn routers_do_not_overload_starting_decode_and_mixed_workers_of_many_sizes() {
    let kind = FleetKind { decode_workers_start: true, ..PREFILL_WORKERS_START };
    let FleetResult { windows, over_budget, attempts, budgets } = run_fleets(FLEETS / 4, kind);
    assert!(windows > 5_000 && over_budget * 20_000 <= windows, "{over_budget} of {windows}");
    assert!(attempts > budgets / 20.0, "warming workers should receive attempts: {attempts} of {budgets}");
}

#[test]
fn few_routers_do_not_overload_warming_workers_that_reject_many_attempts() {
    let kind = FleetKind { routers: (1.0, 8.0), rejections: 0.5, ..PREFILL_WORKERS_START };
    let FleetResult { windows, over_budget, attempts, budgets } = run_fleets(FLEETS, kind);
    assert!(windows > 20_000 && over_budget * 20_000 <= windows, "{over_budget} of {windows}");
    assert!(attempts > budgets / 20.0, "warming workers should receive attempts: {attempts} of {budgets}");
}
