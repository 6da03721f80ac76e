//! Fleets drawn by chance, in virtual time, beside a plain model of what a cold worker may be sent that knows nothing
//! of the decisions: its budget in the stated time and what chance may add to that, over all routers together.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Range;

use tideroute::rng::Rng;
use tideroute::scheduler::Scheduler;
use tideroute::types::*;

const MS: TenthMillis = 10;
/// Fleets that are drawn.
const FLEETS: u64 = 1_000;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive,
    Read(usize, RequestId, u16),
    Refuse(usize, RequestId, u16),
    Begin(usize, RequestId, u16),
    End(usize, RequestId, u16),
    Wake(usize),
}

struct Fleet {
    draw: Rng,
    terms: SchedulerConfig,
    routers: Vec<Scheduler>,
    /// The part of all submissions that come to those up to this one.
    upto: Vec<f64>,
    /// Each worker's kind, its place among the roles, and its size.
    workers: Vec<(u16, f64)>,
    /// Those that start together, and when they did.
    cold: Range<u16>,
    began: TenthMillis,
    /// Submissions in ten seconds, and what one of them of size 1 can do in a second.
    rate: f64,
    able: f64,
    queue: BinaryHeap<Reverse<(TenthMillis, u64, What)>>,
    events: u64,
    /// The part of calls that cold workers refuse, each of which counts too.
    refusals: f64,
    sent: BTreeMap<WorkerId, Vec<TenthMillis>>,
    attempts: BTreeMap<(usize, RequestId), u16>,
}

fn worker(n: u16) -> WorkerId {
    let [high, low] = n.to_be_bytes();
    [10, 0, high, low, 1, 0]
}

impl Fleet {
    /// A fleet in which some readers start, or else some of those that write, of two roles and many sizes.
    fn drawn(seed: u64, Kind { writers_start, routers, refusals }: Kind) -> Fleet {
        let mut draw = Rng::new(seed);
        let mut from = |least: f64, most: f64| least * (most / least).powf(draw.unit());
        let (many, readers, cold_share) =
            (from(routers.0, routers.1) as usize, from(4.0, 40.0) as u16, from(0.2, 0.5));
        let (span, warm, multiple) = (from(500.0, 2_000.0), from(8_000.0, 14_000.0), from(2.0, 3.0));
        let (able, busy, part) = (from(1.0, 12.0), from(0.4, 0.9), from(0.05, 0.6));
        let class = RequestClass {
            idempotency: Idempotency::Idempotent,
            ttft_objective: 1_200 * MS,
            ttft_objective_per_1000_tokens: 0,
            priority_weight: 1.0,
        };
        let terms = SchedulerConfig {
            router_count: many as u32,
            classes: vec![class],
            role_by_kind: vec![Role::Prefill, Role::Decode, Role::Mixed],
            state_release_timeout: 1_000 * MS,
            cold_capacity_share: cold_share,
            warm_up_time: warm as TenthMillis * MS,
            overload_multiple: multiple,
            overload_window: span as TenthMillis * MS,
            max_attempts: 6,
            ..SchedulerConfig::default()
        };
        // Some routers see several times what others do.
        let weights: Vec<f64> = (0..many).map(|_| from(0.2, 5.0)).collect();
        let all: f64 = weights.iter().sum();
        let upto = weights.iter().scan(0.0, |sum, w| {
            *sum += w / all;
            Some(*sum)
        });
        let upto = upto.collect();
        let routers = (0..many).map(|n| Scheduler::new(terms.clone(), seed * 1_000 + n as u64, 0)).collect();
        let writers = if writers_start { readers } else { readers.div_ceil(2) };
        let mut workers = vec![(0, 1.0); usize::from(readers)];
        for n in 0..writers {
            let drawn = (1 + u16::from(n % 3 == 2), if n % 3 == 2 { from(0.3, 0.8) } else { from(0.6, 2.0) });
            workers.push(if writers_start { drawn } else { (1, 1.0) });
        }
        let (first, many) = if writers_start { (readers, writers) } else { (0, readers) };
        let cold = first..first + (f64::from(many) * part).max(1.0) as u16;
        let sizes: f64 = workers[usize::from(first)..usize::from(first + many)].iter().map(|w| w.1).sum();
        let mut fleet = Fleet {
            draw,
            terms,
            routers,
            upto,
            workers,
            cold,
            began: 0,
            rate: sizes * able * busy,
            able,
            queue: BinaryHeap::new(),
            events: 0,
            refusals,
            sent: BTreeMap::new(),
            attempts: BTreeMap::new(),
        };
        fleet.list(0, 0..readers + writers, 0);
        fleet
    }

