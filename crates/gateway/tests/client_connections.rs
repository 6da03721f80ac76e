//! Connections of untrusted clients, and the capacity limits of the process. The gateway runs in virtual time.

mod common;

use common::*;
use tideroute_wire::event_loop::ConnectionId;

/// Returns the number of attempts that went to workers since the previous call of this function.
fn count_new_attempts(harness: &mut Harness) -> usize {
    harness.new_calls("POST /v1").len()
}

/// Returns invalid requests, each with the status of its rejection.
fn invalid_requests() -> Vec<(u16, String)> {
    let valid = chat_request("id", "safe");
    let with = |from: &str, to: &str| valid.replace(from, to);
    vec![
        (400, "\u{16}\u{3}\u{1}\u{0} noise\r\n\r\n".to_string()),
        (400, "GET\r\n\r\n".into()),
        (400, with("Host: service.internal\r\n", "")),
        (400, with("X-Trace-Id: id\r\n", "")),
        (400, with("X-Trace-Id: id", "X-Trace-Id:")),
        (400, with("X-Trace-Id: id", "X-Trace-Id: a/../b")),
        (400, with("X-Trace-Id: id", &format!("X-Trace-Id: {}", "a".repeat(200)))),
        (400, with("X-Trace-Id: id", "X-Trace-Id: a\r\nX-Trace-Id: b")),
        (400, with("X-Qos: safe", "X-Qos: nobody-knows")),
        (400, with("X-Qos: safe\r\n", "")),
        (400, with("X-Expires-In-Ms: 4000", "X-Expires-In-Ms: soon")),
        (400, with("X-Expires-In-Ms: 4000", "X-Expires-In-Ms: -1")),
        (400, with("X-Expires-In-Ms: 4000", "X-Expires-In-Ms: +1")),
        (400, with("X-Expires-In-Ms: 4000", "X-Expires-In-Ms: 1e3")),
        (400, with("X-Expires-In-Ms: 4000", "X-Expires-In-Ms: 99999999999999999999999")),
        (400, with("X-Expires-In-Ms: 4000\r\n", "")),
        (400, with("prompt_len=500", "prompt_len=many")),
        (400, with("prompt_len=500", "prompt_len=-5")),
        (400, with("prompt_len=500", "prompt_len=99999999999")),
        (400, with("Content-Length: 27", "Content-Length: -27")),
        (400, with("Content-Length: 27", "Content-Length: 27\r\nContent-Length: 27")),
        (400, with("Content-Length: 27", "Content-Length: 27\r\nTransfer-Encoding: chunked")),
        (400, with("Content-Length: 27", "Content-Length: 20")),
        (400, with("Content-Length: 27\r\n", "")),
        (413, with("Content-Length: 27", "Content-Length: 60000000")),
        (413, with("Content-Length: 27", "Content-Length: 999999999999999999999999")),
        (431, format!("POST /v1/chat/completions HTTP/1.1\r\nx: {}", "y".repeat(9_000))),
        (405, with("POST /v1", "GET /v1")),
        (404, with("/v1/chat/completions", "/internal/reservations/id")),
        (505, with("HTTP/1.1", "HTTP/1.0")),
        (417, with("Host:", "Expect: wonders\r\nHost:")),
    ]
}

#[test]
fn an_invalid_request_is_rejected_and_not_forwarded() {
    for (status, request) in invalid_requests() {
        for piece_length in [1, request.len()] {
            let mut harness = Harness::new();
            let client = harness.connect_client();
            request.as_bytes().chunks(piece_length).for_each(|piece| harness.deliver(client, piece));
            assert_eq!(harness.statuses(client), [status], "{}", request.get(..300).unwrap_or(&request));
            assert_eq!(
                harness.ended.get(&client),
                Some(&false),
                "the connection is closed gracefully after the response"
            );
            assert_eq!(count_new_attempts(&mut harness), 0, "{request:?}");
        }
    }
}

#[test]
fn a_body_cannot_smuggle_a_second_request() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let hidden = chat_request("hidden", "once");
    let body = format!("0\r\n\r\n{hidden}");
    let outer = chat_request_with("outer", "safe", 4_000, &body)
        .replace("Host:", "Transfer-Encoding: chunked\r\nHost:");
    harness.deliver(client, outer);
    assert_eq!(harness.statuses(client), [400]);
    assert_eq!(count_new_attempts(&mut harness), 0);
}

