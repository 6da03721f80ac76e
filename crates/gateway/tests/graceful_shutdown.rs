//! Graceful shutdown. The gateway runs in virtual time.

mod common;

use common::*;
use tideroute_wire::event_loop::EventHandler;

#[test]
fn shutdown_finishes_open_requests_and_reservations() {
    let mut harness = Harness::new();
    harness.send_update(&endpoint_list(5));
    let (open, idle) = (harness.connect_client(), harness.connect_client());
    harness.deliver(idle, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    harness.deliver(open, chat_request("open", "safe"));
    complete_prefill(&mut harness);
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    harness.shut_down();
    harness.shut_down();
    assert!(harness.ended.contains_key(&idle) && !harness.ended.contains_key(&open));
    assert_eq!(ready_status(&mut harness), 503);
    // Clients may not know of the shutdown yet: a client that connects now is served.
    harness.advance(300 * MS);
    let late = harness.connect_client();
    harness.deliver(late, chat_request("late", "safe"));
    complete_prefill(&mut harness);
    let (late_decode, _) = harness.new_attempt();
    harness.deliver(late_decode, streamed_response());
    assert!(
        decode_chunked(&harness.sent_text(late)).1 && harness.sent_text(late).contains("connection: close")
    );
    assert!(harness.ended.contains_key(&late), "its connection is closed after the response");
    harness.advance(500 * MS);
    let too_late = harness.connect_client();
    harness.deliver(too_late, chat_request("too-late", "safe"));
    assert_eq!(harness.statuses(too_late), [503]);
    assert!(!is_finished(&harness), "a stream is open");
    harness.deliver(decode, format!("{}0\r\n\r\n", chunk(STREAM_EVENTS[1])));
    assert!(decode_chunked(&harness.sent_text(open)).1);
    assert!(!is_finished(&harness), "the reservation calls are not answered yet");
    for (reservation, _) in harness.new_calls("POST /internal/reservations/") {
        assert!(!is_finished(&harness));
        harness.deliver(reservation, response(409, "", ""));
    }
    assert!(is_finished(&harness));
}

/// A request may be in transit on a connection that was opened just before the shutdown.
#[test]
fn shutdown_serves_clients_that_just_connected_and_does_not_wait_for_silent_ones() {
    let mut harness = Harness::without_reservations();
    harness.send_update(&endpoint_list(5));
    let (idle, requesting, silent, incomplete) = (
        harness.connect_client(),
        harness.connect_client(),
        harness.connect_client(),
        harness.connect_client(),
    );
    harness.deliver(idle, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    harness.shut_down();
    assert!(harness.ended.contains_key(&idle), "its connection was idle between requests");
    assert!(!harness.ended.contains_key(&requesting));
    harness.deliver(incomplete, &chat_request("half", "safe")[..40]);
    harness.advance(150 * MS);
    harness.deliver(requesting, chat_request("asks", "safe"));
    complete_prefill(&mut harness);
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, streamed_response());
    assert!(
        decode_chunked(&harness.sent_text(requesting)).1
            && harness.sent_text(requesting).contains("connection: close")
    );
    harness.advance(450 * MS);
    assert!(harness.ended.contains_key(&silent) && harness.statuses(silent).is_empty());
    assert!(
        !harness.ended.contains_key(&incomplete),
        "the timeout of an incomplete request is not shortened"
    );
    harness.advance(1_500 * MS);
    assert_eq!(harness.statuses(incomplete), [408]);
    assert!(is_finished(&harness));
}

fn is_finished(harness: &Harness) -> bool {
    harness.gateway.is_finished()
}
