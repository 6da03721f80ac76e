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
    at(root, path)?.as_f64().ok_or_else(|| format!("{path} in the settings is not a number"))
}

fn flag(root: &Value, path: &str) -> bool {
    at(root, path).ok().and_then(Value::as_bool).unwrap_or(false)
}

fn list<'a>(root: &'a Value, path: &str) -> Result<&'a Vec<Value>, String> {
    at(root, path)?.as_array().ok_or_else(|| format!("{path} in the settings is not a list"))
}

fn word<'a>(root: &'a Value, path: &str) -> Result<&'a str, String> {
    at(root, path)?.as_str().ok_or_else(|| format!("{path} in the settings is not a word"))
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
    let stretch = list(root, "family_info.aim_us_per_1000_prompt_tokens").cloned().unwrap_or_default();
    let tracks = list(root, "classes")?.iter().enumerate();
    let tracks = tracks.map(|(i, class)| track(class, stretch.get(i).and_then(Value::as_f64).unwrap_or(0.0)));
    let role = |kind: &Value| match kind.as_str() {
        Some("read") => Ok(Role::Reader),
        Some("write") => Ok(Role::Writer),
        Some("both") => Ok(Role::Mixed),
        _ => Err(format!("kind_role {kind} in the settings is unknown")),
    };
    Ok(Terms {
        routers: number(root, "balancers")?.max(1.0) as u32,
        tracks: tracks.collect::<Result<_, _>>()?,
        roles: list(root, "family_info.kind_role")?.iter().map(role).collect::<Result<_, _>>()?,
        places: flag(root, "family_info.ahead"),
        writers_read: flag(root, "family_info.writers_read"),
        release: tenths(number(root, "family_info.pin_limit_ms")?),
        cold_share: number(root, "invariants.cold_share")?,
        warm_after: tenths(number(root, "invariants.ramp_time_ms")?),
        fall_multiple: number(root, "invariants.fall_multiple")?,
        fall_span: tenths(number(root, "invariants.fall_ms")?),
        max_shots: number(root, "caps.max_attempts")? as u16,
        withdrawals: flag(root, "caps.cancel"),
        probes: flag(root, "caps.probing"),
        subscribes: word(root, "discovery")? == "subscribe",
        advice: flag(root, "caps.retry_after"),
        longest_advice: tenths(number(root, "caps.max_retry_after_ms").unwrap_or(0.0)),
    })
}
