use std::collections::HashMap;

use rand::{RngExt, SeedableRng};

use super::*;

#[test]
fn no_estimate_is_too_low_and_few_are_much_too_high() {
    let mut rng = rand_pcg::Pcg64::seed_from_u64(3);
    let mut sketch = CountMinSketch::new(9, 1_000_000);
    let mut exact_counts = HashMap::<u32, f64>::new();
    let mut overestimated = 0;
    let calls = 200_000;
    for _ in 0..calls {
        let caller = (rng.random::<f64>().powi(6) * 100_000.0) as u32;
        let count = exact_counts.entry(caller).or_default();
        *count += 1.0;
        let estimate = sketch.count(10, caller);
        assert!(estimate >= *count, "estimate {estimate} is below the exact count {count}");
        overestimated += usize::from(estimate > *count + calls as f64 * 2.72 / COLUMNS as f64);
    }
    assert!(overestimated < calls / 50, "{overestimated} of {calls} estimates exceed the error bound");
}

#[test]
fn counts_halve_as_time_passes() {
    let mut sketch = CountMinSketch::new(9, 1_000);
    (0..64).for_each(|_| _ = sketch.count(0, "a"));
    assert_eq!(sketch.count(2_000, "a"), 17.0);
    assert_eq!(sketch.count(10_000_000, "a"), 1.0);
}
