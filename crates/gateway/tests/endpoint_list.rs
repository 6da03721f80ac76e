//! The discovery watch and the endpoint list. The gateway runs in virtual time.

mod common;

use common::*;
use serde_json::json;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};

/// Sends a request, returns the worker that its prefill goes to, and cancels the request.
fn prefill_worker_of(harness: &mut Harness, trace_id: &str) -> usize {
    let client = harness.connect_client();
    harness.deliver(client, chat_request(trace_id, "safe"));
    let (connection, worker) = harness.new_attempt();
    harness.reset(client);
    assert!(harness.ended.contains_key(&connection));
    harness.advance(20 * MS);
    for prefix in ["POST /internal", "DELETE"] {
        let calls = harness.new_calls(prefix);
        calls
            .into_iter()
            .for_each(|(connection, _)| harness.deliver(connection, "HTTP/1.1 204 No Content\r\n\r\n"));
    }
    worker
}

#[test]
fn the_router_is_ready_once_discovery_has_answered_or_timed_out() {
    let mut harness = Harness::new();
    assert_eq!(ready_status(&mut harness), 503);
    harness.send_update(&endpoint_list(5));
    assert_eq!(ready_status(&mut harness), 200);
    let mut harness = Harness::new();
    harness.advance(1_100 * MS);
    assert_eq!(ready_status(&mut harness), 200, "the router is ready although discovery does not answer");
    let mut config = router_config();
    config["known"] = json!({"version": 0, "full": true, "servers": []});
    let mut harness = Harness::with_config(&config);
    harness.advance(1_100 * MS);
    assert_eq!(ready_status(&mut harness), 503, "the router knows no worker");
}

#[test]
fn updates_split_anywhere_are_applied_in_order() {
    let mut harness = Harness::new();
    let (connection, request) = harness.watch();
    assert!(request.starts_with("GET /discovery/hosts?watch=1&after=4 HTTP/1.1\r\n"), "{request}");
    let update = |version, states: [&str; 3]| {
        let servers: Vec<_> =
            [0, 1, 4].iter().zip(states).map(|(worker, state)| endpoint_entry(*worker, state, 0)).collect();
        json!({"version": version, "full": false, "servers": servers})
    };
    let text = format!(
        "{}\n\n{}\n",
        update(5, ["DRAINING", "SERVING", "DELETED"]),
        update(6, ["DRAINING", "SERVING", "DELETED"])
    );
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    harness.deliver(connection, head);
    for piece in text.as_bytes().chunks(7) {
        let piece = std::str::from_utf8(piece).expect("ASCII");
        chunk(piece).as_bytes().chunks(3).for_each(|bytes| harness.deliver(connection, bytes));
    }
    for n in 0..20 {
        assert_eq!(
            prefill_worker_of(&mut harness, &format!("id{n}")),
            1,
            "the only prefill worker that is left"
        );
    }
}

#[test]
fn a_watch_that_ends_falls_silent_or_is_malformed_is_reopened() {
    let endings: [fn(&mut Harness, ConnectionId); 6] = [
        |harness, connection| harness.reset(connection),
        |harness, connection| harness.disconnect(connection, DisconnectReason::ConnectFailed),
        |harness, _| harness.advance(1_050 * MS),
        |harness, connection| harness.deliver(connection, "HTTP/1.1 500 Oh\r\n\r\n"),
        |harness, connection| {
            harness.deliver(
                connection,
                format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}", chunk("{\"version\":]\n")),
            )
        },
        |harness, connection| {
            // An incomplete object, followed by empty lines.
            harness.deliver(connection, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
            for _ in 0..6 {
                harness.deliver(connection, chunk("{\"version\":\n"));
                harness.advance(500 * MS);
            }
        },
    ];
    for (case, end_watch) in endings.into_iter().enumerate() {
        let mut harness = Harness::new();
        let (connection, _) = harness.watch();
        end_watch(&mut harness, connection);
        harness.advance(250 * MS);
        let (reopened, request) = harness.watch();
        assert!(reopened != connection && request.contains("after=4 "), "case {case}");
        let timed_out = matches!(case, 2 | 5);
        assert_eq!(
            ready_status(&mut harness),
            if timed_out { 200 } else { 503 },
            "the former endpoint list is kept, case {case}"
        );
    }
}

