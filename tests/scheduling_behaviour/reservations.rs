//! Decode reservations, and the release of reservations and KV states.

use tideroute::types::*;

use crate::common::{config, World, MS};
use crate::{cell_of, worker_of, REMAINING_TIME};

#[test]
fn a_prefill_reserves_in_its_cell_and_the_reserved_decode_worker_gets_the_attempt() {
    let mut world = World::new(config(), 6);
    let id = world.send_request(0, 1, 1000.0, REMAINING_TIME);
    let (prefill_worker, reserved) = (worker_of(&world, id), world.requests[&id].reserved_at.expect("asked"));
    assert_eq!(cell_of(&world, prefill_worker), cell_of(&world, reserved));
    world.answer_reservation(id, true);
    world.finish_attempt(id, AttemptOutcome::PrefillComplete);
    assert_eq!(worker_of(&world, id), reserved);
}

#[test]
fn a_prefill_that_ends_before_the_reservation_answer_goes_to_the_same_decode_worker() {
    let mut world = World::new(config(), 6);
    let id = world.send_request(0, 1, 10.0, REMAINING_TIME);
    let reserved = world.requests[&id].reserved_at.expect("asked");
    world.finish_attempt(id, AttemptOutcome::PrefillComplete);
    assert_eq!(worker_of(&world, id), reserved);
}

#[test]
fn after_a_rejected_reservation_another_decode_worker_is_asked() {
    let mut world = World::new(config(), 6);
    let id = world.send_request(0, 1, 1000.0, REMAINING_TIME);
    let first = world.requests[&id].reserved_at.expect("asked");
    world.answer_reservation(id, false);
    let second = world.requests[&id].reserved_at.expect("asked again");
    assert!(second != first && cell_of(&world, second) == cell_of(&world, first));
    world.answer_reservation(id, false);
    let third = world.requests[&id].reserved_at.expect("the gate is open while nothing is measured");
    assert_ne!(cell_of(&world, third), cell_of(&world, first));
}

#[test]
fn prefills_wait_while_all_decode_workers_reject_and_are_sent_by_a_timer_later() {
    let mut world = World::new(config(), 3);
    let first = world.send_request(0, 1, 1000.0, REMAINING_TIME);
    world.answer_reservation(first, false);
    world.answer_reservation(first, false);
    let next = world.send_request(0, 1, 1000.0, REMAINING_TIME);
    assert!(world.requests[&next].attempt.is_none());
    world.finish_attempt(first, AttemptOutcome::PrefillComplete);
    world.advance(60 * MS);
    world.start_response(first);
    world.advance(1050 * MS);
    assert!(world.requests[&next].attempt.is_some());
}

#[test]
fn when_the_reserved_decode_worker_drains_the_state_is_released_and_prefilled_again() {
    let mut world = World::new(config(), 6);
    let id = world.send_request(0, 1, 1000.0, REMAINING_TIME);
    world.answer_reservation(id, true);
    let mut draining = world.endpoints[&world.requests[&id].reserved_at.expect("asked")];
    draining.status = EndpointStatus::Draining;
    world.update_endpoint(draining);
    world.drain_actions();
    world.finish_attempt(id, AttemptOutcome::PrefillComplete);
    assert!(world.has_acted(&Action::Release { id }));
    assert_eq!(world.endpoints[&worker_of(&world, id)].kind, 0);
}

#[test]
fn a_kv_state_that_is_ready_after_the_client_disconnected_is_released() {
    let mut world = World::new(SchedulerConfig { cancellation_enabled: false, ..config() }, 6);
    let id = world.send_request(0, 1, 1000.0, REMAINING_TIME);
    world.disconnect_client(id);
    world.finish_attempt(id, AttemptOutcome::PrefillComplete);
    assert!(matches!(world.actions.last(), Some((_, Action::Release { .. }))));
}
