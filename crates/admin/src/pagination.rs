//! Pagination of lists.

use serde::Serialize;
use tideroute_tenant_store::Revision;

use crate::api_error::{ApiError, ProblemKind};
use crate::request::Request;

/// Maximum number of entries in a page if the request names no limit.
const DEFAULT_LIMIT: u64 = 100;

/// Largest limit that a request may name.
const MAX_LIMIT: u64 = 1_000;

/// One page of revisions.
#[derive(Serialize)]
pub(crate) struct Page {
    entries: Vec<Revision>,
    /// Cursor of the next page; `None` if there is no further page.
    #[serde(skip_serializing_if = "Option::is_none")]
    next: Option<String>,
}

impl Page {
    /// Creates a page. A full page may be followed by another one, so it gets the cursor that `cursor` returns for its
    /// last entry.
    pub fn new(entries: Vec<Revision>, limit: usize, cursor: impl Fn(&Revision) -> String) -> Page {
        let next = entries.last().filter(|_| entries.len() == limit).map(cursor);
        Page { entries, next }
    }
}

/// Returns the maximum number of entries per page that the request asks for.
pub(crate) fn page_limit(request: &Request) -> Result<usize, ApiError> {
    let limit = request.query_number("most")?.unwrap_or(DEFAULT_LIMIT);
    if (1..=MAX_LIMIT).contains(&limit) {
        return Ok(limit as usize);
    }
    let detail = format!("most is {limit}, not 1 to {MAX_LIMIT}");
    Err(ApiError::new(400, ProblemKind::Query, detail).with_field("most"))
}
