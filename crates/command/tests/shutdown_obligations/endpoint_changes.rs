//! Workers that drain, restart or move to another address, and watches that break.

use serde_json::json;
use std::net::Shutdown;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use tideroute_test_support::http_messages;
use tideroute_test_support::http_messages::chunk;
use tideroute_test_support::http_messages::PREFILL_COMPLETE;
use tideroute_test_support::http_messages::STREAM_EVENTS;
use tideroute_test_support::http_messages::STREAM_HEAD;

use crate::harness::{listen, response, without_reservations, Harness, ATTEMPT};

#[test]
fn a_draining_worker_completes_its_attempts_and_gets_no_new_ones() {
    let mut harness = Harness::new("drain", without_reservations);
    let (mut client, _, mut decode_call) = harness.prefilled("drain", "safe");
    let change = harness.change(5, decode_call.at, "DRAINING");
    harness.notify(&change);
    decode_call.send(format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    for n in 0..6 {
        let (other, _, mut other_call) = harness.prefilled(&format!("other-{n}"), "safe");
        assert_ne!(other_call.at, decode_call.at);
        other_call.send(http_messages::streamed_response());
        drop(other);
    }
    decode_call.send(format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])));
    assert!(response(&mut client).contains("[DONE]"));
}

#[test]
fn a_worker_that_restarts_under_its_id_has_lost_its_attempts() {
    let mut harness = Harness::new("again", without_reservations);
    let client = harness.request("again", "safe");
    let first = harness.next_call(ATTEMPT);
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
    let mut change = harness.change(5, first.at, "SERVING");
    change["servers"][0]["started_ms"] = json!(now.as_millis() as u64);
    harness.notify(&change);
    first.wait_for_close();
    let mut second = harness.next_call(ATTEMPT);
    second.send(PREFILL_COMPLETE);
    harness.next_call(ATTEMPT).send(http_messages::streamed_response());
    drop(client);
}

#[test]
fn a_watch_reset_in_half_a_line_is_reopened_and_brings_the_change() {
    let mut harness = Harness::new("half", without_reservations);
    let line = format!("{}\n", harness.change(5, 0, "DRAINING"));
    harness.watch.send(format!("{:x}\r\n{}", line.len(), &line[..line.len() / 2]));
    let linger = socket2::SockRef::from(&harness.watch.stream).set_linger(Some(Duration::ZERO));
    linger.expect("a reset");
    let broken_at = Instant::now();
    let _ = harness.watch.stream.shutdown(Shutdown::Both);
    let mut watch = harness.next_call("GET /discovery/hosts?watch=1&after=4 ");
    assert!(broken_at.elapsed() < Duration::from_secs(2));
    watch.send(format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}", chunk(&line)));
    for n in 0..6 {
        let (_client, _, _decode_call) = harness.prefilled(&format!("r{n}"), "safe");
    }
    assert!(harness.early.iter().all(|call| call.at != 0));
}

#[test]
fn a_worker_that_moved_is_reached_at_its_new_address() {
    let mut harness = Harness::new("moved", without_reservations);
    let mut first = harness.request("first", "safe");
    let mut prefill_call = harness.next_call(ATTEMPT);
    prefill_call.send(PREFILL_COMPLETE);
    harness.next_call(ATTEMPT).send(http_messages::streamed_response());
    response(&mut first);
    let new_listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut change = harness.change(5, prefill_call.at, "SERVING");
    change["servers"][0]["addr"] = json!(new_listener.local_addr().expect("an address").to_string());
    listen(new_listener, 50, harness.sender.clone());
    let notified_at = Instant::now();
    harness.notify(&change);
    prefill_call.wait_for_close();
    assert!(
        notified_at.elapsed() < Duration::from_secs(1),
        "the connection closes at once, not by its idle timeout"
    );
    let _again = harness.request("again", "safe");
    assert_eq!(harness.next_call(ATTEMPT).at, 50, "prefix affinity still selects the moved worker");
}
