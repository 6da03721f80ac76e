//! A customer's settings, drawn over the ranges that the protocol allows, and the same facts in the checker's terms.

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tideroute::rng::Rng;
use tideroute_wire::Micros;

use crate::virtual_time::{worker_address, DISCOVERY_ADDRESS, MS};
use crate::worker::Kind;

const ZONES: [&str; 3] = ["east", "west", "north"];

/// The workers among which repeats of a keyed request are dropped.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

/// What it means to run a request twice.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Effect {
    Safe,
    Keyed { scope: Scope, window: Micros },
    Unsafe,
}

impl Effect {
    /// Whether a refusal stays true after an attempt that may have run.
    pub fn may_be_refused_after_run(self) -> bool {
        matches!(self, Effect::Safe | Effect::Keyed { scope: Scope::All, .. })
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Role {
    Reads,
    Writes,
    Both,
}

pub struct Class {
    pub name: String,
    pub effect: Effect,
    /// Milliseconds that its clients wait at most.
    pub deadline_ms: u64,
}

#[derive(Clone, Debug)]
pub struct Worker {
    pub role: Role,
    kind: usize,
    pub zone: usize,
    pub cell: u16,
}

pub struct Customer {
    pub file: Value,
    pub classes: Vec<Class>,
    pub workers: Vec<Worker>,
    /// For how long a state or place may be held with no attempt out.
    pub held_limit: Micros,
    /// For how long a draining worker may still be sent something new.
    pub grace: Micros,
    /// How long a connection may take to come up.
    pub dial: Micros,
    pub writers_read: bool,
}

/// A number between two, small ones as often as large.
pub fn between(draw: &mut Rng, least: f64, most: f64) -> f64 {
    least * (most / least).powf(draw.unit())
}

fn one_of<T: Copy>(draw: &mut Rng, all: &[T]) -> T {
    all[(draw.unit() * all.len() as f64) as usize]
}

impl Customer {
    pub fn drawn(draw: &mut Rng) -> Customer {
        let (classes, class_settings) = classes(draw);
        let (kinds, writers_read) = kinds(draw);
        let workers = workers(draw, &kinds);
        let held_ms = between(draw, 100.0, 5_000.0).round();
        let grace_ms = between(draw, 50.0, 2_000.0).round();
        let dial_ms = between(draw, 50.0, 1_000.0).round();
        let probing = draw.unit() < 0.6;
        let reports = one_of(draw, &["none", "answers", "probe"]);
        let columns = if reports == "none" { json!([]) } else { json!(["outstanding", "x1"]) };
        let names: Vec<_> = kinds.iter().enumerate().map(|(n, _)| format!("kind-{n}")).collect();
        let roles: Vec<_> = kinds.iter().map(|role| role_name(*role)).collect();
        let settings = json!({
            "balancers": one_of(draw, &[1, 2, 3, 4, 7]),
            "caps": {
                "cancel": draw.unit() < 0.6,
                "conn_idle_ms": between(draw, 300.0, 30_000.0).round(),
                "dial_timeout_ms": dial_ms,
                "max_attempts": one_of(draw, &[1, 2, 3, 4, 6, 8]),
                "max_retry_after_ms": between(draw, 50.0, 2_000.0).round(),
                "probing": probing,
                "retry_after": draw.unit() < 0.5,
            },
            "classes": class_settings,
            "discovery": one_of(draw, &["automatic", "subscribe"]),
            "failure_domains": ZONES,
            "kinds": names,
            "family_info": {
                "ahead": draw.unit() < 0.7,
                "kind_role": roles,
                "pin_limit_ms": held_ms,
                "report_x1": "thousands of prompt tokens waiting to be read or fetched",
                "writers_read": writers_read,
            },
            "invariants": {
                "cold_share": 0.3, "fall_ms": 1_000.0, "fall_multiple": 2.5, "ramp_time_ms": 10_000.0,
                "stop_sending_within_ms": grace_ms,
            },
            "report": {"how": reports, "columns": columns},
        });
        let mut customer = Customer {
            file: Value::Null,
            classes,
            workers,
            held_limit: held_ms as Micros * MS,
            grace: grace_ms as Micros * MS,
            dial: dial_ms as Micros * MS,
            writers_read,
        };
        let serving: Vec<_> = (0..customer.workers.len()).map(|w| customer.entry(w, "SERVING", 0)).collect();
        customer.file = json!({
            "name": "n1", "listen": "127.0.0.1:80", "discovery": DISCOVERY_ADDRESS,
            "seed": format!("{:016x}", (draw.unit() * 4e9) as u64),
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
            "known": {"version": 4, "full": true, "servers": serving},
            "settings": settings,
        });
        customer
    }

    /// A worker as discovery lists it.
    pub fn entry(&self, worker: usize, state: &str, started_ms: u64) -> Value {
        let Worker { kind, zone, cell, .. } = self.workers[worker];
        json!({"id": format!("w{worker}"), "addr": worker_address(worker), "zone": ZONES[zone],
            "kind": format!("kind-{kind}"), "cell": cell, "state": state, "weight": 1.0, "started_ms": started_ms})
    }

    /// Whether repeats at the one worker are known at the other.
    pub fn share_repeats(&self, scope: Scope, one: usize, other: usize) -> bool {
        let (one, other) = (&self.workers[one], &self.workers[other]);
        match scope {
            Scope::All => true,
            Scope::Zone => one.zone == other.zone,
            Scope::Cell => one.cell == other.cell,
        }
    }

    /// What a stand-in for a worker has to know.
    pub fn kind(&self, worker: usize) -> Kind {
        Kind { worker, role: self.workers[worker].role, reads_by_itself: self.reads_by_itself(worker) }
    }

    /// Whether a worker answers a request of which no state is held.
    pub fn reads_by_itself(&self, worker: usize) -> bool {
        match self.workers[worker].role {
            Role::Reads => false,
            Role::Writes => self.writers_read,
            Role::Both => true,
        }
    }
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Reads => "read",
        Role::Writes => "write",
        Role::Both => "both",
    }
}

/// Each effect is there once, in an order that differs between customers, and one more with an effect of its own.
fn classes(draw: &mut Rng) -> (Vec<Class>, Vec<Value>) {
    let first = (draw.unit() * 4.0) as usize;
    (0..4)
        .map(|n| {
            let (effect_word, scope_word) =
                [("pure", "all"), ("side_effect", "all"), ("token", "all"), ("token", "scoped")][(n + first) % 4];
            let scope_word = if scope_word == "scoped" { one_of(draw, &["zone", "cell"]) } else { scope_word };
            let window_ms = between(draw, 50.0, 8_000.0).round();
            let target_ms = between(draw, 50.0, 4_000.0).round();
            let deadline_ms = (target_ms * between(draw, 1.0, 4.0)).round();
            let scope = match scope_word {
                "zone" => Scope::Zone,
                "cell" => Scope::Cell,
                _ => Scope::All,
            };
            let effect = match effect_word {
                "pure" => Effect::Safe,
                "token" => Effect::Keyed { scope, window: window_ms as Micros * MS },
                _ => Effect::Unsafe,
            };
            let name = format!("class-{n}");
            let settings = json!({"name": name, "idempotency": effect_word, "dedup_scope": scope_word,
                "key_ttl_ms": window_ms, "on_time_ms": target_ms, "hard_limit_ms": deadline_ms, "worth": 1.0});
            (Class { name, effect, deadline_ms: deadline_ms as u64 }, settings)
        })
        .unzip()
}

fn kinds(draw: &mut Rng) -> (Vec<Role>, bool) {
    use Role::*;
    let (kinds, writers_read): (&[Role], bool) = one_of(
        draw,
        &[
            (&[Reads, Writes] as &[Role], false),
            (&[Reads, Writes, Writes], false),
            (&[Reads, Writes, Both], false),
            (&[Reads, Both], false),
            (&[Both], false),
            (&[Writes], true),
            (&[Reads, Writes], true),
        ],
    );
    (kinds.to_vec(), writers_read)
}

/// Two of each kind and more, so that one of each can stay well.
fn workers(draw: &mut Rng, kinds: &[Role]) -> Vec<Worker> {
    let cells = one_of(draw, &[1u16, 2, 3]);
    let zones = one_of(draw, &[1usize, 2, 3]);
    let rounds = one_of(draw, &[2usize, 3]);
    let mut workers = vec![];
    for round in 0..rounds {
        for (kind, role) in kinds.iter().enumerate() {
            let cell = round as u16 % cells;
            workers.push(Worker { role: *role, kind, zone: usize::from(cell) % zones, cell });
        }
    }
    workers
}
