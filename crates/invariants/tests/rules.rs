//! Each reason for which something may not be done, seen once; and what may be done.

use tideroute::types::{AttemptOutcome, DeduplicationScope, Endpoint, EndpointStatus, Idempotency};
use tideroute_invariants::{FinalResponse, Reason, RequestRecord, Rule, Violation};

const DEADLINE: i64 = 10_000;
const KEYED: Idempotency = Idempotency::IdempotentWithKey { scope: DeduplicationScope::Cell, window: 5_000 };

fn at(cell: u16) -> Endpoint {
    Endpoint { cell, ..Endpoint::default() }
}

fn record(repeat: Idempotency) -> RequestRecord {
    RequestRecord::new(repeat, DEADLINE)
}

/// One whose attempt 0 to write has ended so, at 1,000 in cell 0.
fn after(repeat: Idempotency, outcome: AttemptOutcome) -> RequestRecord {
    let mut record = record(repeat);
    record.permit_attempt(1_000, 0, Some(&at(0)), true).expect("the first");
    record.attempt_finished(0, outcome);
    record
}

fn reason<T: std::fmt::Debug>(result: Result<T, Violation>) -> Reason {
    result.expect_err("it may not be").reason
}

#[test]
fn nothing_is_sent_after_the_end_of_a_request() {
    let (mut answered, mut left, mut begun) =
        (record(KEYED), record(KEYED), after(Idempotency::Idempotent, AttemptOutcome::ServerError));
    answered.permit_response(FinalResponse::Failed).expect("the first answer");
    left.client_disconnected();
    begun.response_started();
    for (mut record, now, expected) in [
        (answered, 2_000, Reason::AfterFinalResponse),
        (left, 2_000, Reason::AfterClientDisconnected),
        (begun, 2_000, Reason::AfterStreamBegan),
        (record(KEYED), DEADLINE, Reason::AfterDeadline),
    ] {
        assert_eq!(reason(record.permit_attempt(now, 1, Some(&at(0)), true)), expected);
        assert_eq!(reason(record.permit_reservation(now, Some(&at(0)))), expected);
        assert_eq!(reason(record.permit_transmission(now, 1)), expected);
        assert_eq!(expected.rule(), Rule::Lost);
    }
}

#[test]
fn a_final_answer_is_one() {
    let mut record = record(KEYED);
    record.permit_response(FinalResponse::Completed).expect("the first");
    assert_eq!(reason(record.permit_response(FinalResponse::Failed)), Reason::SecondFinalResponse);
    let mut left = after(KEYED, AttemptOutcome::ServerError);
    left.client_disconnected();
    assert_eq!(reason(left.permit_response(FinalResponse::Failed)), Reason::AfterClientDisconnected);
}

#[test]
fn what_may_have_run_is_repeated_only_where_that_is_harmless() {
    use AttemptOutcome::*;
    for outcome in [ServerError, TimedOut, ConnectionReset, Cancelled] {
        let again = |repeat, now, cell| after(repeat, outcome).permit_attempt(now, 1, Some(&at(cell)), true);
        assert!(again(Idempotency::Idempotent, 9_000, 1).is_ok());
        assert!(again(KEYED, 5_999, 0).is_ok());
        assert_eq!(reason(again(KEYED, 6_000, 0)), Reason::OutsideDeduplicationWindow);
        assert_eq!(reason(again(KEYED, 5_999, 1)), Reason::OutsideDeduplicationScope);
        assert_eq!(reason(again(Idempotency::NonIdempotent, 2_000, 0)), Reason::EarlierAttemptMayHaveRun);
        // A read has no effect.
        assert!(after(Idempotency::NonIdempotent, outcome)
            .permit_attempt(2_000, 1, Some(&at(0)), false)
            .is_ok());
    }
    for outcome in [Rejected, StateMissing, Unreachable, NotSent] {
        assert!(after(Idempotency::NonIdempotent, outcome)
            .permit_attempt(9_000, 1, Some(&at(1)), true)
            .is_ok());
    }
    let mut out = record(Idempotency::Idempotent);
    out.permit_attempt(1_000, 0, Some(&at(0)), true).expect("the first");
    assert_eq!(reason(out.permit_attempt(1_000, 1, Some(&at(0)), true)), Reason::AnotherAttemptInFlight);
    assert_eq!(reason(out.permit_transmission(1_000, 1)), Reason::AnotherAttemptInFlight);
    assert!(out.permit_transmission(1_000, 0).is_ok());
}

#[test]
fn a_refusal_is_given_only_where_another_try_is_harmless() {
    let anywhere = Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, window: 5_000 };
    for (repeat, harmless) in [
        (Idempotency::Idempotent, true),
        (anywhere, true),
        (KEYED, false),
        (Idempotency::NonIdempotent, false),
    ] {
        assert!(record(repeat).permit_response(FinalResponse::Rejected).is_ok());
        assert!(after(repeat, AttemptOutcome::Rejected).permit_response(FinalResponse::Rejected).is_ok());
        assert_eq!(
            after(repeat, AttemptOutcome::ConnectionReset).permit_response(FinalResponse::Rejected).is_ok(),
            harmless
        );
        assert!(after(repeat, AttemptOutcome::ConnectionReset)
            .permit_response(FinalResponse::Failed)
            .is_ok());
        let mut out = record(repeat);
        out.permit_attempt(1_000, 0, Some(&at(0)), true).expect("the first");
        assert_eq!(out.permit_response(FinalResponse::Rejected).is_ok(), harmless, "while it is out");
    }
}

#[test]
fn a_worker_that_drains_or_is_gone_gets_nothing_new() {
    let drains = Endpoint { status: EndpointStatus::Draining, ..at(0) };
    let gone = Endpoint { status: EndpointStatus::Removed, ..at(0) };
    for (to, expected) in [
        (Some(&drains), Reason::WorkerDraining),
        (Some(&gone), Reason::WorkerNotListed),
        (None, Reason::WorkerNotListed),
    ] {
        assert_eq!(reason(record(KEYED).permit_attempt(1_000, 0, to, false)), expected);
        assert_eq!(reason(record(KEYED).permit_reservation(1_000, to)), expected);
        assert_eq!(expected.rule(), Rule::Drain);
    }
}

#[test]
fn nothing_is_forgotten_that_is_out_or_held() {
    let mut record = record(KEYED);
    assert!(record.permit_close(true).is_ok());
    assert_eq!(reason(record.permit_close(false)), Reason::ClosedWithReservedState);
    assert_eq!(Reason::ClosedWithReservedState.rule(), Rule::Pinned);
    record.permit_attempt(1_000, 0, Some(&at(0)), false).expect("the first");
    assert_eq!(reason(record.permit_close(true)), Reason::ClosedWithAttemptInFlight);
    record.attempt_finished(0, AttemptOutcome::Cancelled);
    assert!(record.permit_close(true).is_ok());
}
