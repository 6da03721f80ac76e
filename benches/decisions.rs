//! What a decision costs: the module alone, driven in a loop by a plain host, with so many workers and so many
//! submissions open whose answers stream for six seconds. `cargo bench --bench decisions`, a line a size.

use std::collections::BinaryHeap;
use std::time::Instant;

use tideroute::choice::Router;
use tideroute::interface::*;

const MS: Tenths = 10;
/// How long a read and a whole answer take.
const READ: Tenths = 60 * MS;
const ANSWER: Tenths = 6_000 * MS;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive,
    Held(SubmissionId),
    Read(SubmissionId, u16),
    Start(SubmissionId, u16),
    End(SubmissionId, u16),
    Wake,
}

type Due = std::cmp::Reverse<(Tenths, u64, What)>;

fn terms() -> Terms {
    let track =
        Track { repeat: Repeat::Replayable, contract: 1_500 * MS, per_thousand: 40 * MS, earnings: 1.0 };
    Terms {
        routers: 3,
        tracks: vec![track],
        roles: vec![Role::Reader, Role::Writer],
        places: true,
        release: 500 * MS,
        cold_share: 0.3,
        warm_after: 10_000 * MS,
        fall_multiple: 2.5,
        fall_span: 2_000 * MS,
        max_shots: 5,
        withdrawals: true,
        probes: true,
        advice: true,
        longest_advice: 1_000 * MS,
        ..Terms::default()
    }
}

/// Microseconds a submission, once as many are open as that rate brings; and how many were.
fn cost(workers: u16, rate: u64, submissions: u64) -> (f64, usize) {
    let mut now = 1_000_000;
    let mut router = Router::new(terms(), 7, now);
    router.list_anew(now);
    for n in 0..workers {
        let worker = [10, 0, 0, (n >> 8) as u8, n as u8, 1];
        let (kind, cell, zone) = (u16::from(n % 3 != 0), n / 9, (n / 9 % 3) as u8);
        let standing = Standing::Ready;
        router.listed(now, Listing { worker, kind, size: 8.0, standing, cell, zone, started: 0 });
    }
    let gap = 10_000 / rate.max(1);
    let warm_up = rate * 7;
    let (mut due, mut order) = (BinaryHeap::<Due>::new(), 0u64);
    let (mut came, mut shots) = (0u64, std::collections::HashMap::new());
    let (mut open, mut began) = (0usize, Instant::now());
    due.push(std::cmp::Reverse((now, 0, What::Arrive)));
    while let Some(std::cmp::Reverse((at, _, what))) = due.pop() {
        now = at;
        order += 1;
        match what {
            What::Arrive => {
                came += 1;
                if came == warm_up {
                    began = Instant::now();
                }
                if came == warm_up + submissions {
                    let took = began.elapsed().as_secs_f64() * 1e6;
                    return (took / submissions as f64, open);
                }
                let (id, session, prefix) = (came, came % 997, came % 20);
                let arrival = Arrival { id, track: 0, session, prefix, prompt: 800.0, left: 5_000 * MS };
                assert!(router.arrived(now, arrival));
                open += 1;
                due.push(std::cmp::Reverse((now + gap as Tenths, order, What::Arrive)));
            }
            What::Held(id) => router.answered_ahead(now, id, true),
            What::Read(id, shot) => router.settled(now, id, shot, Ending::Read, false),
            What::Start(id, shot) => router.started(now, id, shot),
            What::End(id, shot) => {
                router.settled(now, id, shot, Ending::Honoured, true);
                open -= 1;
            }
            What::Wake => router.woken(now),
        }
        while let Some(decision) = router.decide(now) {
            order += 1;
            let mut push = |after, what| due.push(std::cmp::Reverse((now + after, order, what)));
            match decision {
                Decision::Send { id, .. } => {
                    let shot = shots.entry(id).or_insert(0u16);
                    if *shot == 0 {
                        push(READ, What::Read(id, 0));
                    } else {
                        push(10 * MS, What::Start(id, *shot));
                        push(ANSWER, What::End(id, *shot));
                    }
                    *shot += 1;
                }
                Decision::Hold { id, .. } => push(2 * MS, What::Held(id)),
                Decision::Wake { after } => push(after, What::Wake),
                Decision::TurnBack { .. } | Decision::Abandon { .. } => open -= 1,
                _ => {}
            }
        }
    }
    unreachable!("arrivals never end")
}

fn main() {
    println!("workers   a second      open   us a submission");
    for (workers, rate, submissions) in [
        (40, 100, 1000),
        (110, 100, 1000),
        (110, 300, 1000),
        (110, 1_000, 1000),
        (400, 1_000, 500),
        (1_200, 1_000, 200),
    ] {
        let (took, open) = cost(workers, rate, submissions);
        println!("{workers:>7}{rate:>11}{open:>10}{took:>18.1}");
    }
}
