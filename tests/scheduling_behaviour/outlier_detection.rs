//! Lost attempts, ejection, backoff and health checks.

use tideroute::types::*;

use crate::common::{config, worker, World, MS};
use crate::{prefill, worker_of, REMAINING_TIME};

#[test]
fn a_lost_prefill_is_cancelled_and_its_worker_ejected_for_that_class_only() {
    // Many quick prefills at another worker establish a short usual wait.
    let mut world = World::new(config(), 6);
    let (known, prefill_worker) = (worker(0), worker(3));
    let set_status =
        |world: &mut World, id, status| world.update_endpoint(Endpoint { status, ..world.endpoints[&id] });
    set_status(&mut world, prefill_worker, EndpointStatus::Draining);
    for _ in 0..60 {
        let id = prefill(&mut world, true);
        world.start_response(id);
        world.finish_attempt(id, AttemptOutcome::Completed);
    }
    set_status(&mut world, known, EndpointStatus::Draining);
    set_status(&mut world, prefill_worker, EndpointStatus::Serving);
    let id = world.send_request(0, 1, 1000.0, 20_000 * MS);
    world.answer_reservation(id, true);
    assert_eq!(worker_of(&world, id), prefill_worker);
    set_status(&mut world, known, EndpointStatus::Serving);
    world.advance(300 * MS);
    assert!(!world.has_acted(&Action::CancelAttempt { id, attempt: 0 }) && world.health_checks.is_empty());
    world.advance(1_100 * MS);
    assert!(
        world.has_acted(&Action::CancelAttempt { id, attempt: 0 }) && world.health_checks == [prefill_worker]
    );
    world.finish_attempt(id, AttemptOutcome::Cancelled);
    assert_ne!(worker_of(&world, id), prefill_worker);
    // After a successful health check the worker gets other classes, but not the class whose attempt it lost.
    world.scheduler.health_check_finished(world.now, prefill_worker, true);
    let mut to = |class| {
        let id = world.send_request(class, 1, 10.0, REMAINING_TIME);
        worker_of(&world, id)
    };
    assert!((0..10).all(|_| to(0) == known) && (0..10).any(|_| to(3) == prefill_worker));
}

#[test]
fn a_worker_whose_connection_broke_is_checked_at_once_and_returns_when_healthy() {
    for outcome in [AttemptOutcome::ConnectionReset, AttemptOutcome::Unreachable] {
        for healthy in [true, false] {
            let mut world = World::new(config(), 6);
            let id = world.send_request(0, 1, 1000.0, REMAINING_TIME);
            let prefill_worker = worker_of(&world, id);
            world.finish_attempt(id, outcome);
            assert!(
                world.health_checks == [prefill_worker] && worker_of(&world, id) != prefill_worker,
                "the worker is out of service until it answers the health check"
            );
            world.scheduler.health_check_finished(world.now, prefill_worker, healthy);
            let next = world.send_request(0, 1, 10.0, REMAINING_TIME);
            assert_eq!(worker_of(&world, next) == prefill_worker, healthy);
        }
    }
}

#[test]
fn an_unanswered_decode_attempt_of_a_non_idempotent_request_is_not_cancelled() {
    let mut world = World::new(config(), 6);
    let id = world.send_request(1, 1, 1000.0, 20_000 * MS);
    world.finish_attempt(id, AttemptOutcome::PrefillComplete);
    world.advance(10_000 * MS);
    assert!(
        !world.actions.iter().any(|d| matches!(d.1, Action::CancelAttempt { .. }))
            && world.health_checks.len() == 1
    );
}

#[test]
fn a_worker_that_pauses_briefly_keeps_its_attempts_and_gets_new_ones() {
    let mut world = World::new(config(), 3);
    let id = world.send_request(0, 1, 1000.0, REMAINING_TIME);
    world.advance(350 * MS);
    world.finish_attempt(id, AttemptOutcome::PrefillComplete);
    assert!(world.health_checks.is_empty() && !world.has_acted(&Action::CancelAttempt { id, attempt: 0 }));
    let next = world.send_request(0, 1, 1000.0, REMAINING_TIME);
    assert_eq!(worker_of(&world, next), worker(0));
}

#[test]
fn a_long_prefill_does_not_count_as_lost_with_few_samples_and_a_healthy_worker() {
    let mut world = World::new(config(), 6);
    let id = world.send_request(0, 1, 10.0, REMAINING_TIME);
    let prefill_worker = worker_of(&world, id);
    world.advance(500 * MS);
    assert_eq!(std::mem::take(&mut world.health_checks), [prefill_worker], "the worker is checked once");
    world.scheduler.health_check_finished(world.now, prefill_worker, true);
    world.advance(1_500 * MS);
    assert!(
        world.requests[&id].attempt.is_some()
            && !world.actions.iter().any(|(_, d)| matches!(d, Action::CancelAttempt { .. }))
    );
    // An attempt whose worker fails its health check is cancelled at once.
    let id = world.send_request(0, 2, 10.0, REMAINING_TIME);
    let prefill_worker = worker_of(&world, id);
    world.advance(500 * MS);
    assert!(world.health_checks.contains(&prefill_worker));
    world.scheduler.health_check_finished(world.now, prefill_worker, false);
    world.drain_actions();
    assert!(world.has_acted(&Action::CancelAttempt { id, attempt: 0 }));
}
