//! Pages of lists.

use serde::Serialize;
use tideroute_tenant_store::Revision;

use crate::api_error::{ApiError, ProblemKind};
use crate::request::Request;

/// Entries in a page whose request names no limit.
const DEFAULT_LIMIT: u64 = 100;

/// Entries in a page at most.
const MAX_LIMIT: u64 = 1_000;

/// One page of revisions.
#[derive(Serialize)]
pub(crate) struct Page {
    entries: Vec<Revision>,
    /// Where the next page begins; none after the last page.
    #[serde(skip_serializing_if = "Option::is_none")]
    next: Option<String>,
}

impl Page {
    /// A full page may be followed by another; `cursor` gives the last entry's place.
    pub fn new(entries: Vec<Revision>, limit: usize, cursor: impl Fn(&Revision) -> String) -> Page {
        let next = entries.last().filter(|_| entries.len() == limit).map(cursor);
        Page { entries, next }
    }
}

/// Entries that the request wants in a page at most.
pub(crate) fn page_limit(request: &Request) -> Result<usize, ApiError> {
    let limit = request.query_number("most")?.unwrap_or(DEFAULT_LIMIT);
    if (1..=MAX_LIMIT).contains(&limit) {
        return Ok(limit as usize);
    }
    let detail = format!("most is {limit}, not 1 to {MAX_LIMIT}");
    Err(ApiError::new(400, ProblemKind::Query, detail).with_field("most"))
}
