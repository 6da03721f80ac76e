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
    let (mut streaming, _, mut writer) = harness.prefilled("streams", "once");
    writer.send(format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    let mut kept = String::new();
    read_until(&mut streaming, &mut kept, "\"a\":1");
    let (between, _, mut is_timeout) = harness.prefilled("between", "safe");
    let read = harness.request("read", "safe");
    let mut reader = harness.next_call(ATTEMPT);
    let (mut half, resting) = (harness.connect(), harness.connect());
    let asked = chat_request("half", "safe");
    half.write_all(&asked.as_bytes()[..40]).expect("written");
    let mut used = harness.request("used", "safe");
    harness.next_call(ATTEMPT).send(PREFILL_COMPLETE);
    harness.next_call(ATTEMPT).send(http_messages::streamed_response());
    read_until(&mut used, &mut String::new(), "0\r\n\r\n");
    harness.send_signal("-TERM");
    // Those that rest end first; a request that crosses it is never read, so its client may send it again.
    assert_eq!((read_to_end_of(resting), read_to_end_of(used)), (String::new(), String::new()));
    assert_eq!(harness.health_status(), 503);
    harness.send_signal("-TERM");
    half.write_all(&asked.as_bytes()[40..]).expect("written");
    let mut late = harness.next_call(ATTEMPT);
    assert_eq!(late.trace(), "half");
    late.send(PREFILL_COMPLETE);
    harness.next_call(ATTEMPT).send(http_messages::streamed_response());
    is_timeout.send(http_messages::streamed_response());
    reader.send(PREFILL_COMPLETE);
    harness.next_call(ATTEMPT).send(http_messages::streamed_response());
    for client in [between, read, half] {
        let answer = read_to_end_of(client);
        assert!(
            answer.contains("connection: close") && decode_chunked(&answer) == (STREAM_EVENTS.concat(), true),
            "{answer}"
        );
    }
    assert!(harness.running.0.try_wait().expect("its state").is_none(), "a stream is open");
    writer.send(format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])));
    kept.push_str(&read_to_end_of(streaming));
    assert_eq!(decode_chunked(&kept), (STREAM_EVENTS.concat(), true));
    assert_eq!(harness.wait_for_exit().code(), Some(0));
}

#[test]
fn shutdown_waits_until_reserved_state_is_released() {
    let mut harness = Harness::new("owes", without_reservations);
    let (client, _, _writer) = harness.prefilled("owes", "safe");
    harness.send_signal("-TERM");
    wait_for(|| (harness.health_status() == 503).then_some(()));
    drop(client);
    let mut release = harness.next_call(RELEASE);
    assert!(harness.running.0.try_wait().expect("its state").is_none());
    release.send(RELEASED);
    assert_eq!(harness.wait_for_exit().code(), Some(0));
}
