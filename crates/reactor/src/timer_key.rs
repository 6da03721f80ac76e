//! What a timer of the loop was set for.

use tideroute_wire::event_loop::ConnectionId;

/// What is done when a timer fires.
#[derive(Clone, Copy)]
pub(crate) enum TimerKey {
    /// The handler's own timer, with the key that the handler chose.
    Handler(u64),
    /// A connection may have reached the deadline of its current state.
    ConnectionDeadline(ConnectionId),
    /// The listener with this index is polled again after a pause.
    ResumeAccepting(usize),
    /// The configuration file that could not be used is read again.
    RetryConfigReload,
    /// The loop panics, which a test has asked for.
    Panic,
}
