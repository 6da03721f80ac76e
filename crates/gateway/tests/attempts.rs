//! Submissions from a client to workers and back, on bytes in virtual time.

mod common;

use common::*;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};

/// Reads a submission at a reader; the writer's call is out afterwards.
fn complete_prefill(harness: &mut Harness) {
    let (prefill, _) = harness.attempt();
    harness.deliver(prefill, READ);
}

/// A client whose submission has been read and is out at a writer.
fn decoding_request(class: &str) -> (Harness, ConnectionId, ConnectionId) {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, ask("id", class));
    complete_prefill(&mut harness);
    let (decode, _) = harness.attempt();
    (harness, client, decode)
}

#[test]
fn a_submission_is_read_and_written_and_its_events_pass_unchanged() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, ask("id-1", "safe"));
    let (prefill, at) = harness.attempt();
    assert_eq!(WORKERS[at].1, "reading");
    let request = harness.sent_text(prefill);
    assert!(request.starts_with("POST /v1/chat/completions HTTP/1.1\r\n"), "{request}");
    assert!(
        request.contains("x-trace-id: id-1\r\n") && request.ends_with("{\"model\":\"m\",\"messages\":[]}")
    );
    assert!(
        request.contains("x-props: prefix=5c0f,prompt_len=500") && request.contains("x-expires-in-ms: 3995")
    );
    // A place is asked for at a writer of the reader's cell while it reads.
    let (reservation, decode) = harness.call("POST /internal/reservations/id-1 ");
    assert_eq!((WORKERS[decode].1, WORKERS[decode].2), ("writing", WORKERS[at].2));
    harness.deliver(reservation, plain(200, "", ""));
    harness.advance(50 * MS);
    harness.deliver(prefill, READ);
    let (connection, to) = harness.attempt();
    assert_eq!(to, decode, "the writer that held the place");
    assert_eq!(harness.sent_text(client), "", "no head before an event");
    for (n, event) in EVENTS.iter().enumerate() {
        harness.deliver(connection, if n == 0 { format!("{HEAD}{}", chunk(event)) } else { chunk(event) });
        assert!(harness.sent_text(client).ends_with(&chunk(event)), "as it comes");
    }
    harness.deliver(connection, "0\r\n\r\n");
    assert_eq!(unchunked(&harness.sent_text(client)), (EVENTS.concat(), true));
    assert_eq!(harness.statuses(client), [200]);
    assert!(harness.calls("DELETE").is_empty(), "a stream frees all else by itself");
    // The connections are used again.
    harness.deliver(client, ask("id-2", "safe"));
    assert_eq!(harness.attempt().0, prefill);
}

#[test]
fn fields_of_a_client_go_on_to_both_workers_but_for_those_of_its_connection() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let more =
        "Idempotency-Key: 29-55\r\nX-Customer: a\r\nX-Customer: b\r\nConnection: keep-alive, x-hop\r\n\
                X-Hop: 1\r\nTE: trailers\r\nKeep-Alive: timeout=5\r\nHost:";
    harness.deliver(client, ask("id", "keyed").replacen("Host:", more, 1));
    for answer in [READ.to_string(), stream()] {
        let (worker, _) = harness.attempt();
        let request = harness.sent_text(worker);
        let request = &request[request.rfind("POST /v1").expect("an attempt")..];
        for there in ["\r\nidempotency-key: 29-55\r\n", "\r\nx-customer: a\r\nx-customer: b\r\n"] {
            assert!(request.contains(there), "{there:?} in {request}");
        }
        for gone in ["x-hop", "keep-alive", "\r\nte:", "\r\nconnection:"] {
            assert!(!request.contains(gone), "{gone:?} in {request}");
        }
        assert_eq!(request.matches("content-length:").count(), 1, "{request}");
        assert_eq!(request.matches("x-expires-in-ms:").count(), 1, "{request}");
        harness.deliver(worker, answer);
    }
    assert_eq!(harness.statuses(client), [200]);
}

