//! The router of this project's own protocol, whose messages `tideroute_wire` encodes as protobuf frames: a second
//! protocol on the same lifecycle, beside the HTTP gateway.
//!
//! [`router::ProtobufRouter`] receives the event loop's calls and passes each to the module of its connection's kind:
//! [`client_events`], [`worker_events`] or [`discovery_events`]. These change the shared [`state`], whose lifecycle
//! sends its messages through the [`transport`].

mod client_events;
mod clients;
mod config;
mod discovery_events;
mod endpoint_list_cache;
mod request_context;
mod router;
mod state;
mod tenant_events;
mod timers;
mod transport;
mod worker_connections;
mod worker_events;

pub use config::RouterConfig;
pub use router::ProtobufRouter;
