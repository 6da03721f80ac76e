//! What a decision costs: the module alone, driven in a loop by a plain host, with so many workers and so many
//! submissions open, beside the module as it was when it counted everything anew at each look; and the order of
//! readers that is kept beside the one that is sorted each time. `cargo bench --bench decisions`.

// Less of it is called here than in its test.
#[allow(dead_code)]
#[path = "../tests/reference/mod.rs"]
mod reference;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hint::black_box;
use std::time::{Duration, Instant};

use tideroute::rendezvous::{unit_hash, RendezvousRanking};
use tideroute::types::*;
// The old module names these by the root of its crate.
use tideroute::{ewma, rng, types};

const MS: TenthMillis = 10;
const START: TenthMillis = 1_000_000;
/// How long a read takes.
const READ: TenthMillis = 60 * MS;
/// Runs of which the best counts: other work on the machine only adds.
const RUNS: usize = 3;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive,
    Held(RequestId),
    Read(RequestId, u16),
    Start(RequestId, u16),
    End(RequestId, u16),
    Wake,
}

/// How much is measured.
#[derive(Clone, Copy)]
struct Size {
    workers: u16,
    /// Submissions a second; with the length of an answer they make how many are open.
    rate: u64,
    answer: TenthMillis,
    measured: u64,
    /// No two submissions share a prefix or a session.
    alone: bool,
}

