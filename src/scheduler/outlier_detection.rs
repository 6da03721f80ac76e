//! Which workers lose clearly more attempts than others, and when an attempt counts as lost.

use std::collections::BTreeMap;

use super::timing::RATE_TIME_CONSTANT;
use crate::ewma::EwmaMean;
use crate::types::TenthMillis;

/// An attempt counts as lost after the usual wait times this and the logarithm of the odds of a loss.
const LOSS_TIMEOUT_FACTOR: f64 = 2.0;
/// And not before this part of its latency objective, which leaves time for two more; then a health check is made.
const MIN_TIMEOUT_OBJECTIVE_SHARE: f64 = 0.25;
/// The part of attempts that are lost while nothing is known.
const PRIOR_LOSS_RATE: f64 = 0.01;
/// How many attempts the prior loss rate counts for in the mean over all workers.
const PRIOR_WEIGHT: f64 = 2.0;
/// How many attempts the mean over all workers counts for in the rate of one.
const FLEET_WEIGHT: f64 = 1.0;
/// A worker is ejected for a request class if it loses so much more than all, as a part of what could be more.
const EJECTION_MARGIN: f64 = 0.2;

/// The part of attempts lost, by request class: at one worker, or at all.
#[derive(Default)]
pub struct LossRates {
    by_class: BTreeMap<u8, EwmaMean>,
}

impl LossRates {
    /// Counts an attempt that was lost, or one that was answered.
    pub fn record(&mut self, now: TenthMillis, class: u8, lost: bool) {
        let sample = if lost { 1.0 } else { 0.0 };
        self.by_class.entry(class).or_default().add(now, RATE_TIME_CONSTANT, sample);
    }

    /// The part of attempts lost at all workers, shrunk towards what is usual.
    pub fn fleet_rate(&mut self, now: TenthMillis, class: u8) -> f64 {
        let rate = self.by_class.entry(class).or_default();
        rate.shrunk(now, RATE_TIME_CONSTANT, PRIOR_LOSS_RATE, PRIOR_WEIGHT)
    }
}

/// Whether a worker loses clearly more of a class than all do. Its rate is shrunk towards that of all.
pub fn is_ejected(now: TenthMillis, class: u8, of_all: &mut LossRates, of_worker: &mut LossRates) -> bool {
    let fleet_rate = of_all.fleet_rate(now, class);
    let Some(rate) = of_worker.by_class.get_mut(&class) else { return false };
    let worker_rate = rate.shrunk(now, RATE_TIME_CONSTANT, fleet_rate, FLEET_WEIGHT);
    worker_rate - fleet_rate > EJECTION_MARGIN * (1.0 - fleet_rate)
}

/// How old an attempt must be, at a latency objective, before its worker is suspected.
pub fn suspicion_age(ttft_objective: f64) -> f64 {
    ttft_objective * MIN_TIMEOUT_OBJECTIVE_SHARE
}

/// How old an attempt must be before it counts as lost.
pub fn loss_timeout(usual_wait: f64, loss_rate: f64, ttft_objective: f64) -> f64 {
    let odds = loss_rate / (1.0 - loss_rate);
    let timeout = usual_wait * LOSS_TIMEOUT_FACTOR * -odds.ln().min(-1.0);
    timeout.max(suspicion_age(ttft_objective))
}
