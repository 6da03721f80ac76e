//! The endpoint list, as discovery sends it: JSON objects, each a full snapshot or a change.

use serde_json::Value;
use tideroute::types::{Endpoint, EndpointStatus, WorkerId};
use tideroute_wire::Address;

use crate::headers::{hash_name, parse_address};

/// Why an update of the endpoint list cannot be used.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum EndpointListError {
    /// It is no JSON.
    #[error("the line is no JSON object")]
    Json,
    /// A field is missing, or of another type or value than it should be.
    #[error("{0} is missing or is not what it should be")]
    Field(&'static str),
}

/// The names that the settings and discovery have in common; entries of the list refer to them by their place.
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
    /// Where it is reached; all zeros for one that is removed.
    pub address: Address,
}

/// One update of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// The version that the list has with this update.
    pub version: u64,
    /// A full snapshot: workers that it does not name are gone.
    pub is_full: bool,
    /// Entries that can be used, in the order of the update.
    pub entries: Vec<EndpointEntry>,
}

impl EndpointUpdate {
    /// Parses one JSON object. Entries of a kind or zone that the settings do not name are left out: nothing is known
    /// of what they can do.
    pub fn parse(line: &[u8], names: &ConfiguredNames) -> Result<EndpointUpdate, EndpointListError> {
        let update = serde_json::from_slice(line).map_err(|_| EndpointListError::Json)?;
        EndpointUpdate::from_json(&update, names)
    }

    /// The same of an object that is already a JSON value.
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

/// The id of a worker. Workers are ranked by it, so it comes from the name that every router sees, and not from the
/// address.
pub fn worker_id(name: &str) -> WorkerId {
    let [a, b, c, d, e, f, ..] = hash_name(name).to_le_bytes();
    [a, b, c, d, e, f]
}

/// None for an entry whose kind or zone the settings do not name.
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
    let address = parse_address(text("addr")?).ok_or(EndpointListError::Field("addr"))?;
    let kind_name = text("kind")?;
    let zone_name = text("zone")?;
    let cell = server["cell"].as_u64().and_then(|cell| u16::try_from(cell).ok());
    let cell = cell.ok_or(EndpointListError::Field("cell"))?;
    let started_ms = server["started_ms"].as_f64().ok_or(EndpointListError::Field("started_ms"))?;
    let size = server["weight"].as_f64().unwrap_or(1.0);
    let kind = names.kinds.iter().position(|name| name == kind_name);
    let zone = names.zones.iter().position(|name| name == zone_name);
    let (Some(kind), Some(zone)) = (kind, zone) else {
        tracing::warn!(
            kind = kind_name,
            zone = zone_name,
            "a worker of a kind or zone that the settings do not name is ignored"
        );
        return Ok(None);
    };
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
