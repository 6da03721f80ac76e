//! One deployment that many tests use: its workers, its list and its configuration.

use serde_json::json;

use crate::text::{address_of, DISCOVERY};

/// Two readers and two writers in one cell, and one of each in another.
pub const WORKERS: [(&str, &str, u16); 6] = [
    ("r1", "reading", 0),
    ("r2", "reading", 0),
    ("w1", "writing", 0),
    ("w2", "writing", 0),
    ("r3", "reading", 1),
    ("w3", "writing", 1),
];

/// A worker as discovery lists it.
pub fn entry(worker: usize, state: &str, started_ms: u64) -> serde_json::Value {
    let (id, kind, cell) = WORKERS[worker];
    json!({"id": id, "addr": address_of(worker), "zone": "east", "kind": kind, "cell": cell, "state": state,
        "weight": 1.0, "started_ms": started_ms})
}

/// The whole list, all serving.
pub fn list(version: u64) -> serde_json::Value {
    let servers: Vec<_> = (0..WORKERS.len()).map(|w| entry(w, "SERVING", 0)).collect();
    json!({"version": version, "full": true, "servers": servers})
}

/// A configuration: three tracks, one of each kind of repeat.
pub fn file() -> serde_json::Value {
    let class = |name: &str, repeat: &str| {
        json!({"name": name, "idempotency": repeat, "dedup_scope": "all", "key_ttl_ms": 5_000.0,
            "on_time_ms": 1_000.0, "hard_limit_ms": 5_000.0, "worth": 1.0})
    };
    json!({
        "name": "n1", "listen": "127.0.0.1:80", "discovery": DISCOVERY, "seed": "00000000000000ab",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "known": list(4),
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
