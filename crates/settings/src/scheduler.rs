//! Reads the configuration of the scheduler.

use serde_json::Value;
use tideroute::types::SchedulerConfig;

use crate::classes::{class_list, request_classes, require_unique_names, TokenObjectives};
use crate::error::SettingsError;
use crate::keys::{self, capabilities, discovery, family, invariants};
use crate::load_report::load_report_column;
use crate::units::to_tenth_millis;
use crate::values::{flag, number, positive_time, string, unknown_value, value};
use crate::workers::roles_by_kind;

/// Reads the configuration of the scheduler from settings that are already parsed as JSON.
pub fn scheduler_config(root: &Value) -> Result<SchedulerConfig, SettingsError> {
    let classes = class_list(root)?;
    require_unique_names(classes)?;
    let objectives = TokenObjectives::read(root, classes.len())?;
    let decode_workers_prefill = flag(root, family::DECODE_WORKERS_PREFILL)?;
    let retry_after_enabled = flag(root, capabilities::RETRY_AFTER)?;
    let health_checks_enabled = flag(root, capabilities::HEALTH_CHECKS)?;
    let connect_timeout_ms = connect_timeout_ms(root)?;
    let max_attempts = max_attempts(root)?;
    let report = load_report_column(root)?;
    Ok(SchedulerConfig {
        router_count: number(root, keys::ROUTERS)?.max(1.0) as u32,
        classes: request_classes(classes, objectives, connect_timeout_ms)?,
        role_by_kind: roles_by_kind(root, decode_workers_prefill)?,
        reservations_enabled: flag(root, family::RESERVATIONS)?,
        decode_workers_prefill,
        state_release_timeout: to_tenth_millis(positive_time(root, family::STATE_RELEASE_TIMEOUT_MS)?),
        cold_capacity_share: number(root, invariants::COLD_CAPACITY_SHARE)?,
        warm_up_time: to_tenth_millis(number(root, invariants::WARM_UP_TIME_MS)?),
        overload_multiple: number(root, invariants::OVERLOAD_MULTIPLE)?,
        overload_window: to_tenth_millis(number(root, invariants::OVERLOAD_WINDOW_MS)?),
        max_attempts,
        cancellation_enabled: flag(root, capabilities::CANCELLATION)?,
        health_checks_enabled,
        load_reports_enabled: health_checks_enabled && report.is_some(),
        load_in_tokens: report.is_some_and(|report| report.counts_tokens),
        endpoint_watch_enabled: endpoint_watch_enabled(root)?,
        retry_after_enabled,
        max_retry_after: if retry_after_enabled {
            to_tenth_millis(number(root, capabilities::MAX_RETRY_AFTER_MS)?)
        } else {
            0
        },
    })
}

/// Reads the time that establishing a connection may take, in milliseconds; 0 if the settings lack it or have null.
fn connect_timeout_ms(root: &Value) -> Result<f64, SettingsError> {
    match value(root, capabilities::CONNECT_TIMEOUT_MS) {
        Ok(found) if !found.is_null() => positive_time(root, capabilities::CONNECT_TIMEOUT_MS),
        _ => Ok(0.0),
    }
}

fn max_attempts(root: &Value) -> Result<u16, SettingsError> {
    let max_attempts = number(root, capabilities::MAX_ATTEMPTS)? as u16;
    if max_attempts == 0 {
        return Err(SettingsError::NoAttempts(capabilities::MAX_ATTEMPTS));
    }
    Ok(max_attempts)
}

fn endpoint_watch_enabled(root: &Value) -> Result<bool, SettingsError> {
    match string(root, keys::DISCOVERY)? {
        discovery::AUTOMATIC => Ok(false),
        discovery::SUBSCRIBE => Ok(true),
        other => Err(unknown_value(keys::DISCOVERY, other)),
    }
}
