//! Purposes of the loop's timers.

use tideroute_wire::event_loop::ConnectionId;

/// The action to take when a timer fires.
#[derive(Clone, Copy)]
pub(crate) enum TimerKey {
    /// Notifies the handler of its timer with this key.
    Handler(u64),
    /// Checks whether a connection has reached the deadline of its current state.
    ConnectionDeadline(ConnectionId),
    /// Polls the listener with this index again after a pause.
    ResumeAccepting(usize),
    /// Reads a configuration file again that could not be used.
    RetryConfigReload,
    /// Makes the loop panic, at a test's request.
    Panic,
}
