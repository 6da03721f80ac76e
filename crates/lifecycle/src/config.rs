//! What a router is told when it starts.

use tideroute_wire::{Address, Micros, Origin};

use crate::tenant_admission::TenantConfig;

/// What the books work under, whichever protocol they serve.
#[derive(Clone, Debug)]
pub struct LifecycleConfig {
    /// How it names itself to workers and the list.
    pub name: String,
    /// What the decision module works under.
    pub module: tideroute::types::SchedulerConfig,
    /// Names of the tracks, for figures and logs.
    pub classes: Vec<String>,
    /// A connection or a probe that takes longer has failed.
    pub unheard: Micros,
    /// Submissions open at once; what comes beyond is turned back before the module hears of it.
    pub most_open: usize,
    /// Who may use it, at first; None where anybody may.
    pub tenants: Option<Vec<TenantConfig>>,
    /// This instance's part of each tenant's limits.
    pub part: f64,
    /// How long a tenant's submission may wait to be let in.
    pub longest_wait: Micros,
    /// Where the module's chance and the ids start.
    pub seed: u64,
}

#[derive(Clone, Debug)]
pub struct RouterConfig {
    pub lifecycle: LifecycleConfig,
    pub list: Address,
    /// What tells its ids from those of every other router and start.
    pub origin: Origin,
    /// What an answer needs on its way to the client: cut-offs are kept so much earlier.
    pub travel: Micros,
    /// Tokens of one stream that may be under way before its client has taken them.
    pub window: u32,
    /// Submissions open at once from one client.
    pub most_a_client: usize,
    /// Clients connected at once; one more is sent away.
    pub most_clients: usize,
}
