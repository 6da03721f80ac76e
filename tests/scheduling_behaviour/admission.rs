//! Load shedding, and waiting requests that are given up.

use tideroute::types::*;

use crate::common::{config, endpoint, World, MS};
use crate::REMAINING_TIME;

/// Returns how many of 100 requests are admitted now; the clients of the admitted requests disconnect.
fn count_admitted(world: &mut World) -> usize {
    let mut sent = 0;
    for _ in 0..100 {
        let id = world.send_request(1, 1, 10.0, REMAINING_TIME);
        if world.requests[&id].attempt.is_some() {
            sent += 1;
            world.disconnect_client(id);
            world.finish_attempt(id, AttemptOutcome::Cancelled);
        }
    }
    sent
}

#[test]
fn a_request_that_cannot_meet_its_objective_is_rejected_at_once_with_retry_after() {
    let mut world = World::new(config(), 3);
    let mut removed = endpoint(0);
    removed.status = EndpointStatus::Removed;
    world.update_endpoint(removed);
    world.drain_actions();
    let id = world.send_request(0, 1, 1000.0, REMAINING_TIME);
    world.advance(1600 * MS);
    assert!(world.requests[&id].ended);
    assert!(
        matches!(world.actions.last(), Some((_, Action::Reject { retry_after, .. })) if *retry_after > 0)
    );
}

#[test]
fn full_prefill_workers_shed_most_requests_until_quick_prefills_are_seen() {
    let mut world = World::new(config(), 3);
    let count_rejected = |world: &mut World| {
        let ids: Vec<_> = (0..40).map(|_| world.send_request(0, 1, 10.0, REMAINING_TIME)).collect();
        ids.iter().filter(|id| world.requests[id].attempts == 0 && world.requests[id].ended).count()
    };
    let id = world.send_request(0, 1, 10.0, REMAINING_TIME);
    world.finish_attempt(id, AttemptOutcome::Rejected);
    let at_first = count_rejected(&mut world);
    world.advance(20_000 * MS);
    for _ in 0..40 {
        let id = world.send_request(0, 1, 10.0, REMAINING_TIME);
        if world.requests[&id].attempt.is_some() {
            world.finish_attempt(id, AttemptOutcome::PrefillComplete);
            world.start_response(id);
            world.finish_attempt(id, AttemptOutcome::Completed);
        }
        world.advance(1000 * MS);
    }
    let later = count_rejected(&mut world);
    assert!(at_first > 20 && later < 5, "{at_first} then {later}");
}

#[test]
fn shedding_after_a_few_slow_answers_ends_without_new_samples() {
    let mut world = World::new(
        SchedulerConfig { reservations_enabled: false, health_checks_enabled: false, ..config() },
        2,
    );
    let ids: Vec<_> = (0..5).map(|_| world.send_request(1, 1, 10.0, REMAINING_TIME)).collect();
    world.advance(1_200 * MS);
    ids.iter().for_each(|id| world.finish_attempt(*id, AttemptOutcome::PrefillComplete));
    world.advance(200 * MS);
    ids.iter().for_each(|id| world.start_response(*id));
    ids.iter().for_each(|id| world.finish_attempt(*id, AttemptOutcome::Completed));
    let admitted_soon = count_admitted(&mut world);
    world.advance(15_000 * MS);
    let later = count_admitted(&mut world);
    assert!(
        admitted_soon < 60 && later > 95,
        "{admitted_soon} of 100 admitted soon, {later} after three time constants"
    );
}
