//! A single-threaded event loop over `polling` that drives one
//! [`EventHandler`](tideroute_wire::event_loop::EventHandler).
//!
//! A [`Reactor`] is created with the addresses at which it listens. [`Reactor::run`] then reads frames from its
//! connections, calls the handler, and executes the handler's
//! [`Effects`](tideroute_wire::event_loop::Effects) in order until the handler has finished. All writes to one
//! connection in one iteration of the loop are sent together. The loop does not interpret the content of frames.
//!
//! The loop may also receive datagrams ([`Reactor::add_datagram_sockets`]); a datagram for which a socket has no room
//! is lost, as it may also be lost on the network.
//!
//! Buffers are bounded. The input buffer of a connection never holds more than one frame and one chunk
//! ([`connection::READ_CHUNK`]). Output over [`connection::HIGH_WATERMARK`] bytes raises backpressure, and a
//! connection whose output grows past [`connection::MAX_BUFFERED`] bytes is closed.

#![warn(missing_docs)]

mod address;
pub mod clock;
pub mod connection;
mod datagram_socket;
mod error;
mod listener;
mod mailbox;
mod output_queue;
mod poll_key;
mod reactor;
mod signal_pipe;
mod timer_key;
pub mod timer_wheel;
mod traffic_capture;

pub use clock::ClockSkew;
pub use error::ReactorError;
pub use mailbox::Mailbox;
pub use reactor::{shared_listeners, Reactor, RunOutcome};
pub use traffic_capture::TrafficCapture;
