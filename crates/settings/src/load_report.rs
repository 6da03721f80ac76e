//! Reads which column of load reports the scheduler uses.

use serde_json::Value;

use crate::error::SettingsError;
use crate::keys::{family, report as keys};
use crate::values::{list, value};

/// Prompt tokens per unit of a column that counts prompt tokens.
const TOKENS_PER_UNIT: f64 = 1_000.0;

/// The column of load reports that tells how much work waits at a worker.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LoadReportColumn {
    /// The column's name.
    pub name: String,
    /// Its index among all columns.
    pub column: usize,
    /// Whether the column counts thousands of prompt tokens; otherwise it counts attempts.
    pub counts_tokens: bool,
}

impl LoadReportColumn {
    /// Returns the load for a value of the column, in prompt tokens or attempts; `None` if the value is not finite or
    /// is negative.
    pub fn load(&self, value: f64) -> Option<f64> {
        let unit = if self.counts_tokens { TOKENS_PER_UNIT } else { 1.0 };
        (value.is_finite() && value >= 0.0).then_some(value * unit)
    }
}

/// Returns the column of load reports that tells how much work waits at a worker: a column of prompt tokens if the
/// settings describe one, else the column of attempts. `None` if load reports do not arrive with health checks, or have
/// neither column.
pub fn load_report_column(root: &Value) -> Result<Option<LoadReportColumn>, SettingsError> {
    let source = value(root, keys::SOURCE).ok().and_then(Value::as_str);
    if source != Some(keys::BY_HEALTH_CHECK) || value(root, keys::COLUMNS).is_err() {
        return Ok(None);
    }
    let columns = list(root, keys::COLUMNS)?;
    let tokens_column = find_column(columns, true, |name| counts_tokens(root, name));
    Ok(tokens_column.or_else(|| find_column(columns, false, |name| name == keys::ATTEMPTS_COLUMN)))
}

/// Returns the first column whose name `matches` accepts.
fn find_column(columns: &[Value], tokens: bool, matches: impl Fn(&str) -> bool) -> Option<LoadReportColumn> {
    for (column, name) in columns.iter().enumerate() {
        let Some(name) = name.as_str().filter(|name| matches(name)) else { continue };
        return Some(LoadReportColumn { name: name.to_string(), column, counts_tokens: tokens });
    }
    None
}

/// Returns whether the settings describe a column as counting waiting prompt tokens.
fn counts_tokens(root: &Value, column: &str) -> bool {
    let Ok(family_settings) = value(root, family::ROOT) else { return false };
    let key = format!("{}{column}", family::REPORT_MEANING_PREFIX);
    let meaning = family_settings[key].as_str();
    meaning.is_some_and(|meaning| meaning.starts_with(keys::TOKENS_MEANING))
}
