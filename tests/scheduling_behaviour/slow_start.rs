//! Slow start in small cases; generated fleets are in `tests/slow_start.rs`.

use tideroute::types::*;

use crate::common::{config, endpoint, worker, World, MS};
use crate::{complete, sent_to, REMAINING_TIME};

#[test]
fn reservations_count_at_a_warming_decode_worker() {
    let mut world = World::new(SchedulerConfig { health_checks_enabled: false, ..config() }, 3);
    complete(&mut world, 20);
    let restarted = Endpoint { start_time: world.now - 100 * MS, ..endpoint(1) };
    world.update_endpoint(restarted);
    world.drain_actions();
    // The model fails if more than two attempts are in flight at a decode worker that has answered none.
    let ids: Vec<_> = (0..40).map(|_| world.send_request(0, 1, 10.0, REMAINING_TIME)).collect();
    let reserved_at_warming =
        ids.iter().filter(|id| world.requests[id].reserved_at == Some(worker(1))).count();
    assert!((1..=2).contains(&reserved_at_warming), "{reserved_at_warming}");
}

/// 200 routers, each with one request per second, share three decode workers, of which one is warming up.
#[test]
fn many_routers_together_do_not_overload_a_warming_worker() {
    let mut sends = vec![];
    for seed in 0..200 {
        let mut world = World::seeded(
            SchedulerConfig { router_count: 200, health_checks_enabled: false, ..config() },
            3,
            seed,
        );
        world.update_endpoint(Endpoint { cell: 0, ..endpoint(4) });
        complete(&mut world, 15);
        world.update_endpoint(Endpoint { start_time: world.now - 10 * MS, ..endpoint(1) });
        world.drain_actions();
        world.advance(TenthMillis::from(seed as u32 % 100) * 10 * MS);
        let restarted_at = world.now;
        complete(&mut world, 3);
        let to_warming = |d: &&(TenthMillis, Action)| d.0 >= restarted_at && sent_to(&d.1) == Some(worker(1));
        sends.extend(world.actions.iter().filter(to_warming).map(|d| d.0));
    }
    sends.sort_unstable();
    // 200 requests per second over three decode workers: a warm one takes 133 in the overload window, and the
    // warming one may take 2.5 * 0.3 of that.
    let span = config().overload_window;
    let most = sends.iter().map(|&at| sends.iter().filter(|&&s| at <= s && s < at + span).count()).max();
    assert!(most.is_some_and(|n| (5..=100).contains(&n)), "{most:?}");
}
