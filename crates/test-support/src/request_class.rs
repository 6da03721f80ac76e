//! The request classes of generated deployments, and the retries that their idempotency permits.

use serde_json::{json, Value};
use tideroute::rng::Rng;
use tideroute_wire::Micros;

use crate::random::{choose, log_uniform};
use crate::virtual_time::MS;

/// The set of workers among which repeats of a request with an idempotency key are recognized and dropped.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DedupScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// Workers drop repeats that have the same key.
    WithKey {
        /// The workers that recognize each other's requests.
        scope: DedupScope,
        /// Time after the first attempt within which repeats are recognized.
        window: Micros,
    },
    /// The request must not be sent again once it may have run.
    NonIdempotent,
}

impl Idempotency {
    /// Returns whether a client may receive a rejection of its request after an attempt that may have run.
    pub fn may_be_rejected_after_run(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::WithKey { scope: DedupScope::All, .. })
    }
}

/// A request class.
pub struct RequestClass {
    /// The name of the class in the settings.
    pub name: String,
    /// Whether requests of the class may run more than once.
    pub idempotency: Idempotency,
    /// Maximum time that clients of the class wait, in milliseconds.
    pub deadline_ms: u64,
}

/// Idempotency and deduplication scope of the generated classes, as values of the settings. `scoped` stands for a
/// random choice of `zone` or `cell`.
const CLASS_KINDS: [(&str, &str); 4] =
    [("pure", "all"), ("side_effect", "all"), ("token", "all"), ("token", "scoped")];

/// Generates classes and their settings: one class for each entry of [`CLASS_KINDS`], starting at a random entry.
pub(crate) fn generate_classes(rng: &mut Rng) -> (Vec<RequestClass>, Vec<Value>) {
    let first = (rng.unit() * CLASS_KINDS.len() as f64) as usize;
    (0..CLASS_KINDS.len())
        .map(|n| generate_class(rng, format!("class-{n}"), CLASS_KINDS[(n + first) % CLASS_KINDS.len()]))
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
