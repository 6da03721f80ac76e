//! Behaviour under unusual settings, one cause at a time, on bytes in virtual time. Each case was found by generated
//! deployments (`customers.rs`) and fails on the code that was wrong there.

mod common;

use common::*;
use serde_json::{json, Value};
use tideroute_wire::event_loop::{ConnectionId, EventHandler};

const RELEASE: &str = "DELETE /internal/reservations/id ";
const RESERVATION: &str = "POST /internal/reservations/id ";
const FREED: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// A configuration in which all workers prefill and decode.
fn all_workers_do_both() -> Value {
    let mut file = router_config();
    file["settings"]["family_info"]["kind_role"] = json!(["both", "both"]);
    file
}

/// A configuration in which decode workers prefill too, in a cell each, and one class is deduplicated within its cell.
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

/// The remaining milliseconds that an attempt carries.
fn remaining_time_ms(harness: &Harness, attempt: ConnectionId) -> u64 {
    let text = harness.sent_text(attempt);
    let value = text.split("x-expires-in-ms: ").nth(1).and_then(|t| t.split("\r\n").next());
    value.and_then(|t| t.parse().ok()).expect("a deadline")
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell_where_decode_workers_prefill() {
    let mut harness = Harness::with_config(&decode_workers_prefill());
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "keyed"));
    let (first, _) = harness.attempt();
    harness.reset(first);
    harness.advance(1_500 * MS);
    assert!(harness.attempts().is_empty(), "no other worker knows a repeat");
    assert_eq!(harness.statuses(client), [502], "answered, and not with a refusal");
    // What may run anywhere is retried elsewhere.
    let other = harness.connect_client();
    harness.deliver(other, chat_request("other", "safe"));
    let (attempt, _) = harness.attempt();
    harness.reset(attempt);
    assert_eq!(harness.attempts().len(), 1);
}

#[test]
fn state_of_an_attempt_that_prefilled_by_itself_is_released() {
    let mut harness = Harness::with_config(&all_workers_do_both());
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "once"));
    let (attempt, worker) = harness.attempt();
    harness.advance(400 * MS);
    harness.reset(attempt);
    let (_, released_at) = harness.call(RELEASE);
    assert_eq!(released_at, worker, "where it may be held");
}

#[test]
fn state_that_a_silent_attempt_waits_with_is_released_repeatedly() {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "once"));
    let (prefill, _) = harness.attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    harness.attempt();
    // Guards against a decode worker that vanishes after the first release, which freed nothing that was waited with.
    for round in 0..4 {
        harness.advance(810 * MS);
        let release = harness.calls(RELEASE).first().copied();
        let (release, _) = release.unwrap_or_else(|| panic!("no release in round {round}"));
        harness.deliver(release, FREED);
    }
}

#[test]
fn a_reservation_granted_long_after_the_request_is_released() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    harness.attempt();
    let (reservation, _) = harness.call(RESERVATION);
    harness.reset(client);
    let (release, _) = harness.call(RELEASE);
    harness.deliver(release, FREED);
    // As by a worker that hangs for so long.
    harness.advance(3_000 * MS);
    harness.calls(RELEASE).into_iter().for_each(|(connection, _)| harness.deliver(connection, FREED));
    assert!(!harness.ended.contains_key(&reservation), "its answer is waited for");
    harness.deliver(reservation, response(200, "", ""));
    harness.call(RELEASE);
}

#[test]
fn unanswered_reservation_calls_leave_connections_for_other_calls() {
    let mut harness = Harness::new();
    for n in 0..100 {
        let client = harness.connect_client();
        harness.deliver(client, chat_request(&format!("id{n}"), "safe"));
        for (attempt, _) in harness.attempts() {
            harness.deliver(attempt, PREFILL_COMPLETE);
        }
        for (attempt, _) in harness.attempts() {
            harness.deliver(attempt, streamed_response());
        }
        harness.advance(1_010 * MS);
        for (connection, _) in harness.calls("DELETE") {
            harness.deliver(connection, FREED);
        }
    }
    let waiting = |connection: &ConnectionId| {
        !harness.ended.contains_key(connection)
            && harness.sent_text(*connection).contains("POST /internal/reservations/")
    };
    let waiting = harness.outbound.keys().filter(|connection| waiting(connection)).count();
    assert!(waiting <= 30, "{waiting} connections");
}

