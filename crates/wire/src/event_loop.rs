//! The interface between a program and its event loop. The event loop, over real sockets or in virtual time, calls an
//! [`EventHandler`] and executes, in order, the [`Effect`]s that the handler requests through [`Effects`].

use bytes::Bytes;

use crate::{Address, Micros};

/// Identifies a connection of a program. The id is not reused after the connection has ended.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ConnectionId(pub u64);

/// The bit that is set in the ids of outbound connections and clear in those of accepted connections.
const OUTBOUND: u64 = 1 << 63;

impl ConnectionId {
    /// Returns true for an outbound connection, and false for an accepted one.
    pub fn is_outbound(self) -> bool {
        self.0 & OUTBOUND != 0
    }

    /// Returns the number of the connection among the outbound or among the accepted connections.
    pub fn number(self) -> u64 {
        self.0 & !OUTBOUND
    }

    /// Returns the id of the outbound connection with this number.
    pub fn outbound(number: u64) -> ConnectionId {
        ConnectionId(OUTBOUND | number)
    }
}

/// The reason why a connection ended, as far as this side can know.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DisconnectReason {
    /// The connection was never established; nothing that was sent on it arrived.
    ConnectFailed,
    /// The connection was never established because of a local error, such as a lack of file descriptors. This says
    /// nothing about the peer.
    LocalFailure,
    /// The connection was established and then ended; what was sent on it may have arrived.
    Reset,
}

/// How a listener responds to connection attempts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListenerState {
    /// Connection attempts are accepted.
    Open,
    /// Connection attempts are not answered, as if the network dropped all packets.
    Unresponsive,
    /// Connection attempts are refused.
    Refusing,
}

/// An action that a handler requests from its event loop.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Effect {
    /// Opens an outbound connection. Frames that are sent before it is established are queued.
    Connect {
        /// The id of the new connection.
        connection: ConnectionId,
        /// The address of the peer.
        to: Address,
        /// The longest time that the connection attempt may take.
        timeout: Micros,
    },
    /// Sends a frame, or bytes on a raw connection. Does nothing if the connection has ended.
    Send {
        /// The connection on which to send.
        connection: ConnectionId,
        /// The frame or bytes to send.
        frame: Bytes,
    },
    /// Ends the connection after everything queued on it has been sent. No `on_disconnect` follows.
    Close {
        /// The connection to end.
        connection: ConnectionId,
        /// The reason, for the log.
        reason: String,
    },
    /// Ends the connection at once and discards what has not been sent yet. No `on_disconnect` follows.
    Abort {
        /// The connection to end.
        connection: ConnectionId,
    },
    /// Ends the connection at once with a reset. No `on_disconnect` follows.
    Reset {
        /// The connection to end.
        connection: ConnectionId,
    },
    /// Changes how a listener responds to connection attempts.
    SetListenerState {
        /// The index of the listener among those that the loop was given.
        listener: usize,
        /// The new state.
        state: ListenerState,
    },
    /// Records in the capture that a relay forwards everything from each of two connections to the other.
    Joined {
        /// The two connections, the accepted one first.
        connections: [ConnectionId; 2],
    },
    /// Sets a timer, which calls `on_timer` at the given time or soon after. A timer cannot be cancelled; the handler
    /// must ignore a call that it no longer needs.
    SetTimer {
        /// The time at which the timer fires.
        at: Micros,
        /// The key that is passed to `on_timer`.
        key: u64,
    },
    /// Pauses or resumes reading from a connection.
    PauseReading {
        /// The connection.
        connection: ConnectionId,
        /// True pauses reading, false resumes it.
        paused: bool,
    },
    /// Persists the handler's state for its next start, in place of the state persisted before.
    Persist {
        /// The encoded state.
        bytes: Bytes,
    },
    /// Sends a message to the mailbox that the loop was given to publish to. The message is lost if there is no mailbox
    /// or the mailbox is full.
    Publish {
        /// The message.
        bytes: Bytes,
    },
    /// Sends a datagram. It is lost if the send buffer is full, as it may be lost on the network.
    Datagram {
        /// The index of the socket among the datagram sockets that the loop was given.
        socket: usize,
        /// The address of the receiver.
        to: Address,
        /// The datagram.
        bytes: Bytes,
    },
    /// Records something that the handler observed in the traffic capture, if there is one.
    AnnotateCapture {
        /// The observation, as text.
        bytes: Bytes,
    },
    /// Ends the program at once and resets its connections, as a crash would.
    Crash,
}

/// The effects that a handler has requested, in order, until the loop takes them.
#[derive(Debug, Default)]
pub struct Effects {
    effects: Vec<Effect>,
    /// Number of outbound connections so far, and the number of the next one.
    outbound_count: u64,
}

impl Effects {
    /// Requests [`Effect::Connect`] and returns the id of the new connection.
    pub fn connect(&mut self, to: Address, timeout: Micros) -> ConnectionId {
        let connection = ConnectionId::outbound(self.outbound_count);
        self.outbound_count += 1;
        self.effects.push(Effect::Connect { connection, to, timeout });
        connection
    }

