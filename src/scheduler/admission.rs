//! Load shedding: which new requests are admitted, which waiting ones are given up, and when a client that is
//! rejected may come back.

use super::request::{RequestState, USABLE_OBJECTIVE_SHARE};
use super::timing::PASS_INTERVAL;
use crate::rng::Rng;
use crate::types::{RequestClass, SchedulerConfig, TenthMillis};

/// A waiting request is given up when less than so many times the usual way to a first token is left.
const HOPELESS_WAIT_FACTOR: f64 = 3.0;

/// The probability with which a new request is admitted, 1 or more where nothing is shed.
///
/// Guards against a jam that feeds itself, prefills that all end too late: the more of the latency objective the
/// usual way takes (`recent_wait`; a full prefill worker counts as all of it), the fewer are admitted. The objective
/// is the request's own or that of a class with the same or a higher priority weight.
pub fn admission_probability(recent_wait: f64, request: &RequestState, classes: &[RequestClass]) -> f64 {
    let own = &classes[usize::from(request.class())];
    let at_least_as_heavy = classes.iter().filter(|class| class.priority_weight >= own.priority_weight);
    let shortest = at_least_as_heavy.map(|class| class.ttft_objective).min().unwrap_or(own.ttft_objective);
    let allowance = request.ttft_allowance() - (own.ttft_objective - shortest);
    let used_part = recent_wait / allowance as f64;
    (USABLE_OBJECTIVE_SHARE / used_part).powi(2)
}

/// Requests whose objective or deadline lies before this moment can hardly make it.
pub fn hopeless_before(now: TenthMillis, usual_wait: f64) -> TenthMillis {
    now + (usual_wait * HOPELESS_WAIT_FACTOR) as TenthMillis + PASS_INTERVAL
}

/// Whether a waiting request can hardly make its objective or deadline any more.
pub fn is_hopeless(now: TenthMillis, usual_wait: f64, request: &RequestState) -> bool {
    hopeless_before(now, usual_wait) > request.ttft_objective.min(request.deadline)
}

/// When a rejected client may come back; 0 where clients get no Retry-After. Spread over the upper half of the longest
/// that the configuration allows, or a burst would return as one. A random number is drawn in either case.
pub fn retry_after(config: &SchedulerConfig, rng: &mut Rng) -> TenthMillis {
    let spread = 0.5 + rng.unit() / 2.0;
    if !config.retry_after_enabled {
        return 0;
    }
    (config.max_retry_after as f64 * spread) as TenthMillis
}