#[test]
fn an_attempt_not_written_in_time_is_given_up() {
    let mut file = router_config();
    file["settings"]["family_info"]["ahead"] = json!(false);
    file["settings"]["caps"]["dial_timeout_ms"] = json!(100.0);
    let mut harness = Harness::with_config(&file);
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "keyed"));
    let (prefill, _) = harness.attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (first, _) = harness.attempt();
    harness.is_immediate = false;
    harness.deliver(first, response(500, "", ""));
    // A retry that waits in a full socket would arrive after its deduplication window.
    let (second, _) = harness.attempt();
    harness.complete_connect(second);
    assert!(harness.sent_text(second).contains("x-trace-id: id"));
    harness.advance(99 * MS);
    assert!(!harness.ended.contains_key(&second));
    harness.advance(2 * MS);
    assert!(harness.ended.contains_key(&second), "it has not left whole");
    assert_eq!(harness.attempts().len(), 1, "and so another may follow");
}

#[test]
fn no_attempt_begins_for_a_disconnected_client_where_cancelling_is_off() {
    let mut file = router_config();
    file["settings"]["caps"]["cancel"] = json!(false);
    let mut harness = Harness::with_config(&file);
    harness.is_immediate = false;
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (unsent, _) = harness.attempt();
    harness.reset(client);
    assert!(harness.ended.contains_key(&unsent), "it has not left, so nothing is called back");
    // What has been sent runs on until its client's deadline.
    let client = harness.connect_client();
    harness.deliver(client, chat_request_with("id", "safe", 2_000, "{}"));
    let (prefill, _) = harness.attempt();
    harness.complete_write(prefill);
    harness.reset(client);
    harness.advance(1_000 * MS);
    assert!(!harness.ended.contains_key(&prefill));
    harness.advance(1_000 * MS);
    assert!(harness.ended.contains_key(&prefill));
    harness.shut_down();
    harness.advance(25_000 * MS);
    assert!(harness.gateway.is_finished(), "nothing is left of it");
}

#[test]
fn a_stream_that_begins_for_a_disconnected_client_is_ended() {
    let mut file = router_config();
    file["settings"]["caps"]["cancel"] = json!(false);
    let mut harness = Harness::with_config(&file);
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.attempt();
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
    harness.is_immediate = false;
    let client = harness.connect_client();
    harness.deliver(client, chat_request_with("id", "safe", 2_000, "{}"));
    let (prefill, _) = harness.attempt();
    harness.advance(800 * MS);
    harness.complete_connect(prefill);
    let remaining_ms = remaining_time_ms(&harness, prefill);
    assert!((1_100..=1_200).contains(&remaining_ms), "{remaining_ms}");
}

#[test]
fn no_reservation_is_requested_at_a_worker_that_began_to_drain() {
    let mut harness = Harness::new();
    harness.is_immediate = false;
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, at) = harness.attempt();
    let cell = WORKERS[at].cell;
    let decode_workers =
        (0..WORKERS.len()).filter(|w| WORKERS[*w].kind == "writing" && WORKERS[*w].cell == cell);
    let draining: Vec<_> = decode_workers.map(|w| endpoint_entry(w, "DRAINING", 0)).collect();
    harness.send_update(&json!({"version": 5, "full": false, "servers": draining}));
    harness.advance(240 * MS);
    harness.complete_write(prefill);
    assert!(harness.calls(RESERVATION).is_empty());
}

#[test]
fn infeasible_settings_are_reported_and_kept() {
    let mut file = router_config();
    assert!(tideroute_gateway::Config::parse(file.to_string().as_bytes())
        .expect("sound")
        .infeasible_settings()
        .is_empty());
    file["settings"]["family_info"]["pin_limit_ms"] = json!(200.0);
    file["settings"]["classes"][2]["key_ttl_ms"] = json!(250.0);
    let problems =
        tideroute_gateway::Config::parse(file.to_string().as_bytes()).expect("sound").infeasible_settings();
    assert!(problems.len() == 2 && problems[0].contains("pin_limit_ms, 200 ms"), "{problems:?}");
    assert!(problems[1].contains("key_ttl_ms of class keyed"), "{problems:?}");
    // A retry might arrive when no worker remembers the first attempt.
    let mut harness = Harness::with_config(&file);
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "keyed"));
    let (prefill, _) = harness.attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.attempt();
    harness.reset(decode);
    harness.advance(300 * MS);
    assert!(harness.attempts().is_empty());
}
