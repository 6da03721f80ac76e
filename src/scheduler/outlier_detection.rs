//! Outlier detection: which workers lose clearly more attempts than others, and when an attempt counts as lost.

use std::collections::BTreeMap;

use super::timing::RATE_TIME_CONSTANT;
use crate::ewma::EwmaMean;
use crate::types::TenthMillis;

/// An attempt counts as lost after the usual wait multiplied by this factor and by the negative logarithm of the
/// odds of a loss (at least 1).
const LOSS_TIMEOUT_FACTOR: f64 = 2.0;
/// The least age at which an attempt counts as lost, as a part of its latency objective; it leaves time for two
/// more attempts. At this age the worker's health is checked.
const MIN_TIMEOUT_OBJECTIVE_SHARE: f64 = 0.25;
/// The part of attempts that is assumed to be lost while there are no samples.
const PRIOR_LOSS_RATE: f64 = 0.01;
/// The weight of the prior loss rate in the mean over all workers, as a number of samples.
const PRIOR_WEIGHT: f64 = 2.0;
/// The weight of the mean over all workers in the loss rate of one worker, as a number of samples.
const FLEET_WEIGHT: f64 = 1.0;
/// A worker is ejected for a request class if its loss rate exceeds that of all workers by more than this part of
/// the difference between the latter and 1.
const EJECTION_MARGIN: f64 = 0.2;

/// The part of attempts that are lost, by request class, at one worker or at all workers.
#[derive(Default)]
pub struct LossRates {
    by_class: BTreeMap<u8, EwmaMean>,
}

impl LossRates {
    /// Records an attempt that was lost or answered.
    pub fn record(&mut self, now: TenthMillis, class: u8, lost: bool) {
        let sample = if lost { 1.0 } else { 0.0 };
        self.by_class.entry(class).or_default().add(now, RATE_TIME_CONSTANT, sample);
    }

    /// Returns the part of attempts lost, shrunk towards [`PRIOR_LOSS_RATE`]; for the rates of all workers.
    pub fn fleet_rate(&mut self, now: TenthMillis, class: u8) -> f64 {
        let rate = self.by_class.entry(class).or_default();
        rate.shrunk(now, RATE_TIME_CONSTANT, PRIOR_LOSS_RATE, PRIOR_WEIGHT)
    }
}

/// Returns whether a worker loses clearly more attempts of a class than all workers do. Its loss rate is shrunk
/// towards that of all workers.
pub fn is_ejected(
    now: TenthMillis,
    class: u8,
    fleet_losses: &mut LossRates,
    worker_losses: &mut LossRates,
) -> bool {
    let fleet_rate = fleet_losses.fleet_rate(now, class);
    let Some(rate) = worker_losses.by_class.get_mut(&class) else { return false };
    let worker_rate = rate.shrunk(now, RATE_TIME_CONSTANT, fleet_rate, FLEET_WEIGHT);
    worker_rate - fleet_rate > EJECTION_MARGIN * (1.0 - fleet_rate)
}

/// Returns the age at which an unanswered attempt makes its worker suspected, for a latency objective.
pub fn suspicion_age(ttft_objective: f64) -> f64 {
    ttft_objective * MIN_TIMEOUT_OBJECTIVE_SHARE
}

/// Returns the age after which an unanswered attempt counts as lost.
pub fn loss_timeout(usual_wait: f64, loss_rate: f64, ttft_objective: f64) -> f64 {
    let odds = loss_rate / (1.0 - loss_rate);
    let timeout = usual_wait * LOSS_TIMEOUT_FACTOR * -odds.ln().min(-1.0);
    timeout.max(suspicion_age(ttft_objective))
}
