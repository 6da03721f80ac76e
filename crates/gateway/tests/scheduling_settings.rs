//! Behaviour under unusual settings, one cause in each test. Each test reproduces a failure that generated deployments
//! (`customers.rs`) found. The gateway runs in virtual time.

mod common;

use common::*;
use serde_json::{json, Value};
use tideroute_wire::event_loop::{ConnectionId, EventHandler};

const RELEASE: &str = "DELETE /internal/reservations/id ";
const RESERVATION: &str = "POST /internal/reservations/id ";
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// Returns a configuration in which all workers prefill and decode.
fn all_workers_do_both() -> Value {
    let mut file = router_config();
    file["settings"]["family_info"]["kind_role"] = json!(["both", "both"]);
    file
}

/// Returns a configuration in which decode workers prefill, too, each worker has a cell of its own, and one class is
/// deduplicated within its cell.
fn decode_workers_prefill() -> Value {
    let mut file = router_config();
    let settings = &mut file["settings"];
    settings["family_info"]["kind_role"] = json!(["write", "write"]);
    settings["family_info"]["writers_read"] = json!(true);
    settings["family_info"]["ahead"] = json!(false);
    settings["classes"][2]["dedup_scope"] = json!("cell");
    for (cell, server) in file["known"]["servers"].as_array_mut().expect("a list").iter_mut().enumerate() {
        server["cell"] = json!(cell);
    }
    file
}

/// Returns the remaining time in milliseconds that an attempt carries.
fn remaining_time_ms(harness: &Harness, attempt: ConnectionId) -> u64 {
    let text = harness.sent_text(attempt);
    let value = text.split("x-expires-in-ms: ").nth(1).and_then(|rest| rest.split("\r\n").next());
    value.and_then(|value| value.parse().ok()).expect("a remaining time")
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell_where_decode_workers_prefill() {
    let mut harness = Harness::with_config(&decode_workers_prefill());
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "keyed"));
    let (first, _) = harness.new_attempt();
    harness.reset(first);
    harness.advance(1_500 * MS);
    assert!(
        harness.new_attempts().is_empty(),
        "a worker of another cell would not recognize the repeated request"
    );
    assert_eq!(harness.statuses(client), [502], "the response is a failure, not a rejection");
    // An idempotent request is retried at another worker.
    let other = harness.connect_client();
    harness.deliver(other, chat_request("other", "safe"));
    let (attempt, _) = harness.new_attempt();
    harness.reset(attempt);
    assert_eq!(harness.new_attempts().len(), 1);
}

#[test]
fn state_of_a_failed_attempt_at_a_mixed_worker_is_released() {
    let mut harness = Harness::with_config(&all_workers_do_both());
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "once"));
    let (attempt, worker) = harness.new_attempt();
    harness.advance(400 * MS);
    harness.reset(attempt);
    let (_, released_at) = harness.new_call(RELEASE);
    assert_eq!(released_at, worker, "the state may be at the worker of the failed attempt");
}

#[test]
fn state_of_a_silent_decode_attempt_is_released_repeatedly() {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "once"));
    let (prefill, _) = harness.new_attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    harness.new_attempt();
    // A release frees nothing while a decode attempt uses the state. Guards against state that stays for ever because
    // the decode worker becomes unreachable after the first release.
    for round in 0..4 {
        harness.advance(810 * MS);
        let release = harness.new_calls(RELEASE).first().copied();
        let (release, _) = release.unwrap_or_else(|| panic!("no release in round {round}"));
        harness.deliver(release, NO_CONTENT);
    }
}

#[test]
fn a_reservation_granted_long_after_the_request_is_released() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    harness.new_attempt();
    let (reservation, _) = harness.new_call(RESERVATION);
    harness.reset(client);
    let (release, _) = harness.new_call(RELEASE);
    harness.deliver(release, NO_CONTENT);
    // The worker hangs for this time and grants the reservation after that.
    harness.advance(3_000 * MS);
    harness
        .new_calls(RELEASE)
        .into_iter()
        .for_each(|(connection, _)| harness.deliver(connection, NO_CONTENT));
    assert!(
        !harness.ended.contains_key(&reservation),
        "the reservation call stays open until it is answered"
    );
    harness.deliver(reservation, response(200, "", ""));
    harness.new_call(RELEASE);
}

#[test]
fn unanswered_reservation_calls_leave_connections_for_other_calls() {
    let mut harness = Harness::new();
    for n in 0..100 {
        let client = harness.connect_client();
        harness.deliver(client, chat_request(&format!("id{n}"), "safe"));
        for (attempt, _) in harness.new_attempts() {
            harness.deliver(attempt, PREFILL_COMPLETE);
        }
        for (attempt, _) in harness.new_attempts() {
            harness.deliver(attempt, streamed_response());
        }
        harness.advance(1_010 * MS);
        for (connection, _) in harness.new_calls("DELETE") {
            harness.deliver(connection, NO_CONTENT);
        }
    }
    let is_open_reservation_call = |connection: &ConnectionId| {
        !harness.ended.contains_key(connection)
            && harness.sent_text(*connection).contains("POST /internal/reservations/")
    };
    let open_calls =
        harness.outbound.keys().filter(|connection| is_open_reservation_call(connection)).count();
    assert!(open_calls <= 30, "{open_calls} connections are taken by reservation calls");
}

