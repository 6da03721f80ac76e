//! Every reason for which the record refuses a step, and the steps that it permits.

use tideroute::types::{AttemptOutcome, DeduplicationScope, Endpoint, EndpointStatus, Idempotency};
use tideroute_invariants::{FinalResponse, Reason, RequestRecord, Rule, Violation};

const DEADLINE: i64 = 10_000;
const WITH_KEY: Idempotency =
    Idempotency::IdempotentWithKey { scope: DeduplicationScope::Cell, window: 5_000 };

fn endpoint_in(cell: u16) -> Endpoint {
    Endpoint { cell, ..Endpoint::default() }
}

fn record(idempotency: Idempotency) -> RequestRecord {
    RequestRecord::new(idempotency, DEADLINE)
}

/// Returns the record of a request whose decode attempt 0, sent at 1,000 in cell 0, ended with `outcome`.
fn record_after(idempotency: Idempotency, outcome: AttemptOutcome) -> RequestRecord {
    let mut record = record(idempotency);
    record.permit_attempt(1_000, 0, Some(&endpoint_in(0)), true).expect("first step permitted");
    record.attempt_finished(0, outcome);
    record
}

fn reason_of<T: std::fmt::Debug>(result: Result<T, Violation>) -> Reason {
    result.expect_err("step should be refused").reason
}

#[test]
fn nothing_is_sent_after_a_request_has_ended() {
    let (mut responded, mut disconnected, mut streaming) = (
        record(WITH_KEY),
        record(WITH_KEY),
        record_after(Idempotency::Idempotent, AttemptOutcome::ServerError),
    );
    responded.permit_response(FinalResponse::Failed).expect("first response permitted");
    disconnected.client_disconnected();
    streaming.response_started();
    for (mut record, now, expected) in [
        (responded, 2_000, Reason::AfterFinalResponse),
        (disconnected, 2_000, Reason::AfterClientDisconnected),
        (streaming, 2_000, Reason::AfterStreamBegan),
        (record(WITH_KEY), DEADLINE, Reason::AfterDeadline),
    ] {
        assert_eq!(reason_of(record.permit_attempt(now, 1, Some(&endpoint_in(0)), true)), expected);
        assert_eq!(reason_of(record.permit_reservation(now, Some(&endpoint_in(0)))), expected);
        assert_eq!(reason_of(record.permit_transmission(now, 1)), expected);
        assert_eq!(expected.rule(), Rule::Lost);
    }
}

#[test]
fn only_one_final_response_is_permitted() {
    let mut record = record(WITH_KEY);
    record.permit_response(FinalResponse::Completed).expect("first step permitted");
    assert_eq!(reason_of(record.permit_response(FinalResponse::Failed)), Reason::SecondFinalResponse);
    let mut disconnected = record_after(WITH_KEY, AttemptOutcome::ServerError);
    disconnected.client_disconnected();
    assert_eq!(
        reason_of(disconnected.permit_response(FinalResponse::Failed)),
        Reason::AfterClientDisconnected
    );
}

#[test]
fn a_retry_after_possible_execution_is_permitted_only_where_it_is_deduplicated() {
    use AttemptOutcome::*;
    for outcome in [ServerError, TimedOut, ConnectionReset, Cancelled] {
        let retry = |idempotency, now, cell| {
            record_after(idempotency, outcome).permit_attempt(now, 1, Some(&endpoint_in(cell)), true)
        };
        assert!(retry(Idempotency::Idempotent, 9_000, 1).is_ok());
        assert!(retry(WITH_KEY, 5_999, 0).is_ok());
        assert_eq!(reason_of(retry(WITH_KEY, 6_000, 0)), Reason::OutsideDeduplicationWindow);
        assert_eq!(reason_of(retry(WITH_KEY, 5_999, 1)), Reason::OutsideDeduplicationScope);
        assert_eq!(reason_of(retry(Idempotency::NonIdempotent, 2_000, 0)), Reason::EarlierAttemptMayHaveRun);
        // A prefill does not execute the request.
        assert!(record_after(Idempotency::NonIdempotent, outcome)
            .permit_attempt(2_000, 1, Some(&endpoint_in(0)), false)
            .is_ok());
    }
    for outcome in [Rejected, StateMissing, Unreachable, NotSent] {
        assert!(record_after(Idempotency::NonIdempotent, outcome)
            .permit_attempt(9_000, 1, Some(&endpoint_in(1)), true)
            .is_ok());
    }
    let mut in_flight = record(Idempotency::Idempotent);
    in_flight.permit_attempt(1_000, 0, Some(&endpoint_in(0)), true).expect("first step permitted");
    assert_eq!(
        reason_of(in_flight.permit_attempt(1_000, 1, Some(&endpoint_in(0)), true)),
        Reason::AnotherAttemptInFlight
    );
    assert_eq!(reason_of(in_flight.permit_transmission(1_000, 1)), Reason::AnotherAttemptInFlight);
    assert!(in_flight.permit_transmission(1_000, 0).is_ok());
}

#[test]
fn a_rejection_is_permitted_only_where_a_retry_is_harmless() {
    let anywhere = Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, window: 5_000 };
    for (idempotency, harmless) in [
        (Idempotency::Idempotent, true),
        (anywhere, true),
        (WITH_KEY, false),
        (Idempotency::NonIdempotent, false),
    ] {
        assert!(record(idempotency).permit_response(FinalResponse::Rejected).is_ok());
        assert!(record_after(idempotency, AttemptOutcome::Rejected)
            .permit_response(FinalResponse::Rejected)
            .is_ok());
        assert_eq!(
            record_after(idempotency, AttemptOutcome::ConnectionReset)
                .permit_response(FinalResponse::Rejected)
                .is_ok(),
            harmless
        );
        assert!(record_after(idempotency, AttemptOutcome::ConnectionReset)
            .permit_response(FinalResponse::Failed)
            .is_ok());
        let mut in_flight = record(idempotency);
        in_flight.permit_attempt(1_000, 0, Some(&endpoint_in(0)), true).expect("first step permitted");
        assert_eq!(
            in_flight.permit_response(FinalResponse::Rejected).is_ok(),
            harmless,
            "while it is in flight"
        );
    }
}

#[test]
fn a_draining_or_removed_worker_gets_nothing_new() {
    let draining = Endpoint { status: EndpointStatus::Draining, ..endpoint_in(0) };
    let removed = Endpoint { status: EndpointStatus::Removed, ..endpoint_in(0) };
    for (to, expected) in [
        (Some(&draining), Reason::WorkerDraining),
        (Some(&removed), Reason::WorkerNotListed),
        (None, Reason::WorkerNotListed),
    ] {
        assert_eq!(reason_of(record(WITH_KEY).permit_attempt(1_000, 0, to, false)), expected);
        assert_eq!(reason_of(record(WITH_KEY).permit_reservation(1_000, to)), expected);
        assert_eq!(expected.rule(), Rule::Drain);
    }
}

#[test]
fn a_request_is_not_closed_with_an_attempt_in_flight_or_reserved_state() {
    let mut record = record(WITH_KEY);
    assert!(record.permit_close(true).is_ok());
    assert_eq!(reason_of(record.permit_close(false)), Reason::ClosedWithReservedState);
    assert_eq!(Reason::ClosedWithReservedState.rule(), Rule::Pinned);
    record.permit_attempt(1_000, 0, Some(&endpoint_in(0)), false).expect("first step permitted");
    assert_eq!(reason_of(record.permit_close(true)), Reason::ClosedWithAttemptInFlight);
    record.attempt_finished(0, AttemptOutcome::Cancelled);
    assert!(record.permit_close(true).is_ok());
}
