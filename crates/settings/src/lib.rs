//! Reads the operators' settings of one router, a JSON object, into the configuration of its scheduler. The bench
//! adapter and the HTTP gateway share it.
//!
//! Keys that are not known are ignored. A value that is missing, of the wrong type or out of its range, and values that
//! contradict each other, are refused with the key's name: see [`SettingsError`].

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

/// The settings of one router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Configuration of the scheduler.
    pub scheduler: SchedulerConfig,
    /// The column of load reports that health checks bring, if they bring one that the scheduler can use.
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
