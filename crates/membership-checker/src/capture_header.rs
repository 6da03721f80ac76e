//! The part of a capture's header that describes the cluster of routers. Its JSON keys are those of stored captures.

use serde::{Deserialize, Serialize};
use tideroute_wire::Micros;

/// The part of a capture's header that this package reads.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct CaptureHeader {
    /// The cluster, if the routers of the scenario form one.
    #[serde(rename = "members")]
    pub cluster: Option<ClusterMembers>,
}

/// The members of a cluster of routers, and the network partitions between them.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct ClusterMembers {
    /// Names of the members.
    pub names: Vec<String>,
    /// Network partitions of the scenario.
    #[serde(rename = "cuts")]
    pub partitions: Vec<Partition>,
}

/// A time in which members on one side could not receive from those on the other side, or neither side from the other.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Partition {
    /// Start of the partition.
    pub from: Micros,
    /// End of the partition.
    pub until: Micros,
    /// Names of the members on one side.
    #[serde(rename = "between")]
    pub side: Vec<String>,
    /// Names of the members on the other side.
    #[serde(rename = "and")]
    pub other_side: Vec<String>,
}
