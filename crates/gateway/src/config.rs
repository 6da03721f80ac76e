//! The configuration file, parsed and checked into [`Config`].

use std::net::SocketAddr;

use serde_json::Value;
use tideroute::types::{Idempotency, SchedulerConfig};
use tideroute_lifecycle::LifecycleConfig;
use tideroute_settings::{LoadReportColumn, SettingsError};
use tideroute_wire::{Address, Micros};

use crate::capacity::Capacity;
use crate::endpoint_list::{ConfiguredNames, EndpointListError, EndpointUpdate};
use crate::headers::{parse_address, socket_address};

/// Microseconds for the transmission of a request and its response between a client and the router.
const TRAVEL_TIME: Micros = 5_000;
/// Microseconds in a tenth of a millisecond, the scheduler's unit of time.
const MICROS_PER_TENTH: Micros = 100;
/// Minimum number of descriptors that a configuration must allow.
const MIN_DESCRIPTORS: u64 = 64;
/// Minimum number of mebibytes of memory that a configuration must allow.
const MIN_MEMORY_MB: u64 = 16;
/// Exclusive upper limit in milliseconds of a time in the configuration.
const MAX_MILLISECONDS: f64 = 1e12;
/// Maximum number of characters of a value that an error message shows.
const MAX_SHOWN: usize = 60;

/// Why a configuration cannot be used: which field, and what was expected there.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ConfigError {
    /// The file is not JSON.
    #[error("not valid JSON: {0}")]
    Json(String),
    /// A field is missing or of a wrong form.
    #[error("{field}: expected {expected}, found {found}")]
    Field {
        /// The path of the field.
        field: &'static str,
        /// The expected value.
        expected: &'static str,
        /// The value found, cut to `MAX_SHOWN` characters.
        found: String,
    },
    /// The scheduler's settings cannot be used.
    #[error("settings: {0}")]
    Settings(SettingsError),
    /// The endpoint list in the file cannot be used.
    #[error("known: {0}")]
    Known(EndpointListError),
}

/// The configuration of a gateway.
#[derive(Clone, Debug)]
pub struct Config {
    /// The configuration of the request lifecycle and the scheduler.
    pub lifecycle: LifecycleConfig,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: Address,
    /// Capacity limits of the process.
    pub capacity: Capacity,
    /// The zone and kind names that discovery refers to.
    pub names: ConfiguredNames,
    /// Microseconds after which a worker may close an idle connection.
    pub worker_idle_timeout: Micros,
    /// Microseconds within which a connection must be established.
    pub connect_timeout: Micros,
    /// Microseconds within which state reserved for a request is released.
    pub release_timeout: Micros,
    /// Microseconds of a client's remaining time that the transmission of its request and response takes.
    pub travel_time: Micros,
    /// The column of load reports that contains a worker's load, if health checks are answered with reports.
    pub load_report: Option<LoadReportColumn>,
    /// The last endpoint list that this router had; null for none.
    pub known_endpoints: Value,
}

impl Config {
    /// Parses the configuration file. The first field that cannot be used is the error.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        let root: Value =
            serde_json::from_slice(text).map_err(|error| ConfigError::Json(error.to_string()))?;
        let file = ConfigFile { root: &root };
        let name = file.text("name", "the router's name")?.to_string();
        let listen = file.address("listen")?;
        let discovery = file.address("discovery")?;
        let seed = file.hexadecimal("seed")?;
        let capacity = file.capacity()?;
        let (scheduler, load_report) = file.scheduler_settings()?;
        let classes = file.class_names()?;
        let names = ConfiguredNames {
            zones: file.names("settings.failure_domains")?,
            kinds: file.names("settings.kinds")?,
        };
        let connect_timeout = file.milliseconds("settings.caps.dial_timeout_ms")?;
        let known_endpoints = file.get("known").cloned().unwrap_or_default();
        if !known_endpoints.is_null() {
            EndpointUpdate::from_json(&known_endpoints, &names).map_err(ConfigError::Known)?;
        }
        Ok(Config {
            listen: socket_address(listen).into(),
            discovery,
            capacity,
            names,
            worker_idle_timeout: file.milliseconds("settings.caps.conn_idle_ms")?,
            connect_timeout,
            release_timeout: release_timeout(&scheduler),
            travel_time: TRAVEL_TIME,
            load_report,
            known_endpoints,
            lifecycle: LifecycleConfig {
                name,
                scheduler,
                classes,
                connect_timeout,
                max_open_requests: capacity.open_requests,
                tenants: None,
                limits_share: 1.0,
                max_admission_wait: 0,
                seed,
            },
        })
    }

    /// Returns a message for each setting that conflicts with others, with the effect of the conflict. The
    /// gateway uses the settings all the same, and does not do what they leave no time for.
    pub fn infeasible_settings(&self) -> Vec<String> {
        let mut problems = vec![];
        if self.release_timeout < self.connect_timeout {
            problems.push(format!(
                "family_info.pin_limit_ms, {} ms, is less than the connect timeout of {} ms: reserved state may be \
                 released while an attempt that needs it is still connecting",
                self.release_timeout / 1_000,
                self.connect_timeout / 1_000
            ));
        }
        for (name, class) in self.lifecycle.classes.iter().zip(&self.lifecycle.scheduler.classes) {
            if matches!(class.idempotency, Idempotency::IdempotentWithKey { window: 0, .. }) {
                problems.push(format!(
                    "key_ttl_ms of class {name} leaves no time beside the connect timeout of {} ms: its requests are \
                     never retried",
                    self.connect_timeout / 1_000
                ));
            }
        }
        problems
    }
}

