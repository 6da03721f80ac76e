//! Restarts of workers that the endpoint list reports, by the workers' own clocks. The gateway runs in virtual time.

mod common;

use common::*;
use serde_json::json;

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

#[test]
fn a_restart_reported_by_a_wrong_clock_ends_streams_of_the_old_process() {
    for clock in [WorkerClock::InStep, WorkerClock::Ahead, WorkerClock::Behind] {
        let mut harness = Harness::without_reservations();
        harness.send_update(&endpoint_list(5));
        let client = harness.connect_client();
        harness.deliver(client, chat_request("id", "safe"));
        let (prefill, _) = harness.new_attempt();
        harness.deliver(prefill, PREFILL_COMPLETE);
        let (decode, decode_worker) = harness.new_attempt();
        harness.deliver(decode, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
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
