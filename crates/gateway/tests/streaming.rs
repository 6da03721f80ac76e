//! Streams of decode workers to clients. The gateway runs in virtual time.

mod common;

use common::*;

#[test]
fn a_broken_or_malformed_stream_ends_the_response_without_the_last_chunk() {
    for (case, bytes) in [
        ("a malformed chunk size", "zz\r\n"),
        ("a chunk longer than its size", "3\r\nabcdef\r\n"),
        ("a chunk of 3 GB", "c0000000\r\nabc"),
        ("the connection is reset", ""),
    ] {
        let (mut harness, client, decode) = decoding_request("safe");
        harness.deliver(decode, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
        if bytes.is_empty() {
            harness.reset(decode);
        } else {
            harness.deliver(decode, bytes);
        }
        assert_eq!(
            harness.ended.get(&client),
            Some(&false),
            "{case}: the client's connection is closed at once"
        );
        let (body, is_complete) = decode_chunked(&harness.sent_text(client));
        assert!(body.starts_with(STREAM_EVENTS[0]) && !is_complete, "{case}: {body}");
        assert!(harness.new_calls("POST /v1/chat").is_empty(), "{case}: no further attempt is sent");
    }
}

#[test]
fn an_incomplete_first_event_is_not_forwarded() {
    let (mut harness, client, decode) = decoding_request("safe");
    harness.deliver(decode, format!("{STREAM_HEAD}{}", chunk("data: {\"a\"")));
    assert_eq!(harness.sent_text(client), "");
    harness.reset(decode);
    assert_eq!(
        harness.new_calls("POST /v1/chat").len(),
        1,
        "the client has received nothing: the request is retried"
    );
}

#[test]
fn backpressure_of_a_client_pauses_its_own_stream_only() {
    let mut harness = Harness::new();
    let (slow, other) = (harness.connect_client(), harness.connect_client());
    harness.deliver(slow, chat_request("a", "safe"));
    complete_prefill(&mut harness);
    let (slow_decode, _) = harness.new_attempt();
    harness.deliver(other, chat_request("b", "safe"));
    complete_prefill(&mut harness);
    let (decode, _) = harness.new_attempt();
    harness.deliver(slow_decode, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    harness.deliver(decode, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    harness.set_backpressure(slow, true);
    assert!(harness.paused.contains(&slow_decode) && !harness.paused.contains(&decode));
    harness.set_backpressure(slow, false);
    assert!(harness.paused.is_empty());
}

#[test]
fn a_paused_stream_does_not_count_as_silent() {
    let (mut harness, client, decode) = decoding_request("once");
    harness.deliver(decode, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    harness.set_backpressure(client, true);
    harness.advance(6_000 * MS);
    assert!(
        !harness.ended.contains_key(&decode),
        "the router did not read from the stream, so that it does not count as silent"
    );
    harness.set_backpressure(client, false);
    harness.advance(4_000 * MS);
    harness.deliver(decode, format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])));
    assert_eq!(decode_chunked(&harness.sent_text(client)), (STREAM_EVENTS.concat(), true));
    // A client that never reads again does not occupy its worker for ever.
    let (mut harness, client, decode) = decoding_request("once");
    harness.deliver(decode, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    harness.set_backpressure(client, true);
    harness.advance(15_100 * MS);
    assert!(harness.ended.contains_key(&decode) && harness.ended.contains_key(&client));
}

#[test]
fn a_silent_stream_is_ended_within_five_seconds() {
    let (mut harness, client, decode) = decoding_request("safe");
    harness.deliver(decode, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    // A stream with slow events is not ended.
    for _ in 0..3 {
        harness.advance(4_000 * MS);
        harness.deliver(decode, chunk(STREAM_EVENTS[1]));
    }
    harness.advance(4_400 * MS);
    assert!(!harness.ended.contains_key(&client));
    harness.advance(200 * MS);
    assert_eq!(
        harness.ended.get(&client),
        Some(&false),
        "the stream is ended within the five seconds that the platform allows"
    );
    assert!(harness.ended.contains_key(&decode) && !decode_chunked(&harness.sent_text(client)).1);
}

#[test]
fn a_stream_malformed_after_its_start_does_not_make_its_worker_suspected() {
    // Each case: what a decode worker sends, and whether it is suspected because of it.
    for (bytes, is_suspected) in
        [(format!("{STREAM_HEAD}{}zz\r\n", chunk(STREAM_EVENTS[0])), false), ("noise\r\n\r\n".into(), true)]
    {
        let (mut harness, _, decode) = decoding_request("safe");
        harness.deliver(decode, bytes);
        harness.advance(100 * MS);
        assert_eq!(!harness.new_calls("GET /alive").is_empty(), is_suspected);
    }
}

/// Guards against a connection that is ended without an outcome of its attempt: at the deadline, the request would
/// count as never sent, and its client would retry it because of the rejection.
#[test]
fn a_stream_that_stops_before_its_first_event_may_have_run() {
    for (class, statuses) in [("once", vec![502]), ("safe", vec![503])] {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.deliver(client, chat_request_with("id", class, 6_000, "{}"));
        complete_prefill(&mut harness);
        let (decode, _) = harness.new_attempt();
        harness.deliver(decode, format!("{STREAM_HEAD}{}", chunk("data: {\"a\"")));
        harness.advance(4_700 * MS);
        assert!(harness.ended.contains_key(&decode), "the attempt is cancelled");
        assert_eq!(harness.statuses(client), statuses, "{class}");
        harness.advance(2_000 * MS);
        assert!(
            class == "safe" || !harness.statuses(client).contains(&503),
            "a non-idempotent request that may have run is not rejected"
        );
    }
}

/// The heads of a stream in each framing; a length of 3 GB stands for one that does not fit.
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
const ENDLESS_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3221225472\r\n\r\n";

/// Returns the head of a stream with a content length.
fn length_head(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n")
}

/// Delivers a response to a decode attempt in pieces of some lengths. Each time, returns what the client has received,
/// whether that is complete, and whether the client's connection is open.
fn play_stream(response: &str, worker_closes: bool) -> Vec<(String, bool, bool)> {
    let play_in_pieces = |length: usize| {
        let (mut harness, client, decode) = decoding_request("once");
        response.as_bytes().chunks(length).for_each(|piece| harness.deliver(decode, piece));
        if worker_closes && !harness.ended.contains_key(&decode) {
            harness.reset(decode);
        }
        let (body, is_complete) = decode_chunked(&harness.sent_text(client));
        (body, is_complete, !harness.ended.contains_key(&client))
    };
    [1, 7, 64, response.len()].map(play_in_pieces).into()
}

/// Guards against clients that get bytes which are no events, and whose connection ends long after the stream was spoilt:
/// a chunk that holds less than its size says takes in the chunks behind it, and a length that does not fit takes in
/// whatever is sent.
#[test]
fn a_stream_that_continues_with_other_bytes_is_ended_at_once() {
    let first = chunk(STREAM_EVENTS[0]);
    let second = STREAM_EVENTS[1];
    for (case, response) in [
        (
            "a chunk size that takes in the next chunk",
            format!("{STREAM_HEAD}{first}4000\r\n{second}\r\n{}", chunk(second)),
        ),
        ("one that looks like a field", format!("{STREAM_HEAD}{first}4000\r\n{second}\r\nda\r\n{second}")),
        ("one with an extension", format!("{STREAM_HEAD}{first}4000\r\n{second}\r\ne;x=y\r\n{second}")),
        ("one that takes in the last chunk", format!("{STREAM_HEAD}{first}4000\r\n{second}\r\n0\r\n\r\n")),
        ("one that ends within an event", format!("{STREAM_HEAD}{first}4000\r\n{second}\r\n5\r\ndata:\r\n")),
        ("noise in a chunk", format!("{STREAM_HEAD}{first}{}", chunk(&format!("{second}\0noise\n")))),
        ("noise behind a length", format!("{ENDLESS_HEAD}{}{second}\0noise\n", STREAM_EVENTS[0])),
        ("noise up to the end", format!("{UNFRAMED_HEAD}{}{second}\0noise\n", STREAM_EVENTS[0])),
    ] {
        for (body, is_complete, is_open) in play_stream(&response, false) {
            assert!(!is_complete, "{case}: {body:?}");
            assert!(body.is_empty() || !is_open, "{case}: the connection is ended");
            let valid = [STREAM_EVENTS[0], second].concat();
            assert!(body == valid || body.is_empty(), "{case}: {body:?}");
        }
    }
}

/// Guards against clients that get the last chunk of a stream whose events have not all arrived.
#[test]
fn a_stream_that_ends_before_its_last_event_is_not_completed() {
    let events = STREAM_EVENTS.concat();
    for missing in [1, 2, 5, STREAM_EVENTS[2].len(), STREAM_EVENTS[2].len() + 3] {
        let incomplete = &events[..events.len() - missing];
        for (case, response, worker_closes) in [
            ("a length that is too small", format!("{}{events}", length_head(incomplete.len())), false),
            ("a length that is not reached", format!("{}{incomplete}", length_head(events.len())), true),
            ("the connection ends", format!("{UNFRAMED_HEAD}{incomplete}"), true),
            (
                "the connection ends within a chunk",
                format!("{STREAM_HEAD}{}", chunk(&events).split_at(missing + 9).0),
                true,
            ),
        ] {
            for (body, is_complete, is_open) in play_stream(&response, worker_closes) {
                assert!(!is_complete, "{case}, {missing} bytes missing: {body:?}");
                assert!(
                    body.is_empty() || !is_open,
                    "{case}, {missing} bytes missing: the connection is ended"
                );
            }
        }
    }
}

/// Guards against good streams that are cut off for their framing, their line breaks or for what follows them.
#[test]
fn a_whole_stream_is_completed_in_each_framing() {
    let events = STREAM_EVENTS.concat();
    let other_lines = ": note\r\n\r\nevent: x\r\nid: 1\r\ndata: a\r\n\r\nretry: 5\r\ndata: [DONE]\r\n: Endpoint-Load-Metrics: TEXT\r\n\r\n";
    let second = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";
    for (response, worker_closes, body) in [
        (format!("{}{events}", length_head(events.len())), false, events.as_str()),
        (format!("{}{events}{second}", length_head(events.len())), false, &events),
        (format!("{UNFRAMED_HEAD}{events}"), true, &events),
        (format!("{UNFRAMED_HEAD}{events}{second}"), false, &events),
        (format!("{UNFRAMED_HEAD}{other_lines}"), true, other_lines),
        (format!("{STREAM_HEAD}{}0\r\n\r\n{second}", chunk(other_lines)), false, other_lines),
    ] {
        for (received, is_complete, is_open) in play_stream(&response, worker_closes) {
            assert_eq!((received.as_str(), is_complete, is_open), (body, true, true), "{response:?}");
        }
    }
}

/// Guards against a long response that is cut off although its client reads it, only slowly: 15 seconds after the client
/// became slow, whatever it had read since.
#[test]
fn a_stream_is_not_ended_while_its_slow_client_makes_progress() {
    let (mut harness, client, decode) = decoding_request("once");
    harness.deliver(decode, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    for _ in 0..6 {
        harness.set_backpressure(client, true);
        harness.advance(10_000 * MS);
        assert!(harness.paused.contains(&decode) && !harness.ended.contains_key(&decode));
    }
    harness.advance(5_100 * MS);
    assert!(harness.ended.contains_key(&decode), "without progress, the stream is ended after 15 seconds");
}