/// A router counts as notified of an update six seconds after its watch fell silent or discovery could be reached
/// again, whatever failed in between. Guards against a backoff or a timeout that takes longer than that.
#[test]
fn updates_missed_by_a_silent_watch_arrive_within_six_seconds_despite_one_failed_reopening() {
    type FailReopening = fn(&mut Harness, ConnectionId);
    let failures: [(&str, FailReopening); 5] = [
        ("the connect times out", |harness, connection| {
            harness.advance(500 * MS);
            harness.disconnect(connection, DisconnectReason::ConnectFailed);
        }),
        ("the connect is refused", |harness, connection| {
            harness.disconnect(connection, DisconnectReason::ConnectFailed)
        }),
        ("the watch is not answered", |_, _| {}),
        ("the response head is incomplete", |harness, connection| {
            harness.deliver(connection, "HTTP/1.1 200 OK\r\n")
        }),
        ("the connection is reset", |harness, connection| harness.reset(connection)),
    ];
    for (failure, fail_reopening) in failures {
        // Earlier failures, as in an outage of discovery, have raised the backoff to its maximum.
        let mut harness = Harness::new();
        for _ in 0..8 {
            let (connection, _) = harness.watch();
            harness.reset(connection);
            harness.advance(500 * MS);
        }
        let (connection, _) = harness.watch();
        harness.deliver(connection, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        let silent_since = harness.now;
        let wait_for_other_watch = |harness: &mut Harness, former: ConnectionId| loop {
            match harness.watch_connection().filter(|current| *current != former) {
                Some(current) => return current,
                None => harness.advance(10 * MS),
            }
        };
        let next = wait_for_other_watch(&mut harness, connection);
        fail_reopening(&mut harness, next);
        wait_for_other_watch(&mut harness, next);
        harness.send_update(&endpoint_list(9));
        let elapsed = harness.now - silent_since;
        assert!(elapsed < 5_200 * MS, "{failure}: the update arrived after {elapsed} us");
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
    assert_eq!(harness.watch().0, connection, "the watch was not reopened");
    for n in 0..20 {
        assert_eq!(
            prefill_worker_of(&mut harness, &format!("id{n}")),
            1,
            "the only prefill worker that is left"
        );
    }
}

/// Delivers an endpoint list of the maximum length in small pieces. Guards against a scan that starts anew with each
/// piece, which took 4.5 s of processor time.
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
    let started_at = std::time::Instant::now();
    for piece in format!("{newer:#}\n").as_bytes().chunks(64) {
        harness.deliver(connection, chunk(std::str::from_utf8(piece).expect("ASCII")));
    }
    assert!(started_at.elapsed().as_secs() < 2, "{:?}", started_at.elapsed());
    assert_eq!(harness.watch().0, connection, "the watch was not reopened");
    for n in 0..20 {
        assert_ne!(prefill_worker_of(&mut harness, &format!("id{n}")), 4, "the worker drains");
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
        assert_ne!(prefill_worker_of(&mut harness, &format!("id{n}")), 0, "the worker still drains");
    }
    harness.advance(11_000 * MS);
    harness.send_update(&endpoint_list(7));
    let prefill_workers: Vec<_> =
        (0..40).map(|n| prefill_worker_of(&mut harness, &format!("x{n}"))).collect();
    assert!(
        prefill_workers.contains(&0) || prefill_workers.iter().all(|worker| *worker == prefill_workers[0]),
        "{prefill_workers:?}"
    );
}

#[test]
fn workers_are_ranked_by_name_and_not_by_address() {
    let mut moved = router_config();
    for (n, server) in moved["known"]["servers"].as_array_mut().expect("a list").iter_mut().enumerate() {
        server["addr"] = json!(format!("127.0.1.{}:80", 6 - n));
    }
    let (mut original, mut relocated) = (Harness::new(), Harness::with_config(&moved));
    for n in 0..30 {
        let (original_worker, relocated_worker) = (
            prefill_worker_of(&mut original, &format!("id{n}")),
            prefill_worker_of(&mut relocated, &format!("id{n}")),
        );
        assert_eq!(
            original_worker,
            5 - relocated_worker,
            "the same prefill worker is chosen at its other address"
        );
    }
}

#[test]
fn unsent_calls_to_a_draining_or_removed_worker_are_cancelled() {
    let removed = |is_full: bool, worker: usize| {
        let mut update = endpoint_list(5);
        let servers = update["servers"].as_array_mut().expect("a list");
        if is_full {
            servers.remove(worker);
        } else {
            *servers = vec![json!({"id": WORKERS[worker].id, "state": "DELETED"})];
            update["full"] = false.into();
        }
        update
    };
    let draining = |worker: usize| json!({"version": 5, "full": false, "servers": [endpoint_entry(worker, "DRAINING", 0)]});
    for update in
        [&draining as &dyn Fn(usize) -> serde_json::Value, &|worker| removed(false, worker), &|worker| {
            removed(true, worker)
        }]
    {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.completes_io_immediately = false;
        harness.deliver(client, chat_request("id", "once"));
        let (prefill, first_worker) = harness.new_attempt();
        harness.send_update(&update(first_worker));
        assert!(harness.ended.contains_key(&prefill), "its first byte might be sent after the grace period");
        let (second, second_worker) = harness.new_attempt();
        assert_ne!(first_worker, second_worker);
        // The same applies to a reservation call, which follows once the prefill request is written.
        harness.complete_write(second);
        let (reservation, decode_worker) = harness.new_call("POST /internal/reservations/id ");
        let mut line = update(decode_worker);
        line["version"] = 6.into();
        let (watch, _) = harness.watch();
        let line = format!("{line}\n");
        harness.deliver(watch, format!("{:x}\r\n{line}\r\n", line.len()));
        assert!(harness.ended.contains_key(&reservation));
        // An attempt that was sent runs to its end.
        assert!(!harness.ended.contains_key(&second));
    }
}

#[test]
fn idle_connections_to_a_workers_former_address_are_closed() {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("a", "safe"));
    let (prefill, worker) = harness.new_attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, streamed_response());
    let mut moved = endpoint_entry(worker, "SERVING", 0);
    moved["addr"] = "127.0.1.77:80".into();
    harness.send_update(&json!({"version": 5, "full": false, "servers": [moved]}));
    assert!(harness.ended.contains_key(&prefill));
}