    /// All routers hear of these workers.
    fn list(&mut self, now: TenthMillis, which: Range<u16>, started: TenthMillis) {
        for n in which {
            let ((kind, size), cell) = (self.workers[usize::from(n)], n % 4);
            let (worker, status) = (worker(n), EndpointStatus::Serving);
            let endpoint = Endpoint { worker, kind, size, status, cell, zone: 0, start_time: started };
            self.routers.iter_mut().for_each(|r| r.endpoint_updated(now, endpoint));
        }
    }

    fn after(&mut self, at: TenthMillis, what: What) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events, what)));
    }

    fn arrives(&mut self, now: TenthMillis) {
        let gap = -(1.0 - self.draw.unit()).ln() / self.rate * 10_000.0;
        self.after(now + gap.ceil() as TenthMillis, What::Arrive);
    }

    fn pull(&mut self, now: TenthMillis, router: usize) {
        while let Some(decision) = self.routers[router].next_action(now) {
            match decision {
                Action::Dispatch { id, worker, .. } => {
                    let number = self.attempts.entry((router, id)).or_default();
                    let attempt = *number;
                    *number += 1;
                    let n = u16::from_be_bytes([worker[2], worker[3]]);
                    let reader = self.workers[usize::from(n)].0 == 0;
                    if self.cold.contains(&n) {
                        self.sent.entry(worker).or_default().push(now);
                    }
                    let refused = self.refusals > 0.0
                        && self.cold.contains(&n)
                        && self.began > 0
                        && self.refusals > self.draw.unit();
                    let what = match (refused, reader) {
                        (true, _) => What::Refuse,
                        (_, true) => What::Read,
                        _ => What::Begin,
                    };
                    let takes = if reader { 100.0 + 100.0 * self.draw.unit() } else { 5.0 };
                    self.after(now + takes as TenthMillis * MS, what(router, id, attempt));
                }
                Action::SetTimer { delay: after } => self.after(now + after, What::Wake(router)),
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.attempts.remove(&(router, id));
                }
                _ => {}
            }
        }
    }

    fn play(&mut self, until: TenthMillis) {
        while let Some(Reverse((now, ..))) = self.queue.peek() {
            if *now >= until {
                return;
            }
            let Some(Reverse((now, event, what))) = self.queue.pop() else { return };
            let router = match what {
                What::Arrive => {
                    self.arrives(now);
                    let lot = self.draw.unit();
                    let router = self.upto.partition_point(|upto| *upto < lot).min(self.routers.len() - 1);
                    let (session, prefix) = (event, 1 + (self.draw.unit() * 50.0) as u64);
                    let new_request = NewRequest {
                        id: event,
                        class: 0,
                        session,
                        prefix,
                        prompt_tokens: 900.0,
                        remaining_time: 60_000,
                    };
                    self.routers[router].request_arrived(now, new_request);
                    router
                }
                What::Read(router, id, attempt) => {
                    self.routers[router].attempt_finished(
                        now,
                        id,
                        attempt,
                        AttemptOutcome::PrefillComplete,
                        false,
                    );
                    router
                }
                What::Refuse(router, id, attempt) => {
                    self.routers[router].attempt_finished(now, id, attempt, AttemptOutcome::Rejected, false);
                    router
                }
                What::Begin(router, id, attempt) => {
                    self.routers[router].response_started(now, id, attempt);
                    self.after(now + 100 * MS, What::End(router, id, attempt));
                    router
                }
                What::End(router, id, attempt) => {
                    self.routers[router].attempt_finished(now, id, attempt, AttemptOutcome::Completed, true);
                    self.attempts.remove(&(router, id));
                    router
                }
                What::Wake(router) => {
                    self.routers[router].timer_fired(now);
                    router
                }
            };
            self.pull(now, router);
        }
    }

    /// Of the windows that begin with a call at a cold worker, how many there are, how many hold more than budget
    /// and chance allow, and the calls at cold workers beside what their budgets sum up to.
    fn judged(&self) -> (usize, usize, f64, f64) {
        let (t, mut all, mut over, mut reads, mut budgets) = (&self.terms, 0, 0, 0.0, 0.0);
        let lasts = self.terms.warm_up_time as f64;
        for n in self.cold.clone() {
            let size = self.workers[usize::from(n)].1;
            let sent = self.sent.get(&worker(n)).map_or(&[][..], Vec::as_slice);
            let sent: Vec<_> = sent.iter().filter(|at| **at >= self.began).collect();
            budgets += t.overload_multiple * self.able * size * (1.0 + t.cold_capacity_share) / 2.0 * lasts
                / 10_000.0;
            reads += sent.len() as f64;
            for (n, &at) in sent.iter().enumerate() {
                let warm = (at - self.began) as f64 / lasts;
                let able = self.able
                    * size
                    * (t.cold_capacity_share + (1.0 - t.cold_capacity_share) * warm.min(1.0));
                let budget = t.overload_multiple * able * t.overload_window as f64 / 10_000.0;
                let count = sent[n..].partition_point(|s| **s < at + t.overload_window);
                all += 1;
                over += usize::from(count as f64 > budget + 2.0 * budget.sqrt() + 2.0);
            }
        }
        (all, over, reads, budgets)
    }
}

