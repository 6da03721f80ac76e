//! The wheel against a `BTreeMap`, as a router uses timers: one set for each submission, most long before they
//! are due, and time passing in small steps.

use std::collections::BTreeMap;
use std::hint::black_box;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_reactor::wheel::Wheel;

/// Ticks between two steps, and the longest timer.
const STEP: u64 = 10;
const LONGEST: u64 = 60_000;

fn timers(c: &mut Criterion) {
    let mut group = c.benchmark_group("set one, pass ten ticks");
    for open in [1_000u64, 30_000, 300_000] {
        let mut chance = Pcg64::seed_from_u64(7);
        let mut wheel = Wheel::new(0);
        let (mut now, mut due) = (0, vec![]);
        (0..open).for_each(|key| wheel.set(chance.random_range(1..LONGEST), key));
        group.bench_function(BenchmarkId::new("wheel", open), |b| {
            b.iter(|| {
                now += STEP;
                wheel.set(now + chance.random_range(1..LONGEST), now);
                due.clear();
                wheel.advance(now, &mut due);
                // What rang is set anew, so that as many stay open.
                due.iter().for_each(|&key| wheel.set(now + chance.random_range(1..LONGEST), key));
                black_box(&due);
            })
        });
        let mut chance = Pcg64::seed_from_u64(7);
        let mut plain = BTreeMap::new();
        let (mut now, mut order) = (0, 0u64);
        (0..open).for_each(|key| {
            plain.insert((chance.random_range(1..LONGEST), key), key);
        });
        group.bench_function(BenchmarkId::new("map", open), |b| {
            b.iter(|| {
                now += STEP;
                order += 1;
                plain.insert((now + chance.random_range(1..LONGEST), open + order), now);
                due.clear();
                while let Some(entry) = plain.first_entry().filter(|e| e.key().0 <= now) {
                    due.push(entry.remove());
                }
                for &key in &due {
                    order += 1;
                    plain.insert((now + chance.random_range(1..LONGEST), open + order), key);
                }
                black_box(&due);
            })
        });
    }
    group.finish();
}

criterion_group!(benches, timers);
criterion_main!(benches);
