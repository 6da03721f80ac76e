//! Each rule is violated on purpose, and the violation is reported with its rule and request.

use bytes::Bytes;
use tideroute_trace_checker::{Report, Rule};
use tideroute_wire::capture::CaptureEvent;
use tideroute_wire::endpoint_list::EndpointStatus;
use tideroute_wire::worker::{self, AttemptFailure};
use tideroute_wire::{client, endpoint_list};

use crate::capture_builder::{
    address, check_events, clean_capture, CaptureBuilder, DECODE, ID, PREFILL, ROUTER,
};

/// Asserts that only this rule is violated, and that its first violation names this request.
fn assert_violates_only(report: &Report, rule: Rule, request_id: Option<u64>) {
    let found = report.violations.iter().find(|violation| violation.rule == rule);
    let found = found.unwrap_or_else(|| panic!("{rule:?} was not found: {:?}", report.violations));
    assert_eq!(found.request_id, request_id, "{found:?}");
    assert!(report.violations.iter().all(|violation| violation.rule == rule), "{:?}", report.violations);
}

#[test]
fn clean_capture_has_no_violation() {
    let report = clean_capture().check();
    assert!(report.is_clean(), "{:?}", report.violations);
    let counts = report.counts;
    let by_response = (counts.completed, counts.rejected, counts.failed, counts.cancelled);
    assert_eq!((counts.requests, counts.admitted, by_response), (5, 5, (2, 1, 1, 1)));
}

#[test]
fn rule_1_missing_response() {
    let mut capture = CaptureBuilder::new();
    capture.advance(10).submit(1, 0, 1000);
    // The connection stays open, so that the request has not ended with it.
    let mut report = check_events(&capture.events);
    report.violations.retain(|violation| violation.rule != Rule::Capture);
    assert_violates_only(&report, Rule::Lost, Some(ID));
}

#[test]
fn rule_1_late_response_second_response_and_attempt_after_the_end() {
    let mut capture = CaptureBuilder::new();
    capture.advance(10).submit(1, 0, 1000);
    capture.advance(1001).send(0, false, client::rejected(1, 0));
    assert_violates_only(&capture.check(), Rule::Lost, Some(ID));
    let mut capture = CaptureBuilder::new();
    capture.complete_request(1, 0);
    capture.send(0, false, client::failed(1));
    assert!(capture
        .check()
        .violations
        .iter()
        .any(|violation| violation.rule == Rule::Lost && violation.request_id == Some(ID)));
    let mut capture = CaptureBuilder::new();
    capture.advance(10).submit(1, 0, 1000);
    capture.send(0, false, client::rejected(1, 0));
    capture.send_prefill(ID, 0);
    assert_violates_only(&capture.check(), Rule::Lost, Some(ID));
}

#[test]
fn rule_2_non_idempotent_request_retried_or_rejected() {
    for is_retried in [true, false] {
        let mut capture = CaptureBuilder::new();
        capture.advance(10).submit(1, 1, 4000);
        capture.send_decode(2, ID, 0, 20);
        capture.advance(10).send(2, false, worker::attempt_ended(ID, 0, AttemptFailure::ServerError));
        if is_retried {
            capture.send_decode(2, ID, 1, 20);
            capture.advance(10).send(2, false, worker::attempt_ended(ID, 1, AttemptFailure::ServerError));
            capture.send(0, false, client::failed(1));
        } else {
            capture.send(0, false, client::rejected(1, 0));
        }
        assert_violates_only(&capture.check(), Rule::Duplicate, Some(ID));
    }
    // A request that is known not to have run may be both retried and rejected.
    let mut capture = CaptureBuilder::new();
    capture.advance(10).submit(1, 1, 4000);
    capture.send_decode(2, ID, 0, 20);
    capture.advance(10).send(2, false, worker::attempt_ended(ID, 0, AttemptFailure::Rejected));
    capture.send_decode(2, ID, 1, 20);
    capture.advance(10).send(2, false, worker::attempt_ended(ID, 1, AttemptFailure::StateMissing));
    capture.send(0, false, client::rejected(1, 0));
    assert!(capture.check().is_clean());
}

#[test]
fn rule_2_keyed_request_retried_outside_its_deduplication_scope_or_window() {
    for (connection, wait, kept) in [(2, 10, true), (6, 10, false), (2, 3100, false)] {
        let mut capture = CaptureBuilder::new();
        capture.advance(10).submit(1, 2, 9000);
        capture.send_decode(2, ID, 0, 20);
        capture.advance(wait).send(2, false, worker::attempt_ended(ID, 0, AttemptFailure::ServerError));
        capture.send_decode(connection, ID, 1, 20);
        capture.advance(10).send(
            connection,
            false,
            worker::attempt_ended(ID, 1, AttemptFailure::ServerError),
        );
        capture.send(0, false, client::failed(1));
        let report = capture.check();
        if kept {
            assert!(report.is_clean(), "{:?}", report.violations);
        } else {
            assert_violates_only(&report, Rule::Duplicate, Some(ID));
        }
    }
}