#[test]
fn a_chunked_body_is_forwarded_with_its_length() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let complete = chat_request("id", "safe");
    let (head, _) = complete.split_once("Content-Length").expect("a length");
    let body = r#"{"model":"m"}"#;
    harness.deliver(client, format!("{head}Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n"));
    assert_eq!(harness.statuses(client), [100]);
    harness.deliver(client, format!("{}{}0\r\n\r\n", chunk(&body[..5]), chunk(&body[5..])));
    let (prefill, _) = harness.new_attempt();
    assert!(
        harness.sent_text(prefill).ends_with(&format!("content-length: 13\r\n\r\n{body}")),
        "{}",
        harness.sent_text(prefill)
    );
}

#[test]
fn a_duplicate_trace_id_is_rejected_and_the_open_request_goes_on() {
    let mut harness = Harness::new();
    let (first, second) = (harness.connect_client(), harness.connect_client());
    harness.deliver(first, chat_request("id", "safe"));
    let (prefill, _) = harness.new_attempt();
    harness.deliver(second, chat_request("id", "safe"));
    assert_eq!(harness.statuses(second), [409]);
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, streamed_response());
    assert_eq!(decode_chunked(&harness.sent_text(first)), (STREAM_EVENTS.concat(), true));
    // Once the request is closed, its trace id may be used again.
    let third = harness.connect_client();
    harness.deliver(third, chat_request("id", "safe"));
    assert_eq!(count_new_attempts(&mut harness), 1);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let mut harness = Harness::new();
    harness.send_update(&endpoint_list(5));
    let client = harness.connect_client();
    let request = ["a", "b", "c"].map(|id| chat_request(id, "safe")).concat();
    harness.deliver(client, format!("{request}GET /up HTTP/1.1\r\nHost: a\r\n\r\n"));
    for id in ["a", "b", "c"] {
        let (prefill, _) = harness.new_attempt();
        assert!(harness.sent_text(prefill).contains(&format!("x-trace-id: {id}\r\n")));
        harness.deliver(prefill, PREFILL_COMPLETE);
        let (decode, _) = harness.new_attempt();
        harness.deliver(decode, streamed_response());
    }
    assert_eq!(harness.statuses(client), [200, 200, 200, 200]);
    assert_eq!(harness.sent_text(client).matches("data: [DONE]").count(), 3);
    assert!(!harness.ended.contains_key(&client));
}

#[test]
fn a_disconnect_behind_pipelined_bytes_is_seen_in_bounded_memory() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("a", "safe"));
    let (prefill, _) = harness.new_attempt();
    (0..60).for_each(|_| harness.deliver(client, vec![b'x'; 10_000]));
    assert!(harness.paused.is_empty(), "a paused connection would hide the client's disconnect");
    assert!(!harness.ended.contains_key(&prefill), "the open request goes on");
    harness.reset(client);
    harness.advance(20 * MS);
    assert!(harness.ended.contains_key(&prefill), "the disconnect cancels the attempt");
    // A client that stays connected is answered, and its connection is closed: the discarded bytes can't be parsed.
    let waiting = harness.connect_client();
    harness.deliver(waiting, chat_request("b", "safe"));
    let (prefill, _) = harness.new_attempt();
    (0..60).for_each(|_| harness.deliver(waiting, vec![b'x'; 10_000]));
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, streamed_response());
    assert_eq!((harness.statuses(waiting), harness.ended.get(&waiting)), (vec![200], Some(&false)));
    // A client that never stops sending is disconnected.
    let endless = harness.connect_client();
    harness.deliver(endless, chat_request("c", "safe"));
    let (prefill, _) = harness.new_attempt();
    (0..140).for_each(|_| harness.deliver(endless, vec![b'x'; 10_000]));
    assert!(harness.ended.contains_key(&endless));
    assert_eq!(harness.statuses(endless), [400], "the request is answered before its connection is closed");
    harness.advance(20 * MS);
    assert!(harness.ended.contains_key(&prefill));
}

#[test]
fn a_large_pipelined_request_is_sent_after_the_one_before_it() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("a", "safe"));
    let pipelined = chat_request_with("b", "safe", 4_000, &format!("\"{}\"", "x".repeat(100_000)));
    pipelined.as_bytes().chunks(10_000).for_each(|piece| harness.deliver(client, piece));
    let (prefill, _) = harness.new_attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, streamed_response());
    assert_eq!(count_new_attempts(&mut harness), 1, "the second request follows");
}

#[test]
fn silent_clients_and_incomplete_requests_time_out() {
    let mut harness = Harness::new();
    let (silent, incomplete_head, incomplete_body) =
        (harness.connect_client(), harness.connect_client(), harness.connect_client());
    harness.deliver(incomplete_head, "POST /v1/chat");
    let complete = chat_request("id", "safe");
    harness.deliver(incomplete_body, &complete[..complete.len() - 5]);
    for _ in 0..25 {
        harness.advance(100 * MS);
        // A client that sends byte by byte gets no additional time.
        harness.deliver(incomplete_head, "x");
    }
    assert_eq!((harness.statuses(silent), harness.ended.get(&silent)), (vec![], Some(&false)));
    assert_eq!(
        (harness.statuses(incomplete_head), harness.statuses(incomplete_body)),
        (vec![408], vec![408])
    );
    assert_eq!(count_new_attempts(&mut harness), 0);
}

