//! Reads the settings of one instance, a JSON object, into the terms that its decisions work under. The adapter
//! on the simulator's wire and the router on the platform have them from here.

use serde_json::Value;
use tideroute::interface::{Group, Repeat, Role, Tenths, Terms, Track};

/// Milliseconds to tenths, rounded down; what no clock can hold is brought to its ends.
pub fn tenths(ms: f64) -> Tenths {
    (ms * 10.0).floor().clamp(-1e15, 1e15) as Tenths
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
fn stretches(root: &Value, classes: usize) -> Result<Vec<f64>, String> {
    let path = "family_info.aim_us_per_1000_prompt_tokens";
    if at(root, path).is_err() {
        return Ok(vec![0.0; classes]);
    }
    let stretches: Option<Vec<f64>> = list(root, path)?.iter().map(Value::as_f64).collect();
    let stretches = stretches.filter(|s| s.len() >= classes && s.iter().all(|us| *us >= 0.0));
    stretches
        .ok_or_else(|| format!("{path} in the settings is not a number of 0 or more for each of classes"))
}

/// What each kind of worker does. A fleet in which nothing reads, or nothing writes, can answer nothing.
fn roles(root: &Value, writers_read: bool) -> Result<Vec<Role>, String> {
    let path = "family_info.kind_role";
    let role = |kind: &Value| match kind.as_str() {
        Some("read") => Ok(Role::Reader),
        Some("write") => Ok(Role::Writer),
        Some("both") => Ok(Role::Mixed),
        _ => Err(format!("{path} {kind} in the settings is unknown")),
    };
    let roles = list(root, path)?.iter().map(role).collect::<Result<Vec<_>, _>>()?;
    let kinds = at(root, "kinds").ok().and_then(Value::as_array);
    if kinds.is_some_and(|kinds| kinds.len() != roles.len()) {
        return Err(format!("{path} in the settings does not name one role for each of kinds"));
    }
    if !writers_read && !roles.iter().any(|r| *r != Role::Writer) {
        return Err(format!("{path} in the settings names no kind that reads"));
    }
    if !roles.iter().any(|r| *r != Role::Reader) {
        return Err(format!("{path} in the settings names no kind that writes"));
    }
    Ok(roles)
}

fn track(class: &Value, per_thousand_us: f64) -> Result<Track, String> {
    let repeat = match word(class, "idempotency")? {
        "pure" => Repeat::Replayable,
        "token" => Repeat::Referenced {
            group: match word(class, "dedup_scope")? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return Err(format!("dedup_scope {other:?} in the settings is unknown")),
            },
            window: tenths(number(class, "key_ttl_ms")?),
        },
        "side_effect" => Repeat::SingleUse,
        other => return Err(format!("idempotency {other:?} in the settings is unknown")),
    };
    Ok(Track {
        repeat,
        contract: tenths(number(class, "on_time_ms")?),
        per_thousand: tenths(per_thousand_us / 1000.0),
        earnings: number(class, "worth")?,
    })
}

pub fn read(text: &[u8]) -> Result<Terms, String> {
    let root: Value = serde_json::from_slice(text).map_err(|e| format!("the settings do not parse: {e}"))?;
    terms(&root)
}

/// The terms of settings that are parsed already.
pub fn terms(root: &Value) -> Result<Terms, String> {
    let classes = list(root, "classes")?;
    let stretches = stretches(root, classes.len())?;
    let writers_read = flag(root, "family_info.writers_read")?;
    let advice = flag(root, "caps.retry_after")?;
    let max_shots = number(root, "caps.max_attempts")? as u16;
    if max_shots == 0 {
        return Err("caps.max_attempts in the settings allows no attempt".to_string());
    }
    Ok(Terms {
        routers: number(root, "balancers")?.max(1.0) as u32,
        tracks: classes.iter().zip(stretches).map(|(c, us)| track(c, us)).collect::<Result<_, _>>()?,
        roles: roles(root, writers_read)?,
        places: flag(root, "family_info.ahead")?,
        writers_read,
        release: tenths(number(root, "family_info.pin_limit_ms")?),
        cold_share: number(root, "invariants.cold_share")?,
        warm_after: tenths(number(root, "invariants.ramp_time_ms")?),
        fall_multiple: number(root, "invariants.fall_multiple")?,
        fall_span: tenths(number(root, "invariants.fall_ms")?),
        max_shots,
        withdrawals: flag(root, "caps.cancel")?,
        probes: flag(root, "caps.probing")?,
        // A probe costs there, and what it says of a worker's load is not read.
        asks: false,
        subscribes: match word(root, "discovery")? {
            "automatic" => false,
            "subscribe" => true,
            other => return Err(format!("discovery {other:?} in the settings is unknown")),
        },
        advice,
        longest_advice: if advice { tenths(number(root, "caps.max_retry_after_ms")?) } else { 0 },
    })
}
