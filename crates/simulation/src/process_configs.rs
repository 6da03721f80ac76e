//! Creates the configuration files of the processes of a scenario.

use std::collections::BTreeMap;

use tideroute_config_language::records::{
    Discovery, DiscoveryDelay, File, Load, LoadBurst, MembershipConfig, Role, Router, Scenario,
    SchedulerSettings, Tenant, TenantKey, Worker, WorkerFault, WorkerGroup,
};
use tideroute_membership_checker::{ClusterMembers, Partition};
use tideroute_trace_checker::{ClassConfig, DeduplicationScope, Idempotency, WorkerConfig};
use tideroute_wire::Micros;

use crate::direct_load::KnownWorker;

/// The addresses at which the processes of a scenario listen.
pub struct ProcessAddresses {
    /// The address of discovery, which serves the endpoint list.
    pub discovery: String,
    pub routers: Vec<String>,
    pub workers: Vec<String>,
    /// The membership addresses of routers.
    pub members: Vec<String>,
    /// The addresses at which the relay listens, if the scenario has one.
    pub relay_listeners: Vec<String>,
}

/// Number of routers that all others know as seeds of the cluster.
const SEEDS: usize = 3;

/// Returns the settings of routers and workers.
pub fn settings(scenario: &Scenario) -> SchedulerSettings {
    SchedulerSettings { routers: scenario.routers as u32, ..scenario.settings.clone() }
}

/// Returns the zone of a cell.
fn zone(scenario: &Scenario, cell: u16) -> u8 {
    (cell % u16::from(scenario.zones)) as u8
}

/// Returns the configuration of the endpoint list (discovery).
pub fn discovery(scenario: &Scenario, addresses: &ProcessAddresses) -> File {
    let delays = scenario.scheduled_faults.iter().filter(|fault| fault.kind == "list-late").map(|fault| {
        DiscoveryDelay { at: fault.at, duration: fault.duration.unwrap_or(0), lag: fault.lag.unwrap_or(0) }
    });
    let discovery =
        Discovery { listen: addresses.discovery.clone(), lag: scenario.lag, delays: delays.collect() };
    File { list: Some(discovery), ..File::default() }
}

/// Returns the configuration of a router; `endpoint_cache` is the path at which it persists the endpoint list.
pub fn router(
    scenario: &Scenario,
    addresses: &ProcessAddresses,
    index: usize,
    endpoint_cache: String,
) -> File {
    let router = Router {
        name: format!("router{index}"),
        listen: addresses.routers[index].clone(),
        discovery: addresses.discovery.clone(),
        metrics: None,
        endpoint_cache: Some(endpoint_cache),
        seed: None,
        cores: scenario.cores,
        classes: scenario.classes.clone(),
        kinds: scenario.kinds.clone(),
        settings: settings(scenario),
        tenants: tenants(scenario),
        admin: None,
        membership: addresses.members.get(index).map(|listen| MembershipConfig {
            name: "day".into(),
            listen: listen.clone(),
            seeds: addresses.members.iter().take(SEEDS).cloned().collect(),
            key: blake3::hash(format!("the key of day {}", scenario.seed).as_bytes()).to_hex().to_string(),
        }),
    };
    File { router: Some(router), ..File::default() }
}

/// Returns the tenants as the routers know them, with the hashes of their keys; none if the routers do not know tenants.
fn tenants(scenario: &Scenario) -> Vec<Tenant> {
    let known_tenants = scenario.tenants.iter().filter(|_| scenario.routers_know_tenants);
    let hash = |name: &str| blake3::hash(key(name).as_bytes()).to_hex().to_string();
    known_tenants.map(|tenant| Tenant { key: hash(&tenant.name), ..tenant.clone() }).collect()
}

/// Returns the key that the clients of a tenant send.
fn key(tenant: &str) -> String {
    format!("the key of {tenant}")
}

/// Returns the configuration of a worker: `index` is its index among all workers of the scenario,
/// `index_in_group` that in its group.
pub fn worker(
    scenario: &Scenario,
    addresses: &ProcessAddresses,
    index: usize,
    name: &str,
    group: &WorkerGroup,
    index_in_group: usize,
) -> File {
    let cell = (index_in_group % usize::from(scenario.cells)) as u16;
    let targets_worker = |fault: &&tideroute_config_language::records::ScenarioFault| {
        fault.targets.iter().any(|target| target == name)
    };
    let scripted =
        scenario.scheduled_faults.iter().filter(targets_worker).filter(|fault| !fault.is_external());
    let script = scripted.map(|fault| WorkerFault {
        at: fault.at,
        kind: fault.kind.clone(),
        duration: fault.duration,
        factor: fault.factor,
    });
    let worker = Worker {
        name: name.to_string(),
        listen: addresses.workers[index].clone(),
        discovery: addresses.discovery.clone(),
        kind: scenario.kinds.iter().position(|kind| kind.name == group.kind).unwrap_or(0) as u16,
        cell,
        zone: zone(scenario, cell),
        warm: true,
        capacity: group.capacity.clone(),
        settings: settings(scenario),
        script: script.collect(),
    };
    File { worker: Some(worker), ..File::default() }
}