#[test]
fn cut_at_every_byte_all_is_the_same() {
    let (request, answer) = (ask("id", "safe"), format!("HTTP/1.1 103 Early\r\nlink: a\r\n\r\n{}", stream()));
    let play = |client_cut: usize, worker_cut: usize| {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.deliver(client, &request[..client_cut]);
        harness.deliver(client, &request[client_cut..]);
        let (prefill, _) = harness.attempt();
        let cut = worker_cut.min(READ.len());
        harness.deliver(prefill, &READ[..cut]);
        harness.deliver(prefill, &READ[cut..]);
        let (decode, _) = harness.attempt();
        harness.deliver(decode, &answer[..worker_cut]);
        harness.deliver(decode, &answer[worker_cut..]);
        assert!(!harness.ended.contains_key(&decode), "the connection is kept, cut at {worker_cut}");
        unchunked(&harness.sent_text(client))
    };
    let whole = (EVENTS.concat(), true);
    (1..request.len()).for_each(|cut| assert_eq!(play(cut, 0), whole, "the client's bytes cut at {cut}"));
    (1..answer.len()).for_each(|cut| assert_eq!(play(0, cut), whole, "the worker's bytes cut at {cut}"));
}

#[test]
fn what_never_ran_is_sent_again_and_what_may_have_run_only_where_that_is_harmless() {
    // How the writer's shot ends; whether a single-use submission may go on after it.
    type Ends = fn(&mut Harness, ConnectionId);
    let ends: [(&str, Ends, bool); 8] = [
        ("turned away", |s, l| s.deliver(l, NEVER_RAN), true),
        ("turned away as over", |s, l| s.deliver(l, NEVER_RAN.replace("503", "504")), true),
        ("no state", |s, l| s.deliver(l, NEVER_RAN.replace("503", "410")), true),
        ("503 without a word that it never ran", |s, l| s.deliver(l, plain(503, "", "")), false),
        ("an error", |s, l| s.deliver(l, plain(500, "", "oh")), false),
        ("reset", |s, l| s.reset(l), false),
        ("noise for a head", |s, l| s.deliver(l, "\u{7}\u{8}noise\r\n\r\n"), false),
        ("a head without events", |s, l| s.deliver(l, format!("{HEAD}0\r\n\r\n")), false),
    ];
    for (what, end, again) in ends {
        for (class, goes_on) in [("safe", true), ("once", again)] {
            let (mut harness, client, decode) = decoding_request(class);
            end(&mut harness, decode);
            harness.advance(300 * MS);
            assert_eq!(harness.calls("POST /v1/chat").len(), usize::from(goes_on), "{class} after {what}");
            // What can't go on is told at once, and not as a refusal.
            assert_eq!(
                harness.statuses(client),
                if goes_on { vec![] } else { vec![502] },
                "{class} after {what}"
            );
        }
    }
}

