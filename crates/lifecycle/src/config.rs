//! Configuration of the request lifecycle.

use tideroute_wire::Micros;

use crate::tenant_admission::TenantConfig;

/// Configuration of a [`RequestLifecycle`](crate::RequestLifecycle), whichever protocol it serves.
#[derive(Clone, Debug)]
pub struct LifecycleConfig {
    /// The router's name, as workers and discovery see it; also the `core` label of its metrics.
    pub name: String,
    /// Configuration of the scheduler.
    pub scheduler: tideroute::types::SchedulerConfig,
    /// Names of the request classes, in the scheduler's order, for metrics and logs.
    pub classes: Vec<String>,
    /// Microseconds after which a connection attempt or a health check has failed.
    pub connect_timeout: Micros,
    /// Maximum number of open requests; requests beyond it are rejected before the scheduler sees them.
    pub max_open_requests: usize,
    /// The tenants at start; `None` where no tenant is configured and every client is served.
    pub tenants: Option<Vec<TenantConfig>>,
    /// This instance's fraction of each tenant's limits.
    pub limits_share: f64,
    /// Microseconds that a tenant's request may wait for admission.
    pub max_admission_wait: Micros,
    /// Seed of the scheduler's random number generator and base of the request ids.
    pub seed: u64,
}
