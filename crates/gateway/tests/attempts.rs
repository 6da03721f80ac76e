//! Requests on their way from a client to workers and back. The gateway runs in virtual time.

mod common;

use common::*;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};

#[test]
fn a_request_is_prefilled_and_decoded_and_its_events_are_forwarded_unchanged() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id-1", "safe"));
    let (prefill, prefill_worker) = harness.new_attempt();
    assert_eq!(WORKERS[prefill_worker].kind, "reading");
    let request = harness.sent_text(prefill);
    assert!(request.starts_with("POST /v1/chat/completions HTTP/1.1\r\n"), "{request}");
    assert!(
        request.contains("x-trace-id: id-1\r\n") && request.ends_with("{\"model\":\"m\",\"messages\":[]}")
    );
    assert!(
        request.contains("x-props: prefix=5c0f,prompt_len=500") && request.contains("x-expires-in-ms: 3995")
    );
    // A reservation is requested at a decode worker of the same cell during the prefill.
    let (reservation, decode_worker) = harness.new_call("POST /internal/reservations/id-1 ");
    assert_eq!(
        (WORKERS[decode_worker].kind, WORKERS[decode_worker].cell),
        ("writing", WORKERS[prefill_worker].cell)
    );
    harness.deliver(reservation, response(200, "", ""));
    harness.advance(50 * MS);
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, worker) = harness.new_attempt();
    assert_eq!(worker, decode_worker, "the decode attempt goes to the worker that granted the reservation");
    assert_eq!(harness.sent_text(client), "", "no response head is sent before the first event");
    for (n, event) in STREAM_EVENTS.iter().enumerate() {
        harness.deliver(decode, if n == 0 { format!("{STREAM_HEAD}{}", chunk(event)) } else { chunk(event) });
        assert!(harness.sent_text(client).ends_with(&chunk(event)), "each event is forwarded as it arrives");
    }
    harness.deliver(decode, "0\r\n\r\n");
    assert_eq!(decode_chunked(&harness.sent_text(client)), (STREAM_EVENTS.concat(), true));
    assert_eq!(harness.statuses(client), [200]);
    assert!(harness.new_calls("DELETE").is_empty(), "a completed stream leaves nothing to release");
    // The next request reuses the connections.
    harness.deliver(client, chat_request("id-2", "safe"));
    assert_eq!(harness.new_attempt().0, prefill);
}

#[test]
fn headers_are_forwarded_to_both_workers_except_hop_by_hop_ones() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let extra_fields =
        "Idempotency-Key: 29-55\r\nX-Customer: a\r\nX-Customer: b\r\nConnection: keep-alive, x-hop\r\n\
                X-Hop: 1\r\nTE: trailers\r\nKeep-Alive: timeout=5\r\nHost:";
    harness.deliver(client, chat_request("id", "keyed").replacen("Host:", extra_fields, 1));
    for answer in [PREFILL_COMPLETE.to_string(), streamed_response()] {
        let (worker, _) = harness.new_attempt();
        let request = harness.sent_text(worker);
        let request = &request[request.rfind("POST /v1").expect("an attempt")..];
        for forwarded in ["\r\nidempotency-key: 29-55\r\n", "\r\nx-customer: a\r\nx-customer: b\r\n"] {
            assert!(request.contains(forwarded), "{forwarded:?} is missing in {request}");
        }
        for hop_by_hop in ["x-hop", "keep-alive", "\r\nte:", "\r\nconnection:"] {
            assert!(!request.contains(hop_by_hop), "{hop_by_hop:?} was forwarded in {request}");
        }
        assert_eq!(request.matches("content-length:").count(), 1, "{request}");
        assert_eq!(request.matches("x-expires-in-ms:").count(), 1, "{request}");
        harness.deliver(worker, answer);
    }
    assert_eq!(harness.statuses(client), [200]);
}

#[test]
fn input_split_at_any_byte_gives_the_same_response() {
    let (request, answer) =
        (chat_request("id", "safe"), format!("HTTP/1.1 103 Early\r\nlink: a\r\n\r\n{}", streamed_response()));
    let response_to = |client_cut: usize, worker_cut: usize| {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.deliver(client, &request[..client_cut]);
        harness.deliver(client, &request[client_cut..]);
        let (prefill, _) = harness.new_attempt();
        let cut = worker_cut.min(PREFILL_COMPLETE.len());
        harness.deliver(prefill, &PREFILL_COMPLETE[..cut]);
        harness.deliver(prefill, &PREFILL_COMPLETE[cut..]);
        let (decode, _) = harness.new_attempt();
        harness.deliver(decode, &answer[..worker_cut]);
        harness.deliver(decode, &answer[worker_cut..]);
        assert!(
            !harness.ended.contains_key(&decode),
            "the worker's connection is kept when its bytes are cut at {worker_cut}"
        );
        decode_chunked(&harness.sent_text(client))
    };
    let complete = (STREAM_EVENTS.concat(), true);
    (1..request.len())
        .for_each(|cut| assert_eq!(response_to(cut, 0), complete, "the client's bytes cut at {cut}"));
    (1..answer.len())
        .for_each(|cut| assert_eq!(response_to(0, cut), complete, "the worker's bytes cut at {cut}"));
}

