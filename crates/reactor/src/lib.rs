//! One loop over `polling` that drives a [`EventHandler`](tideroute_wire::link::Program).
//!
//! A [`Reactor`] is made with the doors at which it listens, and [`Reactor::run`] drives one program until it
//! is done: it reads frames, calls the program, and carries out what the program asks, in order. All of a
//! turn's writes to a connection leave in one piece. Nothing here knows what a frame means.
//!
//! It may have doors for datagrams too ([`Reactor::datagrams`]); what there is no room for is lost there, as on the
//! way. Buffers are bounded: what has arrived on a connection never holds more than one frame and one piece
//! ([`conn::PIECE`]); what waits to be sent raises `crowded` over [`conn::HIGH`] bytes, and a connection whose
//! peer lets it grow past [`conn::MOST`] is closed.

pub mod clock;
pub mod conn;
mod datagrams;
mod door;
mod mailbox;
mod reactor;
mod signals;
mod tap;
pub mod wheel;

pub use clock::Warp;
pub use mailbox::Mailbox;
pub use reactor::{Ended, Reactor, ReactorError};
pub use tap::Tap;
