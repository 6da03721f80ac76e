//! What health checks report of a worker's load.

use serde_json::Value;

use crate::error::SettingsError;
use crate::keys::{family, report as keys};
use crate::values::{list, value};

/// Prompt tokens in the unit of a column that counts them.
const TOKENS_PER_UNIT: f64 = 1_000.0;

/// The column of load reports that says how much work waits at a worker.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LoadReportColumn {
    /// The column's name.
    pub name: String,
    /// Its index among all columns.
    pub column: usize,
    /// It counts thousands of prompt tokens, else attempts.
    pub counts_tokens: bool,
}

impl LoadReportColumn {
    /// The load that a value of the column stands for, in prompt tokens or attempts; `None` if the value is not finite or
    /// is negative.
    pub fn load(&self, value: f64) -> Option<f64> {
        let unit = if self.counts_tokens { TOKENS_PER_UNIT } else { 1.0 };
        (value.is_finite() && value >= 0.0).then_some(value * unit)
    }
}

/// The column of load reports that says how much work waits, where health checks bring reports and one of their columns
/// does: prompt tokens if the settings of the family say so of a column, else attempts.
pub fn load_report_column(root: &Value) -> Result<Option<LoadReportColumn>, SettingsError> {
    let source = value(root, keys::SOURCE).ok().and_then(Value::as_str);
    if source != Some(keys::BY_HEALTH_CHECK) || value(root, keys::COLUMNS).is_err() {
        return Ok(None);
    }
    let columns = list(root, keys::COLUMNS)?;
    let tokens_column = find_column(columns, true, |name| counts_tokens(root, name));
    Ok(tokens_column.or_else(|| find_column(columns, false, |name| name == keys::ATTEMPTS_COLUMN)))
}

/// The first column whose name fits.
fn find_column(columns: &[Value], tokens: bool, fits: impl Fn(&str) -> bool) -> Option<LoadReportColumn> {
    for (column, name) in columns.iter().enumerate() {
        let Some(name) = name.as_str().filter(|name| fits(name)) else { continue };
        return Some(LoadReportColumn { name: name.to_string(), column, counts_tokens: tokens });
    }
    None
}

/// Whether the settings of the family say of a column that it counts waiting prompt tokens.
fn counts_tokens(root: &Value, column: &str) -> bool {
    let Ok(family_settings) = value(root, family::ROOT) else { return false };
    let key = format!("{}{column}", family::REPORT_MEANING_PREFIX);
    let meaning = family_settings[key].as_str();
    meaning.is_some_and(|meaning| meaning.starts_with(keys::TOKENS_MEANING))
}