#[test]
fn an_attempt_not_written_in_time_is_cancelled() {
    let mut file = router_config();
    file["settings"]["family_info"]["ahead"] = json!(false);
    file["settings"]["caps"]["dial_timeout_ms"] = json!(100.0);
    let mut harness = Harness::with_config(&file);
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "keyed"));
    let (prefill, _) = harness.new_attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (first, _) = harness.new_attempt();
    harness.completes_io_immediately = false;
    harness.deliver(first, response(500, "", ""));
    // A retry that stays in a full socket would arrive after its deduplication window.
    let (second, _) = harness.new_attempt();
    harness.complete_connect(second);
    assert!(harness.sent_text(second).contains("x-trace-id: id"));
    harness.advance(99 * MS);
    assert!(!harness.ended.contains_key(&second));
    harness.advance(2 * MS);
    assert!(harness.ended.contains_key(&second), "the attempt was not written completely");
    assert_eq!(
        harness.new_attempts().len(),
        1,
        "another attempt may follow, because the cancelled one never ran"
    );
}

#[test]
fn no_attempt_begins_for_a_disconnected_client_where_cancelling_is_off() {
    let mut file = router_config();
    file["settings"]["caps"]["cancel"] = json!(false);
    let mut harness = Harness::with_config(&file);
    harness.completes_io_immediately = false;
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (unsent, _) = harness.new_attempt();
    harness.reset(client);
    assert!(
        harness.ended.contains_key(&unsent),
        "an attempt that was not sent is dropped, which needs no cancellation"
    );
    // An attempt that was sent runs on until its client's deadline.
    let client = harness.connect_client();
    harness.deliver(client, chat_request_with("id", "safe", 2_000, "{}"));
    let (prefill, _) = harness.new_attempt();
    harness.complete_write(prefill);
    harness.reset(client);
    harness.advance(1_000 * MS);
    assert!(!harness.ended.contains_key(&prefill));
    harness.advance(1_000 * MS);
    assert!(harness.ended.contains_key(&prefill));
    harness.shut_down();
    harness.advance(25_000 * MS);
    assert!(harness.gateway.is_finished(), "no state of the request is left");
}

#[test]
fn a_stream_that_begins_for_a_disconnected_client_is_ended() {
    let mut file = router_config();
    file["settings"]["caps"]["cancel"] = json!(false);
    let mut harness = Harness::with_config(&file);
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.new_attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.new_attempt();
    harness.reset(client);
    assert!(!harness.ended.contains_key(&decode));
    harness.deliver(decode, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    assert!(harness.ended.contains_key(&decode));
}

#[test]
fn an_attempt_carries_the_remaining_time_at_its_sending() {
    let mut file = router_config();
    file["settings"]["caps"]["dial_timeout_ms"] = json!(1_000.0);
    let mut harness = Harness::with_config(&file);
    harness.completes_io_immediately = false;
    let client = harness.connect_client();
    harness.deliver(client, chat_request_with("id", "safe", 2_000, "{}"));
    let (prefill, _) = harness.new_attempt();
    harness.advance(800 * MS);
    harness.complete_connect(prefill);
    let remaining_ms = remaining_time_ms(&harness, prefill);
    assert!((1_100..=1_200).contains(&remaining_ms), "{remaining_ms}");
}

#[test]
fn no_reservation_is_requested_at_a_worker_that_began_to_drain() {
    let mut harness = Harness::new();
    harness.completes_io_immediately = false;
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, prefill_worker) = harness.new_attempt();
    let cell = WORKERS[prefill_worker].cell;
    let decode_workers = (0..WORKERS.len())
        .filter(|worker| WORKERS[*worker].kind == "writing" && WORKERS[*worker].cell == cell);
    let draining: Vec<_> = decode_workers.map(|worker| endpoint_entry(worker, "DRAINING", 0)).collect();
    harness.send_update(&json!({"version": 5, "full": false, "servers": draining}));
    harness.advance(240 * MS);
    harness.complete_write(prefill);
    assert!(harness.new_calls(RESERVATION).is_empty());
}

#[test]
fn infeasible_settings_are_reported_and_used() {
    let mut file = router_config();
    assert!(tideroute_gateway::Config::parse(file.to_string().as_bytes())
        .expect("a valid configuration")
        .infeasible_settings()
        .is_empty());
    file["settings"]["family_info"]["pin_limit_ms"] = json!(200.0);
    file["settings"]["classes"][2]["key_ttl_ms"] = json!(250.0);
    let problems = tideroute_gateway::Config::parse(file.to_string().as_bytes())
        .expect("a valid configuration")
        .infeasible_settings();
    assert!(problems.len() == 2 && problems[0].contains("pin_limit_ms, 200 ms"), "{problems:?}");
    assert!(problems[1].contains("key_ttl_ms of class keyed"), "{problems:?}");
    // A retry might arrive after the deduplication window of the first attempt, so that none is sent.
    let mut harness = Harness::with_config(&file);
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "keyed"));
    let (prefill, _) = harness.new_attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.new_attempt();
    harness.reset(decode);
    harness.advance(300 * MS);
    assert!(harness.new_attempts().is_empty());
}
