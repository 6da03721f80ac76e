//! Submissions from a client to workers and back, on bytes in virtual time.

mod common;

use common::*;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};

/// Reads a submission at a reader; the writer's call is out afterwards.
fn read(stage: &mut Stage) {
    let (reader, _) = stage.attempt();
    stage.say(reader, READ);
}

/// A client whose submission has been read and is out at a writer.
fn writing(class: &str) -> (Stage, ConnectionId, ConnectionId) {
    let mut stage = Stage::new();
    let client = stage.come();
    stage.say(client, ask("id", class));
    read(&mut stage);
    let (writer, _) = stage.attempt();
    (stage, client, writer)
}

#[test]
fn a_submission_is_read_and_written_and_its_events_pass_unchanged() {
    let mut stage = Stage::new();
    let client = stage.come();
    stage.say(client, ask("id-1", "safe"));
    let (reader, at) = stage.attempt();
    assert_eq!(WORKERS[at].1, "reading");
    let asked = stage.text(reader);
    assert!(asked.starts_with("POST /v1/chat/completions HTTP/1.1\r\n"), "{asked}");
    assert!(asked.contains("x-trace-id: id-1\r\n") && asked.ends_with("{\"model\":\"m\",\"messages\":[]}"));
    assert!(asked.contains("x-props: prefix=5c0f,prompt_len=500") && asked.contains("x-expires-in-ms: 3995"));
    // A place is asked for at a writer of the reader's cell while it reads.
    let (place, writer) = stage.call("POST /internal/reservations/id-1 ");
    assert_eq!((WORKERS[writer].1, WORKERS[writer].2), ("writing", WORKERS[at].2));
    stage.say(place, plain(200, "", ""));
    stage.pass(50 * MS);
    stage.say(reader, READ);
    let (connection, to) = stage.attempt();
    assert_eq!(to, writer, "the writer that held the place");
    assert_eq!(stage.text(client), "", "no head before an event");
    for (n, event) in EVENTS.iter().enumerate() {
        stage.say(connection, if n == 0 { format!("{HEAD}{}", chunk(event)) } else { chunk(event) });
        assert!(stage.text(client).ends_with(&chunk(event)), "as it comes");
    }
    stage.say(connection, "0\r\n\r\n");
    assert_eq!(unchunked(&stage.text(client)), (EVENTS.concat(), true));
    assert_eq!(stage.statuses(client), [200]);
    assert!(stage.calls("DELETE").is_empty(), "a stream frees all else by itself");
    // The connections are used again.
    stage.say(client, ask("id-2", "safe"));
    assert_eq!(stage.attempt().0, reader);
}

#[test]
fn fields_of_a_client_go_on_to_both_workers_but_for_those_of_its_connection() {
    let mut stage = Stage::new();
    let client = stage.come();
    let more =
        "Idempotency-Key: 29-55\r\nX-Customer: a\r\nX-Customer: b\r\nConnection: keep-alive, x-hop\r\n\
                X-Hop: 1\r\nTE: trailers\r\nKeep-Alive: timeout=5\r\nHost:";
    stage.say(client, ask("id", "keyed").replacen("Host:", more, 1));
    for answer in [READ.to_string(), stream()] {
        let (worker, _) = stage.attempt();
        let asked = stage.text(worker);
        let asked = &asked[asked.rfind("POST /v1").expect("an attempt")..];
        for there in ["\r\nidempotency-key: 29-55\r\n", "\r\nx-customer: a\r\nx-customer: b\r\n"] {
            assert!(asked.contains(there), "{there:?} in {asked}");
        }
        for gone in ["x-hop", "keep-alive", "\r\nte:", "\r\nconnection:"] {
            assert!(!asked.contains(gone), "{gone:?} in {asked}");
        }
        assert_eq!(asked.matches("content-length:").count(), 1, "{asked}");
        assert_eq!(asked.matches("x-expires-in-ms:").count(), 1, "{asked}");
        stage.say(worker, answer);
    }
    assert_eq!(stage.statuses(client), [200]);
}

