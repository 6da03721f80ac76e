//! The configuration files of the processes of a scenario.

use std::collections::BTreeMap;

use tideroute_config_language::records::{
    Discovery, DiscoveryDelay, File, Load, LoadBurst, MembershipConfig, Role, Router, Scenario,
    SchedulerSettings, Tenant, TenantKey, Worker, WorkerFault, WorkerGroup,
};
use tideroute_membership_checker::{FleetMembers, Partition};
use tideroute_trace_checker::{ClassConfig, DeduplicationScope, Idempotency, WorkerConfig};
use tideroute_wire::Micros;

use crate::direct_load::KnownWorker;

/// The addresses of all processes.
pub struct Ports {
    pub list: String,
    pub routers: Vec<String>,
    pub workers: Vec<String>,
    /// The membership addresses of routers.
    pub members: Vec<String>,
    /// The addresses of the relay, if the scenario has one.
    pub doors: Vec<String>,
}

/// Routers that all others know as seeds of the cluster.
const SEEDS: usize = 3;

/// The settings of routers and workers.
pub fn terms(day: &Scenario) -> SchedulerSettings {
    SchedulerSettings { routers: day.routers as u32, ..day.settings.clone() }
}

fn zone(day: &Scenario, cell: u16) -> u8 {
    (cell % u16::from(day.zones)) as u8
}

/// The configuration of the endpoint list.
pub fn list(day: &Scenario, ports: &Ports) -> File {
    let late = day.scheduled_faults.iter().filter(|t| t.kind == "list-late").map(|t| DiscoveryDelay {
        at: t.at,
        duration: t.duration.unwrap_or(0),
        lag: t.lag.unwrap_or(0),
    });
    let list = Discovery { listen: ports.list.clone(), lag: day.lag, delays: late.collect() };
    File { list: Some(list), ..File::default() }
}

/// The configuration of a router; `keep` is where it persists the endpoint list.
pub fn router(day: &Scenario, ports: &Ports, n: usize, keep: String) -> File {
    let router = Router {
        name: format!("router{n}"),
        listen: ports.routers[n].clone(),
        discovery: ports.list.clone(),
        metrics: None,
        endpoint_cache: Some(keep),
        seed: None,
        cores: day.cores,
        classes: day.classes.clone(),
        kinds: day.kinds.clone(),
        settings: terms(day),
        tenants: tenants(day),
        admin: None,
        membership: ports.members.get(n).map(|listen| MembershipConfig {
            name: "day".into(),
            listen: listen.clone(),
            seeds: ports.members.iter().take(SEEDS).cloned().collect(),
            key: blake3::hash(format!("the key of day {}", day.seed).as_bytes()).to_hex().to_string(),
        }),
    };
    File { router: Some(router), ..File::default() }
}

/// The tenants as the routers know them: with the hashes of their keys.
fn tenants(day: &Scenario) -> Vec<Tenant> {
    let known = day.tenants.iter().filter(|_| day.routers_know_tenants);
    let hash = |name: &str| blake3::hash(key(name).as_bytes()).to_hex().to_string();
    known.map(|t| Tenant { key: hash(&t.name), ..t.clone() }).collect()
}

/// The key of a tenant that its clients send.
fn key(tenant: &str) -> String {
    format!("the key of {tenant}")
}

/// The configuration of the worker at an index among all workers of the scenario.
pub fn worker(
    day: &Scenario,
    ports: &Ports,
    place: usize,
    name: &str,
    group: &WorkerGroup,
    n: usize,
) -> File {
    let cell = (n % usize::from(day.cells)) as u16;
    let mine = |t: &&tideroute_config_language::records::ScenarioFault| t.targets.iter().any(|w| w == name);
    let scripted = day.scheduled_faults.iter().filter(mine).filter(|t| !t.from_outside());
    let script = scripted.map(|t| WorkerFault {
        at: t.at,
        kind: t.kind.clone(),
        duration: t.duration,
        factor: t.factor,
    });
    let worker = Worker {
        name: name.to_string(),
        listen: ports.workers[place].clone(),
        discovery: ports.list.clone(),
        kind: day.kinds.iter().position(|k| k.name == group.kind).unwrap_or(0) as u16,
        cell,
        zone: zone(day, cell),
        warm: true,
        capacity: group.capacity.clone(),
        settings: terms(day),
        script: script.collect(),
    };
    File { worker: Some(worker), ..File::default() }
}

