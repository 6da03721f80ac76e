//! Requests from a client to workers and back, on bytes in virtual time.

mod common;

use common::*;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};

#[test]
fn a_request_is_prefilled_and_decoded_and_its_events_are_forwarded_unchanged() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id-1", "safe"));
    let (prefill, at) = harness.attempt();
    assert_eq!(WORKERS[at].kind, "reading");
    let request = harness.sent_text(prefill);
    assert!(request.starts_with("POST /v1/chat/completions HTTP/1.1\r\n"), "{request}");
    assert!(
        request.contains("x-trace-id: id-1\r\n") && request.ends_with("{\"model\":\"m\",\"messages\":[]}")
    );
    assert!(
        request.contains("x-props: prefix=5c0f,prompt_len=500") && request.contains("x-expires-in-ms: 3995")
    );
    // A reservation is requested at a decode worker of the same cell during the prefill.
    let (reservation, decode) = harness.call("POST /internal/reservations/id-1 ");
    assert_eq!((WORKERS[decode].kind, WORKERS[decode].cell), ("writing", WORKERS[at].cell));
    harness.deliver(reservation, response(200, "", ""));
    harness.advance(50 * MS);
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (connection, to) = harness.attempt();
    assert_eq!(to, decode, "the writer that held the place");
    assert_eq!(harness.sent_text(client), "", "no head before an event");
    for (n, event) in STREAM_EVENTS.iter().enumerate() {
        harness.deliver(
            connection,
            if n == 0 { format!("{STREAM_HEAD}{}", chunk(event)) } else { chunk(event) },
        );
        assert!(harness.sent_text(client).ends_with(&chunk(event)), "as it comes");
    }
    harness.deliver(connection, "0\r\n\r\n");
    assert_eq!(decode_chunked(&harness.sent_text(client)), (STREAM_EVENTS.concat(), true));
    assert_eq!(harness.statuses(client), [200]);
    assert!(harness.calls("DELETE").is_empty(), "a stream frees all else by itself");
    // The connections are used again.
    harness.deliver(client, chat_request("id-2", "safe"));
    assert_eq!(harness.attempt().0, prefill);
}

