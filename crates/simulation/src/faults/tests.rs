//! Generated faults, and how they are shrunk.

use super::*;

#[test]
fn what_matters_is_found_among_what_does_not() {
    let all: Vec<u32> = (0..40).collect();
    for matters in [vec![7], vec![3, 31], vec![0, 19, 39]] {
        let mut tries = 0;
        let left = shrink(&all, 1000, |some| {
            tries += 1;
            matters.iter().all(|m| some.contains(m))
        });
        assert_eq!(left, matters);
        assert!(tries < 200, "{tries} tries");
    }
    // Bounded, and what it has by then still fails.
    assert!(shrink(&all, 3, |some| some.contains(&7)).contains(&7));
}
