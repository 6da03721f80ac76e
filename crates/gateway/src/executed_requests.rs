//! Remembers the requests that must not run twice and may have run, after their clients have been answered or have left. A
//! request that comes again with the same trace id would otherwise run again.

use std::collections::{HashMap, VecDeque};

use tideroute::types::RequestId;
use tideroute_wire::Micros;

use crate::headers::hash_name;

/// Microseconds for which a request is remembered: longer than any client that comes again would wait.
const RETENTION: Micros = 600_000_000;
/// Maximum number of remembered requests; beyond it, the oldest are forgotten.
const MAX_REQUESTS: usize = 8_192;

/// Identifies an attempt: its request, and its number within the request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt's number.
    pub number: u16,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Execution {
    attempt: AttemptId,
    sent_at: Micros,
}

/// The requests that may have run.
#[derive(Default)]
pub struct ExecutedRequests {
    /// The executions, by the hash of the trace id.
    executions: HashMap<u64, Execution>,
    /// When each attempt was sent, and the hash of its trace id; the oldest first. It is also here if it never ran.
    by_age: VecDeque<(Micros, u64)>,
}

impl ExecutedRequests {
    /// Records that an attempt is being sent, which executes a request that must not run twice.
    pub fn attempt_sent(&mut self, now: Micros, trace_id: &str, attempt: AttemptId) {
        self.forget_old(now);
        let hash = hash_name(trace_id.as_bytes());
        self.executions.entry(hash).or_insert_with(|| {
            self.by_age.push_back((now, hash));
            Execution { attempt, sent_at: now }
        });
    }

    /// Records that an attempt is known not to have run.
    pub fn attempt_never_ran(&mut self, trace_id: &str, attempt: AttemptId) {
        let hash = hash_name(trace_id.as_bytes());
        if self.executions.get(&hash).is_some_and(|execution| execution.attempt == attempt) {
            self.executions.remove(&hash);
        }
    }

    /// Returns whether a request with this trace id may have run.
    pub fn may_have_run(&mut self, now: Micros, trace_id: &str) -> bool {
        self.forget_old(now);
        !self.executions.is_empty() && self.executions.contains_key(&hash_name(trace_id.as_bytes()))
    }

    /// Forgets requests that are too old or too many.
    fn forget_old(&mut self, now: Micros) {
        while let Some(&(sent_at, hash)) = self.by_age.front() {
            if now < sent_at + RETENTION && self.by_age.len() < MAX_REQUESTS {
                return;
            }
            self.by_age.pop_front();
            if self.executions.get(&hash).is_some_and(|execution| execution.sent_at == sent_at) {
                self.executions.remove(&hash);
            }
        }
    }
}

#[cfg(test)]
mod tests;
