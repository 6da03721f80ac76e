//! How long attempts of each stage wait for their answer, over all workers, by request class.

use std::collections::BTreeMap;

use super::stage::{PerStage, Stage};
use super::timing::WAIT_TIME_CONSTANT;
use crate::ewma::EwmaMean;
use crate::types::TenthMillis;

/// The recent wait is averaged with this many samples of no wait. With one, a second of moderate traffic
/// outweighs it, and a router with little traffic forgets a wait within a few time constants.
const NO_WAIT_WEIGHT: f64 = 1.0;
/// The weight of the prior wait in a mean wait, as a number of samples.
const PRIOR_WEIGHT: f64 = 1.0;

/// The mean waits of both stages.
#[derive(Default)]
pub struct WaitTimes {
    by_stage: PerStage<BTreeMap<u8, EwmaMean>>,
}

impl WaitTimes {
    /// Records how long an attempt of a stage took to be answered or to count as lost.
    pub fn record(&mut self, now: TenthMillis, stage: Stage, class: u8, wait: f64) {
        self.by_stage.get_mut(stage).entry(class).or_default().add(now, WAIT_TIME_CONSTANT, wait);
    }

    /// Returns the mean wait of a stage, shrunk towards `prior`, which prevails while there are few samples.
    pub fn expected(&mut self, now: TenthMillis, stage: Stage, class: u8, prior: f64) -> f64 {
        let mean = self.by_stage.get_mut(stage).entry(class).or_default();
        mean.shrunk(now, WAIT_TIME_CONSTANT, prior, PRIOR_WEIGHT)
    }

    /// Returns the usual time to a first token: the sum of the mean waits of both stages.
    pub fn usual(&mut self, now: TenthMillis, class: u8) -> f64 {
        let PerStage { decode, prefill } = &mut self.by_stage;
        let means = [decode, prefill].into_iter().filter_map(|means| means.get_mut(&class));
        means.filter_map(|mean| mean.read(now, WAIT_TIME_CONSTANT)).sum()
    }

    /// Returns the recent time to a first token: like [`WaitTimes::usual`], but falling to 0 as the samples decay.
    ///
    /// Guards against admission control that keeps rejecting because the few requests it admits bring no new
    /// samples. The drawback: if traffic is low and one slow request is the only sign of a lasting overload, the
    /// sign fades.
    pub fn recent(&mut self, now: TenthMillis, class: u8) -> f64 {
        let PerStage { decode, prefill } = &mut self.by_stage;
        let means = [decode, prefill].into_iter().filter_map(|means| means.get_mut(&class));
        means.map(|mean| mean.shrunk(now, WAIT_TIME_CONSTANT, 0.0, NO_WAIT_WEIGHT)).sum()
    }
}
