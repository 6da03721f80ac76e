//! The watch on the endpoint list.

use tideroute::types::*;

use crate::common::{config, World, MS};

#[test]
fn a_failed_watch_is_reopened_after_a_delay() {
    let mut world = World::new(SchedulerConfig { endpoint_watch_enabled: true, ..config() }, 3);
    let count_opened = |world: &World| world.actions.iter().filter(|d| d.1 == Action::WatchEndpoints).count();
    assert_eq!(count_opened(&world), 1);
    world.scheduler.discovery_failed(world.now);
    world.drain_actions();
    assert_eq!(count_opened(&world), 1);
    world.advance(1500 * MS);
    assert_eq!(count_opened(&world), 2);
}
