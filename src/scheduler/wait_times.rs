//! How long answers of each stage take, over all workers, by request class.

use std::collections::BTreeMap;

use super::stage::{PerStage, Stage};
use super::timing::WAIT_TIME_CONSTANT;
use crate::ewma::EwmaMean;
use crate::types::TenthMillis;

/// How many samples of no wait at all the recent wait is weighed with: one, so that a second of some traffic
/// outweighs it and a router that sees little forgets within a few time constants.
const NO_WAIT_WEIGHT: f64 = 1.0;
/// How many samples the wait expected beforehand counts for.
const PRIOR_WEIGHT: f64 = 1.0;

/// The mean waits of both stages.
#[derive(Default)]
pub struct WaitTimes {
    by_stage: PerStage<BTreeMap<u8, EwmaMean>>,
}

impl WaitTimes {
    /// An attempt of a stage was answered, or taken for lost, after so long.
    pub fn record(&mut self, now: TenthMillis, stage: Stage, class: u8, wait: f64) {
        self.by_stage.get_mut(stage).entry(class).or_default().add(now, WAIT_TIME_CONSTANT, wait);
    }

    /// The mean wait of a stage, shrunk towards what is expected while little is known.
    pub fn expected(&mut self, now: TenthMillis, stage: Stage, class: u8, prior: f64) -> f64 {
        let mean = self.by_stage.get_mut(stage).entry(class).or_default();
        mean.shrunk(now, WAIT_TIME_CONSTANT, prior, PRIOR_WEIGHT)
    }

    /// The usual way to a first token: the waits of both stages.
    pub fn usual(&mut self, now: TenthMillis, class: u8) -> f64 {
        let PerStage { decode, prefill } = &mut self.by_stage;
        let means = [decode, prefill].into_iter().filter_map(|means| means.get_mut(&class));
        means.filter_map(|mean| mean.read(now, WAIT_TIME_CONSTANT)).sum()
    }

    /// The same, as far as it was seen of late.
    ///
    /// Guards against an admission control that stays closed for want of samples, as hardly any request is sent while
    /// it is; harms where one slow way in a lull tells of a jam that goes on.
    pub fn recent(&mut self, now: TenthMillis, class: u8) -> f64 {
        let PerStage { decode, prefill } = &mut self.by_stage;
        let means = [decode, prefill].into_iter().filter_map(|means| means.get_mut(&class));
        means.map(|mean| mean.shrunk(now, WAIT_TIME_CONSTANT, 0.0, NO_WAIT_WEIGHT)).sum()
    }
}
