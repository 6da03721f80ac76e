//! Retries: which requests may run again, and where.

use tideroute::types::*;

use crate::common::{config, World};
use crate::{prefill, worker_of, REMAINING_TIME};

#[test]
fn a_non_idempotent_request_fails_once_it_may_have_run() {
    for (outcome, is_retried) in [
        (AttemptOutcome::ConnectionReset, false),
        (AttemptOutcome::ServerError, false),
        (AttemptOutcome::Unreachable, true),
    ] {
        let mut world = World::new(config(), 6);
        let id = world.send_request(1, 1, 1000.0, REMAINING_TIME);
        world.finish_attempt(id, AttemptOutcome::PrefillComplete);
        world.finish_attempt(id, outcome);
        assert_eq!(world.requests[&id].attempt.is_some(), is_retried, "{outcome:?}");
        let failed = world.has_acted(&Action::Fail { id });
        assert_eq!(failed, !is_retried, "{outcome:?}");
    }
}

#[test]
fn a_rejection_is_retried_at_another_decode_worker_and_a_missing_state_is_prefilled_again() {
    let mut world = World::new(config(), 6);
    let id = prefill(&mut world, false);
    let first = worker_of(&world, id);
    world.finish_attempt(id, AttemptOutcome::Rejected);
    assert!(worker_of(&world, id) != first && world.endpoints[&worker_of(&world, id)].kind == 1);
    world.finish_attempt(id, AttemptOutcome::StateMissing);
    assert_eq!(world.endpoints[&worker_of(&world, id)].kind, 0);
}

#[test]
fn a_request_without_attempts_left_is_rejected_at_once_although_its_kv_state_waits() {
    let mut world = World::new(SchedulerConfig { max_attempts: 2, ..config() }, 6);
    let id = prefill(&mut world, false);
    world.finish_attempt(id, AttemptOutcome::Rejected);
    assert!(world.has_acted(&Action::Release { id }));
    assert!(matches!(world.actions.last(), Some((at, Action::Reject { .. })) if *at == world.now));
}
