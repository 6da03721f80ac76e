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
    let more =
        chat_request_with("second", "safe", 4_000, &format!("{{\"pad\":\"{}\"}}", "x".repeat(150_000)));
    client.write_all(chat_request("first", "safe").as_bytes()).expect("written");
    let first = harness.next_call(ATTEMPT);
    client.write_all(more.as_bytes()).expect("written");
    client.shutdown(Shutdown::Write).expect("ended");
    let gone = Instant::now();
    drop(client);
    // Its attempt is given up at once, and none begins: what comes next is another's.
    first.wait_for_close();
    assert!(gone.elapsed() < Duration::from_millis(100), "{:?}", gone.elapsed());
    harness.next_call(RELEASE).send(RELEASED);
    let _other = harness.request("other", "safe");
    assert_eq!(harness.next_call(ATTEMPT).trace(), "other");
}

#[test]
fn a_client_that_disconnects_between_prefill_and_decode_has_its_attempt_cancelled() {
    let mut harness = Harness::new("between", without_reservations);
    let (client, _, writer) = harness.prefilled("between", "once");
    drop(client);
    let gone = Instant::now();
    writer.wait_for_close();
    assert!(gone.elapsed() < Duration::from_millis(100));
    harness.next_call(RELEASE).send(RELEASED);
    let _other = harness.request("other", "safe");
    assert_eq!(harness.next_call(ATTEMPT).trace(), "other");
}

#[test]
fn a_disconnect_and_a_response_in_one_loop_iteration_are_handled_in_either_order() {
    let mut harness = Harness::new("both", without_reservations);
    for n in 0..20 {
        let (client, _, mut writer) = harness.prefilled(&format!("both-{n}"), "once");
        // The client goes and the stream comes, both before the router looks, in either order.
        if n % 2 == 0 {
            drop(client);
            let _ = writer.stream.write_all(http_messages::streamed_response().as_bytes());
        } else {
            writer.send(http_messages::streamed_response());
            drop(client);
        }
    }
    let (mut client, _, mut writer) = harness.prefilled("after", "safe");
    writer.send(format!("{}HTTP/1.1 200 OK\r\n", http_messages::streamed_response()));
    let _ = writer.stream.shutdown(Shutdown::Both);
    assert!(response(&mut client).ends_with("0\r\n\r\n"));
}