#[test]
fn cut_at_every_byte_all_is_the_same() {
    let (asked, answer) = (ask("id", "safe"), format!("HTTP/1.1 103 Early\r\nlink: a\r\n\r\n{}", stream()));
    let play = |client_cut: usize, worker_cut: usize| {
        let mut stage = Stage::new();
        let client = stage.come();
        stage.say(client, &asked[..client_cut]);
        stage.say(client, &asked[client_cut..]);
        let (reader, _) = stage.attempt();
        let cut = worker_cut.min(READ.len());
        stage.say(reader, &READ[..cut]);
        stage.say(reader, &READ[cut..]);
        let (writer, _) = stage.attempt();
        stage.say(writer, &answer[..worker_cut]);
        stage.say(writer, &answer[worker_cut..]);
        assert!(!stage.ended.contains_key(&writer), "the connection is kept, cut at {worker_cut}");
        unchunked(&stage.text(client))
    };
    let whole = (EVENTS.concat(), true);
    (1..asked.len()).for_each(|cut| assert_eq!(play(cut, 0), whole, "the client's bytes cut at {cut}"));
    (1..answer.len()).for_each(|cut| assert_eq!(play(0, cut), whole, "the worker's bytes cut at {cut}"));
}

#[test]
fn what_never_ran_is_sent_again_and_what_may_have_run_only_where_that_is_harmless() {
    // How the writer's shot ends; whether a single-use submission may go on after it.
    type Ends = fn(&mut Stage, ConnectionId);
    let ends: [(&str, Ends, bool); 8] = [
        ("turned away", |s, l| s.say(l, NEVER_RAN), true),
        ("turned away as over", |s, l| s.say(l, NEVER_RAN.replace("503", "504")), true),
        ("no state", |s, l| s.say(l, NEVER_RAN.replace("503", "410")), true),
        ("503 without a word that it never ran", |s, l| s.say(l, plain(503, "", "")), false),
        ("an error", |s, l| s.say(l, plain(500, "", "oh")), false),
        ("reset", |s, l| s.lose(l), false),
        ("noise for a head", |s, l| s.say(l, "\u{7}\u{8}noise\r\n\r\n"), false),
        ("a head without events", |s, l| s.say(l, format!("{HEAD}0\r\n\r\n")), false),
    ];
    for (what, end, again) in ends {
        for (class, goes_on) in [("safe", true), ("once", again)] {
            let (mut stage, client, writer) = writing(class);
            end(&mut stage, writer);
            stage.pass(300 * MS);
            assert_eq!(stage.calls("POST /v1/chat").len(), usize::from(goes_on), "{class} after {what}");
            // What can't go on is told at once, and not as a refusal.
            assert_eq!(
                stage.statuses(client),
                if goes_on { vec![] } else { vec![502] },
                "{class} after {what}"
            );
        }
    }
}

#[test]
fn a_request_that_was_not_written_whole_never_ran() {
    for (opened, loss) in [(false, DisconnectReason::ConnectFailed), (true, DisconnectReason::Reset)] {
        let mut stage = Stage::new();
        let client = stage.come();
        stage.say(client, ask("id", "once"));
        read(&mut stage);
        stage.eager = false;
        // The writer's call went out while all was still written at once: break it and look at the next.
        let (writer, first) = stage.attempt();
        stage.say(writer, NEVER_RAN);
        let (writer, second) = stage.attempt();
        assert_ne!(first, second);
        if opened {
            stage.pass(MS);
        }
        stage.lose_as(writer, loss);
        stage.pass(300 * MS);
        assert_eq!(stage.attempts().len(), 1, "it is tried again");
        assert!(stage.statuses(client).is_empty());
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
        let (mut stage, client, writer) = writing("safe");
        stage.say(writer, format!("{HEAD}{}", chunk(EVENTS[0])));
        if bytes.is_empty() {
            stage.lose(writer);
        } else {
            stage.say(writer, bytes);
        }
        assert_eq!(stage.ended.get(&client), Some(&false), "{what}: the client's connection ends at once");
        let (body, whole) = unchunked(&stage.text(client));
        assert!(body.starts_with(EVENTS[0]) && !whole, "{what}: {body}");
        assert!(stage.calls("POST /v1/chat").is_empty(), "{what}: nothing more is sent");
    }
}

