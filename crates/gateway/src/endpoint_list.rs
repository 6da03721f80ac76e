//! Parses the endpoint list that discovery sends: JSON objects, each a full snapshot or a change.

use serde_json::Value;
use tideroute::types::{Endpoint, EndpointStatus, WorkerId};
use tideroute_wire::Address;

use crate::headers::{hash_name, parse_address};

/// Why an update of the endpoint list cannot be used.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum EndpointListError {
    /// The update is not JSON.
    #[error("the update is not valid JSON")]
    Json,
    /// A field is missing or has a wrong type or value.
    #[error("{0} is missing or invalid")]
    Field(&'static str),
}

/// The names that the settings and discovery share; parsed entries refer to them by index.
#[derive(Clone, Debug, Default)]
pub struct ConfiguredNames {
    /// Zones (failure domains).
    pub zones: Vec<String>,
    /// Worker kinds.
    pub kinds: Vec<String>,
}

/// One entry of the list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// What the scheduler needs to know of the worker.
    pub endpoint: Endpoint,
    /// The worker's address; all zeros for a removed worker.
    pub address: Address,
}

/// One update of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// The version of the list after this update.
    pub version: u64,
    /// Whether the update is a full snapshot; workers that it does not name are removed.
    pub is_full: bool,
    /// Entries that can be used, in the order of the update.
    pub entries: Vec<EndpointEntry>,
}

impl EndpointUpdate {
    /// Parses one JSON object. Entries whose kind or zone the settings do not name are left out, because their
    /// capabilities are unknown. Bytes that are no UTF-8 are replaced: they may stand in a member that is not used.
    pub fn parse(text: &[u8], names: &ConfiguredNames) -> Result<EndpointUpdate, EndpointListError> {
        let text = String::from_utf8_lossy(text);
        let update = serde_json::from_str(&text).map_err(|_| EndpointListError::Json)?;
        EndpointUpdate::from_json(&update, names)
    }

    /// Like [`parse`](Self::parse), for an object that is already a JSON value.
    pub fn from_json(update: &Value, names: &ConfiguredNames) -> Result<EndpointUpdate, EndpointListError> {
        let version = update["version"].as_u64().ok_or(EndpointListError::Field("version"))?;
        let is_full = update["full"].as_bool().ok_or(EndpointListError::Field("full"))?;
        let servers = update["servers"].as_array().ok_or(EndpointListError::Field("servers"))?;
        let mut entries = Vec::with_capacity(servers.len());
        for server in servers {
            entries.extend(parse_entry(server, names)?);
        }
        Ok(EndpointUpdate { version, is_full, entries })
    }
}

/// Returns the id of a worker. Routers rank workers by id, so it is derived from the name, which every router sees, and
/// not from the address.
pub fn worker_id(name: &str) -> WorkerId {
    let [a, b, c, d, e, f, ..] = hash_name(name.as_bytes()).to_le_bytes();
    [a, b, c, d, e, f]
}

/// Parses one entry; `None` if the settings do not name its kind or zone.
fn parse_entry(server: &Value, names: &ConfiguredNames) -> Result<Option<EndpointEntry>, EndpointListError> {
    let text = |field| server[field].as_str().ok_or(EndpointListError::Field(field));
    let worker = worker_id(text("id")?);
    let status = match text("state")? {
        "SERVING" => EndpointStatus::Serving,
        "DRAINING" => EndpointStatus::Draining,
        "DELETED" => {
            // The entry of a removed worker needs nothing but its name.
            let endpoint = Endpoint { worker, status: EndpointStatus::Removed, ..Endpoint::default() };
            return Ok(Some(EndpointEntry { endpoint, address: [0; 6] }));
        }
        _ => return Err(EndpointListError::Field("state")),
    };
    let kind_name = text("kind")?;
    let zone_name = text("zone")?;
    let kind = names.kinds.iter().position(|name| name == kind_name);
    let zone = names.zones.iter().position(|name| name == zone_name);
    let (Some(kind), Some(zone)) = (kind, zone) else {
        tracing::warn!(
            kind = kind_name,
            zone = zone_name,
            "worker kind or zone not in the settings; ignoring the worker"
        );
        return Ok(None);
    };
    let address = parse_address(text("addr")?).ok_or(EndpointListError::Field("addr"))?;
    let cell = server["cell"].as_u64().and_then(|cell| u16::try_from(cell).ok());
    let cell = cell.ok_or(EndpointListError::Field("cell"))?;
    let started_ms = server["started_ms"].as_f64().ok_or(EndpointListError::Field("started_ms"))?;
    let size = server["weight"].as_f64().unwrap_or(1.0);
    let endpoint = Endpoint {
        worker,
        kind: kind as u16,
        size,
        status,
        cell,
        zone: zone as u8,
        start_time: tideroute_settings::to_tenth_millis(started_ms.max(0.0)),
    };
    Ok(Some(EndpointEntry { endpoint, address }))
}
