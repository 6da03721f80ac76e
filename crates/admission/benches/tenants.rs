//! Measures the cost of a request with one tenant and with many tenants that all have waiting requests, of choosing the
//! next tenant with an ordered set and with a scan, and of counting calls with a sketch and with a hash table.
//! Run it with `cargo bench -p tideroute-admission --bench tenants`.

use std::collections::{BTreeSet, HashMap};
use std::hint::black_box;
use std::time::Instant;

use tideroute_admission::{
    AdmissionConfig, AdmissionControl, AdmissionRequest, CountMinSketch, Limits, RateLimit, ResponseTiming,
    Tenant, Ticket, Verdict,
};

const CONFIG: AdmissionConfig =
    AdmissionConfig { max_wait: 60_000_000, max_waiting: 100_000, max_retry_after: 1_000_000 };
/// Number of requests measured for each number of tenants.
const MEASURED: u64 = 200_000;
/// Number of requests that wait during the measurement.
const WAITING: u64 = 20_000;

/// Returns nanoseconds per request from its arrival to its response, with `tenants` tenants that all have waiting
/// requests and limits.
fn nanos_per_request(tenants: u32) -> f64 {
    let mut admission = AdmissionControl::new(CONFIG);
    let mut now = 1_000_000;
    let mut in_flight_tickets = Vec::new();
    let rate = RateLimit { per_second: 1e9, burst: 1e9 };
    for n in 0..tenants {
        let limits = Limits {
            requests: Some(rate),
            tokens: Some(rate),
            in_flight: Some(1_000_000),
            weight: 1.0 + f64::from(n % 5),
            waiting: u32::MAX,
        };
        admission.upsert_tenant(now, Tenant(n), limits);
    }
    let enqueue = |admission: &mut AdmissionControl, n: u64, now| {
        let tenant = Tenant((n * 7919 % u64::from(tenants)) as u32);
        let tokens = 100 + (n % 900) as u32;
        admission.enqueue(
            now,
            AdmissionRequest {
                ticket: Ticket(n),
                tenant,
                tokens,
                priority_weight: 1.0,
                deadline: now + 600_000_000,
            },
        );
    };
    (0..WAITING).for_each(|n| enqueue(&mut admission, n, now));
    let started_at = Instant::now();
    for n in WAITING..WAITING + MEASURED {
        now += 10;
        enqueue(&mut admission, n, now);
        while let Some(verdict) = admission.next_verdict(now) {
            if let Verdict::Admit(ticket) = verdict {
                in_flight_tickets.push(ticket);
            }
        }
        if let Some(ticket) = in_flight_tickets.pop() {
            admission.request_finished(now, ticket, ResponseTiming::InTime);
        }
    }
    started_at.elapsed().as_nanos() as f64 / MEASURED as f64
}

/// Returns nanoseconds to take the next tenant and insert it again: with an ordered set, and with a scan of all
/// tenants.
fn nanos_per_choice(tenants: usize) -> (f64, f64) {
    let rounds = 20_000_000 / (tenants + 1_000);
    let mut set: BTreeSet<(u64, usize)> = (0..tenants).map(|n| (n as u64 * 37 % 1_000, n)).collect();
    let started_at = Instant::now();
    for _ in 0..rounds {
        let Some((tag, tenant)) = set.pop_first() else { break };
        set.insert((tag + 500, black_box(tenant)));
    }
    let nanos_with_set = started_at.elapsed().as_nanos() as f64 / rounds as f64;
    let mut tags: Vec<u64> = (0..tenants).map(|n| n as u64 * 37 % 1_000).collect();
    let started_at = Instant::now();
    for _ in 0..rounds {
        let Some((tenant, _)) = tags.iter().enumerate().min_by_key(|(_, tag)| **tag) else { break };
        tags[black_box(tenant)] += 500;
    }
    (nanos_with_set, started_at.elapsed().as_nanos() as f64 / rounds as f64)
}

/// Returns nanoseconds to count a call with the sketch and with the hash table, and the number of entries in the table.
fn nanos_per_count(callers: u64) -> (f64, f64, usize) {
    let key = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15) % callers;
    let mut sketch = CountMinSketch::new(1, 1_000_000);
    let started_at = Instant::now();
    (0..1_000_000).for_each(|n| _ = black_box(sketch.count(0, key(n))));
    let nanos_with_sketch = started_at.elapsed().as_nanos() as f64 / 1e6;
    let mut table = HashMap::<u64, f64>::new();
    let started_at = Instant::now();
    (0..1_000_000).for_each(|n| *black_box(table.entry(key(n)).or_default()) += 1.0);
    (nanos_with_sketch, started_at.elapsed().as_nanos() as f64 / 1e6, table.len())
}

fn main() {
    println!("tenants       request, ns   next by set, ns          next by scan, ns");
    for tenants in [1, 100, 10_000, 100_000] {
        let (by_set, by_scan) = nanos_per_choice(tenants);
        println!("{tenants:>7}{:>19.0}{by_set:>18.0}{by_scan:>26.0}", nanos_per_request(tenants as u32));
    }
    println!("\ncallers   by sketch (64 KiB), ns   by table, ns   table size");
    for callers in [100, 100_000, 10_000_000] {
        let (by_sketch, by_table, entries) = nanos_per_count(callers);
        println!("{callers:>8}{by_sketch:>24.0}{by_table:>15.0}{entries:>14}");
    }
}
