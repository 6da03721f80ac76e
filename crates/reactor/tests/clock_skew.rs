//! Checks what a skewed clock shows at given true times.

use tideroute_reactor::ClockSkew;

#[test]
fn skew_applies_within_its_window_only_and_time_never_goes_back() {
    let skew = ClockSkew { from: 1_000, until: 2_000, rate: 1.5, offset: 700 };
    assert_eq!([0, 1_000, 1_500, 2_000, 9_000].map(|t| skew.apply(0, t)), [0, 1_000, 1_750, 2_500, 9_500]);
    // A process that starts within the window finds the clock set ahead.
    assert_eq!(skew.apply(1_500, 1_600), 2_350);
    let slow = ClockSkew { rate: 0.5, offset: -300, ..skew };
    assert_eq!(slow.apply(1_500, 1_600), 1_250);
    let shown: Vec<_> = (0..3_000).map(|t| slow.apply(0, t)).collect();
    assert!(shown.is_sorted());
}
