//! Scenarios.

use super::fault::{RandomFaults, ScenarioFault};
use super::load::{SkewedLoad, Traffic};
use super::router::{RequestClass, SchedulerSettings, Tenant, WorkerKind};
use super::worker::WorkerCapacity;
use serde::{Deserialize, Serialize};

/// A scenario: scripted load and faults on a whole deployment.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Scenario {
    /// Purpose of the scenario, for readers.
    pub note: String,
    /// Seed of all its random numbers.
    pub seed: u64,
    /// Number of routers.
    pub routers: usize,
    /// Number of threads per router.
    pub cores: u32,
    /// Whether the routers form a cluster by the membership protocol.
    pub membership: bool,
    /// Number of cells.
    pub cells: u16,
    /// Number of zones.
    pub zones: u8,
    /// Worker kinds.
    pub kinds: Vec<WorkerKind>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// Whether routers know the tenants; a run without serves as the baseline.
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
    /// Delay of discovery updates.
    pub lag: u64,
    /// The client load.
    pub load: ScenarioLoad,
    /// Faults at set times.
    #[serde(rename = "troubles")]
    pub scheduled_faults: Vec<ScenarioFault>,
    /// Additional faults that are generated from a seed.
    #[serde(rename = "faults")]
    pub random_faults: Option<RandomFaults>,
    /// Results that the run must reach.
    pub expect: Expectations,
}

/// The load of a scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ScenarioLoad {
    /// Requests per second.
    pub rate: f64,
    /// Period during which requests are sent.
    #[serde(rename = "for")]
    pub duration: u64,
    /// Number of clients, each with one connection.
    pub clients: usize,
    /// Kinds of traffic that make up the load.
    pub traffic: Vec<Traffic>,
    /// Maximum number of retries of a request by its client.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// Minimum pause before a retry.
    #[serde(rename = "retry_wait")]
    pub retry_delay: u64,
    /// Share of requests that the client leaves before the response has ended.
    #[serde(rename = "leaves")]
    pub disconnect_share: f64,
    /// Number of clients that read their responses slowly.
    #[serde(rename = "sluggish")]
    pub slow_readers: usize,
    /// Skew of the load between routers; without it the load is even.
    #[serde(rename = "uneven")]
    pub skew: Option<SkewedLoad>,
}

/// A group of identical workers, assigned to the cells in turn.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkerGroup {
    /// Name of the group; a worker's name is this and its number.
    pub name: String,
    /// Name of its worker kind.
    pub kind: String,
    /// Number of workers.
    pub count: usize,
    /// Capacity of each worker.
    #[serde(rename = "does")]
    pub capacity: WorkerCapacity,
}

/// Results that a run must reach, in addition to the invariants.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Expectations {
    /// Minimum share of all priority weight that must be served within the latency objective.
    #[serde(rename = "service")]
    pub min_service: f64,
    /// Minimum share of requests that must be completed.
    #[serde(rename = "honoured")]
    pub min_completed: f64,
    /// Maximum memory that any process may use, in bytes.
    #[serde(rename = "memory")]
    pub max_memory: u64,
}

impl Scenario {
    /// Returns all workers, group by group: name, group, and number within the group.
    pub fn workers(&self) -> impl Iterator<Item = (String, &WorkerGroup, usize)> {
        self.worker_groups
            .iter()
            .flat_map(|group| (0..group.count).map(move |n| (format!("{}{n}", group.name), group, n)))
    }

    /// Returns the processes that a name refers to: a single one, all of a group (`router`, or a worker group's name),
    /// or a range of a group (`router10-19`). Empty if the name matches no process.
    pub fn processes_matching(&self, name: &str) -> Vec<String> {
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

    /// Returns the scenario with the targets of external faults resolved to the names of single processes.
    pub fn with_resolved_targets(&self) -> Scenario {
        let mut scenario = self.clone();
        for fault in scenario.scheduled_faults.iter_mut().filter(|fault| fault.is_external()) {
            fault.targets = fault.targets.iter().flat_map(|name| self.processes_matching(name)).collect();
        }
        scenario
    }

    /// Returns the names of the routers.
    pub fn router_names(&self) -> impl Iterator<Item = String> {
        (0..self.routers).map(|n| format!("router{n}"))
    }
}

/// Parses a range of a group of `count`: `N`, `N-M`, or an empty text for the whole group. Returns the first and last
/// number, or `None` if the text is no range within the group.
fn number_range(text: &str, count: usize) -> Option<(usize, usize)> {
    let (first, last) = if text.is_empty() {
        (0, count.saturating_sub(1))
    } else {
        let (first, last) = text.split_once('-').unwrap_or((text, text));
        (first.parse().ok()?, last.parse().ok()?)
    };
    (first <= last && last < count).then_some((first, last))
}
