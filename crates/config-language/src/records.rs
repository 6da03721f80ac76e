//! The records of a file, as they are used after it was checked. Durations are microseconds, sizes bytes. The keys of
//! files are the names of the fields, or what serde renames them to.

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

/// The parts of a file, each of them optional.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct File {
    /// One router process.
    pub router: Option<Router>,
    /// One emulated worker.
    pub worker: Option<Worker>,
    /// Discovery.
    pub list: Option<Discovery>,
    /// A relay between the processes of a scenario.
    pub relay: Option<Relay>,
    /// Clients.
    pub load: Option<Load>,
    /// A scenario.
    pub day: Option<Scenario>,
}
