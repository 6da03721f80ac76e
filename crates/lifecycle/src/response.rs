//! The final response to a request.

use tideroute_invariants::FinalResponse;
use tideroute_wire::Micros;

/// The final response to a client.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Response {
    /// A worker's complete response, with the number of tokens relayed.
    Completed(u32),
    /// The request was rejected. A retry is harmless, after this many microseconds; with 0 the response has no
    /// Retry-After.
    Rejected(Micros),
    /// The request failed and may have run.
    Failed,
}

impl Response {
    /// Returns the kind of response, which the invariants check.
    pub(crate) fn kind(self) -> FinalResponse {
        match self {
            Response::Completed(_) => FinalResponse::Completed,
            Response::Rejected(_) => FinalResponse::Rejected,
            Response::Failed => FinalResponse::Failed,
        }
    }

    /// Returns the `outcome` label of the response metrics.
    pub(crate) fn metric_label(self) -> &'static str {
        match self {
            Response::Completed(_) => "completed",
            Response::Rejected(_) => "rejected",
            Response::Failed => "failed",
        }
    }
}
