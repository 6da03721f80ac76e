//! The records of a file, as they are used after it was checked. Durations are microseconds, sizes bytes. The keys of
//! files are the names of the fields, or what serde renames them to.

use serde::{Deserialize, Serialize};

mod discovery;
mod load;
mod relay;
mod router;
mod scenario;
mod trouble;
mod worker;

pub use discovery::{Late, List};
pub use load::{Burst, Key, Load, Range, Traffic, Uneven};
pub use relay::{Door, Fault, Relay};
pub use router::{Admin, AdminKey, Fleet, Kind, Role, Router, Tenant, Terms, Track};
pub use scenario::{Day, DayLoad, Expect, Group};
pub use trouble::{Drawn, Trouble};
pub use worker::{Able, Step, Worker};

/// The parts of a file, each of them optional.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct File {
    /// One router process.
    pub router: Option<Router>,
    /// One emulated worker.
    pub worker: Option<Worker>,
    /// Discovery.
    pub list: Option<List>,
    /// A relay between the processes of a scenario.
    pub relay: Option<Relay>,
    /// Clients.
    pub load: Option<Load>,
    /// A scenario.
    pub day: Option<Day>,
}
