use super::LoopLag;

#[test]
fn the_worst_lag_is_remembered_for_a_second_and_forgotten_after_two() {
    let mut lag = LoopLag::default();
    lag.record(10_000_000, 30_000);
    lag.record(10_500_000, 2_000);
    assert_eq!(lag.worst(), 30_000);
    lag.record(11_100_000, 1_000);
    assert_eq!(lag.worst(), 30_000);
    lag.record(12_200_000, 500);
    assert_eq!(lag.worst(), 1_000);
    lag.record(20_000_000, 0);
    assert_eq!(lag.worst(), 0);
}

#[test]
fn at_most_a_quarter_of_the_remaining_time_is_attributed_to_lag() {
    let mut lag = LoopLag::default();
    lag.record(1_000_000, 100_000);
    assert_eq!(
        (lag.remaining_time(4_000_000), lag.remaining_time(100_000), lag.remaining_time(0)),
        (3_900_000, 75_000, 0)
    );
}
