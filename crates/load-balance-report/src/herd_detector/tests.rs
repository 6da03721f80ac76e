use super::*;

/// Returns the `n`-th of a sequence of pseudo-random numbers less than `below`: a scrambled Weyl sequence, which is
/// random enough to tell even from uneven choices.
fn sample(n: u64, below: u64) -> usize {
    let x = (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ n >> 7).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    ((x ^ x >> 31) % below) as usize
}

/// Returns the index of dispersion, the number of herd windows, and the number expected with independent choices.
fn detect(choose: &dyn Fn(u64) -> usize) -> (f64, f64, f64) {
    let weights = [1.0; 40];
    let mut detector = HerdDetector::default();
    for n in 0..30_000u64 {
        detector.attempt_received(1_000_000 + n * 4_000, choose(n), &weights);
    }
    detector.close_window(&weights);
    (detector.dispersion_index(), detector.herd_windows() as f64, detector.expected_herd_windows())
}

#[test]
fn herds_are_detected_and_independent_choices_are_not_herds() {
    let (index, herds, expected) = detect(&|n| sample(n, 40));
    assert!((0.9..1.1).contains(&index), "{index}");
    assert!(herds <= 3.0 * expected.max(1.0), "{herds} of {expected}");
    // Round robin is more even than chance.
    let (index, herds, _) = detect(&|n| (n % 40) as usize);
    assert!(index < 0.6 && herds == 0.0, "{index} {herds}");
    // All routers choose the worker that looked emptiest, which changes every 100 ms.
    let (index, herds, expected) = detect(&|n| sample(n / 25, 40));
    assert!(index > 5.0 && herds > 100.0 * expected, "{index} {herds}");
}

#[test]
fn binomial_tail_matches_known_values() {
    assert!((binomial_tail(10, 0.5, 5) - 0.623_046_875).abs() < 1e-9);
    assert!((binomial_tail(3, 0.25, 3) - 0.015_625).abs() < 1e-9);
    assert_eq!(binomial_tail(7, 0.3, 0), 1.0);
}
