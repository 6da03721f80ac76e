//! The discovery watch and the endpoint list, on bytes in virtual time.

mod common;

use common::*;
use serde_json::json;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};

/// The worker that a request's prefill goes to.
fn prefill_worker_of(harness: &mut Harness, trace: &str) -> usize {
    let client = harness.connect_client();
    harness.deliver(client, chat_request(trace, "safe"));
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
fn the_router_is_ready_once_discovery_has_answered_or_timed_out() {
    let mut harness = Harness::new();
    assert_eq!(ready_status(&mut harness), 503);
    harness.send_update(&endpoint_list(5));
    assert_eq!(ready_status(&mut harness), 200);
    let mut harness = Harness::new();
    harness.advance(1_100 * MS);
    assert_eq!(ready_status(&mut harness), 200, "a dead agent does not stop it");
    let mut unknown = router_config();
    unknown["known"] = json!({"version": 0, "full": true, "servers": []});
    let mut harness = Harness::with_config(&unknown);
    harness.advance(1_100 * MS);
    assert_eq!(ready_status(&mut harness), 503, "it knows nobody to send to");
}

#[test]
fn updates_split_anywhere_are_applied_in_order() {
    let mut harness = Harness::new();
    let (connection, request) = harness.watch();
    assert!(request.starts_with("GET /discovery/hosts?watch=1&after=4 HTTP/1.1\r\n"), "{request}");
    let drain = |version, states: [&str; 3]| {
        let servers: Vec<_> = [0, 1, 4].iter().zip(states).map(|(w, s)| endpoint_entry(*w, s, 0)).collect();
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
fn a_watch_that_ends_falls_silent_or_is_malformed_is_reopened() {
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

/// A router counts as notified six seconds after discovery fell silent, or could be reached again, whatever failed.
#[test]
fn updates_missed_by_a_silent_watch_arrive_within_six_seconds_despite_one_failed_reopening() {
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
        // Failures before, as in a time without discovery, have raised the backoff to its maximum.
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
        harness.send_update(&endpoint_list(9));
        let took = harness.now - silent;
        assert!(took < 5_200 * MS, "{what}: {took} us");
    }
}

#[test]
fn updates_may_be_indented_over_many_lines() {
    let mut harness = Harness::new();
    let mut newer = endpoint_list(9);
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

/// A list of the largest fleet in small pieces. Scanned anew with each piece, it took 4.5 s of processor time.
#[test]
fn a_long_list_in_small_pieces_is_scanned_once() {
    let mut harness = Harness::new();
    let mut newer = endpoint_list(9);
    let servers = newer["servers"].as_array_mut().expect("a list");
    for n in 0..3_200 {
        let mut server = endpoint_entry(1, "DRAINING", 0);
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
fn an_older_list_is_ignored_until_it_persists() {
    let mut harness = Harness::new();
    let mut newer = endpoint_list(9);
    newer["servers"][0]["state"] = json!("DRAINING");
    harness.send_update(&newer);
    harness.send_update(&endpoint_list(7));
    for n in 0..20 {
        assert_ne!(prefill_worker_of(&mut harness, &format!("id{n}")), 0, "it drains still");
    }
    harness.advance(11_000 * MS);
    harness.send_update(&endpoint_list(7));
    let prefill_workers: Vec<_> =
        (0..40).map(|n| prefill_worker_of(&mut harness, &format!("x{n}"))).collect();
    assert!(
        prefill_workers.contains(&0) || prefill_workers.iter().all(|r| *r == prefill_workers[0]),
        "{prefill_workers:?}"
    );
}

#[test]
fn workers_are_ranked_by_name_and_not_by_address() {
    let mut moved = router_config();
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
fn calls_not_yet_sent_to_a_draining_or_removed_worker_never_are() {
    let removed = |is_full: bool, worker: usize| {
        let mut page = endpoint_list(5);
        let servers = page["servers"].as_array_mut().expect("a list");
        if is_full {
            servers.remove(worker);
        } else {
            *servers = vec![json!({"id": WORKERS[worker].id, "state": "DELETED"})];
            page["full"] = false.into();
        }
        page
    };
    let draining = |worker: usize| json!({"version": 5, "full": false, "servers": [endpoint_entry(worker, "DRAINING", 0)]});
    for update in
        [&draining as &dyn Fn(usize) -> serde_json::Value, &|w| removed(false, w), &|w| removed(true, w)]
    {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.is_immediate = false;
        harness.deliver(client, chat_request("id", "once"));
        let (prefill, at) = harness.attempt();
        harness.send_update(&update(at));
        assert!(harness.ended.contains_key(&prefill), "its first byte might leave after the grace");
        let (second, other) = harness.attempt();
        assert_ne!(at, other);
        // The same of a reservation call, once the prefill is at its worker.
        harness.complete_write(second);
        let (reservation, decode) = harness.call("POST /internal/reservations/id ");
        let mut line = update(decode);
        line["version"] = 6.into();
        let (watch, _) = harness.watch();
        let line = format!("{line}\n");
        harness.deliver(watch, format!("{:x}\r\n{line}\r\n", line.len()));
        assert!(harness.ended.contains_key(&reservation));
        // What has been sent runs to its end.
        assert!(!harness.ended.contains_key(&second));
    }
}

#[test]
fn idle_connections_to_a_workers_former_address_are_closed() {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("a", "safe"));
    let (prefill, at) = harness.attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.attempt();
    harness.deliver(decode, streamed_response());
    let mut moved = endpoint_entry(at, "SERVING", 0);
    moved["addr"] = "127.0.1.77:80".into();
    harness.send_update(&json!({"version": 5, "full": false, "servers": [moved]}));
    assert!(harness.ended.contains_key(&prefill));
}
