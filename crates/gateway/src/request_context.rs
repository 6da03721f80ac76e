//! What the gateway stores for a request in addition to its state in the lifecycle.

use std::sync::Arc;

use bytes::Bytes;
use tideroute_wire::event_loop::ConnectionId;

/// The connection that a request came from, and the parts of the request that are forwarded to workers.
pub struct RequestContext {
    /// The connection that its response goes to.
    pub client: ConnectionId,
    /// The trace id by which the client and the workers identify the request.
    pub trace_id: Arc<str>,
    /// The request target, as the client sent it.
    pub target: String,
    /// Header fields that are forwarded to workers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body, kept while a retry may need it.
    pub body: Bytes,
}
