//! Discovery, new configurations and the end, on bytes in virtual time.

mod common;

use common::*;
use serde_json::json;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};

fn up(stage: &mut Stage) -> u16 {
    let client = stage.come();
    stage.say(client, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    stage.statuses(client)[0]
}

/// The worker to which a submission's read goes.
fn reader_of(stage: &mut Stage, trace: &str) -> usize {
    let client = stage.come();
    stage.say(client, ask(trace, "safe"));
    let (connection, at) = stage.attempt();
    stage.lose(client);
    assert!(stage.ended.contains_key(&connection));
    stage.pass(20 * MS);
    for begin in ["POST /internal", "DELETE"] {
        let calls = stage.calls(begin);
        calls
            .into_iter()
            .for_each(|(connection, _)| stage.say(connection, "HTTP/1.1 204 No Content\r\n\r\n"));
    }
    at
}

#[test]
fn it_is_up_once_discovery_has_spoken_or_is_silent_for_a_while() {
    let mut stage = Stage::new();
    assert_eq!(up(&mut stage), 503);
    stage.discover(&list(5));
    assert_eq!(up(&mut stage), 200);
    let mut stage = Stage::new();
    stage.pass(1_100 * MS);
    assert_eq!(up(&mut stage), 200, "a dead agent does not stop it");
    let mut unknown = file();
    unknown["known"] = json!({"version": 0, "full": true, "servers": []});
    let mut stage = Stage::with(&unknown);
    stage.pass(1_100 * MS);
    assert_eq!(up(&mut stage), 503, "it knows nobody to send to");
}

#[test]
fn lines_come_in_odd_pieces_and_changes_are_applied_in_order() {
    let mut stage = Stage::new();
    let (connection, asked) = stage.watch();
    assert!(asked.starts_with("GET /discovery/hosts?watch=1&after=4 HTTP/1.1\r\n"), "{asked}");
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
    stage.say(connection, head);
    for piece in text.as_bytes().chunks(7) {
        let piece = std::str::from_utf8(piece).expect("ASCII");
        chunk(piece).as_bytes().chunks(3).for_each(|bytes| stage.say(connection, bytes));
    }
    for n in 0..20 {
        assert_eq!(reader_of(&mut stage, &format!("id{n}")), 1, "the one that is left");
    }
}

#[test]
fn a_watch_that_ends_is_silent_or_can_not_be_read_is_opened_anew() {
    let ends: [fn(&mut Stage, ConnectionId); 6] = [
        |s, l| s.lose(l),
        |s, l| s.lose_as(l, DisconnectReason::ConnectFailed),
        |s, _| s.pass(1_050 * MS),
        |s, l| s.say(l, "HTTP/1.1 500 Oh\r\n\r\n"),
        |s, l| {
            s.say(
                l,
                format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}", chunk("{\"version\":]\n")),
            )
        },
        |s, l| {
            // Half an object, and empty lines behind it.
            s.say(l, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
            for _ in 0..6 {
                s.say(l, chunk("{\"version\":\n"));
                s.pass(500 * MS);
            }
        },
    ];
    for (n, end) in ends.into_iter().enumerate() {
        let mut stage = Stage::new();
        let (connection, _) = stage.watch();
        end(&mut stage, connection);
        stage.pass(250 * MS);
        let (again, asked) = stage.watch();
        assert!(again != connection && asked.contains("after=4 "), "case {n}");
        let waited = matches!(n, 2 | 5);
        assert_eq!(up(&mut stage), if waited { 200 } else { 503 }, "the old list stays, case {n}");
    }
}

