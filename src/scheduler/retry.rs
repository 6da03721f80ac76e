//! What may run again, where and until when.

use super::request::RequestState;
use super::worker::Worker;
use crate::types::{Idempotency, SchedulerConfig, TenthMillis};

/// How the request's class may be repeated.
pub fn idempotency(config: &SchedulerConfig, request: &RequestState) -> Idempotency {
    config.classes[usize::from(request.class())].idempotency
}

/// Whether a request may run again now, somewhere: nothing may have run yet, or its class allows a retry so long
/// after the first attempt that may have run.
pub fn may_run(config: &SchedulerConfig, now: TenthMillis, request: &RequestState) -> bool {
    let Some(first_run) = request.first_run else { return true };
    idempotency(config, request).allows_retry_after(now - first_run.sent_at)
}

/// Whether a request may run at a worker: nothing may have run yet, or a retry is allowed and this worker
/// deduplicates it.
pub fn may_run_at(
    config: &SchedulerConfig,
    now: TenthMillis,
    request: &RequestState,
    worker: Option<&Worker>,
) -> bool {
    if request.first_run.is_none() {
        return true;
    }
    let idempotency = idempotency(config, request);
    worker.is_some_and(|worker| deduplicates_at(idempotency, request, worker))
        && may_run(config, now, request)
}

/// Whether a worker would recognize a retry of what may have run.
pub fn deduplicates_at(idempotency: Idempotency, request: &RequestState, worker: &Worker) -> bool {
    let first_run = request.first_run.map(|first_run| (first_run.sent_at, first_run.endpoint));
    idempotency.deduplicates_at(first_run, &worker.endpoint)
}

/// Whether the client may send the request again, wherever that runs.
pub fn is_safe_to_resend(config: &SchedulerConfig, request: &RequestState) -> bool {
    request.first_run.is_none() || idempotency(config, request).is_safe_anywhere()
}

/// Whether a decode attempt can be cancelled and followed by another, whatever it has done.
pub fn is_always_retryable(config: &SchedulerConfig, request: &RequestState) -> bool {
    idempotency(config, request) == Idempotency::Idempotent
}
