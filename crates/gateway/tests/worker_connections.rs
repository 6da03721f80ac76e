//! Connections to workers and the responses on them. The gateway runs in virtual time.

mod common;

use common::*;

#[test]
fn bytes_behind_a_response_close_the_connection_and_keep_the_response() {
    let (mut harness, client, decode) = decoding_request("safe");
    harness.deliver(decode, format!("{}HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi", streamed_response()));
    assert_eq!(decode_chunked(&harness.sent_text(client)), (STREAM_EVENTS.concat(), true));
    assert!(harness.ended.contains_key(&decode));
    // Bytes on an idle connection close it, too.
    let (idle, _) = harness
        .outbound
        .iter()
        .map(|(connection, address)| (*connection, *address))
        .find(|(connection, address)| address[2] == 1 && !harness.ended.contains_key(connection))
        .expect("the connection of the prefill worker");
    harness.deliver(idle, "HTTP/1.1 200 OK\r\n\r\n");
    assert!(harness.ended.contains_key(&idle));
}

#[test]
fn interim_responses_and_head_sizes_are_bounded() {
    for answer in [
        "HTTP/1.1 100 Continue\r\n\r\n".repeat(43_000),
        format!("HTTP/1.1 200 OK\r\nx: {}", "y".repeat(66_000)),
        format!("HTTP/1.1 200 OK\r\n{}", "x:\r\n".repeat(1_100)),
    ] {
        let (mut harness, client, decode) = decoding_request("once");
        harness.deliver(decode, answer);
        assert!(harness.ended.contains_key(&decode));
        assert_eq!(harness.statuses(client), [502], "the request may have run");
    }
}

#[test]
fn idle_connections_are_closed_before_the_workers_idle_timeout() {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.new_attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, streamed_response());
    harness.advance(4_900 * MS);
    assert!(!harness.ended.contains_key(&prefill));
    harness.advance(200 * MS);
    assert!(harness.ended.contains_key(&prefill), "closed after half of the ten seconds of the settings");
}

#[test]
fn after_a_connection_broke_longer_idle_ones_are_not_reused_for_a_while() {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    // Serves a request completely; both connections are idle afterwards.
    let request = |trace_id: &str| chat_request(trace_id, "safe").replace("prefix=5c0f,", "");
    let serve = |harness: &mut Harness, trace_id: &str| {
        harness.deliver(client, request(trace_id));
        let prefill = harness.new_attempt().0;
        harness.deliver(prefill, PREFILL_COMPLETE);
        let decode = harness.new_attempt().0;
        harness.deliver(decode, streamed_response());
        (prefill, decode)
    };
    let (prefill, _) = serve(&mut harness, "a");
    harness.advance(400 * MS);
    let (reused, _) = serve(&mut harness, "b");
    assert_eq!(prefill, reused, "the connection is reused");
    harness.advance(400 * MS);
    harness.deliver(client, request("c"));
    let broken = harness.new_attempt().0;
    assert_eq!(broken, prefill);
    harness.reset(broken);
    harness.advance(20 * MS);
    // The prefill is retried elsewhere; connections that were idle for more than half of that time are not reused.
    let (other, _) = harness.new_attempt();
    harness.deliver(other, PREFILL_COMPLETE);
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, streamed_response());
    harness.advance(300 * MS);
    let connections_before = harness.outbound.len();
    serve(&mut harness, "d");
    assert!(harness.outbound.len() > connections_before, "a new connection is opened");
}

#[test]
fn a_non_idempotent_decode_attempt_uses_a_new_connection() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    for (trace_id, class) in [("a", "safe"), ("b", "once")] {
        harness.deliver(client, chat_request(trace_id, class));
        complete_prefill(&mut harness);
        let (decode, _) = harness.new_attempt();
        let attempt_count = harness.sent_text(decode).matches("POST /v1/chat").count();
        assert_eq!(attempt_count, 1, "{class}");
        harness.deliver(decode, streamed_response());
    }
}

/// Some workers send a second response a few milliseconds after the first. A call that reuses the connection too early
/// would take the second response for its own.
#[test]
fn a_late_second_response_is_not_taken_for_the_next_calls() {
    for delay_ms in [1, 5, 15] {
        let mut harness = Harness::without_reservations();
        let client = harness.connect_client();
        harness.deliver(client, chat_request("first", "safe"));
        let (prefill, _) = harness.new_attempt();
        harness.deliver(prefill, PREFILL_COMPLETE);
        let (decode, first_worker) = harness.new_attempt();
        harness.deliver(decode, streamed_response());
        // The next request comes at once, and is at the same decode worker when the second response comes.
        harness.deliver(client, chat_request("second", "safe"));
        complete_prefill(&mut harness);
        let (second, second_worker) = harness.new_attempt();
        harness.advance(delay_ms * MS);
        harness.deliver(decode, streamed_response());
        assert_eq!(
            harness.statuses(client),
            [200],
            "after {delay_ms} ms, at workers {first_worker} and {second_worker}: the second request is not answered yet"
        );
        harness.deliver(second, streamed_response());
        assert_eq!(harness.statuses(client), [200, 200]);
    }
}
