//! The HTTP router: clients, workers and discovery over HTTP/1.1.
//!
//! [`Gateway`] is an [`EventHandler`](tideroute_wire::event_loop::EventHandler) on raw connections, without sockets
//! and without a clock. What it receives goes to the request lifecycle of `tideroute-lifecycle`, which asks the
//! scheduler for decisions, which the gateway carries out over HTTP. The gateway only translates: it does not decide
//! where and when a request runs.
//!
//! [`Config`] is the parsed configuration file; [`Capacity`] is the division of the memory and the descriptors
//! that the process may use.
//!
//! The modules form layers, each of which uses only the layers before it:
//!
//! 1. `timers`, `headers`, `request_trace`, `capacity`, `memory`, `body_buffer`, `refused_requests`, `response_head`,
//!    `event_stream`, `executed_requests`, `json_splitter`
//! 2. `config`, `request_head`, `request_context`, `endpoint_list`, `worker_connection`, `client_connection`, `client_turns`
//! 3. `worker_pool`, `clients`, `discovery_watch`, `reserved_state`, and `release_calls`, which connects `worker_pool` and `reserved_state`
//! 4. `egress` (decisions to calls) and `state` (all parts together), then what each kind of event does: `ingress` with
//!    `memory_refusals`, `streaming`, `worker_events`, `endpoint_updates`, `shutdown`
//! 5. `gateway`, which implements the event loop's trait

#![warn(missing_docs)]

mod body_buffer;
mod capacity;
mod client_connection;
mod client_turns;
mod clients;
mod config;
mod discovery_watch;
mod egress;
mod endpoint_list;
mod endpoint_updates;
mod event_stream;
mod executed_requests;
mod gateway;
mod headers;
mod ingress;
mod json_splitter;
mod memory;
mod memory_refusals;
mod refused_requests;
mod release_calls;
mod request_context;
mod request_head;
mod request_trace;
mod reserved_state;
mod response_head;
mod shutdown;
mod state;
mod streaming;
mod timers;
mod worker_connection;
mod worker_events;
mod worker_pool;

pub use capacity::Capacity;
pub use config::{Config, ConfigError};
pub use endpoint_list::{ConfiguredNames, EndpointListError};
pub use gateway::Gateway;
