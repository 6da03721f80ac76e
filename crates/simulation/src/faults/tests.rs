//! Shrinking the faults of a failed scenario.

use super::*;

#[test]
fn shrinking_keeps_only_the_items_that_cause_the_failure() {
    let all: Vec<u32> = (0..40).collect();
    for needed in [vec![7], vec![3, 31], vec![0, 19, 39]] {
        let mut runs = 0;
        let remaining = shrink(&all, 1000, |some| {
            runs += 1;
            needed.iter().all(|item| some.contains(item))
        });
        assert_eq!(remaining, needed);
        assert!(runs < 200, "{runs} runs");
    }
    // The number of runs is bounded, and the subset that is found by then still fails.
    assert!(shrink(&all, 3, |some| some.contains(&7)).contains(&7));
}