fn release_timeout(scheduler: &SchedulerConfig) -> Micros {
    scheduler.state_release_timeout.max(0) as Micros * MICROS_PER_TENTH
}

/// The file's JSON, read by paths of keys joined by dots.
struct ConfigFile<'a> {
    root: &'a Value,
}

impl<'a> ConfigFile<'a> {
    fn get(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.root, |value, key| value.get(key))
    }

    fn error(&self, field: &'static str, expected: &'static str) -> ConfigError {
        let found = match self.get(field) {
            Some(value) => value.to_string().chars().take(MAX_SHOWN).collect(),
            None => "nothing".to_string(),
        };
        ConfigError::Field { field, expected, found }
    }

    fn text(&self, path: &'static str, expected: &'static str) -> Result<&'a str, ConfigError> {
        self.get(path).and_then(Value::as_str).ok_or_else(|| self.error(path, expected))
    }

    fn address(&self, path: &'static str) -> Result<Address, ConfigError> {
        let expected = "an IPv4 address with a port";
        parse_address(self.text(path, expected)?).ok_or_else(|| self.error(path, expected))
    }

    fn hexadecimal(&self, path: &'static str) -> Result<u64, ConfigError> {
        let expected = "hexadecimal digits";
        u64::from_str_radix(self.text(path, expected)?, 16).map_err(|_| self.error(path, expected))
    }

    fn integer(&self, path: &'static str, least: u64, expected: &'static str) -> Result<usize, ConfigError> {
        let number = self.get(path).and_then(Value::as_u64).filter(|number| *number >= least);
        number.map(|number| number as usize).ok_or_else(|| self.error(path, expected))
    }

    fn milliseconds(&self, path: &'static str) -> Result<Micros, ConfigError> {
        let number = self.get(path).and_then(Value::as_f64).filter(|ms| (0.0..MAX_MILLISECONDS).contains(ms));
        number.map(|ms| (ms * 1000.0) as Micros).ok_or_else(|| self.error(path, "milliseconds"))
    }

    fn names(&self, path: &'static str) -> Result<Vec<String>, ConfigError> {
        let error = || self.error(path, "a list of names");
        let list = self.get(path).and_then(Value::as_array).ok_or_else(error)?;
        let names: Option<Vec<_>> = list.iter().map(|name| name.as_str().map(str::to_string)).collect();
        names.ok_or_else(error)
    }

    fn class_names(&self) -> Result<Vec<String>, ConfigError> {
        let path = "settings.classes";
        let classes = self.get(path).and_then(Value::as_array).ok_or_else(|| self.error(path, "a list"))?;
        Ok(classes.iter().map(|class| class["name"].as_str().unwrap_or_default().to_string()).collect())
    }

    fn scheduler_settings(&self) -> Result<(SchedulerConfig, Option<LoadReportColumn>), ConfigError> {
        let settings = self.get("settings").ok_or_else(|| self.error("settings", "the settings"))?;
        let scheduler = tideroute_settings::scheduler_config(settings).map_err(ConfigError::Settings)?;
        let load_report = tideroute_settings::load_report_column(settings).map_err(ConfigError::Settings)?;
        Ok((scheduler, load_report))
    }

    fn capacity(&self) -> Result<Capacity, ConfigError> {
        let descriptors =
            self.integer("limits.sockets", MIN_DESCRIPTORS, "a number of descriptors, 64 or more")?;
        let memory_mb = self.integer("limits.memory_mb", MIN_MEMORY_MB, "megabytes, 16 or more")?;
        Ok(Capacity::new(descriptors, memory_mb))
    }
}
