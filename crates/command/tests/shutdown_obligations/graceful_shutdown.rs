//! SIGTERM while requests, streams and reserved state are open.

use std::io::Write;

use tideroute_test_support::http_messages;
use tideroute_test_support::http_messages::chat_request;
use tideroute_test_support::http_messages::chunk;
use tideroute_test_support::http_messages::decode_chunked;
use tideroute_test_support::http_messages::PREFILL_COMPLETE;
use tideroute_test_support::http_messages::STREAM_EVENTS;
use tideroute_test_support::http_messages::STREAM_HEAD;
use tideroute_test_support::process::wait_for;

use crate::harness::{read_to_end_of, read_until, without_reservations, Harness, ATTEMPT, RELEASE, RELEASED};

#[test]
fn shutdown_closes_idle_connections_serves_late_requests_and_completes_streams() {
    let mut harness = Harness::new("term", without_reservations);
    let (mut streaming, _, mut stream_call) = harness.prefilled("streams", "once");
    stream_call.send(format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    let mut received = String::new();
    read_until(&mut streaming, &mut received, "\"a\":1");
    let (decoding, _, mut decode_call) = harness.prefilled("between", "safe");
    let prefilling = harness.request("read", "safe");
    let mut prefill_call = harness.next_call(ATTEMPT);
    let (mut half_sent, idle) = (harness.connect(), harness.connect());
    let request = chat_request("half", "safe");
    half_sent.write_all(&request.as_bytes()[..40]).expect("written");
    let mut used = harness.request("used", "safe");
    harness.next_call(ATTEMPT).send(PREFILL_COMPLETE);
    harness.next_call(ATTEMPT).send(http_messages::streamed_response());
    read_until(&mut used, &mut String::new(), "0\r\n\r\n");
    harness.send_signal("-TERM");
    // Idle connections are closed first. A request that is sent meanwhile is never read, so its client may safely send
    // it again.
    assert_eq!((read_to_end_of(idle), read_to_end_of(used)), (String::new(), String::new()));
    assert_eq!(harness.health_status(), 503);
    harness.send_signal("-TERM");
    half_sent.write_all(&request.as_bytes()[40..]).expect("written");
    let mut late_call = harness.next_call(ATTEMPT);
    assert_eq!(late_call.trace(), "half");
    late_call.send(PREFILL_COMPLETE);
    harness.next_call(ATTEMPT).send(http_messages::streamed_response());
    decode_call.send(http_messages::streamed_response());
    prefill_call.send(PREFILL_COMPLETE);
    harness.next_call(ATTEMPT).send(http_messages::streamed_response());
    for client in [decoding, prefilling, half_sent] {
        let response = read_to_end_of(client);
        assert!(
            response.contains("connection: close")
                && decode_chunked(&response) == (STREAM_EVENTS.concat(), true),
            "{response}"
        );
    }
    assert!(
        harness.running.0.try_wait().expect("the process state").is_none(),
        "the router runs while a stream is open"
    );
    stream_call.send(format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])));
    received.push_str(&read_to_end_of(streaming));
    assert_eq!(decode_chunked(&received), (STREAM_EVENTS.concat(), true));
    assert_eq!(harness.wait_for_exit().code(), Some(0));
}

#[test]
fn shutdown_waits_until_reserved_state_is_released() {
    let mut harness = Harness::new("owes", without_reservations);
    let (client, _, _decode_call) = harness.prefilled("owes", "safe");
    harness.send_signal("-TERM");
    wait_for(|| (harness.health_status() == 503).then_some(()));
    drop(client);
    let mut release = harness.next_call(RELEASE);
    assert!(harness.running.0.try_wait().expect("the process state").is_none());
    release.send(RELEASED);
    assert_eq!(harness.wait_for_exit().code(), Some(0));
}
