//! The watch on the endpoint list.

use tideroute::types::*;

use crate::common::{config, World, MS};

#[test]
fn a_watch_that_fails_is_opened_again() {
    let mut world = World::new(SchedulerConfig { endpoint_watch_enabled: true, ..config() }, 3);
    let asked = |world: &World| world.actions.iter().filter(|d| d.1 == Action::WatchEndpoints).count();
    assert_eq!(asked(&world), 1);
    world.scheduler.discovery_failed(world.now);
    world.drain_actions();
    assert_eq!(asked(&world), 1);
    world.advance(1500 * MS);
    assert_eq!(asked(&world), 2);
}