#[test]
fn an_attempt_that_may_have_run_is_retried_only_if_idempotent() {
    // Each case: how the decode attempt ends, and whether a non-idempotent request is retried after that.
    type EndAttempt = fn(&mut Harness, ConnectionId);
    let cases: [(&str, EndAttempt, bool); 8] = [
        (
            "503 with the proof that it never ran",
            |harness, connection| harness.deliver(connection, NEVER_RAN),
            true,
        ),
        (
            "504 with the proof that it never ran",
            |harness, connection| harness.deliver(connection, NEVER_RAN.replace("503", "504")),
            true,
        ),
        (
            "410 with the proof that it never ran",
            |harness, connection| harness.deliver(connection, NEVER_RAN.replace("503", "410")),
            true,
        ),
        (
            "503 without the proof that it never ran",
            |harness, connection| harness.deliver(connection, response(503, "", "")),
            false,
        ),
        ("a 500 response", |harness, connection| harness.deliver(connection, response(500, "", "oh")), false),
        ("reset", |harness, connection| harness.reset(connection), false),
        (
            "a malformed response head",
            |harness, connection| harness.deliver(connection, "\u{7}\u{8}noise\r\n\r\n"),
            false,
        ),
        (
            "a stream without events",
            |harness, connection| harness.deliver(connection, format!("{STREAM_HEAD}0\r\n\r\n")),
            false,
        ),
    ];
    for (ending, end_attempt, retries_non_idempotent) in cases {
        for (class, is_retried) in [("safe", true), ("once", retries_non_idempotent)] {
            let (mut harness, client, decode) = decoding_request(class);
            end_attempt(&mut harness, decode);
            harness.advance(300 * MS);
            assert_eq!(
                harness.new_calls("POST /v1/chat").len(),
                usize::from(is_retried),
                "{class} after {ending}"
            );
            // A request that can't be retried is answered at once, and with a failure rather than a rejection.
            assert_eq!(
                harness.statuses(client),
                if is_retried { vec![] } else { vec![502] },
                "{class} after {ending}"
            );
        }
    }
}

#[test]
fn a_request_that_was_not_written_completely_never_ran() {
    for (advances_clock, reason) in
        [(false, DisconnectReason::ConnectFailed), (true, DisconnectReason::Reset)]
    {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.deliver(client, chat_request("id", "once"));
        complete_prefill(&mut harness);
        harness.completes_io_immediately = false;
        // The first decode attempt was written at once: the worker rejects it, so that the next one is not written.
        let (decode, first) = harness.new_attempt();
        harness.deliver(decode, NEVER_RAN);
        let (decode, second) = harness.new_attempt();
        assert_ne!(first, second);
        if advances_clock {
            harness.advance(MS);
        }
        harness.disconnect(decode, reason);
        harness.advance(300 * MS);
        assert_eq!(harness.new_attempts().len(), 1, "the request is retried");
        assert!(harness.statuses(client).is_empty());
    }
}

#[test]
fn a_request_without_further_attempts_is_answered_at_once() {
    // The last permitted attempt is rejected by its worker: a retry by the client is safe, and it gets Retry-After.
    for sends_retry_after in [true, false] {
        let mut config = router_config();
        config["settings"]["caps"]["max_attempts"] = 2.into();
        config["settings"]["caps"]["retry_after"] = sends_retry_after.into();
        let mut harness = Harness::with_config(&config);
        let client = harness.connect_client();
        harness.deliver(client, chat_request("id", "once"));
        complete_prefill(&mut harness);
        let (decode, _) = harness.new_attempt();
        harness.deliver(decode, NEVER_RAN);
        assert_eq!(harness.statuses(client), [503]);
        assert_eq!(
            harness.sent_text(client).contains("retry-after: 0."),
            sends_retry_after,
            "{}",
            harness.sent_text(client)
        );
    }
    // The request may have run and must not run again: the response carries no Retry-After.
    let (mut harness, client, decode) = decoding_request("once");
    harness.reset(decode);
    assert_eq!(harness.statuses(client), [502]);
    assert!(!harness.sent_text(client).contains("retry-after"));
}

