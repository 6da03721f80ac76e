//! A fixed deployment that many tests use: its workers, its endpoint list and its configuration.

use serde_json::json;

use crate::virtual_time::{worker_address, DISCOVERY_ADDRESS};

/// A worker of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct FixtureWorker {
    /// The id of the worker in the endpoint list.
    pub id: &'static str,
    /// The worker kind: `reading` for prefill workers, `writing` for decode workers.
    pub kind: &'static str,
    /// The cell of the worker.
    pub cell: u16,
}

const fn worker(id: &'static str, kind: &'static str, cell: u16) -> FixtureWorker {
    FixtureWorker { id, kind, cell }
}

/// The workers: two prefill and two decode workers in one cell, and one of each in another cell.
pub const WORKERS: [FixtureWorker; 6] = [
    worker("r1", "reading", 0),
    worker("r2", "reading", 0),
    worker("w1", "writing", 0),
    worker("w2", "writing", 0),
    worker("r3", "reading", 1),
    worker("w3", "writing", 1),
];

/// Returns the entry of a worker in the endpoint list.
pub fn endpoint_entry(worker: usize, state: &str, started_ms: u64) -> serde_json::Value {
    let FixtureWorker { id, kind, cell } = WORKERS[worker];
    json!({"id": id, "addr": worker_address(worker), "zone": "east", "kind": kind, "cell": cell, "state": state,
        "weight": 1.0, "started_ms": started_ms})
}

/// Returns a full snapshot of the endpoint list in which all workers are serving.
pub fn endpoint_list(version: u64) -> serde_json::Value {
    let servers: Vec<_> = (0..WORKERS.len()).map(|worker| endpoint_entry(worker, "SERVING", 0)).collect();
    json!({"version": version, "full": true, "servers": servers})
}

/// Returns the configuration of the router. It has three request classes, one of each idempotency.
pub fn router_config() -> serde_json::Value {
    let class = |name: &str, idempotency: &str| {
        json!({"name": name, "idempotency": idempotency, "dedup_scope": "all", "key_ttl_ms": 5_000.0,
            "on_time_ms": 1_000.0, "hard_limit_ms": 5_000.0, "worth": 1.0})
    };
    json!({
        "name": "n1", "listen": "127.0.0.1:80", "discovery": DISCOVERY_ADDRESS, "seed": "00000000000000ab",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "known": endpoint_list(4),
        "settings": {
            "balancers": 1,
            "caps": {"cancel": true, "conn_idle_ms": 10_000.0, "dial_timeout_ms": 250.0, "max_attempts": 6,
                "max_retry_after_ms": 500.0, "probing": true, "retry_after": true},
            "classes": [class("safe", "pure"), class("once", "side_effect"), class("keyed", "token")],
            "discovery": "automatic", "failure_domains": ["east"], "kinds": ["reading", "writing"],
            "family_info": {"ahead": true, "kind_role": ["read", "write"], "pin_limit_ms": 1_000.0,
                "aim_us_per_1000_prompt_tokens": [0.0, 0.0, 0.0], "writers_read": false},
            "invariants": {"cold_share": 0.3, "fall_ms": 1_000.0, "fall_multiple": 2.5, "ramp_time_ms": 10_000.0},
        }
    })
}