/// Returns the configuration of the client load.
pub fn load(scenario: &Scenario, addresses: &ProcessAddresses) -> File {
    let bursts = scenario.scheduled_faults.iter().filter(|fault| fault.kind == "burst");
    let burst = |fault: &tideroute_config_language::records::ScenarioFault| LoadBurst {
        at: fault.at,
        duration: fault.duration.unwrap_or(0),
        factor: fault.factor,
        tenant: fault.tenant.clone(),
    };
    let bursts = bursts.map(burst).collect();
    let state_bytes = scenario.worker_groups.first().map_or(16, |group| group.capacity.state_bytes_per_token);
    let load = Load {
        routers: addresses.routers.clone(),
        seed: scenario.seed,
        rate: scenario.load.rate,
        duration: scenario.load.duration,
        clients: scenario.load.clients,
        classes: scenario.classes.clone(),
        traffic: scenario.load.traffic.clone(),
        skew: scenario.load.skew,
        max_retries: scenario.load.max_retries,
        retry_delay: scenario.load.retry_delay,
        disconnect_share: scenario.load.disconnect_share,
        slow_readers: scenario.load.slow_readers,
        bursts,
        keys: scenario
            .tenants
            .iter()
            .map(|tenant| TenantKey { tenant: tenant.name.clone(), key: key(&tenant.name) })
            .collect(),
        state_bytes_per_token: state_bytes,
    };
    File { load: Some(load), ..File::default() }
}

/// Returns what the direct client load knows of the workers.
pub fn known_workers(scenario: &Scenario, addresses: &ProcessAddresses) -> Vec<KnownWorker> {
    let workers = scenario.workers().enumerate().filter_map(|(index, (_, group, index_in_group))| {
        let address = crate::convert::parse_address(&addresses.workers[index]).ok()?;
        let cell = (index_in_group % usize::from(scenario.cells)) as u16;
        let (is_prefill, size) = (group.capacity.role == Role::Reader, group.capacity.size);
        Some(KnownWorker { address, is_prefill, cell, size })
    });
    workers.collect()
}

/// Fraction of lost datagrams above which two routers may declare each other dead.
const PARTITIONING_LOSS: f64 = 0.25;

/// Returns what the membership checker needs to know of the scenario; `None` if the routers form no cluster.
pub fn cluster_members(scenario: &Scenario, load_starts_at: Micros) -> Option<ClusterMembers> {
    let partitions = scenario.scheduled_faults.iter().filter(|fault| {
        fault.kind == "cut"
            || fault.kind == "delay" && fault.loss.is_some_and(|loss| loss > PARTITIONING_LOSS)
    });
    let matching_processes =
        |names: &[String]| names.iter().flat_map(|name| scenario.processes_matching(name)).collect();
    let partitions = partitions.map(|fault| Partition {
        from: load_starts_at + fault.at,
        until: load_starts_at + fault.at + fault.duration.unwrap_or(0),
        side: matching_processes(&fault.side),
        other_side: matching_processes(&fault.other_side),
    });
    scenario.membership.then(|| ClusterMembers {
        names: scenario.router_names().collect(),
        partitions: partitions.collect(),
    })
}

/// Returns what the trace checker needs to know of the scenario.
pub fn checker_config(
    scenario: &Scenario,
    addresses: &ProcessAddresses,
) -> tideroute_trace_checker::CheckerConfig {
    let classes = scenario.classes.iter().map(|class| ClassConfig {
        name: class.name.clone(),
        idempotency: match class.idempotency.as_str() {
            "replayable" => Idempotency::Idempotent,
            "referenced" => Idempotency::IdempotentWithKey,
            _ => Idempotency::NonIdempotent,
        },
        deduplication_scope: match class.deduplication_scope.as_str() {
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            _ => DeduplicationScope::All,
        },
        deduplication_window: class.deduplication_window,
        ttft_objective: class.ttft_objective,
        ttft_objective_per_1000_tokens: class.ttft_objective_per_1000_tokens,
    });
    let workers: BTreeMap<_, _> = scenario
        .workers()
        .enumerate()
        .map(|(index, (_, group, index_in_group))| {
            let cell = (index_in_group % usize::from(scenario.cells)) as u16;
            let capacity = &group.capacity;
            let rate = match capacity.role {
                Role::Reader => capacity.prefill_tokens_per_second * capacity.prefill_slots as f64,
                _ => capacity.decode_slots as f64 * 1e6 / capacity.token_interval as f64,
            };
            let is_prefill = capacity.role == Role::Reader;
            let slots = if is_prefill { capacity.prefill_slots } else { capacity.decode_slots } as u32;
            let zone = zone(scenario, cell);
            (
                addresses.workers[index].clone(),
                WorkerConfig { tokens_per_second: rate, is_prefill, cell, zone, slots },
            )
        })
        .collect();
    tideroute_trace_checker::CheckerConfig {
        classes: classes.collect(),
        workers,
        max_idle_state: scenario.settings.state_release_timeout,
        drain_grace: scenario.settings.drain_grace,
        slow_start_share: scenario.settings.slow_start_share,
        warm_up: scenario.settings.warm_up,
        overload_multiple: scenario.settings.overload_multiple,
        overload_window: scenario.settings.overload_window,
        max_attempts: scenario.settings.max_attempts,
    }
}
