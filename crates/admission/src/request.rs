//! What callers report: requests, and the timing of their responses.

use crate::units::Micros;

/// A tenant, by the number that its caller gave it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Tenant(pub u32);

/// Identifies a request; unique among the requests that are open.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Ticket(pub u64);

/// A request that waits for its verdict.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// The request's id.
    pub ticket: Ticket,
    /// The tenant that sent it.
    pub tenant: Tenant,
    /// Prompt tokens. They count against the rate of tokens and, with one more for the request itself, against the
    /// tenant's fair share.
    pub tokens: u32,
    /// Priority weight of its request class: within a tenant, a higher weight goes first.
    pub priority_weight: f64,
    /// When the client stops waiting.
    pub deadline: Micros,
}

/// What the response to an admitted request says about the capacity.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ResponseTiming {
    /// The first token met the latency objective.
    InTime,
    /// The first token missed the latency objective, or the scheduler rejected the request.
    Late,
    /// The response says nothing about the capacity.
    Unknown,
}