#[test]
fn headers_are_forwarded_to_both_workers_except_hop_by_hop_ones() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let more =
        "Idempotency-Key: 29-55\r\nX-Customer: a\r\nX-Customer: b\r\nConnection: keep-alive, x-hop\r\n\
                X-Hop: 1\r\nTE: trailers\r\nKeep-Alive: timeout=5\r\nHost:";
    harness.deliver(client, chat_request("id", "keyed").replacen("Host:", more, 1));
    for answer in [PREFILL_COMPLETE.to_string(), streamed_response()] {
        let (worker, _) = harness.attempt();
        let request = harness.sent_text(worker);
        let request = &request[request.rfind("POST /v1").expect("an attempt")..];
        for there in ["\r\nidempotency-key: 29-55\r\n", "\r\nx-customer: a\r\nx-customer: b\r\n"] {
            assert!(request.contains(there), "{there:?} in {request}");
        }
        for hop_by_hop in ["x-hop", "keep-alive", "\r\nte:", "\r\nconnection:"] {
            assert!(!request.contains(hop_by_hop), "{hop_by_hop:?} in {request}");
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
    let play = |client_cut: usize, worker_cut: usize| {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.deliver(client, &request[..client_cut]);
        harness.deliver(client, &request[client_cut..]);
        let (prefill, _) = harness.attempt();
        let cut = worker_cut.min(PREFILL_COMPLETE.len());
        harness.deliver(prefill, &PREFILL_COMPLETE[..cut]);
        harness.deliver(prefill, &PREFILL_COMPLETE[cut..]);
        let (decode, _) = harness.attempt();
        harness.deliver(decode, &answer[..worker_cut]);
        harness.deliver(decode, &answer[worker_cut..]);
        assert!(!harness.ended.contains_key(&decode), "the connection is kept, cut at {worker_cut}");
        decode_chunked(&harness.sent_text(client))
    };
    let whole = (STREAM_EVENTS.concat(), true);
    (1..request.len()).for_each(|cut| assert_eq!(play(cut, 0), whole, "the client's bytes cut at {cut}"));
    (1..answer.len()).for_each(|cut| assert_eq!(play(0, cut), whole, "the worker's bytes cut at {cut}"));
}

#[test]
fn an_attempt_that_may_have_run_is_retried_only_if_idempotent() {
    // How the decode attempt ends; whether a non-idempotent request may be retried after it.
    type Ends = fn(&mut Harness, ConnectionId);
    let ends: [(&str, Ends, bool); 8] = [
        ("turned away", |s, l| s.deliver(l, NEVER_RAN), true),
        ("turned away as over", |s, l| s.deliver(l, NEVER_RAN.replace("503", "504")), true),
        ("no state", |s, l| s.deliver(l, NEVER_RAN.replace("503", "410")), true),
        ("503 without a word that it never ran", |s, l| s.deliver(l, response(503, "", "")), false),
        ("an error", |s, l| s.deliver(l, response(500, "", "oh")), false),
        ("reset", |s, l| s.reset(l), false),
        ("noise for a head", |s, l| s.deliver(l, "\u{7}\u{8}noise\r\n\r\n"), false),
        ("a head without events", |s, l| s.deliver(l, format!("{STREAM_HEAD}0\r\n\r\n")), false),
    ];
    for (what, end, again) in ends {
        for (class, goes_on) in [("safe", true), ("once", again)] {
            let (mut harness, client, decode) = decoding_request(class);
            end(&mut harness, decode);
            harness.advance(300 * MS);
            assert_eq!(harness.calls("POST /v1/chat").len(), usize::from(goes_on), "{class} after {what}");
            // What can't be retried is answered at once, and not as a rejection.
            assert_eq!(
                harness.statuses(client),
                if goes_on { vec![] } else { vec![502] },
                "{class} after {what}"
            );
        }
    }
}

#[test]
fn a_request_that_was_not_written_completely_never_ran() {
    for (opened, loss) in [(false, DisconnectReason::ConnectFailed), (true, DisconnectReason::Reset)] {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.deliver(client, chat_request("id", "once"));
        complete_prefill(&mut harness);
        harness.is_immediate = false;
        // The first decode attempt was written at once: end it and look at the next.
        let (decode, first) = harness.attempt();
        harness.deliver(decode, NEVER_RAN);
        let (decode, second) = harness.attempt();
        assert_ne!(first, second);
        if opened {
            harness.advance(MS);
        }
        harness.disconnect(decode, loss);
        harness.advance(300 * MS);
        assert_eq!(harness.attempts().len(), 1, "it is tried again");
        assert!(harness.statuses(client).is_empty());
    }
}

#[test]
fn a_request_without_further_attempts_is_answered_at_once() {
    // The attempts are used up, by a rejection: a retry is harmless, and the client gets Retry-After.
    for sends_retry_after in [true, false] {
        let mut config = router_config();
        config["settings"]["caps"]["max_attempts"] = 2.into();
        config["settings"]["caps"]["retry_after"] = sends_retry_after.into();
        let mut harness = Harness::with_config(&config);
        let client = harness.connect_client();
        harness.deliver(client, chat_request("id", "once"));
        complete_prefill(&mut harness);
        let (decode, _) = harness.attempt();
        harness.deliver(decode, NEVER_RAN);
        assert_eq!(harness.statuses(client), [503]);
        assert_eq!(
            harness.sent_text(client).contains("retry-after: 0."),
            sends_retry_after,
            "{}",
            harness.sent_text(client)
        );
    }
    // It may have run and must not run again: nothing is promised, and there is no Retry-After.
    let (mut harness, client, decode) = decoding_request("once");
    harness.reset(decode);
    assert_eq!(harness.statuses(client), [502]);
    assert!(!harness.sent_text(client).contains("retry-after"));
}

#[test]
fn the_deadline_ends_a_request_that_has_not_begun_and_no_stream() {
    let mut harness = Harness::new();
    let (late, streams) = (harness.connect_client(), harness.connect_client());
    harness.deliver(late, chat_request_with("late", "once", 1_000, "{}"));
    complete_prefill(&mut harness);
    let (decode, _) = harness.attempt();
    harness.deliver(streams, chat_request_with("streams", "once", 1_000, "{}"));
    complete_prefill(&mut harness);
    let (streaming, _) = harness.attempt();
    harness.deliver(streaming, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    harness.advance(1_000 * MS);
    assert!(harness.ended.contains_key(&decode), "nobody waits for it any more");
    assert_eq!(harness.statuses(late), [504], "told before the client's time is up");
    harness.advance(3_000 * MS);
    harness.deliver(streaming, format!("{}0\r\n\r\n", chunk(STREAM_EVENTS[1])));
    assert!(decode_chunked(&harness.sent_text(streams)).1);
}

#[test]
fn a_client_disconnect_cancels_the_attempt_and_releases_reserved_state() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.attempt();
    let (reservation, _) = harness.call("POST /internal");
    harness.reset(client);
    harness.advance(20 * MS);
    assert!(harness.ended.contains_key(&prefill));
    let (release, _) = harness.call("DELETE /internal/reservations/id ");
    // The first worker told is silent: another one is told.
    harness.advance(150 * MS);
    let (second, _) = harness.call("DELETE /internal/reservations/id ");
    harness.deliver(second, "HTTP/1.1 204 No Content\r\n\r\n");
    assert!(harness.ended.contains_key(&release), "the one that is silent is not waited for");
    // No reservation was held: nothing is left to be released.
    harness.deliver(reservation, response(409, "", ""));
    harness.advance(3_000 * MS);
    assert!(harness.calls("DELETE").is_empty());
}

#[test]
fn a_release_is_retried_at_other_workers_while_connections_fail() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.attempt();
    harness.reset(prefill);
    // The broken prefill may have left state, but another prefill is out: what it makes must not be released.
    assert!(harness.calls("DELETE").is_empty());
    harness.reset(client);
    harness.advance(20 * MS);
    let mut tried = vec![];
    for _ in 0..3 {
        let (release, at) = harness.call("DELETE /internal/reservations/id ");
        tried.push(at);
        harness.disconnect(release, DisconnectReason::ConnectFailed);
    }
    tried.sort_unstable();
    tried.dedup();
    assert_eq!(tried.len(), 3, "each time at another worker");
}