#[test]
fn a_request_that_was_not_written_whole_never_ran() {
    for (opened, loss) in [(false, DisconnectReason::ConnectFailed), (true, DisconnectReason::Reset)] {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.deliver(client, ask("id", "once"));
        complete_prefill(&mut harness);
        harness.is_immediate = false;
        // The writer's call went out while all was still written at once: break it and look at the next.
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
fn a_stream_that_breaks_or_turns_out_spoilt_ends_the_client_without_the_last_chunk() {
    for (what, bytes) in [
        ("a size that can't be read", "zz\r\n"),
        ("a chunk that does not fit", "3\r\nabcdef\r\n"),
        ("a chunk of 3 GB", "c0000000\r\nabc"),
        ("its connection ends", ""),
    ] {
        let (mut harness, client, decode) = decoding_request("safe");
        harness.deliver(decode, format!("{HEAD}{}", chunk(EVENTS[0])));
        if bytes.is_empty() {
            harness.reset(decode);
        } else {
            harness.deliver(decode, bytes);
        }
        assert_eq!(harness.ended.get(&client), Some(&false), "{what}: the client's connection ends at once");
        let (body, whole) = unchunked(&harness.sent_text(client));
        assert!(body.starts_with(EVENTS[0]) && !whole, "{what}: {body}");
        assert!(harness.calls("POST /v1/chat").is_empty(), "{what}: nothing more is sent");
    }
}

#[test]
fn more_than_belongs_to_an_answer_costs_the_connection_and_not_the_answer() {
    let (mut harness, client, decode) = decoding_request("safe");
    harness.deliver(decode, format!("{}HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi", stream()));
    assert_eq!(unchunked(&harness.sent_text(client)), (EVENTS.concat(), true));
    assert!(harness.ended.contains_key(&decode));
    // And so do bytes on a connection that rests.
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
fn heads_ahead_and_heads_without_end_are_bounded() {
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
fn the_first_part_of_an_event_is_no_event() {
    let (mut harness, client, decode) = decoding_request("safe");
    harness.deliver(decode, format!("{HEAD}{}", chunk("data: {\"a\"")));
    assert_eq!(harness.sent_text(client), "");
    harness.reset(decode);
    assert_eq!(harness.calls("POST /v1/chat").len(), 1, "the client has seen nothing: another shot goes out");
}

#[test]
fn what_is_given_up_is_answered_in_the_same_moment() {
    // The shots are used up, by a turn-away: harmless, and its client is told when to come back.
    for sends_retry_after in [true, false] {
        let mut config = file();
        config["settings"]["caps"]["max_attempts"] = 2.into();
        config["settings"]["caps"]["retry_after"] = sends_retry_after.into();
        let mut harness = Harness::with_config(&config);
        let client = harness.connect_client();
        harness.deliver(client, ask("id", "once"));
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
    // It may have run and must not run again: no promise, and no advice either.
    let (mut harness, client, decode) = decoding_request("once");
    harness.reset(decode);
    assert_eq!(harness.statuses(client), [502]);
    assert!(!harness.sent_text(client).contains("retry-after"));
}

#[test]
fn the_time_ends_what_has_not_begun_and_nothing_that_has() {
    let mut harness = Harness::new();
    let (late, streams) = (harness.connect_client(), harness.connect_client());
    harness.deliver(late, ask_for("late", "once", 1_000, "{}"));
    complete_prefill(&mut harness);
    let (decode, _) = harness.attempt();
    harness.deliver(streams, ask_for("streams", "once", 1_000, "{}"));
    complete_prefill(&mut harness);
    let (streaming, _) = harness.attempt();
    harness.deliver(streaming, format!("{HEAD}{}", chunk(EVENTS[0])));
    harness.advance(1_000 * MS);
    assert!(harness.ended.contains_key(&decode), "nobody waits for it any more");
    assert_eq!(harness.statuses(late), [504], "told before the client's time is up");
    harness.advance(3_000 * MS);
    harness.deliver(streaming, format!("{}0\r\n\r\n", chunk(EVENTS[1])));
    assert!(unchunked(&harness.sent_text(streams)).1);
}

#[test]
fn a_client_that_goes_away_takes_its_shots_with_it_and_frees_what_was_read() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, ask("id", "safe"));
    let (prefill, _) = harness.attempt();
    let (reservation, _) = harness.call("POST /internal");
    harness.reset(client);
    harness.advance(20 * MS);
    assert!(harness.ended.contains_key(&prefill));
    let (release, _) = harness.call("DELETE /internal/reservations/id ");
    // The first one asked is silent: another is.
    harness.advance(150 * MS);
    let (second, _) = harness.call("DELETE /internal/reservations/id ");
    harness.deliver(second, "HTTP/1.1 204 No Content\r\n\r\n");
    assert!(harness.ended.contains_key(&release), "the one that is silent is not waited for");
    // No place was held: nothing is left to be released.
    harness.deliver(reservation, plain(409, "", ""));
    harness.advance(3_000 * MS);
    assert!(harness.calls("DELETE").is_empty());
}

#[test]
fn letting_go_is_tried_elsewhere_while_connections_fail() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, ask("id", "safe"));
    let (prefill, _) = harness.attempt();
    harness.reset(prefill);
    // The broken read may have left a state, but another read is out: what it makes must not be freed.
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
fn what_a_read_left_is_freed_while_the_next_ones_are_dialled_in_vain() {
    for reserves in [true, false] {
        let mut file = file();
        file["settings"]["family_info"]["ahead"] = reserves.into();
        let mut harness = Harness::with_config(&file);
        let client = harness.connect_client();
        harness.deliver(client, ask("id", "safe"));
        let (prefill, _) = harness.attempt();
        harness.is_immediate = false;
        harness.reset(prefill);
        let (second, _) = harness.attempt();
        let at_once = harness.calls("DELETE /internal/reservations/id ");
        // Where no place was asked for, the next shot takes what is held if it comes up as most do.
        assert_eq!(at_once.len(), usize::from(reserves));
        harness.advance(60 * MS);
        let release =
            at_once.first().copied().unwrap_or_else(|| harness.call("DELETE /internal/reservations/id "));
        // As in a zone that is cut off: one shot after another comes to nothing, and the letting go goes on.
        harness.disconnect(second, DisconnectReason::ConnectFailed);
        let (third, _) = harness.attempt();
        assert!(!harness.ended.contains_key(&release.0), "it goes on");
        harness.advance(200 * MS);
        let more = harness.calls("DELETE /internal/reservations/id ");
        assert_eq!(more.len(), 3, "one more after a while, then as many as before");
        // One comes up: what it makes must not be freed under it.
        harness.complete_connect(third);
        assert!(more.iter().chain([&release]).all(|(connection, _)| harness.ended.contains_key(connection)));
    }
}

#[test]
fn a_place_that_is_not_held_is_told_apart_from_one_that_is_not_known() {
    for (answer, other) in
        [(plain(409, "", ""), 1), ("HTTP/1.1 204 No Content\r\n\r\n".into(), 0), (plain(404, "", ""), 0)]
    {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.deliver(client, ask("id", "safe"));
        let (reservation, first) = harness.call("POST /internal/reservations/id ");
        harness.deliver(reservation, &answer);
        harness.advance(100 * MS);
        let others = harness.calls("POST /internal/reservations/id ");
        assert_eq!(others.len(), other, "{answer}");
        assert!(others.iter().all(|(_, at)| *at != first));
    }
}

#[test]
fn a_place_is_asked_for_once_the_reader_has_the_whole_request() {
    let mut harness = Harness::new();
    harness.is_immediate = false;
    let client = harness.connect_client();
    harness.deliver(client, ask("id", "safe"));
    let (prefill, _) = harness.attempt();
    assert!(harness.calls("POST /internal").is_empty());
    harness.complete_write(prefill);
    harness.call("POST /internal/reservations/id ");
}

#[test]
fn a_slow_client_slows_its_own_stream_only() {
    let mut harness = Harness::new();
    let (slow, other) = (harness.connect_client(), harness.connect_client());
    harness.deliver(slow, ask("a", "safe"));
    complete_prefill(&mut harness);
    let (slow_writer, _) = harness.attempt();
    harness.deliver(other, ask("b", "safe"));
    complete_prefill(&mut harness);
    let (decode, _) = harness.attempt();
    harness.deliver(slow_writer, format!("{HEAD}{}", chunk(EVENTS[0])));
    harness.deliver(decode, format!("{HEAD}{}", chunk(EVENTS[0])));
    harness.set_backpressure(slow, true);
    assert!(harness.paused.contains(&slow_writer) && !harness.paused.contains(&decode));
    harness.set_backpressure(slow, false);
    assert!(harness.paused.is_empty());
}

#[test]
fn a_client_that_reads_nothing_for_a_while_does_not_make_its_stream_a_silent_one() {
    let (mut harness, client, decode) = decoding_request("once");
    harness.deliver(decode, format!("{HEAD}{}", chunk(EVENTS[0])));
    harness.set_backpressure(client, true);
    harness.advance(6_000 * MS);
    assert!(!harness.ended.contains_key(&decode), "nothing was read from it: that is no silence");
    harness.set_backpressure(client, false);
    harness.advance(4_000 * MS);
    harness.deliver(decode, format!("{}{}0\r\n\r\n", chunk(EVENTS[1]), chunk(EVENTS[2])));
    assert_eq!(unchunked(&harness.sent_text(client)), (EVENTS.concat(), true));
    // One that never reads again does not keep its worker for ever.
    let (mut harness, client, decode) = decoding_request("once");
    harness.deliver(decode, format!("{HEAD}{}", chunk(EVENTS[0])));
    harness.set_backpressure(client, true);
    harness.advance(15_100 * MS);
    assert!(harness.ended.contains_key(&decode) && harness.ended.contains_key(&client));
}

#[test]
fn connections_are_put_away_long_before_their_worker_would() {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    harness.deliver(client, ask("id", "safe"));
    let (prefill, _) = harness.attempt();
    harness.deliver(prefill, READ);
    let (decode, _) = harness.attempt();
    harness.deliver(decode, stream());
    harness.advance(4_900 * MS);
    assert!(!harness.ended.contains_key(&prefill));
    harness.advance(200 * MS);
    assert!(harness.ended.contains_key(&prefill), "after half of the ten seconds that the settings name");
}

#[test]
fn a_rest_that_broke_a_connection_is_trusted_no_more_for_a_while() {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    // A read and its writing, both connections resting afterwards.
    let request = |trace: &str| ask(trace, "safe").replace("prefix=5c0f,", "");
    let serve = |harness: &mut Harness, trace: &str| {
        harness.deliver(client, request(trace));
        let prefill = harness.attempt().0;
        harness.deliver(prefill, READ);
        let decode = harness.attempt().0;
        harness.deliver(decode, stream());
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
    // The read goes on elsewhere; what has rested for more than half as long is not used.
    let (other, _) = harness.attempt();
    harness.deliver(other, READ);
    let (decode, _) = harness.attempt();
    harness.deliver(decode, stream());
    harness.advance(300 * MS);
    let dials = harness.outbound.len();
    serve(&mut harness, "d");
    assert!(harness.outbound.len() > dials, "a new connection is made");
}

#[test]
fn the_writing_shot_of_a_single_use_submission_goes_on_a_new_connection() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    for (trace, class) in [("a", "safe"), ("b", "once")] {
        harness.deliver(client, ask(trace, class));
        complete_prefill(&mut harness);
        let (decode, _) = harness.attempt();
        let request = harness.sent_text(decode).matches("POST /v1/chat").count();
        assert_eq!(request, 1, "{class}");
        harness.deliver(decode, stream());
    }
}

#[test]
fn a_client_is_not_left_waiting_on_a_stream_that_has_stopped() {
    let (mut harness, client, decode) = decoding_request("safe");
    harness.deliver(decode, format!("{HEAD}{}", chunk(EVENTS[0])));
    // Events that come slowly are no reason.
    for _ in 0..3 {
        harness.advance(4_000 * MS);
        harness.deliver(decode, chunk(EVENTS[1]));
    }
    harness.advance(4_400 * MS);
    assert!(!harness.ended.contains_key(&client));
    harness.advance(200 * MS);
    assert_eq!(harness.ended.get(&client), Some(&false), "within the five seconds that the platform allows");
    assert!(harness.ended.contains_key(&decode) && !unchunked(&harness.sent_text(client)).1);
}

#[test]
fn a_stream_spoilt_after_it_began_does_not_speak_against_its_worker() {
    // What a writer sends, and whether its worker is looked at for it.
    for (bytes, suspected) in
        [(format!("{HEAD}{}zz\r\n", chunk(EVENTS[0])), false), ("noise\r\n\r\n".into(), true)]
    {
        let (mut harness, _, decode) = decoding_request("safe");
        harness.deliver(decode, bytes);
        harness.advance(100 * MS);
        assert_eq!(!harness.calls("GET /alive").is_empty(), suspected);
    }
}

/// Once its connection was ended and nobody told: at the cut-off it passed for never sent, its client was told that it
/// had not run, and came again.
#[test]
fn a_stream_that_stops_before_its_first_event_is_whole_may_have_run() {
    for (class, statuses) in [("once", vec![502]), ("safe", vec![503])] {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.deliver(client, ask_for("id", class, 6_000, "{}"));
        complete_prefill(&mut harness);
        let (decode, _) = harness.attempt();
        harness.deliver(decode, format!("{HEAD}{}", chunk("data: {\"a\"")));
        harness.advance(4_700 * MS);
        assert!(harness.ended.contains_key(&decode), "it is not waited for any longer");
        assert_eq!(harness.statuses(client), statuses, "{class}");
        harness.advance(2_000 * MS);
        assert!(
            class == "safe" || !harness.statuses(client).contains(&503),
            "nothing shows that it never ran"
        );
    }
}

/// The body of a load report, with the tokens that wait.
fn load(thousands: &str) -> String {
    plain(200, "", &format!("TEXT recent_ms=12.5, x0=0.25, x1={thousands}\n"))
}

#[test]
fn where_probes_bring_load_reports_a_read_goes_to_the_emptiest_of_the_first_readers() {
    let mut file = file();
    file["settings"]["report"] = serde_json::json!({"how": "probe", "columns": ["recent_ms", "x0", "x1"]});
    file["settings"]["family_info"]["report_x1"] = "thousands of prompt tokens waiting to be read".into();
    // What they say, which of them gets the read, whose prompt is 500 tokens, and how many are asked for that. What
    // can't be a load is none.
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
        harness.deliver(client, ask("id", "safe"));
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

/// The readers in the order in which they are preferred: who is left when those before have gone.
fn prefill_preference(file: &serde_json::Value) -> Vec<usize> {
    let mut order = vec![];
    while order.len() < 3 {
        let mut file = file.clone();
        order.iter().for_each(|r| file["known"]["servers"][*r] = entry(*r, "DRAINING", 0));
        let mut harness = Harness::with_config(&file);
        let client = harness.connect_client();
        harness.deliver(client, ask("id", "safe"));
        harness.advance(30 * MS);
        order.push(harness.attempt().1);
    }
    order
}

/// Some workers send a second answer some milliseconds behind the first: by then a call that took the connection would
/// take it for its own.
#[test]
fn a_second_answer_that_comes_late_is_no_answer_to_the_next_call() {
    for late in [1, 5, 15] {
        let mut harness = Harness::without_reservations();
        let client = harness.connect_client();
        harness.deliver(client, ask("first", "safe"));
        let (prefill, _) = harness.attempt();
        harness.deliver(prefill, READ);
        let (decode, at) = harness.attempt();
        harness.deliver(decode, stream());
        // The next one comes at once, and is at the same writer when the second answer comes.
        harness.deliver(client, ask("second", "safe"));
        complete_prefill(&mut harness);
        let (second, again) = harness.attempt();
        harness.advance(late * MS);
        harness.deliver(decode, stream());
        assert_eq!(
            harness.statuses(client),
            [200],
            "after {late} ms, at {at} and {again}: nobody has answered it"
        );
        harness.deliver(second, stream());
        assert_eq!(harness.statuses(client), [200, 200]);
    }
}
