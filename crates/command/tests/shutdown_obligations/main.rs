//! What the router has to complete when a client, a worker, a watch, a configuration or the router itself goes away.
//! The router is a real process on loopback sockets; its workers, clients and discovery act only when the test tells
//! them to. Each race is forced by the order of events; timers are only used to check limits.

mod attempts;
mod backpressure;
mod client_disconnects;
mod configuration_reload;
mod endpoint_changes;
mod graceful_shutdown;
mod harness;
mod released_state;