#[test]
fn state_of_a_failed_prefill_is_released_while_the_next_attempts_cannot_connect() {
    for reserves in [true, false] {
        let mut file = router_config();
        file["settings"]["family_info"]["ahead"] = reserves.into();
        let mut harness = Harness::with_config(&file);
        let client = harness.connect_client();
        harness.deliver(client, chat_request("id", "safe"));
        let (prefill, _) = harness.attempt();
        harness.is_immediate = false;
        harness.reset(prefill);
        let (second, _) = harness.attempt();
        let at_once = harness.calls("DELETE /internal/reservations/id ");
        // Where no reservation was requested, the next attempt takes over the state if it connects as most do.
        assert_eq!(at_once.len(), usize::from(reserves));
        harness.advance(60 * MS);
        let release =
            at_once.first().copied().unwrap_or_else(|| harness.call("DELETE /internal/reservations/id "));
        // As in a zone that is cut off: one attempt after another fails to connect, and the release goes on.
        harness.disconnect(second, DisconnectReason::ConnectFailed);
        let (third, _) = harness.attempt();
        assert!(!harness.ended.contains_key(&release.0), "it goes on");
        harness.advance(200 * MS);
        let more = harness.calls("DELETE /internal/reservations/id ");
        assert_eq!(more.len(), 3, "one more after a while, then as many as before");
        // One connects: what it makes must not be released under it.
        harness.complete_connect(third);
        assert!(more.iter().chain([&release]).all(|(connection, _)| harness.ended.contains_key(connection)));
    }
}

#[test]
fn a_refused_reservation_is_told_apart_from_an_unknown_prefill() {
    for (answer, other) in [
        (response(409, "", ""), 1),
        ("HTTP/1.1 204 No Content\r\n\r\n".into(), 0),
        (response(404, "", ""), 0),
    ] {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.deliver(client, chat_request("id", "safe"));
        let (reservation, first) = harness.call("POST /internal/reservations/id ");
        harness.deliver(reservation, &answer);
        harness.advance(100 * MS);
        let others = harness.calls("POST /internal/reservations/id ");
        assert_eq!(others.len(), other, "{answer}");
        assert!(others.iter().all(|(_, at)| *at != first));
    }
}

#[test]
fn a_reservation_is_requested_once_the_prefill_request_is_written() {
    let mut harness = Harness::new();
    harness.is_immediate = false;
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.attempt();
    assert!(harness.calls("POST /internal").is_empty());
    harness.complete_write(prefill);
    harness.call("POST /internal/reservations/id ");
}

/// The body of a load report, with the tokens that wait.
fn load(thousands: &str) -> String {
    response(200, "", &format!("TEXT recent_ms=12.5, x0=0.25, x1={thousands}\n"))
}

#[test]
fn prefills_go_to_the_least_loaded_preferred_worker_by_load_reports() {
    let mut file = router_config();
    file["settings"]["report"] = serde_json::json!({"how": "probe", "columns": ["recent_ms", "x0", "x1"]});
    file["settings"]["family_info"]["report_x1"] = "thousands of prompt tokens waiting to be read".into();
    // What the workers report, which of them gets the prefill of 500 tokens, and how many are checked for that. What
    // can't be a load counts as none.
    let cases = [
        (["0.6", "0", "0"], 1, 3),
        (["0.4", "0", "0"], 0, 1),
        (["9", "2", "1.4"], 2, 3),
        (["9", "-1", "nan"], 0, 3),
        (["-1", "0.6", "0"], 2, 3),
    ];
    let first = prefill_preference(&file);
    for (reports, chosen, checked) in cases {
        let mut harness = Harness::with_config(&file);
        let client = harness.connect_client();
        harness.deliver(client, chat_request("id", "safe"));
        let mut order = vec![];
        for _ in 0..3 {
            for (connection, at) in harness.calls("GET /metrics/load") {
                let rank = first.iter().position(|prefill_worker| *prefill_worker == at).expect("a reader");
                harness.deliver(connection, load(reports[rank]));
                order.push(at);
            }
            assert_eq!(order[0], first[0], "the first alone at first");
            harness.advance(10 * MS);
        }
        assert_eq!((harness.attempt().1, order.len()), (first[chosen], checked), "{reports:?}");
    }
}

/// Prefill workers by preference: who is chosen when those before have been drained.
fn prefill_preference(file: &serde_json::Value) -> Vec<usize> {
    let mut order = vec![];
    while order.len() < 3 {
        let mut file = file.clone();
        order.iter().for_each(|r| file["known"]["servers"][*r] = endpoint_entry(*r, "DRAINING", 0));
        let mut harness = Harness::with_config(&file);
        let client = harness.connect_client();
        harness.deliver(client, chat_request("id", "safe"));
        harness.advance(30 * MS);
        order.push(harness.attempt().1);
    }
    order
}
