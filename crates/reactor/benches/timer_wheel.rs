//! Compares the timer wheel with a `BTreeMap` at different numbers of open timers. In each step, time advances so far that
//! ten timers fire on average, and each of them is set again.
//! `cargo bench -p tideroute-reactor --bench timer_wheel`.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_reactor::timer_wheel::TimerWheel;

/// Ticks until the latest timer fires.
const MAX_DELAY: u64 = 3_000_000;
/// Number of timers that fire in one step, on average.
const DUE_PER_STEP: u64 = 10;

fn timers(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("ten fire and are set anew");
    group
        .sample_size(20)
        .measurement_time(Duration::from_millis(500))
        .warm_up_time(Duration::from_millis(200));
    for open in [1_000u64, 30_000, 300_000] {
        // Timers are spread evenly between now and the latest, so their mean delay is half of `MAX_DELAY`.
        let step = MAX_DELAY / 2 * DUE_PER_STEP / open;
        let mut rng = Pcg64::seed_from_u64(7);
        let mut wheel = TimerWheel::new(0);
        let (mut now, mut due) = (0, vec![]);
        (0..open).for_each(|key| wheel.set(rng.random_range(1..MAX_DELAY), key));
        group.bench_function(BenchmarkId::new("wheel", open), |bencher| {
            bencher.iter(|| {
                now += step;
                due.clear();
                wheel.advance(now, &mut due);
                due.iter().for_each(|&key| wheel.set(now + rng.random_range(1..MAX_DELAY), key));
                black_box(&due);
            })
        });
        let mut rng = Pcg64::seed_from_u64(7);
        let mut map = BTreeMap::new();
        let (mut now, mut set_count) = (0, 0u64);
        (0..open).for_each(|key| {
            map.insert((rng.random_range(1..MAX_DELAY), key), key);
        });
        group.bench_function(BenchmarkId::new("map", open), |bencher| {
            bencher.iter(|| {
                now += step;
                due.clear();
                while let Some(entry) = map.first_entry().filter(|e| e.key().0 <= now) {
                    due.push(entry.remove());
                }
                for &key in &due {
                    set_count += 1;
                    map.insert((now + rng.random_range(1..MAX_DELAY), open + set_count), key);
                }
                black_box(&due);
            })
        });
    }
    group.finish();
}

criterion_group!(benches, timers);
criterion_main!(benches);