/// The configuration of the client load.
pub fn load(day: &Scenario, ports: &Ports) -> File {
    let bursts = day.scheduled_faults.iter().filter(|t| t.kind == "burst");
    let burst = |t: &tideroute_config_language::records::ScenarioFault| LoadBurst {
        at: t.at,
        duration: t.duration.unwrap_or(0),
        factor: t.factor,
        tenant: t.tenant.clone(),
    };
    let bursts = bursts.map(burst).collect();
    let bytes = day.worker_groups.first().map_or(16, |g| g.capacity.state_bytes_per_token);
    let load = Load {
        routers: ports.routers.clone(),
        seed: day.seed,
        rate: day.load.rate,
        duration: day.load.duration,
        clients: day.load.clients,
        classes: day.classes.clone(),
        traffic: day.load.traffic.clone(),
        skew: day.load.skew,
        max_retries: day.load.max_retries,
        retry_delay: day.load.retry_delay,
        disconnect_share: day.load.disconnect_share,
        slow_readers: day.load.slow_readers,
        bursts,
        keys: day.tenants.iter().map(|t| TenantKey { tenant: t.name.clone(), key: key(&t.name) }).collect(),
        state_bytes_per_token: bytes,
    };
    File { load: Some(load), ..File::default() }
}

/// The workers, as the direct load knows them.
pub fn known(day: &Scenario, ports: &Ports) -> Vec<KnownWorker> {
    let workers = day.workers().enumerate().filter_map(|(place, (_, group, n))| {
        let address = crate::convert::address(&ports.workers[place]).ok()?;
        let cell = (n % usize::from(day.cells)) as u16;
        let (reader, size) = (group.capacity.role == Role::Reader, group.capacity.size);
        Some(KnownWorker { address, reader, cell, size })
    });
    workers.collect()
}

/// The loss beyond which two routers may declare each other dead.
const PARTITIONING_LOSS: f64 = 0.25;

/// What the membership checker needs to know of the scenario.
pub fn members(day: &Scenario, begins: Micros) -> Option<FleetMembers> {
    let cuts = day.scheduled_faults.iter().filter(|t| {
        t.kind == "cut" || t.kind == "delay" && t.loss.is_some_and(|loss| loss > PARTITIONING_LOSS)
    });
    let named = |names: &[String]| names.iter().flat_map(|name| day.named(name)).collect();
    let cuts = cuts.map(|t| Partition {
        from: begins + t.at,
        until: begins + t.at + t.duration.unwrap_or(0),
        side: named(&t.side),
        other_side: named(&t.other_side),
    });
    day.membership.then(|| FleetMembers { names: day.router_names().collect(), partitions: cuts.collect() })
}

/// What the trace checker needs to know of the scenario.
pub fn rules(day: &Scenario, ports: &Ports) -> tideroute_trace_checker::CheckerConfig {
    let tracks = day.classes.iter().map(|t| ClassConfig {
        name: t.name.clone(),
        idempotency: match t.idempotency.as_str() {
            "replayable" => Idempotency::Idempotent,
            "referenced" => Idempotency::IdempotentWithKey,
            _ => Idempotency::NonIdempotent,
        },
        deduplication_scope: match t.deduplication_scope.as_str() {
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            _ => DeduplicationScope::All,
        },
        deduplication_window: t.deduplication_window,
        ttft_objective: t.ttft_objective,
        ttft_objective_per_1000_tokens: t.ttft_objective_per_1000_tokens,
    });
    let workers: BTreeMap<_, _> = day
        .workers()
        .enumerate()
        .map(|(place, (_, group, n))| {
            let cell = (n % usize::from(day.cells)) as u16;
            let does = &group.capacity;
            let rate = match does.role {
                Role::Reader => does.prefill_tokens_per_second * does.prefill_slots as f64,
                _ => does.decode_slots as f64 * 1e6 / does.token_interval as f64,
            };
            let reader = does.role == Role::Reader;
            let at_once = if reader { does.prefill_slots } else { does.decode_slots } as u32;
            let zone = zone(day, cell);
            (
                ports.workers[place].clone(),
                WorkerConfig { tokens_per_second: rate, is_prefill: reader, cell, zone, slots: at_once },
            )
        })
        .collect();
    tideroute_trace_checker::CheckerConfig {
        classes: tracks.collect(),
        workers,
        max_idle_state: day.settings.state_release_timeout,
        drain_grace: day.settings.drain_grace,
        slow_start_share: day.settings.slow_start_share,
        warm_up: day.settings.warm_up,
        overload_multiple: day.settings.overload_multiple,
        overload_window: day.settings.overload_window,
        max_attempts: day.settings.max_attempts,
    }
}
