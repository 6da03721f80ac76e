//! Reads the settings of one instance, a JSON object, into the terms that its decisions work under. The adapter
//! on the simulator's wire and the router on the platform have them from here.

use serde_json::Value;
use tideroute::types::{DeduplicationScope, Idempotency, RequestClass, Role, SchedulerConfig, TenthMillis};

/// How the meaning of a column of load reports begins if it counts prompt tokens that wait.
const TOKENS: &str = "thousands of prompt tokens waiting";
/// The column of load reports that counts the shots out at a worker.
const ATTEMPTS: &str = "outstanding";

/// Milliseconds in which a request that has left arrives whole, also in pieces: a round trip between zones and some more.
const ARRIVES_MS: f64 = 100.0;

/// Milliseconds to tenths, rounded down; what no clock can hold is brought to its ends.
pub fn to_tenth_millis(ms: f64) -> TenthMillis {
    (ms * 10.0).floor().clamp(-1e15, 1e15) as TenthMillis
}

fn at<'a>(root: &'a Value, path: &str) -> Result<&'a Value, String> {
    path.split('.')
        .try_fold(root, |value, key| value.get(key))
        .ok_or_else(|| format!("the settings lack {path}"))
}

fn number(root: &Value, path: &str) -> Result<f64, String> {
    let number = at(root, path)?.as_f64().filter(|n| *n >= 0.0);
    number.ok_or_else(|| format!("{path} in the settings is not a number of 0 or more"))
}

/// A number of a class that leaves room for something.
fn over_zero(class: &Value, place: usize, key: &str) -> Result<f64, String> {
    let found = class.get(key);
    found.and_then(Value::as_f64).filter(|n| *n > 0.0).ok_or_else(|| {
        let found = found.map_or("missing".to_string(), Value::to_string);
        format!("classes[{place}].{key} in the settings is {found}: a number over 0 is needed")
    })
}

/// A time that leaves room for something.
fn time_over_zero(root: &Value, path: &str) -> Result<f64, String> {
    let found = at(root, path)?;
    found
        .as_f64()
        .filter(|ms| *ms > 0.0)
        .ok_or_else(|| format!("{path} in the settings is {found}: milliseconds over 0 are needed"))
}

/// A class that is named twice would have two meanings.
fn no_name_twice(class_settings: &[Value]) -> Result<(), String> {
    let names: Vec<_> = class_settings.iter().filter_map(|class| class["name"].as_str()).collect();
    let twice = names.iter().enumerate().find(|(place, name)| names[..*place].contains(name));
    twice.map_or(Ok(()), |(place, name)| {
        Err(format!(
            "classes[{place}].name in the settings is {name:?} again: each class needs a name of its own"
        ))
    })
}

/// Off where the settings lack it.
fn flag(root: &Value, path: &str) -> Result<bool, String> {
    let Ok(flag) = at(root, path) else { return Ok(false) };
    flag.as_bool().ok_or_else(|| format!("{path} in the settings is neither true nor false"))
}

fn list<'a>(root: &'a Value, path: &str) -> Result<&'a Vec<Value>, String> {
    at(root, path)?.as_array().ok_or_else(|| format!("{path} in the settings is not a list"))
}

fn word<'a>(root: &'a Value, path: &str) -> Result<&'a str, String> {
    at(root, path)?.as_str().ok_or_else(|| format!("{path} in the settings is not a word"))
}

/// For each class, the microseconds of contract time for every 1,000 prompt tokens; none where nothing is said.
fn stretches(root: &Value, class_settings: usize) -> Result<Vec<f64>, String> {
    let path = "family_info.aim_us_per_1000_prompt_tokens";
    if at(root, path).is_err() {
        return Ok(vec![0.0; class_settings]);
    }
    let stretches: Option<Vec<f64>> = list(root, path)?.iter().map(Value::as_f64).collect();
    let stretches = stretches.filter(|s| s.len() >= class_settings && s.iter().all(|us| *us >= 0.0));
    stretches
        .ok_or_else(|| format!("{path} in the settings is not a number of 0 or more for each of classes"))
}

/// What each kind of worker does. A fleet in which nothing reads, or nothing writes, can answer nothing.
fn roles(root: &Value, writers_read: bool) -> Result<Vec<Role>, String> {
    let path = "family_info.kind_role";
    let role = |kind: &Value| match kind.as_str() {
        Some("read") => Ok(Role::Prefill),
        Some("write") => Ok(Role::Decode),
        Some("both") => Ok(Role::Mixed),
        _ => Err(format!("{path} {kind} in the settings is unknown")),
    };
    let roles = list(root, path)?.iter().map(role).collect::<Result<Vec<_>, _>>()?;
    let kinds = at(root, "kinds").ok().and_then(Value::as_array);
    if kinds.is_some_and(|kinds| kinds.len() != roles.len()) {
        return Err(format!("{path} in the settings does not name one role for each of kinds"));
    }
    if !writers_read && !roles.iter().any(|r| *r != Role::Decode) {
        return Err(format!("{path} in the settings names no kind that reads"));
    }
    if !roles.iter().any(|r| *r != Role::Prefill) {
        return Err(format!("{path} in the settings names no kind that writes"));
    }
    Ok(roles)
}

