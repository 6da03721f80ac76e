//! Connections to workers and the responses on them, on bytes in virtual time.

mod common;

use common::*;

#[test]
fn bytes_behind_a_response_close_the_connection_and_keep_the_response() {
    let (mut harness, client, decode) = decoding_request("safe");
    harness.deliver(decode, format!("{}HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi", streamed_response()));
    assert_eq!(decode_chunked(&harness.sent_text(client)), (STREAM_EVENTS.concat(), true));
    assert!(harness.ended.contains_key(&decode));
    // And so do bytes on an idle connection.
    let (resting, _) = harness
        .outbound
        .iter()
        .map(|(l, a)| (*l, *a))
        .find(|(l, a)| a[2] == 1 && !harness.ended.contains_key(l))
        .expect("the reader's");
    harness.deliver(resting, "HTTP/1.1 200 OK\r\n\r\n");
    assert!(harness.ended.contains_key(&resting));
}

#[test]
fn interim_responses_and_head_sizes_are_bounded() {
    for answer in
        ["HTTP/1.1 100 Continue\r\n\r\n".repeat(20), format!("HTTP/1.1 200 OK\r\nx: {}", "y".repeat(20_000))]
    {
        let (mut harness, client, decode) = decoding_request("once");
        harness.deliver(decode, answer);
        assert!(harness.ended.contains_key(&decode));
        assert_eq!(harness.statuses(client), [502], "it may have run");
    }
}

#[test]
fn idle_connections_are_closed_before_the_workers_idle_timeout() {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.attempt();
    harness.deliver(decode, streamed_response());
    harness.advance(4_900 * MS);
    assert!(!harness.ended.contains_key(&prefill));
    harness.advance(200 * MS);
    assert!(harness.ended.contains_key(&prefill), "after half of the ten seconds that the settings name");
}

#[test]
fn an_idle_time_that_broke_a_connection_is_not_trusted_for_a_while() {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    // A request served whole; both connections are idle afterwards.
    let request = |trace: &str| chat_request(trace, "safe").replace("prefix=5c0f,", "");
    let serve = |harness: &mut Harness, trace: &str| {
        harness.deliver(client, request(trace));
        let prefill = harness.attempt().0;
        harness.deliver(prefill, PREFILL_COMPLETE);
        let decode = harness.attempt().0;
        harness.deliver(decode, streamed_response());
        (prefill, decode)
    };
    let (prefill, _) = serve(&mut harness, "a");
    harness.advance(400 * MS);
    let (again, _) = serve(&mut harness, "b");
    assert_eq!(prefill, again, "it is used again");
    harness.advance(400 * MS);
    harness.deliver(client, request("c"));
    let broken = harness.attempt().0;
    assert_eq!(broken, prefill);
    harness.reset(broken);
    harness.advance(20 * MS);
    // The prefill is retried elsewhere; what has been idle for more than half as long is not used.
    let (other, _) = harness.attempt();
    harness.deliver(other, PREFILL_COMPLETE);
    let (decode, _) = harness.attempt();
    harness.deliver(decode, streamed_response());
    harness.advance(300 * MS);
    let dials = harness.outbound.len();
    serve(&mut harness, "d");
    assert!(harness.outbound.len() > dials, "a new connection is made");
}

#[test]
fn a_non_idempotent_decode_attempt_uses_a_new_connection() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    for (trace, class) in [("a", "safe"), ("b", "once")] {
        harness.deliver(client, chat_request(trace, class));
        complete_prefill(&mut harness);
        let (decode, _) = harness.attempt();
        let request = harness.sent_text(decode).matches("POST /v1/chat").count();
        assert_eq!(request, 1, "{class}");
        harness.deliver(decode, streamed_response());
    }
}

/// Some workers send a second response some milliseconds behind the first: a call that took the connection by then
/// would take it for its own.
#[test]
fn a_late_second_response_is_not_taken_for_the_next_calls() {
    for late in [1, 5, 15] {
        let mut harness = Harness::without_reservations();
        let client = harness.connect_client();
        harness.deliver(client, chat_request("first", "safe"));
        let (prefill, _) = harness.attempt();
        harness.deliver(prefill, PREFILL_COMPLETE);
        let (decode, at) = harness.attempt();
        harness.deliver(decode, streamed_response());
        // The next request comes at once, and is at the same decode worker when the second response comes.
        harness.deliver(client, chat_request("second", "safe"));
        complete_prefill(&mut harness);
        let (second, again) = harness.attempt();
        harness.advance(late * MS);
        harness.deliver(decode, streamed_response());
        assert_eq!(
            harness.statuses(client),
            [200],
            "after {late} ms, at {at} and {again}: nobody has answered it"
        );
        harness.deliver(second, streamed_response());
        assert_eq!(harness.statuses(client), [200, 200]);
    }
}
