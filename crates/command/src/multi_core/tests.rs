//! Unique ids of routers that start at the same moment.

use std::collections::HashSet;
use std::sync::Barrier;

/// When a cluster restarts, its routers start at the same moment and many have the same process id; ids derived from
/// these would collide.
#[test]
fn no_two_of_thousands_of_starts_in_one_moment_have_the_same_origin() {
    const THREADS: usize = 16;
    const STARTS_PER_THREAD: usize = 2_000;
    let barrier = Barrier::new(THREADS);
    let origins: Vec<Vec<_>> = std::thread::scope(|scope| {
        let generate = || {
            barrier.wait();
            (0..STARTS_PER_THREAD)
                .map(|_| super::random_origin().expect("the operating system returns random bytes"))
                .collect()
        };
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(generate)).collect();
        threads.into_iter().map(|thread| thread.join().expect("the thread returns its origins")).collect()
    });
    let all: HashSet<_> = origins.iter().flatten().collect();
    assert_eq!(all.len(), THREADS * STARTS_PER_THREAD);
    // Each byte, from the lowest to the highest, takes all values; those of a counter or a clock would not.
    for byte in 0..16 {
        let values: HashSet<_> = all.iter().map(|origin| (*origin >> (8 * byte)) as u8).collect();
        assert_eq!(values.len(), 256, "byte {byte}");
    }
}
