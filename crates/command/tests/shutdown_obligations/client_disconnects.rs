//! Clients that disconnect while their attempts run.

use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;
use std::time::Instant;

use tideroute_test_support::http_messages;
use tideroute_test_support::http_messages::chat_request;
use tideroute_test_support::http_messages::chat_request_with;

use crate::harness::{response, without_reservations, Harness, ATTEMPT, RELEASE, RELEASED};

#[test]
fn a_client_that_closes_after_bytes_of_a_further_request_counts_as_disconnected() {
    let mut harness = Harness::new("gone", without_reservations);
    let mut client = harness.connect();
    let further_request =
        chat_request_with("second", "safe", 4_000, &format!("{{\"pad\":\"{}\"}}", "x".repeat(150_000)));
    client.write_all(chat_request("first", "safe").as_bytes()).expect("written");
    let first = harness.next_call(ATTEMPT);
    client.write_all(further_request.as_bytes()).expect("written");
    client.shutdown(Shutdown::Write).expect("ended");
    let disconnected_at = Instant::now();
    drop(client);
    // The first request's attempt is cancelled at once, and the further request never starts one: the next attempt
    // belongs to another client.
    first.wait_for_close();
    assert!(disconnected_at.elapsed() < Duration::from_millis(100), "{:?}", disconnected_at.elapsed());
    harness.next_call(RELEASE).send(RELEASED);
    let _other = harness.request("other", "safe");
    assert_eq!(harness.next_call(ATTEMPT).trace(), "other");
}

#[test]
fn a_client_that_disconnects_between_prefill_and_decode_has_its_attempt_cancelled() {
    let mut harness = Harness::new("between", without_reservations);
    let (client, _, decode_call) = harness.prefilled("between", "once");
    drop(client);
    let disconnected_at = Instant::now();
    decode_call.wait_for_close();
    assert!(disconnected_at.elapsed() < Duration::from_millis(100));
    harness.next_call(RELEASE).send(RELEASED);
    let _other = harness.request("other", "safe");
    assert_eq!(harness.next_call(ATTEMPT).trace(), "other");
}

/// The router may find both in one iteration of its event loop, and has to serve another request afterwards.
#[test]
fn a_disconnect_and_a_response_in_one_loop_iteration_are_handled_in_either_order() {
    let mut harness = Harness::new("both", without_reservations);
    for n in 0..20 {
        let (client, _, mut decode_call) = harness.prefilled(&format!("both-{n}"), "once");
        // The client disconnects and the stream arrives, both before the router's next loop iteration.
        if n % 2 == 0 {
            drop(client);
            let _ = decode_call.stream.write_all(http_messages::streamed_response().as_bytes());
        } else {
            decode_call.send(http_messages::streamed_response());
            drop(client);
        }
    }
    let (mut client, _, mut decode_call) = harness.prefilled("after", "safe");
    decode_call.send(format!("{}HTTP/1.1 200 OK\r\n", http_messages::streamed_response()));
    let _ = decode_call.stream.shutdown(Shutdown::Both);
    assert!(response(&mut client).ends_with("0\r\n\r\n"));
}
