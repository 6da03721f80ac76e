//! What the protobuf router stores with each request.

use bytes::Bytes;
use tideroute_wire::event_loop::ConnectionId;

/// The parts of a client's request that the lifecycle does not need.
pub(crate) struct RequestContext {
    /// The connection of the client.
    pub client: ConnectionId,
    /// The client's own number of the request.
    pub number: u64,
    pub prefix_tokens: u32,
    pub max_tokens: u32,
    /// Opaque to the router, which passes it on to the decode worker.
    pub idempotency_key: u64,
    pub prompt: Bytes,
}
