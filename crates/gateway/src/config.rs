//! The configuration file, read into what the router works under.

use std::net::SocketAddr;

use serde_json::Value;
use tideroute::types::Idempotency;
use tideroute_lifecycle::LifecycleConfig;
use tideroute_settings::Report;
use tideroute_wire::{Address, Micros};

use crate::capacity::Rooms;
use crate::endpoint_list::{self, Names};
use crate::headers::address;

/// Microseconds: what an answer and a request need on their way between a client and its router.
const TRAVEL: Micros = 5_000;

/// Letters of a value that a message shows.
const FOUND: usize = 60;

/// Why a configuration can't be used: which field, and what was expected there.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Unusable {
    #[error("it is no JSON: {0}")]
    Json(String),
    #[error("{field}: expected {expected}, found {found}")]
    Field { field: &'static str, expected: &'static str, found: String },
    #[error("settings: {0}")]
    Settings(String),
    #[error("known: {0}")]
    Known(endpoint_list::Unreadable),
}

#[derive(Clone, Debug)]
pub struct Terms {
    pub lifecycle: LifecycleConfig,
    pub listen: SocketAddr,
    pub discovery: Address,
    pub rooms: Rooms,
    pub names: Names,
    /// A worker may close a connection that has stood idle for so long.
    pub idle: Micros,
    /// A connection that is not there by then never comes up.
    pub dial: Micros,
    /// What is held for a submission is let go within this time.
    pub release: Micros,
    pub travel: Micros,
    /// What a probe brings of a worker's load.
    pub report: Option<Report>,
    /// The list as this router last had it.
    pub known: Value,
}

impl Terms {
    /// Where the settings leave no room, and what is done about it: the rules are kept by not doing what can't be done in
    /// time.
    pub fn without_room(&self) -> Vec<String> {
        let mut found = vec![];
        if self.release < self.dial {
            found.push(format!(
                "family_info.pin_limit_ms, {} ms, is less than the {} ms that a connection may take: what is held may be \
                 released under an attempt that is still being connected",
                self.release / 1_000,
                self.dial / 1_000
            ));
        }
        for (name, class) in self.lifecycle.classes.iter().zip(&self.lifecycle.scheduler.classes) {
            if matches!(class.idempotency, Idempotency::IdempotentWithKey { window: 0, .. }) {
                found.push(format!(
                    "key_ttl_ms of class {name} leaves no time beside the {} ms that a connection may take: it is never repeated",
                    self.dial / 1_000
                ));
            }
        }
        found
    }
}

/// Reads the file.
pub fn read(text: &[u8]) -> Result<Terms, Unusable> {
    let root: Value = serde_json::from_slice(text).map_err(|e| Unusable::Json(e.to_string()))?;
    let at = |path: &str| path.split('.').try_fold(&root, |value, key| value.get(key));
    let field = |field, expected| {
        let found = at(field).map_or("nothing".to_string(), |v| v.to_string().chars().take(FOUND).collect());
        Unusable::Field { field, expected, found }
    };
    let word = |path: &'static str, expected| at(path).and_then(Value::as_str).ok_or(field(path, expected));
    let whole = |path: &'static str, least: u64, expected| {
        let number = at(path).and_then(Value::as_u64).filter(|n| *n >= least);
        number.map(|n| n as usize).ok_or(field(path, expected))
    };
    let micros = |path: &'static str| {
        let ms = at(path).and_then(Value::as_f64).filter(|ms| (0.0..1e12).contains(ms));
        ms.map(|ms| (ms * 1000.0) as Micros).ok_or(field(path, "milliseconds"))
    };
    let names = |path: &'static str| {
        let list = at(path).and_then(Value::as_array).ok_or(field(path, "a list of names"))?;
        let names: Option<Vec<_>> = list.iter().map(|v| v.as_str().map(str::to_string)).collect();
        names.ok_or(field(path, "a list of names"))
    };
    let name = word("name", "the router's name")?.to_string();
    let listen = word("listen", "an IPv4 address with a port")?;
    let listen = address(listen).ok_or(field("listen", "an IPv4 address with a port"))?;
    let discovery = word("discovery", "an IPv4 address with a port")?;
    let discovery = address(discovery).ok_or(field("discovery", "an IPv4 address with a port"))?;
    let seed = word("seed", "hexadecimal digits")?;
    let seed = u64::from_str_radix(seed, 16).map_err(|_| field("seed", "hexadecimal digits"))?;
    let sockets = whole("limits.sockets", 64, "a number of descriptors, 64 or more")?;
    let memory = whole("limits.memory_mb", 16, "megabytes, 16 or more")?;
    let rooms = Rooms::new(sockets, memory);
    let settings = at("settings").ok_or(field("settings", "the settings"))?;
    let module = tideroute_settings::terms(settings).map_err(Unusable::Settings)?;
    let report = tideroute_settings::report(settings).map_err(Unusable::Settings)?;
    let class_settings =
        at("settings.classes").and_then(Value::as_array).ok_or(field("settings.classes", "a list"))?;
    let classes = class_settings.iter().map(|c| c["name"].as_str().unwrap_or_default().to_string()).collect();
    let names = Names { zones: names("settings.failure_domains")?, kinds: names("settings.kinds")? };
    let dial = micros("settings.caps.dial_timeout_ms")?;
    let release = module.state_release_timeout.max(0) as Micros * 100;
    let known = at("known").cloned().unwrap_or_default();
    if !known.is_null() {
        endpoint_list::hear(&known, &names, &mut Nobody).map_err(Unusable::Known)?;
    }
    let lifecycle = LifecycleConfig {
        name,
        scheduler: module,
        classes,
        connect_timeout: dial,
        max_open_requests: rooms.open,
        tenants: None,
        limits_share: 1.0,
        max_admission_wait: 0,
        seed,
    };
    let [a, b, c, d, high, low] = listen;
    let listen = ([a, b, c, d], u16::from_be_bytes([high, low])).into();
    let idle = micros("settings.caps.conn_idle_ms")?;
    Ok(Terms {
        lifecycle,
        listen,
        discovery,
        rooms,
        names,
        idle,
        dial,
        release,
        travel: TRAVEL,
        report,
        known,
    })
}

/// Hears a list only to see that it can be read.
struct Nobody;

impl endpoint_list::Ear for Nobody {
    fn page(&mut self, _version: u64, _whole: bool) -> bool {
        false
    }

    fn entry(&mut self, _listing: tideroute::types::Endpoint, _at: Address) {}
}