/// What a fleet is drawn for: whose workers start, between which numbers of routers, and the part of calls refused.
#[derive(Clone, Copy)]
struct Kind {
    writers_start: bool,
    routers: (f64, f64),
    refusals: f64,
}

const READERS: Kind = Kind { writers_start: false, routers: (2.0, 300.0), refusals: 0.0 };

/// Windows over budget and chance, all windows, calls and budgets of so many fleets.
fn played(fleets: u64, kind: Kind) -> (usize, usize, f64, f64) {
    let threads: Vec<_> = (0..8)
        .map(|part| {
            std::thread::spawn(move || {
                let mut sums = (0, 0, 0.0, 0.0);
                for seed in (0..fleets).filter(|seed| seed % 8 == part) {
                    let mut fleet = Fleet::drawn(seed, kind);
                    fleet.arrives(0);
                    // Some have just begun themselves when the workers start.
                    let known = 1_000.0 + 11_000.0 * fleet.draw.unit();
                    fleet.began = known as TenthMillis * MS;
                    fleet.play(fleet.began);
                    fleet.list(fleet.began, fleet.cold.clone(), fleet.began);
                    fleet.play(fleet.began + fleet.terms.warm_up_time);
                    let (all, over, calls, budgets) = fleet.judged();
                    sums = (sums.0 + over, sums.1 + all, sums.2 + calls, sums.3 + budgets);
                }
                sums
            })
        })
        .collect();
    let (mut over, mut all, mut calls, mut budgets) = (0, 0, 0.0, 0.0);
    for thread in threads {
        let sums = thread.join().expect("a part of the fleets");
        (over, all, calls, budgets) = (over + sums.0, all + sums.1, calls + sums.2, budgets + sums.3);
    }
    println!("{over} of {all} windows over budget and chance; {calls} calls of {budgets:.0} in all budgets");
    (over, all, calls, budgets)
}

#[test]
fn many_routers_with_uneven_traffic_do_not_push_over_workers_that_start_together() {
    let (over, all, reads, budgets) = played(FLEETS, READERS);
    // Chance alone, at a mean that fills the budget, goes over in some of a hundred windows.
    assert!(all > 40_000 && over * 20_000 <= all, "{over} of {all}");
    assert!(reads > budgets / 20.0, "they are given work: {reads} of {budgets}");
}

#[test]
fn nor_those_that_write_where_two_roles_and_many_sizes_share_the_work() {
    let (over, all, calls, budgets) = played(FLEETS / 4, Kind { writers_start: true, ..READERS });
    assert!(all > 5_000 && over * 20_000 <= all, "{over} of {all}");
    assert!(calls > budgets / 20.0, "they are given work: {calls} of {budgets}");
}

#[test]
fn nor_do_few_routers_where_they_refuse_much_of_what_they_are_sent() {
    let (over, all, calls, budgets) = played(FLEETS, Kind { routers: (1.0, 8.0), refusals: 0.5, ..READERS });
    assert!(all > 20_000 && over * 20_000 <= all, "{over} of {all}");
    assert!(calls > budgets / 20.0, "they are given work: {calls} of {budgets}");
}
