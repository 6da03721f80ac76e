//! The platform's protocol: clients, workers and discovery over HTTP/1.1. [`Platform`] is a
//! [`EventHandler`](tideroute_wire::link::Program) on raw links, without socket and clock; what it is told goes to the
//! books of `tideroute-lifecycle`, which pull the module's decisions, and what those say goes out as this protocol's
//! words. It translates and decides nothing.
//!
//! [`read`] takes the configuration file into [`Terms`]; what the process itself may use of memory and
//! descriptors is shared out in [`Rooms`].

mod capacity;
mod clients;
mod config;
mod discovery_watch;
mod egress;
mod endpoint_list;
mod gateway;
mod headers;
mod ingress;
mod json_splitter;
mod request_head;
mod request_trace;
mod reserved_state;
mod timers;
mod worker_connection;
mod worker_events;
mod worker_pool;

pub use capacity::Rooms;
pub use config::{read, Terms, Unusable};
pub use gateway::Platform;
