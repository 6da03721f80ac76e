//! What the header of a capture says about the fleet. The keys in JSON are those of the captures that are stored.

use serde::{Deserialize, Serialize};
use tideroute_wire::Micros;

/// The part of a capture's header that this package reads.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct CaptureHeader {
    /// The fleet, if the routers of the day form one.
    #[serde(rename = "members")]
    pub fleet: Option<FleetMembers>,
}

/// The members of a fleet, and when some of them could not reach others.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct FleetMembers {
    /// Names of the members.
    pub names: Vec<String>,
    /// Network partitions of the day.
    #[serde(rename = "cuts")]
    pub partitions: Vec<Partition>,
}

/// A time in which some members could not hear some others, or each other.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Partition {
    /// Its first moment.
    pub from: Micros,
    /// Its last moment.
    pub until: Micros,
    /// Names of the members on one side.
    #[serde(rename = "between")]
    pub side: Vec<String>,
    /// Names of the members on the other side.
    #[serde(rename = "and")]
    pub other_side: Vec<String>,
}
