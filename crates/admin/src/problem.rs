//! Problem details (RFC 9457).

use serde::Serialize;
use tideroute_http::write::reason;

use crate::http::Reply;

#[derive(Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: String,
    /// The field of the body that is meant.
    #[serde(skip_serializing_if = "Option::is_none")]
    field: Option<String>,
    /// What is there now, where a change did not meet what it expected.
    #[serde(skip_serializing_if = "Option::is_none")]
    present: Option<&'a tideroute_tenant_store::Revision>,
}

pub fn reply(status: u16, kind: &str, detail: impl Into<String>) -> Reply {
    full(status, kind, detail, None, None)
}

pub fn of_field(status: u16, kind: &str, detail: impl Into<String>, field: String) -> Reply {
    full(status, kind, detail, Some(field), None)
}

pub fn of_present(
    status: u16,
    kind: &str,
    detail: impl Into<String>,
    present: &tideroute_tenant_store::Revision,
) -> Reply {
    full(status, kind, detail, None, Some(present))
}

fn full(
    status: u16,
    kind: &str,
    detail: impl Into<String>,
    field: Option<String>,
    present: Option<&tideroute_tenant_store::Revision>,
) -> Reply {
    let r#type = format!("urn:tideroute:problem:{kind}");
    let problem = Problem { r#type, title: reason(status), status, detail: detail.into(), field, present };
    let mut reply = Reply::json(status, &problem);
    reply.fields = vec![("content-type", "application/problem+json".into())];
    reply
}
