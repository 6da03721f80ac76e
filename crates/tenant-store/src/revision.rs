//! Revisions: the state of a tenant after each change.

use serde::{Deserialize, Serialize};

use crate::tenant::Tenant;

/// The state of a tenant after a change.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Revision {
    /// The tenant's name.
    pub name: String,
    /// Number of the change, counted over all tenants. A number is never reused.
    pub version: u64,
    /// Time of the change, in microseconds since the Unix epoch (1970).
    #[serde(rename = "at")]
    pub changed_at: u64,
    /// Who made the change.
    #[serde(rename = "by")]
    pub changed_by: String,
    /// The tenant's configuration; `None` if the change removed the tenant.
    pub tenant: Option<Tenant>,
}
