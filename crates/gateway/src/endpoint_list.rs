//! Discovery's lines: one JSON object each, whose fields go straight into calls.

use serde_json::Value;
use tideroute::types::{Endpoint, EndpointStatus, WorkerId};
use tideroute_wire::Address;

use crate::headers::{address, number_of};

#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Unreadable {
    #[error("the line is no JSON object")]
    Json,
    #[error("{0} is missing or is not what it should be")]
    Field(&'static str),
}

/// The names that discovery and the settings have in common.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// What hears a page of the list.
pub trait Ear {
    /// False if the page shall not be heard.
    fn page(&mut self, version: u64, whole: bool) -> bool;
    fn entry(&mut self, endpoint: Endpoint, at: Address);
}

/// What the module calls a worker: it ranks workers by it, so it comes from the name that every router sees, and
/// not from the address.
pub fn worker_of(name: &str) -> WorkerId {
    let [a, b, c, d, e, f, ..] = number_of(name).to_le_bytes();
    [a, b, c, d, e, f]
}

/// Takes one page apart and makes its calls, or none if any of it can't be read. Entries of a kind or zone that
/// the settings do not name are passed over, for nothing is known of what they can do.
pub fn hear(page: &Value, names: &Names, ear: &mut impl Ear) -> Result<(), Unreadable> {
    let version = page["version"].as_u64().ok_or(Unreadable::Field("version"))?;
    let whole = page["full"].as_bool().ok_or(Unreadable::Field("full"))?;
    let servers = page["servers"].as_array().ok_or(Unreadable::Field("servers"))?;
    let entries = servers.iter().map(|s| entry(s, names)).collect::<Result<Vec<_>, _>>()?;
    if ear.page(version, whole) {
        entries.into_iter().flatten().for_each(|(endpoint, at)| ear.entry(endpoint, at));
    }
    Ok(())
}

/// The same of a line as it came.
pub fn hear_line(line: &[u8], names: &Names, ear: &mut impl Ear) -> Result<(), Unreadable> {
    hear(&serde_json::from_slice(line).map_err(|_| Unreadable::Json)?, names, ear)
}

fn entry(server: &Value, names: &Names) -> Result<Option<(Endpoint, Address)>, Unreadable> {
    let word = |field| server[field].as_str().ok_or(Unreadable::Field(field));
    let worker = worker_of(word("id")?);
    let status = match word("state")? {
        "SERVING" => EndpointStatus::Serving,
        "DRAINING" => EndpointStatus::Draining,
        "DELETED" => {
            // One that is gone needs nothing but its name.
            let endpoint = Endpoint { worker, status: EndpointStatus::Removed, ..Endpoint::default() };
            return Ok(Some((endpoint, [0; 6])));
        }
        _ => return Err(Unreadable::Field("state")),
    };
    let at = address(word("addr")?).ok_or(Unreadable::Field("addr"))?;
    let (kind, zone) = (word("kind")?, word("zone")?);
    let cell =
        server["cell"].as_u64().and_then(|c| u16::try_from(c).ok()).ok_or(Unreadable::Field("cell"))?;
    let started = server["started_ms"].as_f64().ok_or(Unreadable::Field("started_ms"))?;
    let size = server["weight"].as_f64().unwrap_or(1.0);
    let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
    let (Some(kind), Some(zone)) = (place(&names.kinds, kind), place(&names.zones, zone)) else {
        tracing::warn!(kind, zone, "a worker of a kind or zone that the settings do not name");
        return Ok(None);
    };
    let (kind, zone) = (kind as u16, zone as u8);
    let started = tideroute_settings::to_tenth_millis(started.max(0.0));
    Ok(Some((Endpoint { worker, kind, size, status, cell, zone, start_time: started }, at)))
}