#[test]
fn more_than_belongs_to_an_answer_costs_the_connection_and_not_the_answer() {
    let (mut stage, client, writer) = writing("safe");
    stage.say(writer, format!("{}HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi", stream()));
    assert_eq!(unchunked(&stage.text(client)), (EVENTS.concat(), true));
    assert!(stage.ended.contains_key(&writer));
    // And so do bytes on a connection that rests.
    let (resting, _) = stage
        .dialled
        .iter()
        .map(|(l, a)| (*l, *a))
        .find(|(l, a)| a[2] == 1 && !stage.ended.contains_key(l))
        .expect("the reader's");
    stage.say(resting, "HTTP/1.1 200 OK\r\n\r\n");
    assert!(stage.ended.contains_key(&resting));
}

#[test]
fn heads_ahead_and_heads_without_end_are_bounded() {
    for answer in
        ["HTTP/1.1 100 Continue\r\n\r\n".repeat(20), format!("HTTP/1.1 200 OK\r\nx: {}", "y".repeat(20_000))]
    {
        let (mut stage, client, writer) = writing("once");
        stage.say(writer, answer);
        assert!(stage.ended.contains_key(&writer));
        assert_eq!(stage.statuses(client), [502], "it may have run");
    }
}

#[test]
fn the_first_part_of_an_event_is_no_event() {
    let (mut stage, client, writer) = writing("safe");
    stage.say(writer, format!("{HEAD}{}", chunk("data: {\"a\"")));
    assert_eq!(stage.text(client), "");
    stage.lose(writer);
    assert_eq!(stage.calls("POST /v1/chat").len(), 1, "the client has seen nothing: another shot goes out");
}

#[test]
fn what_is_given_up_is_answered_in_the_same_moment() {
    // The shots are used up, by a turn-away: harmless, and its client is told when to come back.
    for advice in [true, false] {
        let mut terms = file();
        terms["settings"]["caps"]["max_attempts"] = 2.into();
        terms["settings"]["caps"]["retry_after"] = advice.into();
        let mut stage = Stage::with(&terms);
        let client = stage.come();
        stage.say(client, ask("id", "once"));
        read(&mut stage);
        let (writer, _) = stage.attempt();
        stage.say(writer, NEVER_RAN);
        assert_eq!(stage.statuses(client), [503]);
        assert_eq!(stage.text(client).contains("retry-after: 0."), advice, "{}", stage.text(client));
    }
    // It may have run and must not run again: no promise, and no advice either.
    let (mut stage, client, writer) = writing("once");
    stage.lose(writer);
    assert_eq!(stage.statuses(client), [502]);
    assert!(!stage.text(client).contains("retry-after"));
}

#[test]
fn the_time_ends_what_has_not_begun_and_nothing_that_has() {
    let mut stage = Stage::new();
    let (late, streams) = (stage.come(), stage.come());
    stage.say(late, ask_for("late", "once", 1_000, "{}"));
    read(&mut stage);
    let (writer, _) = stage.attempt();
    stage.say(streams, ask_for("streams", "once", 1_000, "{}"));
    read(&mut stage);
    let (streaming, _) = stage.attempt();
    stage.say(streaming, format!("{HEAD}{}", chunk(EVENTS[0])));
    stage.pass(1_000 * MS);
    assert!(stage.ended.contains_key(&writer), "nobody waits for it any more");
    assert_eq!(stage.statuses(late), [504], "told before the client's time is up");
    stage.pass(3_000 * MS);
    stage.say(streaming, format!("{}0\r\n\r\n", chunk(EVENTS[1])));
    assert!(unchunked(&stage.text(streams)).1);
}

#[test]
fn a_client_that_goes_away_takes_its_shots_with_it_and_frees_what_was_read() {
    let mut stage = Stage::new();
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    let (reader, _) = stage.attempt();
    let (place, _) = stage.call("POST /internal");
    stage.lose(client);
    stage.pass(20 * MS);
    assert!(stage.ended.contains_key(&reader));
    let (free, _) = stage.call("DELETE /internal/reservations/id ");
    // The first one asked is silent: another is.
    stage.pass(150 * MS);
    let (second, _) = stage.call("DELETE /internal/reservations/id ");
    stage.say(second, "HTTP/1.1 204 No Content\r\n\r\n");
    assert!(stage.ended.contains_key(&free), "the one that is silent is not waited for");
    // No place was held: nothing is left to be released.
    stage.say(place, plain(409, "", ""));
    stage.pass(3_000 * MS);
    assert!(stage.calls("DELETE").is_empty());
}