    /// Requests [`Effect::Send`].
    pub fn send(&mut self, connection: ConnectionId, frame: Bytes) {
        self.effects.push(Effect::Send { connection, frame });
    }

    /// Requests [`Effect::Close`].
    pub fn close(&mut self, connection: ConnectionId, reason: impl Into<String>) {
        self.effects.push(Effect::Close { connection, reason: reason.into() });
    }

    /// Requests [`Effect::Abort`].
    pub fn abort(&mut self, connection: ConnectionId) {
        self.effects.push(Effect::Abort { connection });
    }

    /// Requests [`Effect::Reset`].
    pub fn reset(&mut self, connection: ConnectionId) {
        self.effects.push(Effect::Reset { connection });
    }

    /// Requests [`Effect::SetListenerState`].
    pub fn set_listener_state(&mut self, listener: usize, state: ListenerState) {
        self.effects.push(Effect::SetListenerState { listener, state });
    }

    /// Requests [`Effect::Joined`].
    pub fn joined(&mut self, first: ConnectionId, second: ConnectionId) {
        self.effects.push(Effect::Joined { connections: [first, second] });
    }

    /// Requests [`Effect::SetTimer`].
    pub fn set_timer(&mut self, at: Micros, key: u64) {
        self.effects.push(Effect::SetTimer { at, key });
    }

    /// Requests [`Effect::PauseReading`].
    pub fn pause_reading(&mut self, connection: ConnectionId, paused: bool) {
        self.effects.push(Effect::PauseReading { connection, paused });
    }

    /// Requests [`Effect::Persist`].
    pub fn persist(&mut self, bytes: impl Into<Bytes>) {
        self.effects.push(Effect::Persist { bytes: bytes.into() });
    }

    /// Requests [`Effect::Publish`].
    pub fn publish(&mut self, bytes: Bytes) {
        self.effects.push(Effect::Publish { bytes });
    }

    /// Requests [`Effect::Datagram`].
    pub fn send_datagram(&mut self, socket: usize, to: Address, bytes: Bytes) {
        self.effects.push(Effect::Datagram { socket, to, bytes });
    }

    /// Requests [`Effect::AnnotateCapture`].
    pub fn annotate_capture(&mut self, bytes: impl Into<Bytes>) {
        self.effects.push(Effect::AnnotateCapture { bytes: bytes.into() });
    }

    /// Requests [`Effect::Crash`].
    pub fn crash(&mut self) {
        self.effects.push(Effect::Crash);
    }

    /// Removes and returns the effects that were requested since the last call, in order.
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}

/// A program that an event loop drives. It has no sockets and no clock of its own.
///
/// The other calls only update the program's state or respond at once. [`on_iteration`](EventHandler::on_iteration)
/// follows each batch of calls and is where a program makes its decisions.
pub trait EventHandler {
    /// Called once, before all other calls.
    fn on_start(&mut self, now: Micros, effects: &mut Effects);
    /// A connection was accepted. `listener` is the index of its listener among those that the loop was given.
    fn on_accepted(&mut self, now: Micros, connection: ConnectionId, listener: usize, effects: &mut Effects);
    /// An outbound connection was established.
    fn on_connected(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects);
    /// A frame arrived, or bytes on a raw connection.
    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects);
    /// A connection ended without a request of the program to end it.
    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        reason: DisconnectReason,
        effects: &mut Effects,
    );
    /// The amount queued for sending on the connection rose above the high watermark (`backpressure` is true) or fell
    /// below the low watermark (false).
    fn on_backpressure(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        backpressure: bool,
        effects: &mut Effects,
    );
    /// A timer that was set with this key fired.
    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects);
    /// A batch of calls has ended.
    fn on_iteration(&mut self, now: Micros, effects: &mut Effects);
    /// Everything sent on a raw connection has been written to its socket.
    fn on_write_complete(&mut self, _now: Micros, _connection: ConnectionId, _effects: &mut Effects) {}
    /// A datagram arrived. `socket` is the index of its socket among the datagram sockets that the loop was given.
    fn on_datagram(
        &mut self,
        _now: Micros,
        _socket: usize,
        _from: Address,
        _bytes: &Bytes,
        _effects: &mut Effects,
    ) {
    }
    /// The configuration file was reloaded because of a signal. Returns whether the file is usable; if not, the loop
    /// reads it again after a pause, a limited number of times.
    fn on_config_reload(&mut self, _now: Micros, _file: &Bytes, _effects: &mut Effects) -> bool {
        true
    }
    /// Another thread of the process sent a message.
    fn on_message(&mut self, _now: Micros, _message: &Bytes, _effects: &mut Effects) {}
    /// The loop handled its timers or connections later than it would have on an idle machine. `lag` is the delay.
    fn on_loop_lag(&mut self, _now: Micros, _lag: Micros) {}
    /// The program is to shut down: it accepts nothing new and finishes what is in flight.
    fn on_shutdown(&mut self, now: Micros, effects: &mut Effects);
    /// Returns whether the program has finished, so that the loop ends. A server finishes only after `on_shutdown`.
    fn is_finished(&self) -> bool;
}
