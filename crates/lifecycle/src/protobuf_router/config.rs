//! Configuration of the protobuf router.

use tideroute_wire::{Address, Micros, Origin};

use crate::config::LifecycleConfig;

/// Configuration of a [`ProtobufRouter`](crate::ProtobufRouter).
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Configuration of the request lifecycle.
    pub lifecycle: LifecycleConfig,
    /// Address of the discovery service.
    pub discovery: Address,
    /// Makes this router's request ids unique among those of all routers and all their starts.
    pub origin: Origin,
    /// Microseconds that a response takes to reach its client. The router brings each deadline forward by this time.
    pub network_delay: Micros,
    /// Tokens of one stream that a worker may send before its client has taken them.
    pub stream_window_tokens: u32,
    /// Maximum number of open requests of one client.
    pub max_requests_per_client: usize,
    /// Maximum number of connected clients; connections beyond it are closed.
    pub max_clients: usize,
}