#[test]
fn letting_go_is_tried_elsewhere_while_connections_fail() {
    let mut stage = Stage::new();
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    let (reader, _) = stage.attempt();
    stage.lose(reader);
    // The broken read may have left a state, but another read is out: what it makes must not be freed.
    assert!(stage.calls("DELETE").is_empty());
    stage.lose(client);
    stage.pass(20 * MS);
    let mut tried = vec![];
    for _ in 0..3 {
        let (free, at) = stage.call("DELETE /internal/reservations/id ");
        tried.push(at);
        stage.lose_as(free, DisconnectReason::ConnectFailed);
    }
    tried.sort_unstable();
    tried.dedup();
    assert_eq!(tried.len(), 3, "each time at another worker");
}

#[test]
fn what_a_read_left_is_freed_while_the_next_ones_are_dialled_in_vain() {
    for places in [true, false] {
        let mut file = file();
        file["settings"]["family_info"]["ahead"] = places.into();
        let mut stage = Stage::with(&file);
        let client = stage.come();
        stage.say(client, ask("id", "safe"));
        let (reader, _) = stage.attempt();
        stage.eager = false;
        stage.lose(reader);
        let (second, _) = stage.attempt();
        let at_once = stage.calls("DELETE /internal/reservations/id ");
        // Where no place was asked for, the next shot takes what is held if it comes up as most do.
        assert_eq!(at_once.len(), usize::from(places));
        stage.pass(60 * MS);
        let free =
            at_once.first().copied().unwrap_or_else(|| stage.call("DELETE /internal/reservations/id "));
        // As in a zone that is cut off: one shot after another comes to nothing, and the letting go goes on.
        stage.lose_as(second, DisconnectReason::ConnectFailed);
        let (third, _) = stage.attempt();
        assert!(!stage.ended.contains_key(&free.0), "it goes on");
        stage.pass(200 * MS);
        let more = stage.calls("DELETE /internal/reservations/id ");
        assert_eq!(more.len(), 3, "one more after a while, then as many as before");
        // One comes up: what it makes must not be freed under it.
        stage.opens(third);
        assert!(more.iter().chain([&free]).all(|(connection, _)| stage.ended.contains_key(connection)));
    }
}

#[test]
fn a_place_that_is_not_held_is_told_apart_from_one_that_is_not_known() {
    for (answer, other) in
        [(plain(409, "", ""), 1), ("HTTP/1.1 204 No Content\r\n\r\n".into(), 0), (plain(404, "", ""), 0)]
    {
        let mut stage = Stage::new();
        let client = stage.come();
        stage.say(client, ask("id", "safe"));
        let (place, first) = stage.call("POST /internal/reservations/id ");
        stage.say(place, &answer);
        stage.pass(100 * MS);
        let others = stage.calls("POST /internal/reservations/id ");
        assert_eq!(others.len(), other, "{answer}");
        assert!(others.iter().all(|(_, at)| *at != first));
    }
}

#[test]
fn a_place_is_asked_for_once_the_reader_has_the_whole_request() {
    let mut stage = Stage::new();
    stage.eager = false;
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    let (reader, _) = stage.attempt();
    assert!(stage.calls("POST /internal").is_empty());
    stage.written(reader);
    stage.call("POST /internal/reservations/id ");
}

#[test]
fn a_slow_client_slows_its_own_stream_only() {
    let mut stage = Stage::new();
    let (slow, other) = (stage.come(), stage.come());
    stage.say(slow, ask("a", "safe"));
    read(&mut stage);
    let (slow_writer, _) = stage.attempt();
    stage.say(other, ask("b", "safe"));
    read(&mut stage);
    let (writer, _) = stage.attempt();
    stage.say(slow_writer, format!("{HEAD}{}", chunk(EVENTS[0])));
    stage.say(writer, format!("{HEAD}{}", chunk(EVENTS[0])));
    stage.crowded(slow, true);
    assert!(stage.hushed.contains(&slow_writer) && !stage.hushed.contains(&writer));
    stage.crowded(slow, false);
    assert!(stage.hushed.is_empty());
}