#[test]
fn rule_2_two_attempts_in_flight() {
    let mut capture = CaptureBuilder::new();
    capture.advance(10).submit(1, 0, 4000);
    capture.send_prefill(ID, 0);
    capture.send_prefill(ID, 1);
    capture.send(0, false, client::rejected(1, 0));
    assert_violates_only(&capture.check(), Rule::Duplicate, Some(ID));
}

#[test]
fn rule_3_attempt_or_reservation_after_a_drain_notification() {
    for (wait, is_reservation, kept) in [(499, false, true), (501, false, false), (501, true, false)] {
        let mut capture = CaptureBuilder::new();
        capture.advance(10).submit(1, 0, 4000);
        capture.send_prefill(ID, 0);
        capture.send_update(&[(DECODE, EndpointStatus::Draining, 0)]);
        capture.advance(wait);
        if is_reservation {
            capture.send(2, true, worker::reserve(ID, 100, 20, address(PREFILL)));
            capture.send(2, false, worker::reservation_answered(ID, false));
        }
        capture.send(1, false, worker::prefill_completed(ID, 0, 0, 1600));
        if !is_reservation {
            capture.send_decode(2, ID, 1, 20);
            capture.stream(1, ID, 1);
        } else {
            capture.send(1, true, worker::release(ID));
            capture.send(0, false, client::rejected(1, 0));
        }
        let report = capture.check();
        if kept {
            assert!(report.is_clean(), "{:?}", report.violations);
        } else {
            assert_violates_only(&report, Rule::Drain, Some(ID));
        }
    }
}

#[test]
fn rule_4_warming_worker_overloaded() {
    // The worker processes 250 tokens per second at its start. Twice that within a second overloads it; a little after
    // the start, the limit is a little higher.
    for (tokens, is_notified, kept) in [(480, true, true), (560, true, false), (560, false, true)] {
        let mut capture = CaptureBuilder::new();
        let started = capture.now;
        capture.send(
            5,
            true,
            endpoint_list::register(address(DECODE), 1, 1.0, EndpointStatus::Serving, 0, 0, started),
        );
        if is_notified {
            capture.send_update(&[(DECODE, EndpointStatus::Serving, started)]);
        }
        capture.advance(10).submit(1, 0, 4000);
        capture.send_decode(2, ID, 0, tokens);
        capture.advance(20).stream(1, ID, 0);
        let report = capture.check();
        if kept {
            assert!(report.is_clean(), "{:?}", report.violations);
        } else {
            assert_violates_only(&report, Rule::SlowStart, Some(ID));
        }
    }
}

#[test]
fn rule_5_state_kept_without_an_attempt() {
    for (wait, kept) in [(499, true), (501, false)] {
        let mut capture = CaptureBuilder::new();
        capture.advance(10).submit(1, 0, 4000);
        capture.send_prefill(ID, 0);
        capture.advance(50).send(1, false, worker::prefill_completed(ID, 0, 0, 1600));
        capture.send(0, false, client::rejected(1, 0));
        capture.advance(wait).send(1, true, worker::release(ID));
        let report = capture.check();
        if kept {
            assert!(report.is_clean(), "{:?}", report.violations);
        } else {
            assert_violates_only(&report, Rule::Pinned, Some(ID));
        }
    }
}

/// A router that is paused from outside cannot respond. Its delays are excused by the length of the pause and no more,
/// and only by its own pauses.
#[test]
fn time_in_which_a_router_was_paused_is_excused_and_nothing_else() {
    let check_late = |pause: Option<(u32, u64)>| {
        let mut capture = CaptureBuilder::new();
        capture.advance(10).submit(1, 0, 1000);
        capture.send_prefill(ID, 0);
        capture.advance(5).send(1, false, worker::prefill_completed(ID, 0, 0, 1600));
        let (process, ms) = pause.unwrap_or((ROUTER, 0));
        if pause.is_some() {
            capture.add_event(process, 0, CaptureEvent::ProcessPaused, 0, Bytes::new());
        }
        capture.advance(ms);
        if pause.is_some() {
            capture.add_event(process, 0, CaptureEvent::ProcessResumed, 0, Bytes::new());
        }
        // The prefill worker keeps the request's KV state for 1,990 ms, and the response is 995 ms late.
        capture.advance(1990 - ms).send(1, true, worker::release(ID));
        capture.send(0, false, client::rejected(1, 0));
        capture.check()
    };
    assert!(check_late(Some((ROUTER, 1900))).is_clean(), "{:?}", check_late(Some((ROUTER, 1900))).violations);
    for pause in [None, Some((PREFILL, 1900)), Some((ROUTER, 900))] {
        let report = check_late(pause);
        let is_violated = |rule| report.violations.iter().any(|violation| violation.rule == rule);
        assert!(is_violated(Rule::Lost) && is_violated(Rule::Pinned), "{pause:?}: {:?}", report.violations);
    }
}
