//! What a router is told when it starts.

use tideroute_wire::{Address, Micros, Origin};

use crate::tenant_admission::TenantConfig;

/// What the books work under, whichever protocol they serve.
#[derive(Clone, Debug)]
pub struct LifecycleConfig {
    /// How it names itself to workers and the list.
    pub name: String,
    /// What the decision module works under.
    pub scheduler: tideroute::types::SchedulerConfig,
    /// Names of the tracks, for figures and logs.
    pub classes: Vec<String>,
    /// A connection or a probe that takes longer has failed.
    pub connect_timeout: Micros,
    /// Submissions open at once; what comes beyond is turned back before the module hears of it.
    pub max_open_requests: usize,
    /// Who may use it, at first; None where anybody may.
    pub tenants: Option<Vec<TenantConfig>>,
    /// This instance's part of each tenant's limits.
    pub limits_share: f64,
    /// How long a tenant's submission may wait to be let in.
    pub max_admission_wait: Micros,
    /// Where the module's chance and the ids start.
    pub seed: u64,
}

#[derive(Clone, Debug)]
pub struct RouterConfig {
    pub lifecycle: LifecycleConfig,
    pub discovery: Address,
    /// What tells its ids from those of every other router and start.
    pub origin: Origin,
    /// What an answer needs on its way to the client: cut-offs are kept so much earlier.
    pub network_delay: Micros,
    /// Tokens of one stream that may be under way before its client has taken them.
    pub stream_window_tokens: u32,
    /// Submissions open at once from one client.
    pub max_requests_per_client: usize,
    /// Clients connected at once; one more is sent away.
    pub max_clients: usize,
}
