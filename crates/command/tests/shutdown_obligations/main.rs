//! What the router still owes when something ends, on loopback sockets: the real process between workers, clients and
//! a discovery that do each next thing when the test says so. The order of events forces each crossing; clocks only
//! judge.

mod attempts;
mod backpressure;
mod client_disconnects;
mod configuration_reload;
mod endpoint_changes;
mod graceful_shutdown;
mod harness;
mod released_state;
