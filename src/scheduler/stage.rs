//! The two stages of a request, and a container with one value for each.

/// A stage of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The response is decoded. A mixed worker prefills the prompt in the same attempt.
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
