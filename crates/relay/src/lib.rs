//! A relay between processes of a scenario, which injects network faults.
//!
//! A process that a fault affects connects to one of the relay's listeners instead of to its peer. The relay forwards
//! the bytes without parsing them, and blocks, resets or delays them at the times of its faults. It is an event handler
//! without sockets and without a clock, and its random numbers are generated from a seed.

#![warn(missing_docs)]

mod config;
mod connection_pair;
mod delayed_stream;
mod fault;
mod fault_injector;
mod relay;
mod timer_key;

pub use config::{RelayConfig, Route};
pub use fault::{Fault, FaultDirection, FaultKind};
pub use relay::Relay;
