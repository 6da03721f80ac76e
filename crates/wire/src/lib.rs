//! The protocol between clients, routers, workers and the endpoint list, as a codec without sockets.
//!
//! Each conversation has a module with
//! - a trait for each side, whose methods are the messages that this side receives,
//! - a function `receive_from_*` that decodes one frame, checks it and makes the one call that it stands for,
//! - a function for each message that a side sends, which returns the encoded frame.
//!
//! The generated message types stay inside this package, and so do the words of the protocol: `shot` is an attempt,
//! `track` a request class, `reader` a prefill worker, `most_tokens` the token limit, `left_us` the remaining time,
//! `mark` the idempotency key, `standing` a status and `listing` an endpoint entry.
//!
//! [`frame`] cuts a stream of bytes into frames, [`event_loop`] is how a program sees its connections, whichever loop
//! drives it, and [`capture`] is the file format of a traffic capture.

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

/// Microseconds: a moment since 1970, or a length of time.
pub type Micros = u64;
