//! Deployments generated at random within the ranges that the operators' protocol allows: the configuration of a
//! router, and the parts of it that the checker needs, as Rust types.

use serde_json::{json, Value};
use tideroute::rng::Rng;
use tideroute_wire::Micros;

use crate::random::{choose, log_uniform};
use crate::request_class::{generate_classes, DedupScope, RequestClass};
use crate::virtual_time::{worker_address, DISCOVERY_ADDRESS, MS};
use crate::worker_spec::{generate_kinds, generate_workers, Role, Worker, WorkerSpec};

const ZONES: [&str; 3] = ["east", "west", "north"];

/// A deployment generated at random.
pub struct GeneratedDeployment {
    /// The configuration of its routers.
    pub config: Value,
    /// Its request classes.
    pub classes: Vec<RequestClass>,
    /// Its workers.
    pub workers: Vec<Worker>,
    /// Time for which KV state or a decode reservation may be held while no attempt is in flight.
    pub max_hold: Micros,
    /// Time for which routers may still send new work to a draining worker.
    pub drain_grace: Micros,
    /// Timeout for establishing a connection.
    pub connect_timeout: Micros,
    /// Whether decode workers prefill requests for which no KV state exists.
    pub decode_workers_prefill: bool,
}

/// The limits that the checker has to know, in milliseconds.
struct Limits {
    max_hold_ms: f64,
    drain_grace_ms: f64,
    connect_timeout_ms: f64,
}

impl GeneratedDeployment {
    /// Generates a deployment. The same state of the random number generator gives the same deployment.
    pub fn generate(rng: &mut Rng) -> GeneratedDeployment {
        let (classes, class_settings) = generate_classes(rng);
        let (kinds, decode_workers_prefill) = generate_kinds(rng);
        let workers = generate_workers(rng, &kinds);
        let limits = Limits {
            max_hold_ms: log_uniform(rng, 100.0, 5_000.0).round(),
            drain_grace_ms: log_uniform(rng, 50.0, 2_000.0).round(),
            connect_timeout_ms: log_uniform(rng, 50.0, 1_000.0).round(),
        };
        let settings = generate_settings(rng, &class_settings, &kinds, decode_workers_prefill, &limits);
        let mut deployment = GeneratedDeployment {
            config: Value::Null,
            classes,
            workers,
            max_hold: limits.max_hold_ms as Micros * MS,
            drain_grace: limits.drain_grace_ms as Micros * MS,
            connect_timeout: limits.connect_timeout_ms as Micros * MS,
            decode_workers_prefill,
        };
        let seed = (rng.unit() * 4e9) as u64;
        deployment.config = deployment.router_config(seed, &settings);
        deployment
    }

    fn router_config(&self, seed: u64, settings: &Value) -> Value {
        let servers: Vec<_> =
            (0..self.workers.len()).map(|worker| self.endpoint_entry(worker, "SERVING", 0)).collect();
        json!({
            "name": "n1", "listen": "127.0.0.1:80", "discovery": DISCOVERY_ADDRESS,
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
            "known": {"version": 4, "full": true, "servers": servers},
            "settings": settings,
        })
    }

    /// Returns the entry of a worker in the endpoint list.
    pub fn endpoint_entry(&self, worker: usize, state: &str, started_ms: u64) -> Value {
        let Worker { kind, zone, cell, .. } = self.workers[worker];
        json!({"id": format!("w{worker}"), "addr": worker_address(worker), "zone": ZONES[zone],
            "kind": format!("kind-{kind}"), "cell": cell, "state": state, "weight": 1.0, "started_ms": started_ms})
    }

    /// Returns whether two workers are in the same deduplication scope, so that each of them recognizes repeats of
    /// requests that the other has received.
    pub fn share_dedup_scope(&self, scope: DedupScope, first: usize, second: usize) -> bool {
        let (first, second) = (&self.workers[first], &self.workers[second]);
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => first.zone == second.zone,
            DedupScope::Cell => first.cell == second.cell,
        }
    }

    /// Returns the parameters of an emulated worker.
    pub fn worker_spec(&self, worker: usize) -> WorkerSpec {
        WorkerSpec {
            worker,
            role: self.workers[worker].role,
            prefills_locally: self.prefills_locally(worker),
        }
    }

    /// Returns whether a worker prefills a request itself for which no KV state exists.
    pub fn prefills_locally(&self, worker: usize) -> bool {
        match self.workers[worker].role {
            Role::Prefill => false,
            Role::Decode => self.decode_workers_prefill,
            Role::Mixed => true,
        }
    }
}

fn generate_settings(
    rng: &mut Rng,
    classes: &[Value],
    kinds: &[Role],
    decode_workers_prefill: bool,
    limits: &Limits,
) -> Value {
    let probing = rng.unit() < 0.6;
    let reports = choose(rng, &["none", "answers", "probe"]);
    let columns = if reports == "none" { json!([]) } else { json!(["outstanding", "x1"]) };
    let kind_names: Vec<_> = (0..kinds.len()).map(|kind| format!("kind-{kind}")).collect();
    let kind_roles: Vec<_> = kinds.iter().map(|role| role.settings_key()).collect();
    // Values are drawn in the order of these lines: another order would give other deployments for the same seeds.
    json!({
        "balancers": choose(rng, &[1, 2, 3, 4, 7]),
        "caps": {
            "cancel": rng.unit() < 0.6,
            "conn_idle_ms": log_uniform(rng, 300.0, 30_000.0).round(),
            "dial_timeout_ms": limits.connect_timeout_ms,
            "max_attempts": choose(rng, &[1, 2, 3, 4, 6, 8]),
            "max_retry_after_ms": log_uniform(rng, 50.0, 2_000.0).round(),
            "probing": probing,
            "retry_after": rng.unit() < 0.5,
        },
        "classes": classes,
        "discovery": choose(rng, &["automatic", "subscribe"]),
        "failure_domains": ZONES,
        "kinds": kind_names,
        "family_info": {
            "ahead": rng.unit() < 0.7,
            "kind_role": kind_roles,
            "pin_limit_ms": limits.max_hold_ms,
            "report_x1": "thousands of prompt tokens waiting to be read or fetched",
            "writers_read": decode_workers_prefill,
        },
        "invariants": {
            "cold_share": 0.3, "fall_ms": 1_000.0, "fall_multiple": 2.5, "ramp_time_ms": 10_000.0,
            "stop_sending_within_ms": limits.drain_grace_ms,
        },
        "report": {"how": reports, "columns": columns},
    })
}
