//! Reads the request classes.

use serde_json::Value;
use tideroute::types::{DeduplicationScope, Idempotency, RequestClass};

use crate::error::SettingsError;
use crate::keys::{self, class, deduplication_scope, family, idempotency};
use crate::units::to_tenth_millis;
use crate::values::{list, number, string, unknown_value, value};

/// Milliseconds within which a sent request arrives in full, even in several packets: a round trip between zones with a
/// margin.
const REQUEST_TRANSFER_MS: f64 = 100.0;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1_000.0;

/// The part of each class's latency objective that depends on the prompt's length, in microseconds per 1,000 prompt
/// tokens, by class.
pub struct TokenObjectives(Vec<f64>);

impl TokenObjectives {
    /// Reads one number for each class; all are 0 if the settings lack the key.
    pub fn read(root: &Value, class_count: usize) -> Result<TokenObjectives, SettingsError> {
        let key = family::TTFT_OBJECTIVE_US_PER_1000_TOKENS;
        if value(root, key).is_err() {
            return Ok(TokenObjectives(vec![0.0; class_count]));
        }
        let numbers: Option<Vec<f64>> = list(root, key)?.iter().map(Value::as_f64).collect();
        let numbers = numbers.ok_or(SettingsError::NotANumberPerClass(key))?;
        if numbers.len() < class_count || !numbers.iter().all(|us| *us >= 0.0) {
            return Err(SettingsError::NotANumberPerClass(key));
        }
        Ok(TokenObjectives(numbers))
    }
}

/// Rejects classes with the same name, because the name would be ambiguous.
pub fn require_unique_names(classes: &[Value]) -> Result<(), SettingsError> {
    let mut names: Vec<&str> = vec![];
    for class_settings in classes {
        let Some(name) = class_settings[class::NAME].as_str() else { continue };
        if names.contains(&name) {
            return Err(SettingsError::DuplicateClassName { class: names.len(), name: name.to_string() });
        }
        names.push(name);
    }
    Ok(())
}

/// Reads all classes.
pub fn request_classes(
    classes: &[Value],
    objectives: TokenObjectives,
    connect_timeout_ms: f64,
) -> Result<Vec<RequestClass>, SettingsError> {
    let mut request_classes = Vec::with_capacity(classes.len());
    for (index, (class_settings, objective_us)) in classes.iter().zip(objectives.0).enumerate() {
        request_classes.push(request_class(index, class_settings, objective_us, connect_timeout_ms)?);
    }
    Ok(request_classes)
}

fn request_class(
    index: usize,
    class_settings: &Value,
    objective_us_per_1000_tokens: f64,
    connect_timeout_ms: f64,
) -> Result<RequestClass, SettingsError> {
    if class_settings.get(class::HARD_LIMIT_MS).is_some() {
        positive_number(class_settings, index, class::HARD_LIMIT_MS)?;
    }
    let idempotency = idempotency_of(index, class_settings, connect_timeout_ms)?;
    let ttft_objective_ms = positive_number(class_settings, index, class::TTFT_OBJECTIVE_MS)?;
    Ok(RequestClass {
        idempotency,
        ttft_objective: to_tenth_millis(ttft_objective_ms),
        ttft_objective_per_1000_tokens: to_tenth_millis(objective_us_per_1000_tokens / MICROS_PER_MILLI),
        priority_weight: number(class_settings, class::PRIORITY_WEIGHT)?,
    })
}

fn idempotency_of(
    index: usize,
    class_settings: &Value,
    connect_timeout_ms: f64,
) -> Result<Idempotency, SettingsError> {
    match string(class_settings, class::IDEMPOTENCY)? {
        idempotency::IDEMPOTENT => Ok(Idempotency::Idempotent),
        idempotency::NON_IDEMPOTENT => Ok(Idempotency::NonIdempotent),
        idempotency::WITH_KEY => {
            let scope = scope_of(class_settings)?;
            let key_ttl_ms = positive_number(class_settings, index, class::KEY_TTL_MS)?;
            // A retry must arrive in full while the worker remembers the key. The window therefore leaves out the time
            // that a retry may take to connect and to be transferred.
            let window_ms = key_ttl_ms - connect_timeout_ms - REQUEST_TRANSFER_MS;
            let window = to_tenth_millis(window_ms.max(0.0));
            Ok(Idempotency::IdempotentWithKey { scope, window })
        }
        other => Err(unknown_value(class::IDEMPOTENCY, other)),
    }
}

fn scope_of(class_settings: &Value) -> Result<DeduplicationScope, SettingsError> {
    match string(class_settings, class::DEDUPLICATION_SCOPE)? {
        deduplication_scope::ALL => Ok(DeduplicationScope::All),
        deduplication_scope::ZONE => Ok(DeduplicationScope::Zone),
        deduplication_scope::CELL => Ok(DeduplicationScope::Cell),
        other => Err(unknown_value(class::DEDUPLICATION_SCOPE, other)),
    }
}

/// Reads a number of a class that must be greater than 0.
fn positive_number(class_settings: &Value, index: usize, key: &'static str) -> Result<f64, SettingsError> {
    let found = class_settings.get(key);
    let number = found.and_then(Value::as_f64).filter(|number| *number > 0.0);
    number.ok_or_else(|| {
        let found = found.map_or("missing".to_string(), Value::to_string);
        SettingsError::ClassNumberNotOverZero { class: index, key, found }
    })
}

/// Returns the list of classes.
pub fn class_list(root: &Value) -> Result<&[Value], SettingsError> {
    list(root, keys::CLASSES).map(Vec::as_slice)
}
