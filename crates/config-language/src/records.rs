//! The typed records of a configuration file that passed validation. Durations are in microseconds, sizes in bytes.
//! A field whose key in files differs from its name carries the key in a serde `rename` attribute.

use serde::{Deserialize, Serialize};

mod discovery;
mod fault;
mod load;
mod relay;
mod router;
mod scenario;
mod worker;

pub use discovery::{Discovery, DiscoveryDelay};
pub use fault::{RandomFaults, ScenarioFault};
pub use load::{Load, LoadBurst, SkewedLoad, TenantKey, TokenRange, Traffic};
pub use relay::{Relay, RelayFault, RelayListener};
pub use router::{
    AdminConfig, AdminKey, MembershipConfig, RequestClass, Role, Router, SchedulerSettings, Tenant,
    WorkerKind,
};
pub use scenario::{Expectations, Scenario, ScenarioLoad, WorkerGroup};
pub use worker::{Worker, WorkerCapacity, WorkerFault};

/// A configuration file. Each part is optional; each command uses its own part.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct File {
    /// The configuration of one router process.
    pub router: Option<Router>,
    /// The configuration of one emulated worker.
    pub worker: Option<Worker>,
    /// The configuration of emulated discovery.
    pub list: Option<Discovery>,
    /// The configuration of a relay between the processes of a scenario.
    pub relay: Option<Relay>,
    /// The configuration of the client load.
    pub load: Option<Load>,
    /// A scenario.
    pub day: Option<Scenario>,
}