/// The calls that both modules have.
trait Module {
    fn begin(seed: u64) -> Self;
    fn begin_endpoint_snapshot(&mut self, now: TenthMillis);
    fn endpoint_updated(&mut self, now: TenthMillis, list: Endpoint);
    fn request_arrived(&mut self, now: TenthMillis, new_request: NewRequest) -> bool;
    fn reservation_answered(&mut self, now: TenthMillis, id: RequestId, held: bool);
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

/// Implements [`Module`] for a router by its own names for the trait's calls, in the trait's order.
macro_rules! module {
    ($router:ty: $snapshot:ident, $updated:ident, $arrived:ident, $reserved:ident, $started:ident, $finished:ident,
     $fired:ident, $next:ident) => {
        impl Module for $router {
            fn begin(seed: u64) -> Self {
                <$router>::new(terms(), seed, START)
            }
            fn begin_endpoint_snapshot(&mut self, now: TenthMillis) {
                <$router>::$snapshot(self, now)
            }
            fn endpoint_updated(&mut self, now: TenthMillis, endpoint: Endpoint) {
                <$router>::$updated(self, now, endpoint)
            }
            fn request_arrived(&mut self, now: TenthMillis, new_request: NewRequest) -> bool {
                <$router>::$arrived(self, now, new_request)
            }
            fn reservation_answered(&mut self, now: TenthMillis, id: RequestId, held: bool) {
                <$router>::$reserved(self, now, id, held)
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

module!(tideroute::scheduler::Scheduler: begin_endpoint_snapshot, endpoint_updated, request_arrived,
    reservation_answered, response_started, attempt_finished, timer_fired, next_action);
module!(reference::router::Router: list_anew, listed, arrived, answered_ahead, started, settled, woken, decide);

fn terms() -> SchedulerConfig {
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

/// Microseconds within the module a submission, once as many are open as the size says, and how many were.
fn cost<M: Module>(size: Size) -> (f64, usize) {
    let mut now = START;
    let mut module = M::begin(7);
    module.begin_endpoint_snapshot(now);
    for n in 0..size.workers {
        let worker = [10, 0, 0, (n >> 8) as u8, n as u8, 1];
        let (kind, cell, zone) = (u16::from(n % 3 != 0), n / 9, (n / 9 % 3) as u8);
        let status = EndpointStatus::Serving;
        module.endpoint_updated(now, Endpoint { worker, kind, size: 8.0, status, cell, zone, start_time: 0 });
    }
    let gap = 10_000 / size.rate.max(1);
    let warm_up = size.rate * (size.answer as u64 / 10_000 + 1);
    let (mut due, mut order) = (BinaryHeap::<Reverse<(TenthMillis, u64, What)>>::new(), 0u64);
    let (mut came, mut attempts) = (0u64, HashMap::new());
    let (mut open, mut took) = (0usize, Duration::ZERO);
    due.push(Reverse((now, 0, What::Arrive)));
    while let Some(Reverse((at, _, what))) = due.pop() {
        now = at;
        order += 1;
        match what {
            What::Arrive => {
                came += 1;
                if came == warm_up {
                    took = Duration::ZERO;
                }
                if came == warm_up + size.measured {
                    return (took.as_secs_f64() * 1e6 / size.measured as f64, open);
                }
                open += 1;
                due.push(Reverse((now + gap as TenthMillis, order, What::Arrive)));
            }
            What::End(..) => open -= 1,
            _ => {}
        }
        let began = Instant::now();
        match what {
            What::Arrive => {
                let (session, prefix) = if size.alone { (came, 0) } else { (came % 997, came % 20) };
                let new_request = NewRequest {
                    id: came,
                    class: 0,
                    session,
                    prefix,
                    prompt_tokens: 800.0,
                    remaining_time: 5_000 * MS,
                };
                assert!(module.request_arrived(now, new_request));
            }
            What::Held(id) => module.reservation_answered(now, id, true),
            What::Read(id, attempt) => {
                module.attempt_finished(now, id, attempt, AttemptOutcome::PrefillComplete, false)
            }
            What::Start(id, attempt) => module.response_started(now, id, attempt),
            What::End(id, attempt) => {
                module.attempt_finished(now, id, attempt, AttemptOutcome::Completed, true)
            }
            What::Wake => module.timer_fired(now),
        }
        let mut decisions = vec![];
        decisions.extend(std::iter::from_fn(|| module.next_action(now)));
        took += began.elapsed();
        for decision in decisions {
            order += 1;
            let mut push = |after, what| due.push(Reverse((now + after, order, what)));
            match decision {
                Action::Dispatch { id, .. } => {
                    let attempt = attempts.entry(id).or_insert(0u16);
                    if *attempt == 0 {
                        push(READ, What::Read(id, 0));
                    } else {
                        push(10 * MS, What::Start(id, *attempt));
                        push(size.answer, What::End(id, *attempt));
                    }
                    *attempt += 1;
                }
                Action::ReserveDecode { id, .. } => push(2 * MS, What::Held(id)),
                Action::SetTimer { delay: after } => push(after, What::Wake),
                Action::Reject { .. } | Action::Fail { .. } => open -= 1,
                _ => {}
            }
        }
    }
    unreachable!("arrivals never end")
}

fn line(size: Size) {
    let runs = (0..RUNS).map(|_| cost::<tideroute::scheduler::Scheduler>(size));
    let (now, open) = runs.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or_default();
    let (then, _) = cost::<reference::router::Router>(Size { measured: size.measured.min(300), ..size });
    let who = if size.alone { "alone" } else { "shared" };
    let (workers, rate) = (size.workers, size.rate);
    println!("{workers:>7}{rate:>9}{open:>9}{who:>9}{now:>9.1}{then:>10.1}{:>8.1}", then / now);
}

/// Nanoseconds to the reader tried first, kept and sorted anew.
fn orders() {
    println!("\nreaders   kept, ns   a new key, ns   sorted each time, ns");
    for readers in [13u16, 37, 133, 400] {
        let shares: Vec<_> = (0..readers).map(|n| ([10, 0, 0, (n >> 8) as u8, n as u8, 1], 1.0)).collect();
        let mut ranking = RendezvousRanking::default();
        ranking.replace(shares.clone());
        let time = |look: &mut dyn FnMut(u64)| {
            let began = Instant::now();
            (0..20_000).for_each(look);
            began.elapsed().as_nanos() as f64 / 20_000.0
        };
        let kept = time(&mut |n| _ = black_box(ranking.nth(n % 500, 0)));
        let fresh = time(&mut |n| _ = black_box(ranking.nth(n + 1_000, 0)));
        let plain = time(&mut |n| {
            let ranks = shares.iter().map(|(id, share)| (share / -unit_hash(n, *id).ln(), *id));
            let mut ranks: Vec<_> = ranks.collect();
            ranks.sort_by(|a, b| b.0.total_cmp(&a.0));
            black_box(ranks);
        });
        println!("{readers:>7}{kept:>11.0}{fresh:>16.0}{plain:>23.0}");
    }
}

/// The longest that the module takes for a whole list of 1,200, with 6,000 open and one in ten changed.
fn reloads() {
    let worker = |n: u16| [10, 0, 0, (n >> 8) as u8, n as u8, 1];
    let endpoint = |n: u16, status| Endpoint {
        worker: worker(n),
        kind: u16::from(!n.is_multiple_of(3)),
        size: 8.0,
        status,
        cell: n / 9,
        zone: (n / 9 % 3) as u8,
        start_time: 0,
    };
    let (mut router, mut now) = (tideroute::scheduler::Scheduler::new(terms(), 7, START), START);
    let (mut longest, mut sum) = (Duration::ZERO, Duration::ZERO);
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
            assert!(router.request_arrived(now, new_request));
        }
        while router.next_action(now).is_some() {}
        now += 50 * MS;
        let began = Instant::now();
        router.begin_endpoint_snapshot(now);
        for n in 0..1_200 {
            let drains = n % 10 == round % 10;
            router.endpoint_updated(
                now,
                endpoint(n, if drains { EndpointStatus::Draining } else { EndpointStatus::Serving }),
            );
        }
        while black_box(router.next_action(now)).is_some() {}
        (longest, sum) = (longest.max(began.elapsed()), sum + began.elapsed());
    }
    println!(
        "\na list of 1,200 anew: {:.2} ms on average, {:.2} ms at most",
        sum.as_secs_f64() * 20.0,
        longest.as_secs_f64() * 1e3
    );
}

fn main() {
    println!("workers a second     open     keys   us now    before   ratio");
    let size = Size { workers: 40, rate: 100, answer: 6_000 * MS, measured: 2_000, alone: false };
    for workers in [40, 110, 400, 1_200] {
        for answer in [6_000, 60_000, 600_000] {
            line(Size { workers, answer: answer * MS, ..size });
        }
    }
    for (workers, rate, alone) in
        [(110, 300, false), (400, 1_000, false), (1_200, 5_000, false), (40, 100, true), (1_200, 100, true)]
    {
        line(Size { workers, rate, alone, ..size });
    }
    orders();
    reloads();
}
