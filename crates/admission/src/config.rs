//! Configuration that applies to all tenants.

use crate::units::Micros;

/// Configuration of [`AdmissionControl`](crate::AdmissionControl) that applies to all tenants.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionConfig {
    /// Longest time that a request may wait for its verdict.
    pub max_wait: Micros,
    /// Maximum number of waiting requests of all tenants together.
    pub max_waiting: usize,
    /// Longest `retry_after` of a rejection.
    pub max_retry_after: Micros,
}
