//! SIGTERM while requests, streams and reserved state are open.

use std::io::Write;

use tideroute_test_support::process::until;
use tideroute_test_support::text;
use tideroute_test_support::text::ask;
use tideroute_test_support::text::chunk;
use tideroute_test_support::text::unchunked;
use tideroute_test_support::text::EVENTS;
use tideroute_test_support::text::HEAD;
use tideroute_test_support::text::READ;

use crate::harness::{read_to_end_of, read_until, without_reservations, Harness, ATTEMPT, RELEASE, RELEASED};

#[test]
fn shutdown_closes_idle_connections_serves_late_requests_and_completes_streams() {
    let mut harness = Harness::new("term", without_reservations);
    let (mut streaming, _, mut writer) = harness.prefilled("streams", "once");
    writer.send(format!("{HEAD}{}", chunk(EVENTS[0])));
    let mut kept = String::new();
    read_until(&mut streaming, &mut kept, "\"a\":1");
    let (between, _, mut waits) = harness.prefilled("between", "safe");
    let read = harness.request("read", "safe");
    let mut reader = harness.next_call(ATTEMPT);
    let (mut half, resting) = (harness.connect(), harness.connect());
    let asked = ask("half", "safe");
    half.write_all(&asked.as_bytes()[..40]).expect("written");
    let mut used = harness.request("used", "safe");
    harness.next_call(ATTEMPT).send(READ);
    harness.next_call(ATTEMPT).send(text::stream());
    read_until(&mut used, &mut String::new(), "0\r\n\r\n");
    harness.signal("-TERM");
    // Those that rest end first; a request that crosses it is never read, so its client may send it again.
    assert_eq!((read_to_end_of(resting), read_to_end_of(used)), (String::new(), String::new()));
    assert_eq!(harness.health_status(), 503);
    harness.signal("-TERM");
    half.write_all(&asked.as_bytes()[40..]).expect("written");
    let mut late = harness.next_call(ATTEMPT);
    assert_eq!(late.trace(), "half");
    late.send(READ);
    harness.next_call(ATTEMPT).send(text::stream());
    waits.send(text::stream());
    reader.send(READ);
    harness.next_call(ATTEMPT).send(text::stream());
    for client in [between, read, half] {
        let answer = read_to_end_of(client);
        assert!(
            answer.contains("connection: close") && unchunked(&answer) == (EVENTS.concat(), true),
            "{answer}"
        );
    }
    assert!(harness.running.0.try_wait().expect("its state").is_none(), "a stream is open");
    writer.send(format!("{}{}0\r\n\r\n", chunk(EVENTS[1]), chunk(EVENTS[2])));
    kept.push_str(&read_to_end_of(streaming));
    assert_eq!(unchunked(&kept), (EVENTS.concat(), true));
    assert_eq!(harness.wait_for_exit().code(), Some(0));
}

#[test]
fn shutdown_waits_until_reserved_state_is_released() {
    let mut harness = Harness::new("owes", without_reservations);
    let (client, _, _writer) = harness.prefilled("owes", "safe");
    harness.signal("-TERM");
    until(|| (harness.health_status() == 503).then_some(()));
    drop(client);
    let mut release = harness.next_call(RELEASE);
    assert!(harness.running.0.try_wait().expect("its state").is_none());
    release.send(RELEASED);
    assert_eq!(harness.wait_for_exit().code(), Some(0));
}