#[test]
fn a_client_that_reads_nothing_for_a_while_does_not_make_its_stream_a_silent_one() {
    let (mut stage, client, writer) = writing("once");
    stage.say(writer, format!("{HEAD}{}", chunk(EVENTS[0])));
    stage.crowded(client, true);
    stage.pass(6_000 * MS);
    assert!(!stage.ended.contains_key(&writer), "nothing was read from it: that is no silence");
    stage.crowded(client, false);
    stage.pass(4_000 * MS);
    stage.say(writer, format!("{}{}0\r\n\r\n", chunk(EVENTS[1]), chunk(EVENTS[2])));
    assert_eq!(unchunked(&stage.text(client)), (EVENTS.concat(), true));
    // One that never reads again does not keep its worker for ever.
    let (mut stage, client, writer) = writing("once");
    stage.say(writer, format!("{HEAD}{}", chunk(EVENTS[0])));
    stage.crowded(client, true);
    stage.pass(15_100 * MS);
    assert!(stage.ended.contains_key(&writer) && stage.ended.contains_key(&client));
}

#[test]
fn connections_are_put_away_long_before_their_worker_would() {
    let mut stage = Stage::without_places();
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    let (reader, _) = stage.attempt();
    stage.say(reader, READ);
    let (writer, _) = stage.attempt();
    stage.say(writer, stream());
    stage.pass(4_900 * MS);
    assert!(!stage.ended.contains_key(&reader));
    stage.pass(200 * MS);
    assert!(stage.ended.contains_key(&reader), "after half of the ten seconds that the settings name");
}

#[test]
fn a_rest_that_broke_a_connection_is_trusted_no_more_for_a_while() {
    let mut stage = Stage::without_places();
    let client = stage.come();
    // A read and its writing, both connections resting afterwards.
    let asked = |trace: &str| ask(trace, "safe").replace("prefix=5c0f,", "");
    let serve = |stage: &mut Stage, trace: &str| {
        stage.say(client, asked(trace));
        let reader = stage.attempt().0;
        stage.say(reader, READ);
        let writer = stage.attempt().0;
        stage.say(writer, stream());
        (reader, writer)
    };
    let (reader, _) = serve(&mut stage, "a");
    stage.pass(400 * MS);
    let (again, _) = serve(&mut stage, "b");
    assert_eq!(reader, again, "it is used again");
    stage.pass(400 * MS);
    stage.say(client, asked("c"));
    let broken = stage.attempt().0;
    assert_eq!(broken, reader);
    stage.lose(broken);
    stage.pass(20 * MS);
    // The read goes on elsewhere; what has rested for more than half as long is not used.
    let (other, _) = stage.attempt();
    stage.say(other, READ);
    let (writer, _) = stage.attempt();
    stage.say(writer, stream());
    stage.pass(300 * MS);
    let dials = stage.dialled.len();
    serve(&mut stage, "d");
    assert!(stage.dialled.len() > dials, "a new connection is made");
}

#[test]
fn the_writing_shot_of_a_single_use_submission_goes_on_a_new_connection() {
    let mut stage = Stage::new();
    let client = stage.come();
    for (trace, class) in [("a", "safe"), ("b", "once")] {
        stage.say(client, ask(trace, class));
        read(&mut stage);
        let (writer, _) = stage.attempt();
        let asked = stage.text(writer).matches("POST /v1/chat").count();
        assert_eq!(asked, 1, "{class}");
        stage.say(writer, stream());
    }
}

