//! Revisions: tenants as they were after each change.

use serde::{Deserialize, Serialize};

use crate::tenant::Tenant;

/// A tenant as it was after a change.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Revision {
    /// The tenant's name.
    pub name: String,
    /// The number of the change among those of all tenants; never used again.
    pub version: u64,
    /// When the change was made, in microseconds since 1970.
    #[serde(rename = "at")]
    pub changed_at: u64,
    /// Who made the change.
    #[serde(rename = "by")]
    pub changed_by: String,
    /// The tenant's configuration; `None` if the change removed the tenant.
    pub tenant: Option<Tenant>,
}