/// What holds for a class. Its repeats have to arrive whole while the first is remembered, so that the time which a
/// connection may take to come up, and a request to arrive, is none in which to send one.
fn class(
    place: usize,
    class: &Value,
    per_thousand_us: f64,
    comes_up_ms: f64,
) -> Result<RequestClass, String> {
    if class.get("hard_limit_ms").is_some() {
        over_zero(class, place, "hard_limit_ms")?;
    }
    let repeat = match word(class, "idempotency")? {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::IdempotentWithKey {
            scope: match word(class, "dedup_scope")? {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Cell,
                other => return Err(format!("dedup_scope {other:?} in the settings is unknown")),
            },
            window: to_tenth_millis(
                (over_zero(class, place, "key_ttl_ms")? - comes_up_ms - ARRIVES_MS).max(0.0),
            ),
        },
        "side_effect" => Idempotency::NonIdempotent,
        other => return Err(format!("idempotency {other:?} in the settings is unknown")),
    };
    Ok(RequestClass {
        idempotency: repeat,
        ttft_objective: to_tenth_millis(over_zero(class, place, "on_time_ms")?),
        ttft_objective_per_1000_tokens: to_tenth_millis(per_thousand_us / 1000.0),
        priority_weight: number(class, "worth")?,
    })
}

/// The terms of settings, and what a probe brings of a worker's load.
pub fn read(text: &[u8]) -> Result<(SchedulerConfig, Option<Report>), String> {
    let root: Value = serde_json::from_slice(text).map_err(|e| format!("the settings do not parse: {e}"))?;
    Ok((terms(&root)?, report(&root)?))
}

/// What a worker that is probed reports of the work that waits there.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Report {
    /// The name of the column, and its place among all.
    pub name: String,
    pub column: usize,
    /// It counts thousands of prompt tokens, else shots.
    pub tokens: bool,
}

impl Report {
    /// A value of that column in the unit that decisions are told; none if it can't be one.
    pub fn amount(&self, value: f64) -> Option<f64> {
        let unit = if self.tokens { 1_000.0 } else { 1.0 };
        (value.is_finite() && value >= 0.0).then_some(value * unit)
    }
}

/// The column of load reports that says how much work waits, where probes bring reports and one does: prompt
/// tokens, by what the settings say of a column that has its meaning from the family, else shots.
pub fn report(root: &Value) -> Result<Option<Report>, String> {
    let by_probe = at(root, "report.how").ok().and_then(Value::as_str) == Some("probe");
    if !by_probe || at(root, "report.columns").is_err() {
        return Ok(None);
    }
    let columns = list(root, "report.columns")?;
    let counts_tokens = |name: &str| {
        let meaning = at(root, "family_info").ok().and_then(|info| info[format!("report_{name}")].as_str());
        meaning.is_some_and(|m| m.starts_with(TOKENS))
    };
    let find = |tokens: bool| {
        let fits = |name: &str| if tokens { counts_tokens(name) } else { name == ATTEMPTS };
        let (column, name) =
            columns.iter().enumerate().find_map(|(n, c)| Some((n, c.as_str().filter(|name| fits(name))?)))?;
        Some(Report { name: name.to_string(), column, tokens })
    };
    Ok(find(true).or_else(|| find(false)))
}

/// The terms of settings that are parsed already.
pub fn terms(root: &Value) -> Result<SchedulerConfig, String> {
    let class_settings = list(root, "classes")?;
    no_name_twice(class_settings)?;
    let stretches = stretches(root, class_settings.len())?;
    let writers_read = flag(root, "family_info.writers_read")?;
    let advice = flag(root, "caps.retry_after")?;
    let probes = flag(root, "caps.probing")?;
    let comes_up = match at(root, "caps.dial_timeout_ms") {
        Ok(found) if !found.is_null() => time_over_zero(root, "caps.dial_timeout_ms")?,
        _ => 0.0,
    };
    let max_attempts = number(root, "caps.max_attempts")? as u16;
    if max_attempts == 0 {
        return Err("caps.max_attempts in the settings allows no attempt".to_string());
    }
    let report = report(root)?;
    Ok(SchedulerConfig {
        router_count: number(root, "balancers")?.max(1.0) as u32,
        classes: class_settings
            .iter()
            .zip(stretches)
            .enumerate()
            .map(|(n, (c, us))| class(n, c, us, comes_up))
            .collect::<Result<_, _>>()?,
        role_by_kind: roles(root, writers_read)?,
        reservations_enabled: flag(root, "family_info.ahead")?,
        decode_workers_prefill: writers_read,
        state_release_timeout: to_tenth_millis(time_over_zero(root, "family_info.pin_limit_ms")?),
        cold_capacity_share: number(root, "invariants.cold_share")?,
        warm_up_time: to_tenth_millis(number(root, "invariants.ramp_time_ms")?),
        overload_multiple: number(root, "invariants.fall_multiple")?,
        overload_window: to_tenth_millis(number(root, "invariants.fall_ms")?),
        max_attempts,
        cancellation_enabled: flag(root, "caps.cancel")?,
        health_checks_enabled: probes,
        load_reports_enabled: probes && report.is_some(),
        load_in_tokens: report.is_some_and(|r| r.tokens),
        endpoint_watch_enabled: match word(root, "discovery")? {
            "automatic" => false,
            "subscribe" => true,
            other => return Err(format!("discovery {other:?} in the settings is unknown")),
        },
        retry_after_enabled: advice,
        max_retry_after: if advice { to_tenth_millis(number(root, "caps.max_retry_after_ms")?) } else { 0 },
    })
}
