//! The wheel against a `BTreeMap`: so many timers open, time passing in steps of so many ticks that ten of them
//! fire, each set anew.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_reactor::timer_wheel::TimerWheel;

/// Ticks to the latest timer.
const LONGEST: u64 = 3_000_000;
/// Timers that fire in one step.
const DUE_PER_STEP: u64 = 10;

fn timers(c: &mut Criterion) {
    let mut group = c.benchmark_group("ten fire and are set anew");
    group
        .sample_size(20)
        .measurement_time(Duration::from_millis(500))
        .warm_up_time(Duration::from_millis(200));
    for open in [1_000u64, 30_000, 300_000] {
        // Timers lie evenly between now and the latest, on average halfway.
        let step = LONGEST / 2 * DUE_PER_STEP / open;
        let mut rng = Pcg64::seed_from_u64(7);
        let mut wheel = TimerWheel::new(0);
        let (mut now, mut due) = (0, vec![]);
        (0..open).for_each(|key| wheel.set(rng.random_range(1..LONGEST), key));
        group.bench_function(BenchmarkId::new("wheel", open), |b| {
            b.iter(|| {
                now += step;
                due.clear();
                wheel.advance(now, &mut due);
                due.iter().for_each(|&key| wheel.set(now + rng.random_range(1..LONGEST), key));
                black_box(&due);
            })
        });
        let mut rng = Pcg64::seed_from_u64(7);
        let mut map = BTreeMap::new();
        let (mut now, mut order) = (0, 0u64);
        (0..open).for_each(|key| {
            map.insert((rng.random_range(1..LONGEST), key), key);
        });
        group.bench_function(BenchmarkId::new("map", open), |b| {
            b.iter(|| {
                now += step;
                due.clear();
                while let Some(entry) = map.first_entry().filter(|e| e.key().0 <= now) {
                    due.push(entry.remove());
                }
                for &key in &due {
                    order += 1;
                    map.insert((now + rng.random_range(1..LONGEST), open + order), key);
                }
                black_box(&due);
            })
        });
    }
    group.finish();
}

criterion_group!(benches, timers);
criterion_main!(benches);
