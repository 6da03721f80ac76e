//! Reads the operators' settings of a router, a JSON object, into the configuration of its scheduler. The bench adapter
//! and the HTTP gateway use it.
//!
//! Unknown keys are ignored. Values that are missing, of the wrong type, out of range or contradictory are rejected
//! with a [`SettingsError`] that names the key.

#![warn(missing_docs)]

mod classes;
mod error;
mod keys;
mod load_report;
mod scheduler;
mod units;
mod values;
mod workers;

pub use error::SettingsError;
pub use load_report::{load_report_column, LoadReportColumn};
pub use scheduler::scheduler_config;
pub use units::to_tenth_millis;

use serde_json::Value;
use tideroute::types::SchedulerConfig;

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Configuration of the scheduler.
    pub scheduler: SchedulerConfig,
    /// The column of load reports that the scheduler uses; `None` if health checks report no suitable one.
    pub load_report: Option<LoadReportColumn>,
}

impl Settings {
    /// Parses the settings from JSON.
    pub fn parse(text: &[u8]) -> Result<Settings, SettingsError> {
        let root: Value =
            serde_json::from_slice(text).map_err(|error| SettingsError::Json(error.to_string()))?;
        let scheduler = scheduler_config(&root)?;
        let load_report = load_report_column(&root)?;
        Ok(Settings { scheduler, load_report })
    }
}
