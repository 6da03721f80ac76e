use super::*;

fn attempt(request: RequestId, number: u16) -> AttemptId {
    AttemptId { request, number }
}

#[test]
fn a_request_is_remembered_until_it_is_known_not_to_have_run_or_is_old() {
    let mut executed = ExecutedRequests::default();
    executed.attempt_sent(5, "a", attempt(1, 1));
    assert!(executed.may_have_run(5, "a") && !executed.may_have_run(5, "b"));
    executed.attempt_never_ran("a", attempt(1, 1));
    assert!(!executed.may_have_run(5, "a"));
    executed.attempt_sent(7, "a", attempt(1, 2));
    // A later attempt that never ran proves nothing about the one before it.
    executed.attempt_sent(8, "a", attempt(1, 3));
    executed.attempt_never_ran("a", attempt(1, 3));
    // The age of the first attempt, which never ran, does not count.
    assert!(executed.may_have_run(RETENTION + 6, "a"));
    assert!(!executed.may_have_run(RETENTION + 7, "a"));
}

/// Guards against memory that grows with the number of requests.
#[test]
fn the_oldest_requests_are_forgotten_beyond_the_limit() {
    let mut executed = ExecutedRequests::default();
    for number in 0..3 * MAX_REQUESTS as u64 {
        executed.attempt_sent(number, &format!("id{number}"), attempt(number, 1));
        if number % 2 == 0 {
            executed.attempt_never_ran(&format!("id{number}"), attempt(number, 1));
        }
        assert!(executed.by_age.len() <= MAX_REQUESTS && executed.executions.len() <= MAX_REQUESTS);
    }
    let last = 3 * MAX_REQUESTS as u64 - 1;
    assert!(executed.may_have_run(last, &format!("id{last}")) && !executed.may_have_run(last, "id1"));
}
