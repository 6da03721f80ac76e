//! Errors of the API. They are sent as problem details (RFC 9457).

use serde::Serialize;
use tideroute_http::write::reason;
use tideroute_tenant_store::{Revision, StoreError};

use crate::response::Response;

/// The kind of a problem. Its name is the last part of the URN in the problem's `type`.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ProblemKind {
    Address,
    Body,
    Connections,
    ContentLength,
    ContentType,
    Field,
    Full,
    HeadTooLarge,
    Host,
    IfMatch,
    Key,
    Malformed,
    Method,
    Precondition,
    Query,
    Role,
    Slow,
    Store,
    Tenant,
    TooLarge,
    TooManyFields,
    TransferEncoding,
    Version,
}

impl ProblemKind {
    fn name(self) -> &'static str {
        match self {
            ProblemKind::Address => "address",
            ProblemKind::Body => "body",
            ProblemKind::Connections => "connections",
            ProblemKind::ContentLength => "content-length",
            ProblemKind::ContentType => "content-type",
            ProblemKind::Field => "field",
            ProblemKind::Full => "full",
            ProblemKind::HeadTooLarge => "head-too-large",
            ProblemKind::Host => "host",
            ProblemKind::IfMatch => "if-match",
            ProblemKind::Key => "key",
            ProblemKind::Malformed => "malformed",
            ProblemKind::Method => "method",
            ProblemKind::Precondition => "precondition",
            ProblemKind::Query => "query",
            ProblemKind::Role => "role",
            ProblemKind::Slow => "slow",
            ProblemKind::Store => "store",
            ProblemKind::Tenant => "tenant",
            ProblemKind::TooLarge => "too-large",
            ProblemKind::TooManyFields => "too-many-fields",
            ProblemKind::TransferEncoding => "transfer-encoding",
            ProblemKind::Version => "version",
        }
    }
}

/// The reason why a request fails.
#[derive(Debug, thiserror::Error)]
#[error("{status}: {detail}")]
pub(crate) struct ApiError {
    status: u16,
    kind: ProblemKind,
    detail: String,
    /// The invalid field of the body or parameter of the query.
    field: Option<String>,
    /// The tenant's current revision, if the precondition of a change failed.
    present: Option<Box<Revision>>,
    headers: Vec<(&'static str, String)>,
}

/// The body of an error response: the members of RFC 9457 and two extension members, `field` and `present`.
#[derive(Serialize)]
struct ProblemDetails<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    field: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    present: Option<&'a Revision>,
}

impl ApiError {
    pub fn new(status: u16, kind: ProblemKind, detail: impl Into<String>) -> ApiError {
        ApiError { status, kind, detail: detail.into(), field: None, present: None, headers: vec![] }
    }

    pub fn not_found() -> ApiError {
        ApiError::new(404, ProblemKind::Tenant, "there is no such tenant")
    }

    pub fn with_field(mut self, field: impl Into<String>) -> ApiError {
        self.field = Some(field.into());
        self
    }

    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> ApiError {
        self.headers.push((name, value.into()));
        self
    }

    pub fn to_response(&self) -> Response {
        let details = ProblemDetails {
            r#type: format!("urn:tideroute:problem:{}", self.kind.name()),
            title: reason(self.status),
            status: self.status,
            detail: &self.detail,
            field: self.field.as_deref(),
            present: self.present.as_deref(),
        };
        let mut response = Response::json(self.status, &details);
        response.headers = vec![("content-type", "application/problem+json".into())];
        response.headers.extend(self.headers.iter().cloned());
        response
    }
}

impl From<StoreError> for ApiError {
    fn from(error: StoreError) -> ApiError {
        match error {
            StoreError::Conflict(Some(current)) => conflict(current),
            StoreError::Conflict(None) => {
                ApiError::new(409, ProblemKind::Version, "the tenant is not as expected")
            }
            StoreError::NotFound => ApiError::not_found(),
            StoreError::InvalidField(error) => {
                ApiError::new(422, ProblemKind::Field, error.to_string()).with_field(error.field)
            }
            StoreError::TooManyTenants(_) => ApiError::new(507, ProblemKind::Full, error.to_string()),
            StoreError::Database(_) | StoreError::Closed | StoreError::Corrupt(_) => {
                tracing::error!(%error, "tenant store failed; rejecting the request");
                ApiError::new(503, ProblemKind::Store, error.to_string())
            }
        }
    }
}

/// Returns the error for a change whose precondition failed; it contains the tenant's current revision.
fn conflict(current: Box<Revision>) -> ApiError {
    let detail = format!("the tenant is at version {}, changed by {}", current.version, current.changed_by);
    let status = if current.tenant.is_some() { 412 } else { 409 };
    let entity_tag = format!("\"{}\"", current.version);
    let mut error = ApiError::new(status, ProblemKind::Version, detail);
    error.present = Some(current);
    error.with_header("etag", entity_tag)
}
