//! Discovery, new configurations and the end, on bytes in virtual time.

mod common;

use common::*;
use serde_json::json;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};

fn ready_status(harness: &mut Harness) -> u16 {
    let client = harness.connect_client();
    harness.deliver(client, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    harness.statuses(client)[0]
}

/// The worker to which a submission's read goes.
fn prefill_worker_of(harness: &mut Harness, trace: &str) -> usize {
    let client = harness.connect_client();
    harness.deliver(client, ask(trace, "safe"));
    let (connection, at) = harness.attempt();
    harness.reset(client);
    assert!(harness.ended.contains_key(&connection));
    harness.advance(20 * MS);
    for begin in ["POST /internal", "DELETE"] {
        let calls = harness.calls(begin);
        calls
            .into_iter()
            .for_each(|(connection, _)| harness.deliver(connection, "HTTP/1.1 204 No Content\r\n\r\n"));
    }
    at
}

#[test]
fn it_is_up_once_discovery_has_spoken_or_is_silent_for_a_while() {
    let mut harness = Harness::new();
    assert_eq!(ready_status(&mut harness), 503);
    harness.send_update(&list(5));
    assert_eq!(ready_status(&mut harness), 200);
    let mut harness = Harness::new();
    harness.advance(1_100 * MS);
    assert_eq!(ready_status(&mut harness), 200, "a dead agent does not stop it");
    let mut unknown = file();
    unknown["known"] = json!({"version": 0, "full": true, "servers": []});
    let mut harness = Harness::with_config(&unknown);
    harness.advance(1_100 * MS);
    assert_eq!(ready_status(&mut harness), 503, "it knows nobody to send to");
}

#[test]
fn lines_come_in_odd_pieces_and_changes_are_applied_in_order() {
    let mut harness = Harness::new();
    let (connection, request) = harness.watch();
    assert!(request.starts_with("GET /discovery/hosts?watch=1&after=4 HTTP/1.1\r\n"), "{request}");
    let drain = |version, states: [&str; 3]| {
        let servers: Vec<_> = [0, 1, 4].iter().zip(states).map(|(w, s)| entry(*w, s, 0)).collect();
        json!({"version": version, "full": false, "servers": servers})
    };
    let text = format!(
        "{}\n\n{}\n",
        drain(5, ["DRAINING", "SERVING", "DELETED"]),
        drain(6, ["DRAINING", "SERVING", "DELETED"])
    );
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    harness.deliver(connection, head);
    for piece in text.as_bytes().chunks(7) {
        let piece = std::str::from_utf8(piece).expect("ASCII");
        chunk(piece).as_bytes().chunks(3).for_each(|bytes| harness.deliver(connection, bytes));
    }
    for n in 0..20 {
        assert_eq!(prefill_worker_of(&mut harness, &format!("id{n}")), 1, "the one that is left");
    }
}

#[test]
fn a_watch_that_ends_is_silent_or_can_not_be_read_is_opened_anew() {
    let ends: [fn(&mut Harness, ConnectionId); 6] = [
        |s, l| s.reset(l),
        |s, l| s.disconnect(l, DisconnectReason::ConnectFailed),
        |s, _| s.advance(1_050 * MS),
        |s, l| s.deliver(l, "HTTP/1.1 500 Oh\r\n\r\n"),
        |s, l| {
            s.deliver(
                l,
                format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}", chunk("{\"version\":]\n")),
            )
        },
        |s, l| {
            // Half an object, and empty lines behind it.
            s.deliver(l, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
            for _ in 0..6 {
                s.deliver(l, chunk("{\"version\":\n"));
                s.advance(500 * MS);
            }
        },
    ];
    for (n, end) in ends.into_iter().enumerate() {
        let mut harness = Harness::new();
        let (connection, _) = harness.watch();
        end(&mut harness, connection);
        harness.advance(250 * MS);
        let (again, request) = harness.watch();
        assert!(again != connection && request.contains("after=4 "), "case {n}");
        let waited = matches!(n, 2 | 5);
        assert_eq!(
            ready_status(&mut harness),
            if waited { 200 } else { 503 },
            "the old list stays, case {n}"
        );
    }
}