#[test]
fn the_deadline_ends_a_request_without_a_response_but_no_stream() {
    let mut harness = Harness::new();
    let (expiring, streaming) = (harness.connect_client(), harness.connect_client());
    harness.deliver(expiring, chat_request_with("late", "once", 1_000, "{}"));
    complete_prefill(&mut harness);
    let (decode, _) = harness.new_attempt();
    harness.deliver(streaming, chat_request_with("streams", "once", 1_000, "{}"));
    complete_prefill(&mut harness);
    let (stream, _) = harness.new_attempt();
    harness.deliver(stream, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    harness.advance(1_000 * MS);
    assert!(harness.ended.contains_key(&decode), "the attempt is cancelled at the client's deadline");
    assert_eq!(harness.statuses(expiring), [504], "the client is answered before its deadline");
    harness.advance(3_000 * MS);
    harness.deliver(stream, format!("{}0\r\n\r\n", chunk(STREAM_EVENTS[1])));
    assert!(decode_chunked(&harness.sent_text(streaming)).1);
}

#[test]
fn a_client_disconnect_cancels_the_attempt_and_releases_reserved_state() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.new_attempt();
    let (reservation, _) = harness.new_call("POST /internal");
    harness.reset(client);
    harness.advance(20 * MS);
    assert!(harness.ended.contains_key(&prefill));
    let (release, _) = harness.new_call("DELETE /internal/reservations/id ");
    // The worker that the first release call went to is silent: another worker is called.
    harness.advance(150 * MS);
    let (second, _) = harness.new_call("DELETE /internal/reservations/id ");
    harness.deliver(second, "HTTP/1.1 204 No Content\r\n\r\n");
    assert!(harness.ended.contains_key(&release), "the call to the silent worker is cancelled");
    // The reservation was refused: nothing is left to be released.
    harness.deliver(reservation, response(409, "", ""));
    harness.advance(3_000 * MS);
    assert!(harness.new_calls("DELETE").is_empty());
}

#[test]
fn a_release_is_retried_at_other_workers_while_connections_fail() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.new_attempt();
    harness.reset(prefill);
    // The failed prefill may have left state, but the retry is in flight: its state must not be released.
    assert!(harness.new_calls("DELETE").is_empty());
    harness.reset(client);
    harness.advance(20 * MS);
    let mut workers = vec![];
    for _ in 0..3 {
        let (release, worker) = harness.new_call("DELETE /internal/reservations/id ");
        workers.push(worker);
        harness.disconnect(release, DisconnectReason::ConnectFailed);
    }
    workers.sort_unstable();
    workers.dedup();
    assert_eq!(workers.len(), 3, "each call goes to another worker");
}

#[test]
fn state_of_a_failed_prefill_is_released_while_the_next_attempts_cannot_connect() {
    for reserves_decode_worker in [true, false] {
        let mut file = router_config();
        file["settings"]["family_info"]["ahead"] = reserves_decode_worker.into();
        let mut harness = Harness::with_config(&file);
        let client = harness.connect_client();
        harness.deliver(client, chat_request("id", "safe"));
        let (prefill, _) = harness.new_attempt();
        harness.completes_io_immediately = false;
        harness.reset(prefill);
        let (second, _) = harness.new_attempt();
        let immediate_releases = harness.new_calls("DELETE /internal/reservations/id ");
        // Without a reservation no release is sent at first: the next attempt normally connects at once, and its state
        // replaces that of the failed one.
        assert_eq!(immediate_releases.len(), usize::from(reserves_decode_worker));
        harness.advance(60 * MS);
        let release = immediate_releases
            .first()
            .copied()
            .unwrap_or_else(|| harness.new_call("DELETE /internal/reservations/id "));
        // One attempt after another fails to connect, as in a zone that is cut off; the release is not cancelled.
        harness.disconnect(second, DisconnectReason::ConnectFailed);
        let (third, _) = harness.new_attempt();
        assert!(!harness.ended.contains_key(&release.0), "the release call stays open");
        harness.advance(200 * MS);
        let more_releases = harness.new_calls("DELETE /internal/reservations/id ");
        assert_eq!(more_releases.len(), 3, "one more call after a delay, then two more");
        // An attempt connects: its state must not be released while it runs.
        harness.complete_connect(third);
        assert!(more_releases
            .iter()
            .chain([&release])
            .all(|(connection, _)| harness.ended.contains_key(connection)));
    }
}

#[test]
fn a_refused_reservation_is_requested_elsewhere_and_one_for_an_unknown_prefill_is_not() {
    for (answer, expected_calls) in [
        (response(409, "", ""), 1),
        ("HTTP/1.1 204 No Content\r\n\r\n".into(), 0),
        (response(404, "", ""), 0),
    ] {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.deliver(client, chat_request("id", "safe"));
        let (reservation, first_worker) = harness.new_call("POST /internal/reservations/id ");
        harness.deliver(reservation, &answer);
        harness.advance(100 * MS);
        let further_calls = harness.new_calls("POST /internal/reservations/id ");
        assert_eq!(further_calls.len(), expected_calls, "{answer}");
        assert!(further_calls.iter().all(|(_, worker)| *worker != first_worker));
    }
}

