//! Ids of routers that start in the same moment.

use std::collections::HashSet;
use std::sync::Barrier;

/// Starts as a restarted cluster makes them: all in one moment, many with the same process id.
#[test]
fn no_two_of_thousands_of_starts_in_one_moment_have_the_same_origin() {
    const AT_ONCE: usize = 16;
    const EACH: usize = 2_000;
    let barrier = Barrier::new(AT_ONCE);
    let drawn: Vec<Vec<_>> = std::thread::scope(|scope| {
        let start = || {
            barrier.wait();
            (0..EACH).map(|_| super::random_origin().expect("the machine draws")).collect()
        };
        let starts: Vec<_> = (0..AT_ONCE).map(|_| scope.spawn(start)).collect();
        starts.into_iter().map(|s| s.join().expect("it drew")).collect()
    });
    let all: HashSet<_> = drawn.iter().flatten().collect();
    assert_eq!(all.len(), AT_ONCE * EACH);
    // Random, and not a counter or a clock: every byte varies, the highest and the lowest.
    for byte in 0..16 {
        let values: HashSet<_> = all.iter().map(|origin| (*origin >> (8 * byte)) as u8).collect();
        assert_eq!(values.len(), 256, "byte {byte}");
    }
}
