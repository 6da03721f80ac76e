//! Errors of setting up or running the loop.

use std::io;
use std::net::SocketAddr;

/// Why a [`Reactor`](crate::Reactor) could not be set up, or why its run failed.
#[derive(Debug, thiserror::Error)]
pub enum ReactorError {
    /// A listener or datagram socket could not be bound to its address.
    #[error("cannot listen at {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The poller or a signal handler failed.
    #[error("the event loop failed: {0}")]
    Loop(#[from] io::Error),
}
