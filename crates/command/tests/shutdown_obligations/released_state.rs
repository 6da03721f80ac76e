//! Reserved state is released in time, whatever ended before.

use std::time::Duration;

use tideroute_test_support::http_messages::response;

use crate::harness::{without_reservations, Harness, ATTEMPT, RELEASE, RELEASED, RELEASE_LIMIT, RESERVE};

#[test]
fn reserved_state_is_released_in_time_while_the_decode_worker_is_silent() {
    let mut harness = Harness::new("void", without_reservations);
    let (_client, since, _writer) = harness.prefilled("void", "once");
    let mut release = harness.next_call(RELEASE);
    assert!(
        since.elapsed() > Duration::from_millis(700) && since.elapsed() < RELEASE_LIMIT,
        "{:?}",
        since.elapsed()
    );
    release.send(RELEASED);
}

#[test]
fn a_release_is_retried_at_other_workers_while_the_holder_and_its_connection_are_dead() {
    let mut harness = Harness::new("dead", without_reservations);
    let (client, since, _writer) = harness.prefilled("dead", "safe");
    drop(client);
    let first = harness.next_call(RELEASE);
    let mut second = harness.next_call(RELEASE);
    assert!(first.at != second.at && since.elapsed() < RELEASE_LIMIT);
    second.send(RELEASED);
    first.wait_for_close();
}

#[test]
fn a_reservation_granted_after_its_release_is_released_again() {
    let mut harness = Harness::new("behind", |_| ());
    let client = harness.request("behind", "safe");
    let reader = harness.next_call(ATTEMPT);
    let mut place = harness.next_call(RESERVE);
    drop(client);
    harness.next_call(RELEASE).send(RELEASED);
    place.send(response(200, "", ""));
    let again = harness.next_call(RELEASE);
    assert!(place.received_at.elapsed() < RELEASE_LIMIT && again.text.contains("/behind "));
    reader.wait_for_close();
}
