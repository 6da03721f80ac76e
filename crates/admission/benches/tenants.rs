//! What a verdict costs with one tenant and with many, all of them with work; choosing the next by an ordered set
//! beside looking through all; and counting callers by sketch beside a table.
//! `cargo bench -p tideroute-admission --bench tenants`.

use std::collections::{BTreeSet, HashMap};
use std::hint::black_box;
use std::time::Instant;

use tideroute_admission::{Asked, Known, Limits, Rate, Shares, Sketch, Tenant, Terms, Ticket, Verdict};

const TERMS: Terms = Terms { longest_wait: 60_000_000, most_waiting: 100_000, longest_advice: 1_000_000 };
/// Submissions for each figure, and how many wait while it is taken.
const MEASURED: u64 = 200_000;
const WAITING: u64 = 20_000;

/// Nanoseconds from asking to having been answered, with so many tenants that all have work and limits.
fn verdicts(tenants: u32) -> f64 {
    let (mut shares, mut now, mut flying) = (Shares::new(TERMS), 1_000_000, Vec::new());
    let rate = Rate { a_second: 1e9, burst: 1e9 };
    for n in 0..tenants {
        let limits = Limits {
            requests: Some(rate),
            tokens: Some(rate),
            in_flight: Some(1_000_000),
            weight: 1.0 + f64::from(n % 5),
            waiting: u32::MAX,
        };
        shares.tenant(now, Tenant(n), limits);
    }
    let ask = |shares: &mut Shares, n: u64, now| {
        let tenant = Tenant((n * 7919 % u64::from(tenants)) as u32);
        let tokens = 100 + (n % 900) as u32;
        shares.asked(
            now,
            Asked { ticket: Ticket(n), tenant, tokens, priority_weight: 1.0, deadline: now + 600_000_000 },
        );
    };
    (0..WAITING).for_each(|n| ask(&mut shares, n, now));
    let began = Instant::now();
    for n in WAITING..WAITING + MEASURED {
        now += 10;
        ask(&mut shares, n, now);
        while let Some(verdict) = shares.decide(now) {
            if let Verdict::Let(ticket) = verdict {
                flying.push(ticket);
            }
        }
        if let Some(ticket) = flying.pop() {
            shares.answered(now, ticket, Known::InTime);
        }
    }
    began.elapsed().as_nanos() as f64 / MEASURED as f64
}

/// Nanoseconds to take the tenant that is next and file it again: by an ordered set, and looking through all.
fn choices(tenants: usize) -> (f64, f64) {
    let rounds = 20_000_000 / (tenants + 1_000);
    let mut set: BTreeSet<(u64, usize)> = (0..tenants).map(|n| (n as u64 * 37 % 1_000, n)).collect();
    let began = Instant::now();
    for _ in 0..rounds {
        let Some((tag, tenant)) = set.pop_first() else { break };
        set.insert((tag + 500, black_box(tenant)));
    }
    let ordered = began.elapsed().as_nanos() as f64 / rounds as f64;
    let mut tags: Vec<u64> = (0..tenants).map(|n| n as u64 * 37 % 1_000).collect();
    let began = Instant::now();
    for _ in 0..rounds {
        let Some((tenant, _)) = tags.iter().enumerate().min_by_key(|(_, tag)| **tag) else { break };
        tags[black_box(tenant)] += 500;
    }
    (ordered, began.elapsed().as_nanos() as f64 / rounds as f64)
}

/// Nanoseconds to count a caller, by sketch and by table, and the table's entries.
fn callers(different: u64) -> (f64, f64, usize) {
    let key = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15) % different;
    let mut sketch = Sketch::new(1, 1_000_000);
    let began = Instant::now();
    (0..1_000_000).for_each(|n| _ = black_box(sketch.count(0, key(n))));
    let by_sketch = began.elapsed().as_nanos() as f64 / 1e6;
    let mut table = HashMap::<u64, f64>::new();
    let began = Instant::now();
    (0..1_000_000).for_each(|n| *black_box(table.entry(key(n)).or_default()) += 1.0);
    (by_sketch, began.elapsed().as_nanos() as f64 / 1e6, table.len())
}

fn main() {
    println!("tenants   a submission, ns   next by set, ns   looking through all, ns");
    for tenants in [1, 100, 10_000, 100_000] {
        let (set, all) = choices(tenants);
        println!("{tenants:>7}{:>19.0}{set:>18.0}{all:>26.0}", verdicts(tenants as u32));
    }
    println!("\ncallers   by sketch (64 KiB), ns   by table, ns   its entries");
    for different in [100, 100_000, 10_000_000] {
        let (sketch, table, entries) = callers(different);
        println!("{different:>8}{sketch:>24.0}{table:>15.0}{entries:>14}");
    }
}