#[test]
fn connections_beyond_capacity_replace_idle_ones_only() {
    let mut harness = Harness::new();
    let open: Vec<_> = (0..60)
        .map(|n| {
            let client = harness.connect_client();
            harness.deliver(client, chat_request(&format!("id{n}"), "safe"));
            client
        })
        .collect();
    let silent: Vec<_> = (0..400).map(|_| harness.connect_client()).collect();
    assert!(open
        .iter()
        .all(|client| !harness.ended.contains_key(client) || harness.statuses(*client) == [503]));
    assert!(
        silent[..200].iter().all(|client| harness.ended.contains_key(client)),
        "the oldest idle connections are closed"
    );
    assert!(!harness.ended.contains_key(&silent[399]), "a new connection is always accepted");
    // A new client is still served.
    let client = harness.connect_client();
    harness.deliver(client, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(harness.statuses(client).len(), 1);
}

#[test]
fn requests_beyond_capacity_are_rejected_with_retry_after() {
    let mut harness = Harness::new();
    let mut rejected = None;
    for n in 0..107 {
        let client = harness.connect_client();
        harness.deliver(client, chat_request_with(&format!("id{n}"), "safe", 4_000, "{}"));
        if harness.statuses(client) == [503] {
            rejected = Some(client);
            break;
        }
    }
    let client = rejected.expect("a request that is rejected");
    assert!(harness.sent_text(client).contains("retry-after: 0."), "{}", harness.sent_text(client));
    assert!(!harness.ended.contains_key(&client), "the connection stays open");
}

#[test]
fn incomplete_bodies_stay_within_their_share_of_memory() {
    let mut harness = Harness::new();
    let body = format!("\"{}\"", "x".repeat(250_000));
    let mut rejected = 0;
    for n in 0..60 {
        let client = harness.connect_client();
        let complete = chat_request_with(&format!("id{n}"), "safe", 4_000, &body);
        // Without its last byte the request is buffered and can't be forwarded.
        harness.deliver(client, &complete[..complete.len() - 1]);
        rejected += usize::from(harness.statuses(client) == [503]);
    }
    assert!(
        (20..40).contains(&rejected),
        "{rejected} of 60 bodies of 250 KB are rejected, with 8 MB of memory for bodies"
    );
}

#[test]
fn rejections_for_capacity_carry_retry_after_where_the_settings_allow() {
    for (sends_retry_after, expected_field) in [(true, "retry-after: 0.300\r\n"), (false, "")] {
        let mut config = router_config();
        config["settings"]["caps"]["retry_after"] = sends_retry_after.into();
        config["settings"]["caps"]["max_retry_after_ms"] = 300.0.into();
        let body = format!("\"{}\"", "x".repeat(250_000));
        let complete = chat_request_with("id", "safe", 4_000, &body);
        // Open requests exhaust one limit; bodies without their last byte exhaust the other.
        for (reason, request) in
            [("full", ""), ("no memory for one more request", &complete[..complete.len() - 1])]
        {
            let mut harness = Harness::with_config(&config);
            let response = (0..200).find_map(|n| {
                let client = harness.connect_client();
                let sent = if request.is_empty() {
                    chat_request(&format!("id{n}"), "safe")
                } else {
                    request.to_string()
                };
                harness.deliver(client, sent);
                (harness.statuses(client) == [503]).then(|| harness.sent_text(client))
            });
            let response = response.expect("a request that is rejected");
            assert!(
                response.ends_with(&format!("{reason}\n")) && response.contains(expected_field),
                "{response}"
            );
            assert_eq!(response.contains("retry-after"), sends_retry_after, "{response}");
        }
    }
}

/// Sends a request with a part of another one behind it, and answers the first after `answered_after_ms` milliseconds.
fn incomplete_pipelined_request(part: &str, answered_after_ms: u64) -> (Harness, ConnectionId) {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    harness.deliver(client, format!("{}{part}", chat_request("first", "safe")));
    let (prefill, _) = harness.new_attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    harness.advance(answered_after_ms * MS);
    harness.deliver(decode, format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])));
    assert_eq!(harness.statuses(client), [200]);
    (harness, client)
}

