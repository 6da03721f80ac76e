//! Load shedding: which new requests are admitted, which waiting requests are given up, and after how long a
//! rejected client may send its request again.

use super::request::{RequestState, USABLE_OBJECTIVE_SHARE};
use super::timing::PASS_INTERVAL;
use crate::rng::Rng;
use crate::types::{RequestClass, SchedulerConfig, TenthMillis};

/// A waiting request is given up when the remaining time to its objective or deadline is less than the usual time
/// to a first token multiplied by this factor.
const HOPELESS_WAIT_FACTOR: f64 = 3.0;

/// Returns the probability with which a new request is admitted; 1 or more means that it is always admitted.
///
/// Guards against an overload that sustains itself because all prefills end too late. The larger the part of the
/// latency objective that the recent time to a first token takes (`recent_wait`), the fewer requests are
/// admitted; a rejection by a full prefill worker is recorded as a wait of the whole objective. The objective is
/// the shortest among those of the request's class and of all classes with the same or a higher priority weight.
pub fn admission_probability(recent_wait: f64, request: &RequestState, classes: &[RequestClass]) -> f64 {
    let own = &classes[usize::from(request.class())];
    let same_or_higher_weight = classes.iter().filter(|class| class.priority_weight >= own.priority_weight);
    let shortest =
        same_or_higher_weight.map(|class| class.ttft_objective).min().unwrap_or(own.ttft_objective);
    let allowance = request.ttft_allowance() - (own.ttft_objective - shortest);
    let used_part = recent_wait / allowance as f64;
    (USABLE_OBJECTIVE_SHARE / used_part).powi(2)
}

/// Returns the time before which an objective or deadline can hardly be met any more, given the usual time to a
/// first token.
pub fn hopeless_before(now: TenthMillis, usual_wait: f64) -> TenthMillis {
    now + (usual_wait * HOPELESS_WAIT_FACTOR) as TenthMillis + PASS_INTERVAL
}

/// Returns whether a waiting request can hardly meet its objective or deadline any more.
pub fn is_hopeless(now: TenthMillis, usual_wait: f64, request: &RequestState) -> bool {
    hopeless_before(now, usual_wait) > request.ttft_objective.min(request.deadline)
}

/// Returns after how long a rejected client may send its request again; 0 if the configuration disables
/// Retry-After. The delay is random between half of the configured maximum and all of it, so that the clients of
/// a rejected burst do not return all at once. A random number is drawn in both cases.
pub fn retry_after(config: &SchedulerConfig, rng: &mut Rng) -> TenthMillis {
    let spread = 0.5 + rng.unit() / 2.0;
    if !config.retry_after_enabled {
        return 0;
    }
    (config.max_retry_after as f64 * spread) as TenthMillis
}
