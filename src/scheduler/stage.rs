//! The two stages of a request, and values kept for each.

/// A stage of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The answer is decoded; a mixed worker prefills in the same attempt.
    Decode,
    /// The prompt is prefilled.
    Prefill,
}

/// One value for each stage.
#[derive(Default)]
pub struct PerStage<T> {
    pub decode: T,
    pub prefill: T,
}

impl<T> PerStage<T> {
    pub fn get_mut(&mut self, stage: Stage) -> &mut T {
        match stage {
            Stage::Decode => &mut self.decode,
            Stage::Prefill => &mut self.prefill,
        }
    }
}