/// What discovery has counts as told six seconds after it fell silent, or could be reached again, whatever failed.
#[test]
fn what_a_silent_watch_missed_is_heard_well_within_six_seconds_though_the_next_call_comes_to_nothing() {
    type Fails = fn(&mut Harness, ConnectionId);
    let fails: [(&str, Fails); 5] = [
        ("nobody takes it", |s, l| {
            s.advance(500 * MS);
            s.disconnect(l, DisconnectReason::ConnectFailed);
        }),
        ("it is refused", |s, l| s.disconnect(l, DisconnectReason::ConnectFailed)),
        ("nobody answers it", |_, _| {}),
        ("its answer has no end of a head", |s, l| s.deliver(l, "HTTP/1.1 200 OK\r\n")),
        ("it is reset", |s, l| s.reset(l)),
    ];
    for (what, fail) in fails {
        // Failures before, as in a time without discovery, have made the pauses as long as they get.
        let mut harness = Harness::new();
        for _ in 0..8 {
            let (connection, _) = harness.watch();
            harness.reset(connection);
            harness.advance(500 * MS);
        }
        let (connection, _) = harness.watch();
        harness.deliver(connection, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        let silent = harness.now;
        let other = |harness: &mut Harness, than: ConnectionId| loop {
            match harness.watch_connection().filter(|now| *now != than) {
                Some(now) => return now,
                None => harness.advance(10 * MS),
            }
        };
        let next = other(&mut harness, connection);
        fail(&mut harness, next);
        other(&mut harness, next);
        harness.send_update(&list(9));
        let took = harness.now - silent;
        assert!(took < 5_200 * MS, "{what}: {took} us");
    }
}

#[test]
fn lists_may_come_indented_over_many_lines() {
    let mut harness = Harness::new();
    let mut newer = list(9);
    newer["servers"][0]["state"] = json!("DRAINING");
    newer["servers"][4]["state"] = json!("DRAINING");
    let (connection, _) = harness.watch();
    harness.deliver(connection, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    let text = format!("\n  {:#}\n\n  \n", newer);
    for piece in text.as_bytes().chunks(100) {
        harness.deliver(connection, chunk(std::str::from_utf8(piece).expect("ASCII")));
    }
    assert_eq!(harness.watch().0, connection, "nothing is wrong with it");
    for n in 0..20 {
        assert_eq!(prefill_worker_of(&mut harness, &format!("id{n}")), 1, "the one that is left");
    }
}

/// A list of the largest fleet, as it may come in small pieces. Looked at anew with each of them, it took 4.5 s of processor time.
#[test]
fn a_long_list_in_small_pieces_is_looked_at_once() {
    let mut harness = Harness::new();
    let mut newer = list(9);
    let servers = newer["servers"].as_array_mut().expect("a list");
    for n in 0..3_200 {
        let mut server = entry(1, "DRAINING", 0);
        server["id"] = json!(format!("more-{n} with a \\ \" {{ ["));
        servers.push(server);
    }
    servers[4]["state"] = json!("DRAINING");
    let (connection, _) = harness.watch();
    harness.deliver(connection, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    let began = std::time::Instant::now();
    for piece in format!("{newer:#}\n").as_bytes().chunks(64) {
        harness.deliver(connection, chunk(std::str::from_utf8(piece).expect("ASCII")));
    }
    assert!(began.elapsed().as_secs() < 2, "{:?}", began.elapsed());
    assert_eq!(harness.watch().0, connection, "nothing is wrong with it");
    for n in 0..20 {
        assert_ne!(prefill_worker_of(&mut harness, &format!("id{n}")), 4, "it drains");
    }
}

#[test]
fn a_list_older_than_the_one_in_force_is_passed_over_until_it_lasts() {
    let mut harness = Harness::new();
    let mut newer = list(9);
    newer["servers"][0]["state"] = json!("DRAINING");
    harness.send_update(&newer);
    harness.send_update(&list(7));
    for n in 0..20 {
        assert_ne!(prefill_worker_of(&mut harness, &format!("id{n}")), 0, "it drains still");
    }
    harness.advance(11_000 * MS);
    harness.send_update(&list(7));
    let prefill_workers: Vec<_> =
        (0..40).map(|n| prefill_worker_of(&mut harness, &format!("x{n}"))).collect();
    assert!(
        prefill_workers.contains(&0) || prefill_workers.iter().all(|r| *r == prefill_workers[0]),
        "{prefill_workers:?}"
    );
}

#[test]
fn workers_are_ranked_by_their_names_and_not_by_their_addresses() {
    let mut moved = file();
    for (n, server) in moved["known"]["servers"].as_array_mut().expect("a list").iter_mut().enumerate() {
        server["addr"] = json!(format!("127.0.1.{}:80", 6 - n));
    }
    let (mut here, mut there) = (Harness::new(), Harness::with_config(&moved));
    for n in 0..30 {
        let (a, b) = (
            prefill_worker_of(&mut here, &format!("id{n}")),
            prefill_worker_of(&mut there, &format!("id{n}")),
        );
        assert_eq!(a, 5 - b, "the same reader at another address");
    }
}

#[test]
fn a_new_start_under_an_old_name_makes_old_connections_dead() {
    let mut harness = Harness::new();
    harness.send_update(&list(5));
    let client = harness.connect_client();
    harness.deliver(client, ask("id", "safe"));
    let (prefill, at) = harness.attempt();
    harness.advance(1_000 * MS);
    let started = harness.now / MS - 100;
    harness.send_update(&json!({"version": 6, "full": false, "servers": [entry(at, "SERVING", started)]}));
    assert!(harness.ended.contains_key(&prefill));
    harness.advance(20 * MS);
    assert_ne!(harness.attempt().1, at, "it is read elsewhere: that one is cold");
}

/// Milliseconds in an hour, by which wall clocks may be stepped.
const HOUR_MS: u64 = 3_600_000;

/// By which clock a start is told.
#[derive(Clone, Copy, PartialEq, Debug)]
enum WorkerClock {
    InStep,
    Ahead,
    Behind,
}

/// A start that was a moment ago, as that clock tells it.
fn reported_start(harness: &Harness, clock: WorkerClock) -> u64 {
    let started_ms = harness.now / MS - 10;
    match clock {
        WorkerClock::InStep => started_ms,
        WorkerClock::Ahead => started_ms + HOUR_MS,
        WorkerClock::Behind => started_ms - HOUR_MS,
    }
}

/// A request is served whole; its reader.
fn served_by(harness: &mut Harness, trace: &str) -> usize {
    let client = harness.connect_client();
    harness.deliver(client, ask(trace, "safe"));
    let (prefill, at) = harness.attempt();
    harness.deliver(prefill, READ);
    let (decode, _) = harness.attempt();
    harness.deliver(decode, stream());
    assert_eq!(harness.statuses(client), [200]);
    at
}

/// A worker's entry is told with another start, by a clock that was stepped, while discovery has been heard all along.
/// The worker and its entry, as told.
fn restarts_by_a_stepped_clock(harness: &mut Harness, clock: WorkerClock) -> (usize, serde_json::Value) {
    harness.send_update(&list(5));
    let worker = served_by(harness, "home");
    for version in 6..16 {
        harness.advance(2_000 * MS);
        harness.send_update(&list(version));
    }
    let restarted = entry(worker, "SERVING", reported_start(harness, clock));
    harness.send_update(&json!({"version": 20, "full": false, "servers": [restarted]}));
    (worker, restarted)
}

#[test]
fn a_start_told_by_a_stepped_clock_ends_what_was_out_there() {
    for clock in [WorkerClock::InStep, WorkerClock::Ahead, WorkerClock::Behind] {
        let mut harness = Harness::without_reservations();
        harness.send_update(&list(5));
        let client = harness.connect_client();
        harness.deliver(client, ask("id", "safe"));
        let (prefill, _) = harness.attempt();
        harness.deliver(prefill, READ);
        let (decode, at) = harness.attempt();
        harness.deliver(decode, format!("{HEAD}{}", chunk(EVENTS[0])));
        // Longer than a list may be late: what was out then was out before the start.
        for version in 6..11 {
            harness.advance(2_000 * MS);
            harness.send_update(&list(version));
            harness.deliver(decode, chunk(EVENTS[1]));
        }
        let restarted = entry(at, "SERVING", reported_start(&harness, clock));
        harness.send_update(&json!({"version": 20, "full": false, "servers": [restarted]}));
        assert!(harness.ended.contains_key(&decode), "{clock:?}; the process that had it is gone");
        assert!(harness.ended.contains_key(&client));
    }
}

/// Readers of many requests, just after a start and once the worker is warm; and the worker.
fn prefill_workers_after_a_start(clock: WorkerClock) -> (usize, Vec<usize>, Vec<usize>) {
    let mut harness = Harness::without_reservations();
    let (worker, _) = restarts_by_a_stepped_clock(&mut harness, clock);
    let cold = (0..40).map(|n| served_by(&mut harness, &format!("cold{n}"))).collect();
    harness.advance(11_000 * MS);
    let warm = (0..40).map(|n| served_by(&mut harness, &format!("warm{n}"))).collect();
    (worker, cold, warm)
}

#[test]
fn a_start_told_by_a_stepped_clock_is_cold_for_as_long_as_any() {
    let (worker, cold, warm) = prefill_workers_after_a_start(WorkerClock::InStep);
    assert!(cold.iter().filter(|prefill| **prefill == worker).count() < 20, "it is cold: {cold:?}");
    for clock in [WorkerClock::Ahead, WorkerClock::Behind] {
        assert_eq!(prefill_workers_after_a_start(clock), (worker, cold.clone(), warm.clone()), "{clock:?}");
    }
}

#[test]
fn a_start_told_by_a_stepped_clock_is_one_start_however_often_it_is_listed() {
    for clock in [WorkerClock::InStep, WorkerClock::Ahead, WorkerClock::Behind] {
        let mut harness = Harness::without_reservations();
        let (worker, restarted) = restarts_by_a_stepped_clock(&mut harness, clock);
        harness.advance(11_000 * MS);
        let client = harness.connect_client();
        harness.deliver(client, ask("out", "once"));
        let (prefill, at) = harness.attempt();
        assert_eq!(at, worker);
        let mut whole = list(30);
        whole["servers"][worker] = restarted;
        harness.send_update(&whole);
        assert!(
            !harness.ended.contains_key(&prefill),
            "{clock:?}; it was listed again, and has not started again"
        );
    }
}

#[test]
fn what_is_under_way_to_a_worker_that_drains_or_is_gone_never_leaves() {
    let removed = |is_full: bool, worker: usize| {
        let mut page = list(5);
        let servers = page["servers"].as_array_mut().expect("a list");
        if is_full {
            servers.remove(worker);
        } else {
            *servers = vec![json!({"id": WORKERS[worker].0, "state": "DELETED"})];
            page["full"] = false.into();
        }
        page
    };
    let draining =
        |worker: usize| json!({"version": 5, "full": false, "servers": [entry(worker, "DRAINING", 0)]});
    for update in
        [&draining as &dyn Fn(usize) -> serde_json::Value, &|w| removed(false, w), &|w| removed(true, w)]
    {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.is_immediate = false;
        harness.deliver(client, ask("id", "once"));
        let (prefill, at) = harness.attempt();
        harness.send_update(&update(at));
        assert!(harness.ended.contains_key(&prefill), "its first byte might leave after the grace");
        let (second, other) = harness.attempt();
        assert_ne!(at, other);
        // The same of a place, once the read is at its reader.
        harness.complete_write(second);
        let (reservation, decode) = harness.call("POST /internal/reservations/id ");
        let mut line = update(decode);
        line["version"] = 6.into();
        let (watch, _) = harness.watch();
        let line = format!("{line}\n");
        harness.deliver(watch, format!("{:x}\r\n{line}\r\n", line.len()));
        assert!(harness.ended.contains_key(&reservation));
        // What has left runs to its end.
        assert!(!harness.ended.contains_key(&second));
    }
}

#[test]
fn what_rests_where_a_worker_no_longer_is_is_not_used_again() {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    harness.deliver(client, ask("a", "safe"));
    let (prefill, at) = harness.attempt();
    harness.deliver(prefill, READ);
    let (decode, _) = harness.attempt();
    harness.deliver(decode, stream());
    let mut moved = entry(at, "SERVING", 0);
    moved["addr"] = "127.0.1.77:80".into();
    harness.send_update(&json!({"version": 5, "full": false, "servers": [moved]}));
    assert!(harness.ended.contains_key(&prefill));
}

#[test]
fn a_new_configuration_moves_the_watch_and_disturbs_nothing() {
    let mut harness = Harness::new();
    harness.send_update(&list(5));
    let client = harness.connect_client();
    harness.deliver(client, ask("id", "safe"));
    let (prefill, _) = harness.attempt();
    let (old, _) = harness.watch();
    let mut fresh = file();
    fresh["discovery"] = json!("127.0.8.8:85");
    assert!(harness.reload_config(&fresh));
    let (new, request) = harness.watch();
    assert!(harness.ended.contains_key(&old) && request.contains("after=5 "));
    assert_eq!(harness.outbound[&new], [127, 0, 8, 8, 0, 85]);
    for bad in [json!({}), json!([]), json!({"name": "n1"})] {
        assert!(!harness.reload_config(&bad));
        assert_eq!(harness.watch().0, new, "a bad file changes nothing");
    }
    harness.deliver(prefill, READ);
    let (decode, _) = harness.attempt();
    harness.deliver(decode, stream());
    assert!(unchunked(&harness.sent_text(client)).1);
}

#[test]
fn the_end_keeps_what_it_owes() {
    let mut harness = Harness::new();
    harness.send_update(&list(5));
    let (open, idle) = (harness.connect_client(), harness.connect_client());
    harness.deliver(idle, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    harness.deliver(open, ask("open", "safe"));
    complete_prefill(&mut harness);
    let (decode, _) = harness.attempt();
    harness.deliver(decode, format!("{HEAD}{}", chunk(EVENTS[0])));
    harness.shut_down();
    harness.shut_down();
    assert!(harness.ended.contains_key(&idle) && !harness.ended.contains_key(&open));
    assert_eq!(ready_status(&mut harness), 503);
    // The others have not heard of the end yet: one that comes now is served.
    harness.advance(300 * MS);
    let late = harness.connect_client();
    harness.deliver(late, ask("late", "safe"));
    complete_prefill(&mut harness);
    let (late_writer, _) = harness.attempt();
    harness.deliver(late_writer, stream());
    assert!(unchunked(&harness.sent_text(late)).1 && harness.sent_text(late).contains("connection: close"));
    assert!(harness.ended.contains_key(&late), "its connection ends between requests");
    harness.advance(500 * MS);
    let too_late = harness.connect_client();
    harness.deliver(too_late, ask("too-late", "safe"));
    assert_eq!(harness.statuses(too_late), [503]);
    assert!(!is_finished(&harness), "a stream is open");
    harness.deliver(decode, format!("{}0\r\n\r\n", chunk(EVENTS[1])));
    assert!(unchunked(&harness.sent_text(open)).1);
    assert!(!is_finished(&harness), "nobody has said what became of the places");
    for (reservation, _) in harness.calls("POST /internal/reservations/") {
        assert!(!is_finished(&harness));
        harness.deliver(reservation, plain(409, "", ""));
    }
    assert!(is_finished(&harness));
}

/// A request may be on its way on a connection that was made a moment before the end.
#[test]
fn who_has_come_just_before_the_end_is_answered_and_who_says_nothing_does_not_hold_it_up() {
    let mut harness = Harness::without_reservations();
    harness.send_update(&list(5));
    let (old, asks, silent, half) = (
        harness.connect_client(),
        harness.connect_client(),
        harness.connect_client(),
        harness.connect_client(),
    );
    harness.deliver(old, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    harness.shut_down();
    assert!(harness.ended.contains_key(&old), "it rested between requests");
    assert!(!harness.ended.contains_key(&asks));
    harness.deliver(half, &ask("half", "safe")[..40]);
    harness.advance(150 * MS);
    harness.deliver(asks, ask("asks", "safe"));
    complete_prefill(&mut harness);
    let (decode, _) = harness.attempt();
    harness.deliver(decode, stream());
    assert!(unchunked(&harness.sent_text(asks)).1 && harness.sent_text(asks).contains("connection: close"));
    harness.advance(450 * MS);
    assert!(harness.ended.contains_key(&silent) && harness.statuses(silent).is_empty());
    assert!(!harness.ended.contains_key(&half), "it has as long as ever to be whole");
    harness.advance(1_500 * MS);
    assert_eq!(harness.statuses(half), [408]);
    assert!(is_finished(&harness));
}

fn complete_prefill(harness: &mut Harness) {
    let (prefill, _) = harness.attempt();
    harness.deliver(prefill, READ);
}

fn is_finished(harness: &Harness) -> bool {
    tideroute_wire::event_loop::EventHandler::is_finished(&harness.gateway)
}

#[test]
fn a_configuration_that_lacks_something_says_what() {
    for (path, value, message) in [
        ("/listen", json!("here"), "listen: expected an IPv4 address with a port, found \"here\""),
        ("/discovery", json!(null), "discovery: expected an IPv4 address with a port, found null"),
        ("/seed", json!("xyz"), "seed: expected hexadecimal digits, found \"xyz\""),
        (
            "/limits/sockets",
            json!(12),
            "limits.sockets: expected a number of descriptors, 64 or more, found 12",
        ),
        ("/limits/memory_mb", json!(-1), "limits.memory_mb: expected megabytes, 16 or more, found -1"),
        ("/settings/kinds", json!("a"), "settings.kinds: expected a list of names, found \"a\""),
        (
            "/settings/caps/dial_timeout_ms",
            json!(null),
            "settings.caps.dial_timeout_ms: expected milliseconds, found null",
        ),
        (
            "/settings/invariants/cold_share",
            json!("x"),
            "settings: invariants.cold_share in the settings is not a number of 0 or more",
        ),
        (
            "/settings/classes/0/on_time_ms",
            json!(null),
            "settings: classes[0].on_time_ms in the settings is null: a number over 0 is needed",
        ),
        (
            "/settings/classes/1/hard_limit_ms",
            json!(0),
            "settings: classes[1].hard_limit_ms in the settings is 0: a number over 0 is needed",
        ),
        (
            "/settings/classes/2/key_ttl_ms",
            json!(0.0),
            "settings: classes[2].key_ttl_ms in the settings is 0.0: a number over 0 is needed",
        ),
        ("/known/servers/0/addr", json!("x"), "known: addr is missing or is not what it should be"),
    ] {
        let mut bad = file();
        *bad.pointer_mut(path).expect("there") = value;
        let problem = tideroute_gateway::Config::parse(bad.to_string().as_bytes()).expect_err(path);
        assert_eq!(problem.to_string(), message);
    }
    assert!(tideroute_gateway::Config::parse(b"{")
        .expect_err("cut")
        .to_string()
        .starts_with("it is no JSON"));
}
