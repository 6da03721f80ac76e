//! The protocol between clients, routers, workers and the endpoint list, as a codec without sockets.
//!
//! Each conversation has a module with
//! - a trait for each side, whose methods are the messages that this side receives,
//! - a function `receive_from_*` that decodes one frame, checks it and calls the method for its message,
//! - a function for each message that a side sends, which returns the encoded frame.
//!
//! The generated message types are private to this package, and so are the terms of the `.proto` files: `shot` is an
//! attempt, `track` a request class, `reader` a prefill worker, `most_tokens` the token limit, `left_us` the remaining
//! time, `mark` the idempotency key, `standing` a status and `listing` an endpoint entry.
//!
//! [`frame`] splits a byte stream into frames, [`event_loop`] is the interface between a program and the event loop
//! that drives it, and [`capture`] reads and writes the file format of traffic captures.

#![warn(missing_docs)]

pub mod capture;
pub mod client;
pub mod endpoint_list;
mod error;
pub mod event_loop;
mod fields;
pub mod frame;
mod generated;
pub mod gossip;
mod hello;
mod ids;
pub mod state_transfer;
pub mod tenant;
pub mod worker;

pub use error::Malformed;
pub use hello::{first, origin_of, say_hello, say_hello_with, say_router, Party, VERSION};
pub use ids::{Address, GlobalRequestId, Origin};

/// Microseconds, as a time since 1970 or as a duration.
pub type Micros = u64;
