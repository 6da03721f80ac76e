//! The requests that callers report, and the timing of their responses.

use crate::units::Micros;

/// Identifies a tenant by a number that the caller of [`AdmissionControl`](crate::AdmissionControl) chooses.
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
    /// Number of prompt tokens. They count against the tenant's token rate limit and, plus one for the request itself,
    /// against its fair share.
    pub tokens: u32,
    /// Priority weight of its request class. Within a tenant, requests with a higher weight are admitted first.
    pub priority_weight: f64,
    /// Time at which the client stops waiting for the response.
    pub deadline: Micros,
}

/// The timing of the response to an admitted request, from which the capacity is inferred.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ResponseTiming {
    /// The first token met the latency objective.
    InTime,
    /// The first token missed the latency objective, or the scheduler rejected the request.
    Late,
    /// The timing is not known; the response does not count for the inferred capacity.
    Unknown,
}
