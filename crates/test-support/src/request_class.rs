//! Request classes of generated deployments, and what their idempotency permits.

use serde_json::{json, Value};
use tideroute::rng::Rng;
use tideroute_wire::Micros;

use crate::random::{choose, log_uniform};
use crate::virtual_time::MS;

/// The workers among which repeats of a request with an idempotency key are dropped.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DedupScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// What it means to run a request more than once.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Workers drop repeats by its key.
    WithKey {
        /// Among which workers.
        scope: DedupScope,
        /// How long after the first attempt.
        window: Micros,
    },
    /// It must not be sent again once it may have run.
    NonIdempotent,
}

impl Idempotency {
    /// Whether a client may be told that its request was rejected after an attempt that may have run.
    pub fn may_be_rejected_after_run(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::WithKey { scope: DedupScope::All, .. })
    }
}

/// A request class.
pub struct RequestClass {
    /// Its name in the settings.
    pub name: String,
    /// What it means to run its requests more than once.
    pub idempotency: Idempotency,
    /// Milliseconds that its clients wait at most.
    pub deadline_ms: u64,
}

/// The settings' words for idempotency and deduplication scope; a scope of `scoped` is a zone or a cell.
const KINDS: [(&str, &str); 4] =
    [("pure", "all"), ("side_effect", "all"), ("token", "all"), ("token", "scoped")];

/// Generates classes and their settings: one of each kind, in an order that differs between deployments.
pub(crate) fn generate_classes(rng: &mut Rng) -> (Vec<RequestClass>, Vec<Value>) {
    let first = (rng.unit() * KINDS.len() as f64) as usize;
    (0..KINDS.len())
        .map(|n| generate_class(rng, format!("class-{n}"), KINDS[(n + first) % KINDS.len()]))
        .unzip()
}

fn generate_class(rng: &mut Rng, name: String, kind: (&str, &str)) -> (RequestClass, Value) {
    let (idempotency_key, scope_key) = kind;
    let scope_key = if scope_key == "scoped" { choose(rng, &["zone", "cell"]) } else { scope_key };
    let window_ms = log_uniform(rng, 50.0, 8_000.0).round();
    let objective_ms = log_uniform(rng, 50.0, 4_000.0).round();
    let deadline_ms = (objective_ms * log_uniform(rng, 1.0, 4.0)).round();
    let scope = match scope_key {
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        _ => DedupScope::All,
    };
    let idempotency = match idempotency_key {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::WithKey { scope, window: window_ms as Micros * MS },
        _ => Idempotency::NonIdempotent,
    };
    let settings = json!({"name": name, "idempotency": idempotency_key, "dedup_scope": scope_key,
        "key_ttl_ms": window_ms, "on_time_ms": objective_ms, "hard_limit_ms": deadline_ms, "worth": 1.0});
    (RequestClass { name, idempotency, deadline_ms: deadline_ms as u64 }, settings)
}
