//! Configuration that holds for all tenants.

use crate::units::Micros;

/// Configuration of [`AdmissionControl`](crate::AdmissionControl) that holds for all tenants.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionConfig {
    /// How long a request may wait for its verdict at most.
    pub max_wait: Micros,
    /// How many requests of all tenants together may wait at most.
    pub max_waiting: usize,
    /// The longest Retry-After that a rejected client is given.
    pub max_retry_after: Micros,
}
