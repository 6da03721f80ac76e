//! Preconditions of changes (RFC 9110, 13.1). Without them, a change could silently overwrite a concurrent one.

use tideroute_tenant_store::{Precondition, Revision};

use crate::api_error::{ApiError, ProblemKind};
use crate::request::Request;

/// Parses the precondition of a change from the request's `if-match` or `if-none-match` field.
pub(crate) fn parse_precondition(request: &Request) -> Result<Precondition, ApiError> {
    match (request.header("if-match"), request.header("if-none-match")) {
        (None, Some("*")) => Ok(Precondition::Absent),
        (Some(entity_tag), None) => parse_entity_tag(entity_tag),
        (None, None) => Err(ApiError::new(
            428,
            ProblemKind::Precondition,
            "a change names the version it changes with If-Match, or If-None-Match: * for a new one",
        )),
        _ => Err(ApiError::new(
            400,
            ProblemKind::Precondition,
            "If-Match and If-None-Match: * exclude each other",
        )),
    }
}

/// Returns the entity tag of a revision: its version in quotes.
pub(crate) fn entity_tag(revision: &Revision) -> String {
    format!("\"{}\"", revision.version)
}

fn parse_entity_tag(entity_tag: &str) -> Result<Precondition, ApiError> {
    let version = entity_tag.strip_prefix('"').and_then(|tag| tag.strip_suffix('"'));
    match version.and_then(|version| version.parse().ok()) {
        Some(version) => Ok(Precondition::Version(version)),
        None => {
            let detail = format!("If-Match is {entity_tag}, no version as an ETag gave it");
            Err(ApiError::new(400, ProblemKind::IfMatch, detail))
        }
    }
}
