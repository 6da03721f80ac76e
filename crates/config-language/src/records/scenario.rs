//! Scenarios.

use super::fault::{RandomFaults, ScenarioFault};
use super::load::{SkewedLoad, Traffic};
use super::router::{RequestClass, SchedulerSettings, Tenant, WorkerKind};
use super::worker::WorkerCapacity;
use serde::{Deserialize, Serialize};

/// A scenario: scripted load and faults on a whole deployment.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Scenario {
    /// What it is for.
    pub note: String,
    /// Seed of all its random numbers.
    pub seed: u64,
    /// Routers.
    pub routers: usize,
    /// Threads of each router.
    pub cores: u32,
    /// Whether routers form a cluster.
    pub membership: bool,
    /// Cells.
    pub cells: u16,
    /// Zones.
    pub zones: u8,
    /// Worker kinds.
    pub kinds: Vec<WorkerKind>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// Whether routers know the tenants; without, the scenario is the baseline.
    #[serde(rename = "shares")]
    pub routers_know_tenants: bool,
    /// Groups of workers.
    #[serde(rename = "fleet")]
    pub worker_groups: Vec<WorkerGroup>,
    /// Request classes.
    #[serde(rename = "tracks")]
    pub classes: Vec<RequestClass>,
    /// Settings of the routers.
    #[serde(rename = "terms")]
    pub settings: SchedulerSettings,
    /// How late updates of discovery are.
    pub lag: u64,
    /// The load.
    pub load: ScenarioLoad,
    /// Scripted faults.
    #[serde(rename = "troubles")]
    pub scheduled_faults: Vec<ScenarioFault>,
    /// Random faults.
    #[serde(rename = "faults")]
    pub random_faults: Option<RandomFaults>,
    /// What it must show.
    pub expect: Expectations,
}

/// The load of a scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ScenarioLoad {
    /// Requests a second.
    pub rate: f64,
    /// How long requests come.
    #[serde(rename = "for")]
    pub duration: u64,
    /// Client connections.
    pub clients: usize,
    /// What requests are like.
    pub traffic: Vec<Traffic>,
    /// Retries by a client at most.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// Pause before a retry.
    #[serde(rename = "retry_wait")]
    pub retry_delay: u64,
    /// The part of requests whose client disconnects early.
    #[serde(rename = "leaves")]
    pub disconnect_share: f64,
    /// Clients that read slowly.
    #[serde(rename = "sluggish")]
    pub slow_readers: usize,
    /// Skewed load.
    #[serde(rename = "uneven")]
    pub skew: Option<SkewedLoad>,
}

/// A group of like workers, spread over the cells in turn.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkerGroup {
    /// Its name, which the workers' names begin with.
    pub name: String,
    /// Name of its worker kind.
    pub kind: String,
    /// Workers.
    pub count: usize,
    /// What each can do.
    #[serde(rename = "does")]
    pub capacity: WorkerCapacity,
}

/// What a scenario must show beside the rules.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Expectations {
    /// The part of all priority weight that was served within the latency objective, at least.
    #[serde(rename = "service")]
    pub min_service: f64,
    /// The part of requests completed in the end, at least.
    #[serde(rename = "honoured")]
    pub min_completed: f64,
    /// Bytes of memory that any process held, at most.
    #[serde(rename = "memory")]
    pub max_memory: u64,
}

impl Scenario {
    /// All workers, group by group: name, group, and number within the group.
    pub fn workers(&self) -> impl Iterator<Item = (String, &WorkerGroup, usize)> {
        self.worker_groups
            .iter()
            .flat_map(|group| (0..group.count).map(move |n| (format!("{}{n}", group.name), group, n)))
    }

    /// The processes that a name stands for: one, all of a group (`router`, or a worker group's name), or some of one
    /// (`router10-19`). Empty for a name that stands for none.
    pub fn named(&self, name: &str) -> Vec<String> {
        let worker_groups = self.worker_groups.iter().map(|group| (group.name.as_str(), group.count));
        for (group, count) in worker_groups.chain([("router", self.routers)]) {
            let Some(numbers) = name.strip_prefix(group) else { continue };
            if let Some((first, last)) = number_range(numbers, count) {
                return (first..=last).map(|n| format!("{group}{n}")).collect();
            }
        }
        if ["list", "load"].contains(&name) {
            vec![name.to_string()]
        } else {
            vec![]
        }
    }

    /// The same scenario with each process named that a fault from outside meets.
    pub fn with_names(&self) -> Scenario {
        let mut scenario = self.clone();
        for fault in scenario.scheduled_faults.iter_mut().filter(|fault| fault.from_outside()) {
            fault.targets = fault.targets.iter().flat_map(|name| self.named(name)).collect();
        }
        scenario
    }

    /// The names of the routers.
    pub fn router_names(&self) -> impl Iterator<Item = String> {
        (0..self.routers).map(|n| format!("router{n}"))
    }
}

/// First and last number of `N`, `N-M`, or an empty text for all of a group of `count`; none if that is no range of the
/// group.
fn number_range(text: &str, count: usize) -> Option<(usize, usize)> {
    let (first, last) = if text.is_empty() {
        (0, count.saturating_sub(1))
    } else {
        let (first, last) = text.split_once('-').unwrap_or((text, text));
        (first.parse().ok()?, last.parse().ok()?)
    };
    (first <= last && last < count).then_some((first, last))
}
