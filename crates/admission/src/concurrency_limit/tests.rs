use super::*;

/// Returns the limit after each round, with workers that respond in time up to `hidden_capacity` and late beyond it.
fn limits_after_rounds(hidden_capacity: f64, rounds: usize) -> Vec<f64> {
    let mut concurrency_limit = ConcurrencyLimit::default();
    let mut now = 0;
    let mut limits = vec![];
    for _ in 0..rounds {
        let limit = concurrency_limit.limit();
        let admitted_at = now;
        concurrency_limit.limit_reached();
        now += 1000;
        for _ in 0..limit as u64 {
            concurrency_limit.record_response(now, admitted_at, limit <= hidden_capacity);
        }
        limits.push(concurrency_limit.limit());
    }
    limits
}

#[test]
fn the_limit_finds_a_hidden_capacity_and_stays_near_it() {
    for hidden_capacity in [10.0, 100.0, 2_000.0] {
        let limits = limits_after_rounds(hidden_capacity, 400);
        let settled = &limits[200..];
        let mean = settled.iter().sum::<f64>() / settled.len() as f64;
        assert!(mean > 0.7 * hidden_capacity && mean < 1.05 * hidden_capacity, "{hidden_capacity}: {mean}");
        assert!(
            settled.iter().all(|limit| *limit <= hidden_capacity * 1.25 + 2.0),
            "{hidden_capacity}: overshoot"
        );
    }
}

/// Responses in time at low load say nothing about the capacity. If the limit grew with them, it would be far too high
/// when the load rises.
#[test]
fn the_limit_does_not_grow_while_it_is_not_reached() {
    let mut concurrency_limit = ConcurrencyLimit::default();
    (0..10_000).for_each(|n| concurrency_limit.record_response(n, n, true));
    assert_eq!(concurrency_limit.limit(), INITIAL_LIMIT);
}

/// Responses to requests that were admitted under the old limit still arrive late after a decrease. If they counted,
/// one overload would decrease the limit several times.
#[test]
fn responses_to_requests_admitted_before_a_decrease_cause_no_second_one() {
    let mut concurrency_limit = ConcurrencyLimit::default();
    (0..1000).for_each(|_| concurrency_limit.record_response(10, 5, false));
    assert_eq!(concurrency_limit.limit(), INITIAL_LIMIT * DECREASE_FACTOR);
}
