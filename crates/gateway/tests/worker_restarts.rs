//! Restarts of workers that the endpoint list reports, by the workers' own clocks. The gateway runs in virtual time.

mod common;

use common::*;
use serde_json::json;
use tideroute_wire::event_loop::ConnectionId;

#[test]
fn a_restarted_worker_invalidates_its_old_connections() {
    let mut harness = Harness::new();
    harness.send_update(&endpoint_list(5));
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, worker) = harness.new_attempt();
    harness.advance(1_000 * MS);
    let started_ms = harness.now / MS - 100;
    harness.send_update(
        &json!({"version": 6, "full": false, "servers": [endpoint_entry(worker, "SERVING", started_ms)]}),
    );
    assert!(harness.ended.contains_key(&prefill));
    harness.advance(20 * MS);
    assert_ne!(
        harness.new_attempt().1,
        worker,
        "the prefill is retried elsewhere, because the restarted worker is warming up"
    );
}

/// Milliseconds in an hour, by which a wall clock may be wrong.
const HOUR_MS: u64 = 3_600_000;

/// The clock by which a worker reports its start.
#[derive(Clone, Copy, PartialEq, Debug)]
enum WorkerClock {
    InStep,
    Ahead,
    Behind,
}

/// Returns a start time of 10 ms ago, in milliseconds as that clock reports it.
fn reported_start(harness: &Harness, clock: WorkerClock) -> u64 {
    let started_ms = harness.now / MS - 10;
    match clock {
        WorkerClock::InStep => started_ms,
        WorkerClock::Ahead => started_ms + HOUR_MS,
        WorkerClock::Behind => started_ms - HOUR_MS,
    }
}

/// Serves a request completely and returns its prefill worker.
fn served_by(harness: &mut Harness, trace_id: &str) -> usize {
    let client = harness.connect_client();
    harness.deliver(client, chat_request(trace_id, "safe"));
    let (prefill, prefill_worker) = harness.new_attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, streamed_response());
    assert_eq!(harness.statuses(client), [200]);
    prefill_worker
}

/// Restarts a worker whose clock may be wrong, while updates of discovery keep arriving. Returns the worker and its new
/// endpoint list entry.
fn restart_with_clock(harness: &mut Harness, clock: WorkerClock) -> (usize, serde_json::Value) {
    harness.send_update(&endpoint_list(5));
    let worker = served_by(harness, "home");
    for version in 6..16 {
        harness.advance(2_000 * MS);
        harness.send_update(&endpoint_list(version));
    }
    let restarted = endpoint_entry(worker, "SERVING", reported_start(harness, clock));
    harness.send_update(&json!({"version": 20, "full": false, "servers": [restarted]}));
    (worker, restarted)
}

/// Starts a request whose response streams. Returns the client's connection, and the decode attempt's with its worker.
fn start_stream(harness: &mut Harness) -> (ConnectionId, ConnectionId, usize) {
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.new_attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, decode_worker) = harness.new_attempt();
    harness.deliver(decode, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    (client, decode, decode_worker)
}

#[test]
fn a_restart_reported_by_a_wrong_clock_ends_streams_of_the_old_process() {
    for clock in [WorkerClock::InStep, WorkerClock::Ahead, WorkerClock::Behind] {
        let mut harness = Harness::without_reservations();
        harness.send_update(&endpoint_list(5));
        let (client, decode, decode_worker) = start_stream(&mut harness);
        // This takes longer than an update may be late, so that the stream must have begun before the restart.
        for version in 6..11 {
            harness.advance(2_000 * MS);
            harness.send_update(&endpoint_list(version));
            harness.deliver(decode, chunk(STREAM_EVENTS[1]));
        }
        let restarted = endpoint_entry(decode_worker, "SERVING", reported_start(&harness, clock));
        harness.send_update(&json!({"version": 20, "full": false, "servers": [restarted]}));
        assert!(harness.ended.contains_key(&decode), "{clock:?}: the process that sent the stream is gone");
        assert!(harness.ended.contains_key(&client));
    }
}

/// Guards against streams that are cut off after an outage of discovery: its head, or an empty line, counted as a
/// synchronisation before the list had come, so that a start during the outage was not believed.
#[test]
fn streams_of_a_worker_that_restarted_during_an_outage_of_discovery_are_kept() {
    for (outage_ends_watch, first_line) in [(true, ""), (true, "\n"), (false, "\n")] {
        let mut harness = Harness::without_reservations();
        harness.send_update(&endpoint_list(5));
        let (watch, _) = harness.watch();
        if outage_ends_watch {
            harness.reset(watch);
        }
        harness.advance(1_200 * MS);
        let restarted_at = harness.now / MS;
        harness.advance(200 * MS);
        let (_, decode, decode_worker) = start_stream(&mut harness);
        for _ in 0..8 {
            harness.advance(1_000 * MS);
            harness.deliver(decode, chunk(STREAM_EVENTS[1]));
        }
        let (watch, head) = if outage_ends_watch { (harness.watch().0, WATCH_HEAD) } else { (watch, "") };
        let empty_line = if first_line.is_empty() { String::new() } else { chunk(first_line) };
        harness.deliver(watch, format!("{head}{empty_line}"));
        let mut list = endpoint_list(6);
        list["servers"][decode_worker] = endpoint_entry(decode_worker, "SERVING", restarted_at);
        harness.deliver(watch, chunk(&format!("{list}\n")));
        assert!(
            !harness.ended.contains_key(&decode),
            "the stream began after the restart; the outage ended the watch: {outage_ends_watch}, {first_line:?}"
        );
    }
}

/// Returns the restarted worker, and the prefill workers of many requests just after the restart and once it is warm.
fn prefill_workers_after_a_start(clock: WorkerClock) -> (usize, Vec<usize>, Vec<usize>) {
    let mut harness = Harness::without_reservations();
    let (worker, _) = restart_with_clock(&mut harness, clock);
    let cold = (0..40).map(|n| served_by(&mut harness, &format!("cold{n}"))).collect();
    harness.advance(11_000 * MS);
    let warm = (0..40).map(|n| served_by(&mut harness, &format!("warm{n}"))).collect();
    (worker, cold, warm)
}

#[test]
fn a_restart_reported_by_a_wrong_clock_warms_up_as_long_as_any_other() {
    let (worker, cold, warm) = prefill_workers_after_a_start(WorkerClock::InStep);
    assert!(
        cold.iter().filter(|prefill| **prefill == worker).count() < 20,
        "the restarted worker is warming up and gets fewer requests: {cold:?}"
    );
    for clock in [WorkerClock::Ahead, WorkerClock::Behind] {
        assert_eq!(prefill_workers_after_a_start(clock), (worker, cold.clone(), warm.clone()), "{clock:?}");
    }
}

#[test]
fn a_restart_reported_by_a_wrong_clock_counts_once_however_often_it_is_listed() {
    for clock in [WorkerClock::InStep, WorkerClock::Ahead, WorkerClock::Behind] {
        let mut harness = Harness::without_reservations();
        let (worker, restarted) = restart_with_clock(&mut harness, clock);
        harness.advance(11_000 * MS);
        let client = harness.connect_client();
        harness.deliver(client, chat_request("out", "once"));
        let (prefill, prefill_worker) = harness.new_attempt();
        assert_eq!(prefill_worker, worker);
        let mut snapshot = endpoint_list(30);
        snapshot["servers"][worker] = restarted;
        harness.send_update(&snapshot);
        assert!(
            !harness.ended.contains_key(&prefill),
            "{clock:?}: the worker was listed again, but did not restart"
        );
    }
}
