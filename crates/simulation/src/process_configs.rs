//! The configuration files of the processes of a scenario.

use std::collections::BTreeMap;

use tideroute_config_language::kinds::{
    Burst, Day, File, Fleet, Group, Key, Late, List, Load, Role, Router, Step, Tenant, Terms, Worker,
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
pub fn terms(day: &Day) -> Terms {
    Terms { routers: day.routers as u32, ..day.terms.clone() }
}

fn zone(day: &Day, cell: u16) -> u8 {
    (cell % u16::from(day.zones)) as u8
}

/// The configuration of the endpoint list.
pub fn list(day: &Day, ports: &Ports) -> File {
    let late = day.troubles.iter().filter(|t| t.act == "list-late").map(|t| Late {
        at: t.at,
        lasts: t.lasts.unwrap_or(0),
        lag: t.lag.unwrap_or(0),
    });
    let list = List { listen: ports.list.clone(), lag: day.lag, late: late.collect() };
    File { list: Some(list), ..File::default() }
}

/// The configuration of a router; `keep` is where it persists the endpoint list.
pub fn router(day: &Day, ports: &Ports, n: usize, keep: String) -> File {
    let router = Router {
        name: format!("router{n}"),
        listen: ports.routers[n].clone(),
        list: ports.list.clone(),
        metrics: None,
        keep: Some(keep),
        seed: None,
        cores: day.cores,
        tracks: day.tracks.clone(),
        kinds: day.kinds.clone(),
        terms: terms(day),
        tenants: tenants(day),
        admin: None,
        fleet: ports.members.get(n).map(|listen| Fleet {
            name: "day".into(),
            listen: listen.clone(),
            seeds: ports.members.iter().take(SEEDS).cloned().collect(),
            key: blake3::hash(format!("the key of day {}", day.seed).as_bytes()).to_hex().to_string(),
        }),
    };
    File { router: Some(router), ..File::default() }
}

/// The tenants as the routers know them: with the hashes of their keys.
fn tenants(day: &Day) -> Vec<Tenant> {
    let known = day.tenants.iter().filter(|_| day.shares);
    let hash = |name: &str| blake3::hash(key(name).as_bytes()).to_hex().to_string();
    known.map(|t| Tenant { key: hash(&t.name), ..t.clone() }).collect()
}

/// The key of a tenant that its clients send.
fn key(tenant: &str) -> String {
    format!("the key of {tenant}")
}

/// The configuration of the worker at an index among all workers of the scenario.
pub fn worker(day: &Day, ports: &Ports, place: usize, name: &str, group: &Group, n: usize) -> File {
    let cell = (n % usize::from(day.cells)) as u16;
    let mine = |t: &&tideroute_config_language::kinds::Trouble| t.who.iter().any(|w| w == name);
    let scripted = day.troubles.iter().filter(mine).filter(|t| !t.from_outside());
    let script = scripted.map(|t| Step { at: t.at, act: t.act.clone(), lasts: t.lasts, times: t.times });
    let worker = Worker {
        name: name.to_string(),
        listen: ports.workers[place].clone(),
        list: ports.list.clone(),
        kind: day.kinds.iter().position(|k| k.name == group.kind).unwrap_or(0) as u16,
        cell,
        zone: zone(day, cell),
        warm: true,
        does: group.does.clone(),
        terms: terms(day),
        script: script.collect(),
    };
    File { worker: Some(worker), ..File::default() }
}

/// The configuration of the client load.
pub fn load(day: &Day, ports: &Ports) -> File {
    let bursts = day.troubles.iter().filter(|t| t.act == "burst");
    let burst = |t: &tideroute_config_language::kinds::Trouble| Burst {
        at: t.at,
        lasts: t.lasts.unwrap_or(0),
        times: t.times,
        tenant: t.tenant.clone(),
    };
    let bursts = bursts.map(burst).collect();
    let bytes = day.fleet.first().map_or(16, |g| g.does.state_bytes_a_token);
    let load = Load {
        routers: ports.routers.clone(),
        seed: day.seed,
        rate: day.load.rate,
        lasts: day.load.lasts,
        clients: day.load.clients,
        tracks: day.tracks.clone(),
        traffic: day.load.traffic.clone(),
        uneven: day.load.uneven,
        retries: day.load.retries,
        retry_wait: day.load.retry_wait,
        leaves: day.load.leaves,
        sluggish: day.load.sluggish,
        bursts,
        keys: day.tenants.iter().map(|t| Key { tenant: t.name.clone(), key: key(&t.name) }).collect(),
        state_bytes_a_token: bytes,
    };
    File { load: Some(load), ..File::default() }
}

/// The workers, as the direct load knows them.
pub fn known(day: &Day, ports: &Ports) -> Vec<KnownWorker> {
    let workers = day.workers().enumerate().filter_map(|(place, (_, group, n))| {
        let address = crate::convert::address(&ports.workers[place]).ok()?;
        let cell = (n % usize::from(day.cells)) as u16;
        let (reader, size) = (group.does.role == Role::Reader, group.does.size);
        Some(KnownWorker { address, reader, cell, size })
    });
    workers.collect()
}

/// The loss beyond which two routers may declare each other dead.
const PARTITIONING_LOSS: f64 = 0.25;

/// What the membership checker needs to know of the scenario.
pub fn members(day: &Day, begins: Micros) -> Option<FleetMembers> {
    let cuts = day.troubles.iter().filter(|t| {
        t.act == "cut" || t.act == "delay" && t.loss.is_some_and(|loss| loss > PARTITIONING_LOSS)
    });
    let named = |names: &[String]| names.iter().flat_map(|name| day.named(name)).collect();
    let cuts = cuts.map(|t| Partition {
        from: begins + t.at,
        until: begins + t.at + t.lasts.unwrap_or(0),
        side: named(&t.between),
        other_side: named(&t.and),
    });
    day.membership.then(|| FleetMembers { names: day.router_names().collect(), partitions: cuts.collect() })
}

/// What the trace checker needs to know of the scenario.
pub fn rules(day: &Day, ports: &Ports) -> tideroute_trace_checker::CheckerConfig {
    let tracks = day.tracks.iter().map(|t| ClassConfig {
        name: t.name.clone(),
        idempotency: match t.repeat.as_str() {
            "replayable" => Idempotency::Idempotent,
            "referenced" => Idempotency::IdempotentWithKey,
            _ => Idempotency::NonIdempotent,
        },
        deduplication_scope: match t.group.as_str() {
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            _ => DeduplicationScope::All,
        },
        deduplication_window: t.window,
        ttft_objective: t.contract,
        ttft_objective_per_1000_tokens: t.per_thousand,
    });
    let workers: BTreeMap<_, _> = day
        .workers()
        .enumerate()
        .map(|(place, (_, group, n))| {
            let cell = (n % usize::from(day.cells)) as u16;
            let does = &group.does;
            let rate = match does.role {
                Role::Reader => does.read_rate * does.reads_at_once as f64,
                _ => does.streams_at_once as f64 * 1e6 / does.token_gap as f64,
            };
            let reader = does.role == Role::Reader;
            let at_once = if reader { does.reads_at_once } else { does.streams_at_once } as u32;
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
        max_idle_state: day.terms.release,
        drain_grace: day.terms.drain_grace,
        slow_start_share: day.terms.cold_share,
        warm_up: day.terms.warm_after,
        overload_multiple: day.terms.fall_multiple,
        overload_window: day.terms.fall_span,
        max_attempts: day.terms.most_shots,
    }
}
