//! The final response to a request.

/// The final response to a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Response {
    Completed { tokens: u32 },
    Rejected,
    Failed,
}