/// What discovery has counts as told six seconds after it fell silent, or could be reached again, whatever failed.
#[test]
fn what_a_silent_watch_missed_is_heard_well_within_six_seconds_though_the_next_call_comes_to_nothing() {
    type Fails = fn(&mut Stage, ConnectionId);
    let fails: [(&str, Fails); 5] = [
        ("nobody takes it", |s, l| {
            s.pass(500 * MS);
            s.lose_as(l, DisconnectReason::ConnectFailed);
        }),
        ("it is refused", |s, l| s.lose_as(l, DisconnectReason::ConnectFailed)),
        ("nobody answers it", |_, _| {}),
        ("its answer has no end of a head", |s, l| s.say(l, "HTTP/1.1 200 OK\r\n")),
        ("it is reset", |s, l| s.lose(l)),
    ];
    for (what, fail) in fails {
        // Failures before, as in a time without discovery, have made the pauses as long as they get.
        let mut stage = Stage::new();
        for _ in 0..8 {
            let (connection, _) = stage.watch();
            stage.lose(connection);
            stage.pass(500 * MS);
        }
        let (connection, _) = stage.watch();
        stage.say(connection, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        let silent = stage.now;
        let other = |stage: &mut Stage, than: ConnectionId| loop {
            match stage.watching().filter(|now| *now != than) {
                Some(now) => return now,
                None => stage.pass(10 * MS),
            }
        };
        let next = other(&mut stage, connection);
        fail(&mut stage, next);
        other(&mut stage, next);
        stage.discover(&list(9));
        let took = stage.now - silent;
        assert!(took < 5_200 * MS, "{what}: {took} us");
    }
}

#[test]
fn lists_may_come_indented_over_many_lines() {
    let mut stage = Stage::new();
    let mut newer = list(9);
    newer["servers"][0]["state"] = json!("DRAINING");
    newer["servers"][4]["state"] = json!("DRAINING");
    let (connection, _) = stage.watch();
    stage.say(connection, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    let text = format!("\n  {:#}\n\n  \n", newer);
    for piece in text.as_bytes().chunks(100) {
        stage.say(connection, chunk(std::str::from_utf8(piece).expect("ASCII")));
    }
    assert_eq!(stage.watch().0, connection, "nothing is wrong with it");
    for n in 0..20 {
        assert_eq!(reader_of(&mut stage, &format!("id{n}")), 1, "the one that is left");
    }
}

/// A list of the largest fleet, as it may come in small pieces. Looked at anew with each of them, it took 4.5 s of processor time.
#[test]
fn a_long_list_in_small_pieces_is_looked_at_once() {
    let mut stage = Stage::new();
    let mut newer = list(9);
    let servers = newer["servers"].as_array_mut().expect("a list");
    for n in 0..3_200 {
        let mut server = entry(1, "DRAINING", 0);
        server["id"] = json!(format!("more-{n} with a \\ \" {{ ["));
        servers.push(server);
    }
    servers[4]["state"] = json!("DRAINING");
    let (connection, _) = stage.watch();
    stage.say(connection, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    let began = std::time::Instant::now();
    for piece in format!("{newer:#}\n").as_bytes().chunks(64) {
        stage.say(connection, chunk(std::str::from_utf8(piece).expect("ASCII")));
    }
    assert!(began.elapsed().as_secs() < 2, "{:?}", began.elapsed());
    assert_eq!(stage.watch().0, connection, "nothing is wrong with it");
    for n in 0..20 {
        assert_ne!(reader_of(&mut stage, &format!("id{n}")), 4, "it drains");
    }
}

#[test]
fn a_list_older_than_the_one_in_force_is_passed_over_until_it_lasts() {
    let mut stage = Stage::new();
    let mut newer = list(9);
    newer["servers"][0]["state"] = json!("DRAINING");
    stage.discover(&newer);
    stage.discover(&list(7));
    for n in 0..20 {
        assert_ne!(reader_of(&mut stage, &format!("id{n}")), 0, "it drains still");
    }
    stage.pass(11_000 * MS);
    stage.discover(&list(7));
    let readers: Vec<_> = (0..40).map(|n| reader_of(&mut stage, &format!("x{n}"))).collect();
    assert!(readers.contains(&0) || readers.iter().all(|r| *r == readers[0]), "{readers:?}");
}

#[test]
fn workers_are_ranked_by_their_names_and_not_by_their_addresses() {
    let mut moved = file();
    for (n, server) in moved["known"]["servers"].as_array_mut().expect("a list").iter_mut().enumerate() {
        server["addr"] = json!(format!("127.0.1.{}:80", 6 - n));
    }
    let (mut here, mut there) = (Stage::new(), Stage::with(&moved));
    for n in 0..30 {
        let (a, b) = (reader_of(&mut here, &format!("id{n}")), reader_of(&mut there, &format!("id{n}")));
        assert_eq!(a, 5 - b, "the same reader at another address");
    }
}

#[test]
fn a_new_start_under_an_old_name_makes_old_connections_dead() {
    let mut stage = Stage::new();
    stage.discover(&list(5));
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    let (reader, at) = stage.attempt();
    stage.pass(1_000 * MS);
    let started = stage.now / MS - 100;
    stage.discover(&json!({"version": 6, "full": false, "servers": [entry(at, "SERVING", started)]}));
    assert!(stage.ended.contains_key(&reader));
    stage.pass(20 * MS);
    assert_ne!(stage.attempt().1, at, "it is read elsewhere: that one is cold");
}

/// Milliseconds in an hour, by which wall clocks may be stepped.
const HOUR_MS: u64 = 3_600_000;

/// By which clock a start is told.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Told {
    InStep,
    Ahead,
    Behind,
}

/// A start that was a moment ago, as that clock tells it.
fn start_told(stage: &Stage, by: Told) -> u64 {
    let started_ms = stage.now / MS - 10;
    match by {
        Told::InStep => started_ms,
        Told::Ahead => started_ms + HOUR_MS,
        Told::Behind => started_ms - HOUR_MS,
    }
}

/// A request is served whole; its reader.
fn served_by(stage: &mut Stage, trace: &str) -> usize {
    let client = stage.come();
    stage.say(client, ask(trace, "safe"));
    let (reader, at) = stage.attempt();
    stage.say(reader, READ);
    let (writer, _) = stage.attempt();
    stage.say(writer, stream());
    assert_eq!(stage.statuses(client), [200]);
    at
}

/// A worker's entry is told with another start, by a clock that was stepped, while discovery has been heard all along.
/// The worker and its entry, as told.
fn restarts_by_a_stepped_clock(stage: &mut Stage, by: Told) -> (usize, serde_json::Value) {
    stage.discover(&list(5));
    let home = served_by(stage, "home");
    for version in 6..16 {
        stage.pass(2_000 * MS);
        stage.discover(&list(version));
    }
    let restarted = entry(home, "SERVING", start_told(stage, by));
    stage.discover(&json!({"version": 20, "full": false, "servers": [restarted]}));
    (home, restarted)
}

#[test]
fn a_start_told_by_a_stepped_clock_ends_what_was_out_there() {
    for by in [Told::InStep, Told::Ahead, Told::Behind] {
        let mut stage = Stage::without_places();
        stage.discover(&list(5));
        let client = stage.come();
        stage.say(client, ask("id", "safe"));
        let (reader, _) = stage.attempt();
        stage.say(reader, READ);
        let (writer, at) = stage.attempt();
        stage.say(writer, format!("{HEAD}{}", chunk(EVENTS[0])));
        // Longer than a list may be late: what was out then was out before the start.
        for version in 6..11 {
            stage.pass(2_000 * MS);
            stage.discover(&list(version));
            stage.say(writer, chunk(EVENTS[1]));
        }
        let restarted = entry(at, "SERVING", start_told(&stage, by));
        stage.discover(&json!({"version": 20, "full": false, "servers": [restarted]}));
        assert!(stage.ended.contains_key(&writer), "{by:?}; the process that had it is gone");
        assert!(stage.ended.contains_key(&client));
    }
}

/// Readers of many requests, just after a start and once the worker is warm; and the worker.
fn readers_after_a_start(by: Told) -> (usize, Vec<usize>, Vec<usize>) {
    let mut stage = Stage::without_places();
    let (home, _) = restarts_by_a_stepped_clock(&mut stage, by);
    let cold = (0..40).map(|n| served_by(&mut stage, &format!("cold{n}"))).collect();
    stage.pass(11_000 * MS);
    let warm = (0..40).map(|n| served_by(&mut stage, &format!("warm{n}"))).collect();
    (home, cold, warm)
}

#[test]
fn a_start_told_by_a_stepped_clock_is_cold_for_as_long_as_any() {
    let (home, cold, warm) = readers_after_a_start(Told::InStep);
    assert!(cold.iter().filter(|reader| **reader == home).count() < 20, "it is cold: {cold:?}");
    for by in [Told::Ahead, Told::Behind] {
        assert_eq!(readers_after_a_start(by), (home, cold.clone(), warm.clone()), "{by:?}");
    }
}

#[test]
fn a_start_told_by_a_stepped_clock_is_one_start_however_often_it_is_listed() {
    for by in [Told::InStep, Told::Ahead, Told::Behind] {
        let mut stage = Stage::without_places();
        let (home, restarted) = restarts_by_a_stepped_clock(&mut stage, by);
        stage.pass(11_000 * MS);
        let client = stage.come();
        stage.say(client, ask("out", "once"));
        let (reader, at) = stage.attempt();
        assert_eq!(at, home);
        let mut whole = list(30);
        whole["servers"][home] = restarted;
        stage.discover(&whole);
        assert!(!stage.ended.contains_key(&reader), "{by:?}; it was listed again, and has not started again");
    }
}

#[test]
fn what_is_under_way_to_a_worker_that_drains_or_is_gone_never_leaves() {
    let gone = |whole: bool, worker: usize| {
        let mut page = list(5);
        let servers = page["servers"].as_array_mut().expect("a list");
        if whole {
            servers.remove(worker);
        } else {
            *servers = vec![json!({"id": WORKERS[worker].0, "state": "DELETED"})];
            page["full"] = false.into();
        }
        page
    };
    let drains =
        |worker: usize| json!({"version": 5, "full": false, "servers": [entry(worker, "DRAINING", 0)]});
    for told in [&drains as &dyn Fn(usize) -> serde_json::Value, &|w| gone(false, w), &|w| gone(true, w)] {
        let mut stage = Stage::new();
        let client = stage.come();
        stage.eager = false;
        stage.say(client, ask("id", "once"));
        let (reader, at) = stage.attempt();
        stage.discover(&told(at));
        assert!(stage.ended.contains_key(&reader), "its first byte might leave after the grace");
        let (second, other) = stage.attempt();
        assert_ne!(at, other);
        // The same of a place, once the read is at its reader.
        stage.written(second);
        let (place, writer) = stage.call("POST /internal/reservations/id ");
        let mut page = told(writer);
        page["version"] = 6.into();
        let (watch, _) = stage.watch();
        let line = format!("{page}\n");
        stage.say(watch, format!("{:x}\r\n{line}\r\n", line.len()));
        assert!(stage.ended.contains_key(&place));
        // What has left runs to its end.
        assert!(!stage.ended.contains_key(&second));
    }
}

#[test]
fn what_rests_where_a_worker_no_longer_is_is_not_used_again() {
    let mut stage = Stage::without_places();
    let client = stage.come();
    stage.say(client, ask("a", "safe"));
    let (reader, at) = stage.attempt();
    stage.say(reader, READ);
    let (writer, _) = stage.attempt();
    stage.say(writer, stream());
    let mut moved = entry(at, "SERVING", 0);
    moved["addr"] = "127.0.1.77:80".into();
    stage.discover(&json!({"version": 5, "full": false, "servers": [moved]}));
    assert!(stage.ended.contains_key(&reader));
}

#[test]
fn a_new_configuration_moves_the_watch_and_disturbs_nothing() {
    let mut stage = Stage::new();
    stage.discover(&list(5));
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    let (reader, _) = stage.attempt();
    let (old, _) = stage.watch();
    let mut fresh = file();
    fresh["discovery"] = json!("127.0.8.8:85");
    assert!(stage.reread(&fresh));
    let (new, asked) = stage.watch();
    assert!(stage.ended.contains_key(&old) && asked.contains("after=5 "));
    assert_eq!(stage.dialled[&new], [127, 0, 8, 8, 0, 85]);
    for bad in [json!({}), json!([]), json!({"name": "n1"})] {
        assert!(!stage.reread(&bad));
        assert_eq!(stage.watch().0, new, "a bad file changes nothing");
    }
    stage.say(reader, READ);
    let (writer, _) = stage.attempt();
    stage.say(writer, stream());
    assert!(unchunked(&stage.text(client)).1);
}

#[test]
fn the_end_keeps_what_it_owes() {
    let mut stage = Stage::new();
    stage.discover(&list(5));
    let (open, idle) = (stage.come(), stage.come());
    stage.say(idle, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    stage.say(open, ask("open", "safe"));
    read(&mut stage);
    let (writer, _) = stage.attempt();
    stage.say(writer, format!("{HEAD}{}", chunk(EVENTS[0])));
    stage.stop();
    stage.stop();
    assert!(stage.ended.contains_key(&idle) && !stage.ended.contains_key(&open));
    assert_eq!(up(&mut stage), 503);
    // The others have not heard of the end yet: one that comes now is served.
    stage.pass(300 * MS);
    let late = stage.come();
    stage.say(late, ask("late", "safe"));
    read(&mut stage);
    let (late_writer, _) = stage.attempt();
    stage.say(late_writer, stream());
    assert!(unchunked(&stage.text(late)).1 && stage.text(late).contains("connection: close"));
    assert!(stage.ended.contains_key(&late), "its connection ends between requests");
    stage.pass(500 * MS);
    let too_late = stage.come();
    stage.say(too_late, ask("too-late", "safe"));
    assert_eq!(stage.statuses(too_late), [503]);
    assert!(!done(&stage), "a stream is open");
    stage.say(writer, format!("{}0\r\n\r\n", chunk(EVENTS[1])));
    assert!(unchunked(&stage.text(open)).1);
    assert!(!done(&stage), "nobody has said what became of the places");
    for (place, _) in stage.calls("POST /internal/reservations/") {
        assert!(!done(&stage));
        stage.say(place, plain(409, "", ""));
    }
    assert!(done(&stage));
}

/// A request may be on its way on a connection that was made a moment before the end.
#[test]
fn who_has_come_just_before_the_end_is_answered_and_who_says_nothing_does_not_hold_it_up() {
    let mut stage = Stage::without_places();
    stage.discover(&list(5));
    let (old, asks, silent, half) = (stage.come(), stage.come(), stage.come(), stage.come());
    stage.say(old, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    stage.stop();
    assert!(stage.ended.contains_key(&old), "it rested between requests");
    assert!(!stage.ended.contains_key(&asks));
    stage.say(half, &ask("half", "safe")[..40]);
    stage.pass(150 * MS);
    stage.say(asks, ask("asks", "safe"));
    read(&mut stage);
    let (writer, _) = stage.attempt();
    stage.say(writer, stream());
    assert!(unchunked(&stage.text(asks)).1 && stage.text(asks).contains("connection: close"));
    stage.pass(450 * MS);
    assert!(stage.ended.contains_key(&silent) && stage.statuses(silent).is_empty());
    assert!(!stage.ended.contains_key(&half), "it has as long as ever to be whole");
    stage.pass(1_500 * MS);
    assert_eq!(stage.statuses(half), [408]);
    assert!(done(&stage));
}

fn read(stage: &mut Stage) {
    let (reader, _) = stage.attempt();
    stage.say(reader, READ);
}

fn done(stage: &Stage) -> bool {
    tideroute_wire::event_loop::EventHandler::is_finished(&stage.program)
}

#[test]
fn a_configuration_that_lacks_something_says_what() {
    for (path, value, told) in [
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
        assert_eq!(problem.to_string(), told);
    }
    assert!(tideroute_gateway::Config::parse(b"{")
        .expect_err("cut")
        .to_string()
        .starts_with("it is no JSON"));
}
