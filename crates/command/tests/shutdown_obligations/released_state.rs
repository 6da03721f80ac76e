//! Reserved state is released in time: after silence, disconnects and late reservations.

use std::time::Duration;

use tideroute_test_support::http_messages::response;

use crate::harness::{without_reservations, Harness, ATTEMPT, RELEASE, RELEASED, RELEASE_LIMIT, RESERVE};

#[test]
fn reserved_state_is_released_in_time_while_the_decode_worker_is_silent() {
    let mut harness = Harness::new("void", without_reservations);
    let (_client, prefilled_at, _decode_call) = harness.prefilled("void", "once");
    let mut release = harness.next_call(RELEASE);
    assert!(
        prefilled_at.elapsed() > Duration::from_millis(700) && prefilled_at.elapsed() < RELEASE_LIMIT,
        "{:?}",
        prefilled_at.elapsed()
    );
    release.send(RELEASED);
}

#[test]
fn a_release_is_retried_at_other_workers_while_the_holder_and_its_connection_are_dead() {
    let mut harness = Harness::new("dead", without_reservations);
    let (client, prefilled_at, _decode_call) = harness.prefilled("dead", "safe");
    drop(client);
    let first = harness.next_call(RELEASE);
    let mut second = harness.next_call(RELEASE);
    assert!(first.at != second.at && prefilled_at.elapsed() < RELEASE_LIMIT);
    second.send(RELEASED);
    first.wait_for_close();
}

#[test]
fn a_reservation_granted_after_its_release_is_released_again() {
    let mut harness = Harness::new("behind", |_| ());
    let client = harness.request("behind", "safe");
    let prefill_call = harness.next_call(ATTEMPT);
    let mut reservation = harness.next_call(RESERVE);
    drop(client);
    harness.next_call(RELEASE).send(RELEASED);
    reservation.send(response(200, "", ""));
    let second_release = harness.next_call(RELEASE);
    assert!(reservation.received_at.elapsed() < RELEASE_LIMIT && second_release.text.contains("/behind "));
    prefill_call.wait_for_close();
}