#[test]
fn a_reservation_is_requested_once_the_prefill_request_is_written() {
    let mut harness = Harness::new();
    harness.completes_io_immediately = false;
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.new_attempt();
    assert!(harness.new_calls("POST /internal").is_empty());
    harness.complete_write(prefill);
    harness.new_call("POST /internal/reservations/id ");
}

/// Returns the response with a load report, which states the waiting prompt tokens in thousands.
fn load_report(waiting_thousands: &str) -> String {
    response(200, "", &format!("TEXT recent_ms=12.5, x0=0.25, x1={waiting_thousands}\n"))
}

#[test]
fn prefills_go_to_the_least_loaded_preferred_worker_by_load_reports() {
    let mut file = router_config();
    file["settings"]["report"] = serde_json::json!({"how": "probe", "columns": ["recent_ms", "x0", "x1"]});
    file["settings"]["family_info"]["report_x1"] = "thousands of prompt tokens waiting to be read".into();
    // Each case: the workers' reports in order of preference, the rank of the worker that gets the prefill of 500
    // tokens, and how many workers are asked for a report. A value that can't be a load counts as no load.
    let cases = [
        (["0.6", "0", "0"], 1, 3),
        (["0.4", "0", "0"], 0, 1),
        (["9", "2", "1.4"], 2, 3),
        (["9", "-1", "nan"], 0, 3),
        (["-1", "0.6", "0"], 2, 3),
    ];
    let preference = prefill_preference(&file);
    for (reports, chosen_rank, report_count) in cases {
        let mut harness = Harness::with_config(&file);
        let client = harness.connect_client();
        harness.deliver(client, chat_request("id", "safe"));
        let mut reporting_workers = vec![];
        for _ in 0..3 {
            for (connection, worker) in harness.new_calls("GET /metrics/load") {
                let rank =
                    preference.iter().position(|preferred| *preferred == worker).expect("a prefill worker");
                harness.deliver(connection, load_report(reports[rank]));
                reporting_workers.push(worker);
            }
            assert_eq!(reporting_workers[0], preference[0], "the preferred worker is asked first");
            harness.advance(10 * MS);
        }
        assert_eq!(
            (harness.new_attempt().1, reporting_workers.len()),
            (preference[chosen_rank], report_count),
            "{reports:?}"
        );
    }
}

/// Returns the prefill workers in order of preference: the worker of each rank is chosen once those before it drain.
fn prefill_preference(file: &serde_json::Value) -> Vec<usize> {
    let mut order = vec![];
    while order.len() < 3 {
        let mut file = file.clone();
        order
            .iter()
            .for_each(|worker| file["known"]["servers"][*worker] = endpoint_entry(*worker, "DRAINING", 0));
        let mut harness = Harness::with_config(&file);
        let client = harness.connect_client();
        harness.deliver(client, chat_request("id", "safe"));
        harness.advance(30 * MS);
        order.push(harness.new_attempt().1);
    }
    order
}

/// Ends a request; gets the connections of its client and of its decode attempt.
type Ending = fn(&mut Harness, ConnectionId, ConnectionId);

/// Guards against a request that runs twice, because its id comes again after its client has left or was answered.
#[test]
fn an_id_that_may_have_run_does_not_run_again() {
    // Each case: what happens after the decode attempt was sent, and whether the request may have run.
    let endings: [(&str, Ending, bool); 4] = [
        ("its client leaves", |harness, client, _| harness.reset(client), true),
        ("it is answered", |harness, _, decode| harness.deliver(decode, streamed_response()), true),
        ("its worker resets the connection", |harness, _, decode| harness.reset(decode), true),
        (
            "all workers turn it away",
            |harness, _, decode| {
                harness.deliver(decode, NEVER_RAN);
                for _ in 0..100 {
                    harness
                        .new_attempts()
                        .iter()
                        .for_each(|(attempt, _)| harness.deliver(*attempt, NEVER_RAN));
                    harness.advance(50 * MS);
                }
            },
            false,
        ),
    ];
    for (case, end, may_have_run) in endings {
        for class in ["once", "safe"] {
            let (mut harness, client, decode) = decoding_request(class);
            end(&mut harness, client, decode);
            harness.advance(100 * MS);
            harness.new_attempts();
            let next_client = harness.connect_client();
            harness.deliver(next_client, chat_request("id", class));
            harness.advance(100 * MS);
            let is_refused = harness.statuses(next_client) == [409];
            let is_open = class == "safe" && case == "its worker resets the connection";
            assert_eq!(is_refused, (class == "once" && may_have_run) || is_open, "{case}, {class}");
            assert_eq!(harness.new_attempts().is_empty(), is_refused, "{case}, {class}");
        }
    }
}