#[test]
fn an_incomplete_pipelined_request_times_out() {
    let complete = chat_request("second", "safe");
    let (head, _) = complete.split_once("\r\n\r\n").expect("a head");
    for part in [&complete[..20], head, &complete[..complete.len() - 1]] {
        for answered_after_ms in [100, 1_999, 2_500, 4_000] {
            let (mut harness, client) = incomplete_pipelined_request(part, answered_after_ms);
            harness.advance(3_000 * MS);
            assert_eq!(
                harness.statuses(client),
                [200, 408],
                "{part:?} behind a request that is answered after {answered_after_ms} ms"
            );
            assert_eq!(harness.ended.get(&client), Some(&false));
        }
    }
}

/// Guards against responses that pile up in memory for a client that does not read them.
#[test]
fn commands_of_a_client_that_does_not_read_wait_until_it_does() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let commands = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n".repeat(100);
    harness.set_backpressure(client, true);
    harness.deliver(client, &commands);
    assert_eq!(harness.statuses(client).len(), 0, "no response is added to those that wait");
    assert!(harness.paused.contains(&client), "no more is read from the client");
    harness.set_backpressure(client, false);
    assert_eq!(harness.statuses(client).len(), 100);
    assert!(!harness.paused.contains(&client) && !harness.ended.contains_key(&client));
}

/// Guards against commands of some clients that take up whole iterations, so that the events and timers of others wait.
#[test]
fn commands_of_many_clients_are_answered_in_turns() {
    let mut harness = Harness::new();
    let commands = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n".repeat(1_500);
    let clients: Vec<_> = (0..20).map(|_| harness.connect_client()).collect();
    clients.iter().for_each(|client| harness.deliver(*client, &commands));
    let count =
        |harness: &Harness| clients.iter().map(|client| harness.statuses(*client).len()).sum::<usize>();
    let mut answered = count(&harness);
    assert!(clients.iter().all(|client| harness.paused.contains(client)));
    let mut iterations = 0;
    while answered < clients.len() * 1_500 {
        assert!(
            harness.next_timer().is_some_and(|timer| timer == harness.now),
            "the next turns are due at once"
        );
        harness.fire_next_timer();
        let answered_before = std::mem::replace(&mut answered, count(&harness));
        assert!(
            (1..=4_096).contains(&(answered - answered_before)),
            "{} at once",
            answered - answered_before
        );
        iterations += 1;
    }
    assert!(iterations >= 5, "{iterations} iterations");
    assert!(harness.paused.is_empty());
}

/// Guards against a disconnect that is not seen, because nothing is read from a client whose request is open.
#[test]
fn an_open_request_behind_many_commands_is_cancelled_when_its_client_disconnects() {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    let commands = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n".repeat(100);
    harness.deliver(client, format!("{commands}{}", chat_request("id", "safe")));
    assert_eq!(harness.statuses(client).len(), 100);
    let (prefill, _) = harness.new_attempt();
    assert!(!harness.paused.contains(&client));
    harness.reset(client);
    harness.advance(20 * MS);
    assert!(harness.ended.contains_key(&prefill), "the disconnect cancels the attempt");
}

/// Guards against a client that is closed without an answer although it has sent a head and a part of the body.
#[test]
fn an_incomplete_request_closed_to_make_room_is_answered() {
    let complete = chat_request("id", "safe");
    let body_start = complete.find("\r\n\r\n").expect("a head") + 4;
    for arrived_bytes in [10, body_start, body_start + 5] {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.deliver(client, &complete[..arrived_bytes]);
        for _ in 0..200 {
            harness.connect_client();
        }
        assert_eq!(harness.statuses(client), [408], "{arrived_bytes} bytes have arrived");
        assert_eq!(harness.ended.get(&client), Some(&false));
    }
}

/// Guards against memory that one client fills with requests without time left at full speed: a turn answers one of them,
/// while the next 64 KB of them are read.
#[test]
fn requests_without_time_left_are_read_no_faster_than_they_are_answered() {
    const READ_BYTES: usize = 64 << 10;
    const MAX_WAITING_BYTES: usize = 2 * READ_BYTES;
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let request = |number: usize| chat_request_with(&format!("id{number:06}"), "safe", 0, "{}");
    let request_length = request(0).len();
    let mut sent = 0;
    for _ in 0..300 {
        if !harness.paused.contains(&client) {
            let piece: String = (sent..sent + READ_BYTES / request_length).map(request).collect();
            sent += READ_BYTES / request_length;
            harness.deliver(client, piece);
        }
        if harness.next_timer().is_some_and(|timer| timer <= harness.now) {
            harness.fire_next_timer();
        }
        let waiting_bytes = (sent - harness.statuses(client).len()) * request_length;
        assert!(waiting_bytes <= MAX_WAITING_BYTES, "{waiting_bytes} bytes wait");
    }
    assert!(harness.statuses(client).len() >= 100, "its requests are answered");
    harness.reset(client);
}
