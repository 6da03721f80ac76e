use super::*;

#[test]
fn peak_to_mean_is_relative_to_capacity_and_idleness_counts_only_while_others_queue() {
    let mut load = RoleLoad::default();
    let workers = [load.add_worker(1.0, 1), load.add_worker(1.0, 1), load.add_worker(2.0, 1)];
    let at = |ms: u64| SECOND + ms * 1000;
    // One attempt at each worker and two at the worker of twice the capacity: the load is even. Only the last worker
    // has an attempt queued.
    for (ms, worker) in [(0, 0), (0, 1), (0, 2), (0, 2)] {
        load.attempt_received(at(ms), workers[worker]);
    }
    load.attempt_ended(at(1000), workers[1]);
    load.attempt_received(at(1000), workers[0]);
    // Now the workers have two, no and two attempts: the fullest has 2 where the mean is 1; the second worker is idle
    // while others have attempts queued.
    load.finish(at(2000));
    assert_eq!(load.peak_to_mean(), [1.0, 2.0]);
    assert!((load.idle_while_queued() - 1.0 / 6.0).abs() < 1e-6, "{}", load.idle_while_queued());
    // An attempt after all others have ended: one worker has all the work of a second with almost no work.
    for worker in [0, 0, 0, 2, 2, 2] {
        load.attempt_ended(at(2000), workers[worker]);
    }
    load.attempt_received(at(2500), workers[1]);
    load.attempt_ended(at(2510), workers[1]);
    load.finish(at(3100));
    assert_eq!(load.peak_to_mean(), [1.0, 2.0]);
}