#[test]
fn a_client_is_not_left_waiting_on_a_stream_that_has_stopped() {
    let (mut stage, client, writer) = writing("safe");
    stage.say(writer, format!("{HEAD}{}", chunk(EVENTS[0])));
    // Events that come slowly are no reason.
    for _ in 0..3 {
        stage.pass(4_000 * MS);
        stage.say(writer, chunk(EVENTS[1]));
    }
    stage.pass(4_400 * MS);
    assert!(!stage.ended.contains_key(&client));
    stage.pass(200 * MS);
    assert_eq!(stage.ended.get(&client), Some(&false), "within the five seconds that the platform allows");
    assert!(stage.ended.contains_key(&writer) && !unchunked(&stage.text(client)).1);
}

#[test]
fn a_stream_spoilt_after_it_began_does_not_speak_against_its_worker() {
    // What a writer sends, and whether its worker is looked at for it.
    for (bytes, suspected) in
        [(format!("{HEAD}{}zz\r\n", chunk(EVENTS[0])), false), ("noise\r\n\r\n".into(), true)]
    {
        let (mut stage, _, writer) = writing("safe");
        stage.say(writer, bytes);
        stage.pass(100 * MS);
        assert_eq!(!stage.calls("GET /alive").is_empty(), suspected);
    }
}

/// Once its connection was ended and nobody told: at the cut-off it passed for never sent, its client was told that it
/// had not run, and came again.
#[test]
fn a_stream_that_stops_before_its_first_event_is_whole_may_have_run() {
    for (class, statuses) in [("once", vec![502]), ("safe", vec![503])] {
        let mut stage = Stage::new();
        let client = stage.come();
        stage.say(client, ask_for("id", class, 6_000, "{}"));
        read(&mut stage);
        let (writer, _) = stage.attempt();
        stage.say(writer, format!("{HEAD}{}", chunk("data: {\"a\"")));
        stage.pass(4_700 * MS);
        assert!(stage.ended.contains_key(&writer), "it is not waited for any longer");
        assert_eq!(stage.statuses(client), statuses, "{class}");
        stage.pass(2_000 * MS);
        assert!(class == "safe" || !stage.statuses(client).contains(&503), "nothing shows that it never ran");
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
    let first = reader_first(&file);
    for (says, taken, asked) in cases {
        let mut stage = Stage::with(&file);
        let client = stage.come();
        stage.say(client, ask("id", "safe"));
        let mut order = vec![];
        for _ in 0..3 {
            for (connection, at) in stage.calls("GET /metrics/load") {
                let place = first.iter().position(|r| *r == at).expect("a reader");
                stage.say(connection, load(says[place]));
                order.push(at);
            }
            assert_eq!(order[0], first[0], "the first alone at first");
            stage.pass(10 * MS);
        }
        assert_eq!((stage.attempt().1, order.len()), (first[taken], asked), "{says:?}");
    }
}

/// The readers in the order in which they are preferred: who is left when those before have gone.
fn reader_first(file: &serde_json::Value) -> Vec<usize> {
    let mut order = vec![];
    while order.len() < 3 {
        let mut file = file.clone();
        order.iter().for_each(|r| file["known"]["servers"][*r] = entry(*r, "DRAINING", 0));
        let mut stage = Stage::with(&file);
        let client = stage.come();
        stage.say(client, ask("id", "safe"));
        stage.pass(30 * MS);
        order.push(stage.attempt().1);
    }
    order
}

/// Some workers send a second answer some milliseconds behind the first: by then a call that took the connection would
/// take it for its own.
#[test]
fn a_second_answer_that_comes_late_is_no_answer_to_the_next_call() {
    for late in [1, 5, 15] {
        let mut stage = Stage::without_places();
        let client = stage.come();
        stage.say(client, ask("first", "safe"));
        let (reader, _) = stage.attempt();
        stage.say(reader, READ);
        let (writer, at) = stage.attempt();
        stage.say(writer, stream());
        // The next one comes at once, and is at the same writer when the second answer comes.
        stage.say(client, ask("second", "safe"));
        read(&mut stage);
        let (second, again) = stage.attempt();
        stage.pass(late * MS);
        stage.say(writer, stream());
        assert_eq!(
            stage.statuses(client),
            [200],
            "after {late} ms, at {at} and {again}: nobody has answered it"
        );
        stage.say(second, stream());
        assert_eq!(stage.statuses(client), [200, 200]);
    }
}
