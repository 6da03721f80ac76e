//! A relay between processes of a scenario, which injects network faults.
//!
//! A process that a fault concerns connects to one of the relay's listeners in place of its peer; bytes pass unread. At
//! the times of its script the relay blocks, resets or delays what passes. It has no sockets and no clock, its random
//! numbers follow from a seed, and it knows no protocol.

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
