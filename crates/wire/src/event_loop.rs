//! How a program sees its connections: an event loop, over real sockets or in virtual time, calls an [`EventHandler`]
//! and executes, in order, what the handler put into its [`Effects`].

use bytes::Bytes;

use crate::{Address, Micros};

/// One connection of a program, never used again after it ended.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ConnectionId(pub u64);

/// The bit of outbound connections; accepted connections do not have it.
const OUTBOUND: u64 = 1 << 63;

impl ConnectionId {
    /// Whether the program itself connected; false for an accepted connection.
    pub fn is_outbound(self) -> bool {
        self.0 & OUTBOUND != 0
    }

    /// Its number among the outbound or among the accepted connections.
    pub fn number(self) -> u64 {
        self.0 & !OUTBOUND
    }

    /// The outbound connection of that number.
    pub fn outbound(number: u64) -> ConnectionId {
        ConnectionId(OUTBOUND | number)
    }
}

/// How a connection ended, as far as this side can know.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DisconnectReason {
    /// The connection was never established: nothing that was sent on it arrived.
    ConnectFailed,
    /// The same, for want of a resource of this machine: nothing is known of the peer.
    LocalFailure,
    /// The connection was established; what was sent may have arrived.
    Reset,
}

/// How a listener treats those who connect.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListenerState {
    /// Connections are accepted.
    Open,
    /// Connection attempts are not answered, as where the network drops all packets.
    Unresponsive,
    /// Connections are refused.
    Refusing,
}

/// What a handler asks of the loop that drives it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Effect {
    /// Connects; frames sent before the connection is established wait for it.
    Connect {
        /// The id of the new connection.
        connection: ConnectionId,
        /// The peer.
        to: Address,
        /// How long the attempt may take.
        timeout: Micros,
    },
    /// Sends a frame, or bytes on a raw connection.
    Send {
        /// On which connection; one that has ended ignores it.
        connection: ConnectionId,
        /// What to send.
        frame: Bytes,
    },
    /// Ends the connection after what was sent has gone out; no `on_disconnect` follows.
    Close {
        /// Which connection.
        connection: ConnectionId,
        /// Why, for the log.
        reason: String,
    },
    /// Ends the connection at once: what has not gone out yet never does. No `on_disconnect` follows.
    Abort {
        /// Which connection.
        connection: ConnectionId,
    },
    /// Ends the connection at once with a reset. No `on_disconnect` follows.
    Reset {
        /// Which connection.
        connection: ConnectionId,
    },
    /// Changes how a listener treats those who connect.
    SetListenerState {
        /// The listener's index among those that the loop was given.
        listener: usize,
        /// The new state.
        state: ListenerState,
    },
    /// Notes in the capture that what passes on one connection passes on the other: the handler is a relay.
    Joined {
        /// The two connections, the accepted one first.
        connections: [ConnectionId; 2],
    },
    /// Calls `on_timer` at that time or soon after. A timer cannot be cancelled: the handler ignores it instead.
    SetTimer {
        /// When.
        at: Micros,
        /// With which key.
        key: u64,
    },
    /// Reads nothing more from the connection until it is resumed.
    PauseReading {
        /// Which connection.
        connection: ConnectionId,
        /// False resumes reading.
        paused: bool,
    },
    /// Persists the handler's state, which it finds when it starts again, in place of what was persisted before.
    Persist {
        /// The state.
        bytes: Bytes,
    },
    /// Sends a message to the mailbox that the loop was given for it; it is lost if there is none, or no capacity.
    Publish {
        /// The message.
        bytes: Bytes,
    },
    /// Sends a datagram; it is lost if there is no room, as it may be on the network.
    Datagram {
        /// The socket's index among the datagram sockets that the loop was given.
        socket: usize,
        /// The receiver.
        to: Address,
        /// What to send.
        bytes: Bytes,
    },
    /// Writes something that the handler observed into the traffic capture, if there is one.
    AnnotateCapture {
        /// The observation, as text.
        bytes: Bytes,
    },
    /// Ends the program at once and resets its connections, as a crash would.
    Crash,
}

/// The effects that a handler asks for, in order, until the loop takes them.
#[derive(Debug, Default)]
pub struct Effects {
    effects: Vec<Effect>,
    /// Outbound connections so far; the number of the next one.
    outbound: u64,
}

impl Effects {
    /// Asks for [`Effect::Connect`] and returns the id of the new connection.
    pub fn connect(&mut self, to: Address, timeout: Micros) -> ConnectionId {
        let connection = ConnectionId::outbound(self.outbound);
        self.outbound += 1;
        self.effects.push(Effect::Connect { connection, to, timeout });
        connection
    }

    /// Asks for [`Effect::Send`].
    pub fn send(&mut self, connection: ConnectionId, frame: Bytes) {
        self.effects.push(Effect::Send { connection, frame });
    }

    /// Asks for [`Effect::Close`].
    pub fn close(&mut self, connection: ConnectionId, reason: impl Into<String>) {
        self.effects.push(Effect::Close { connection, reason: reason.into() });
    }

    /// Asks for [`Effect::Abort`].
    pub fn abort(&mut self, connection: ConnectionId) {
        self.effects.push(Effect::Abort { connection });
    }

    /// Asks for [`Effect::Reset`].
    pub fn reset(&mut self, connection: ConnectionId) {
        self.effects.push(Effect::Reset { connection });
    }

    /// Asks for [`Effect::SetListenerState`].
    pub fn set_listener_state(&mut self, listener: usize, state: ListenerState) {
        self.effects.push(Effect::SetListenerState { listener, state });
    }

    /// Asks for [`Effect::Joined`].
    pub fn joined(&mut self, first: ConnectionId, second: ConnectionId) {
        self.effects.push(Effect::Joined { connections: [first, second] });
    }

    /// Asks for [`Effect::SetTimer`].
    pub fn set_timer(&mut self, at: Micros, key: u64) {
        self.effects.push(Effect::SetTimer { at, key });
    }

    /// Asks for [`Effect::PauseReading`].
    pub fn pause_reading(&mut self, connection: ConnectionId, paused: bool) {
        self.effects.push(Effect::PauseReading { connection, paused });
    }

    /// Asks for [`Effect::Persist`].
    pub fn persist(&mut self, bytes: impl Into<Bytes>) {
        self.effects.push(Effect::Persist { bytes: bytes.into() });
    }

    /// Asks for [`Effect::Publish`].
    pub fn publish(&mut self, bytes: Bytes) {
        self.effects.push(Effect::Publish { bytes });
    }

    /// Asks for [`Effect::Datagram`].
    pub fn send_datagram(&mut self, socket: usize, to: Address, bytes: Bytes) {
        self.effects.push(Effect::Datagram { socket, to, bytes });
    }

    /// Asks for [`Effect::AnnotateCapture`].
    pub fn annotate_capture(&mut self, bytes: impl Into<Bytes>) {
        self.effects.push(Effect::AnnotateCapture { bytes: bytes.into() });
    }

    /// Asks for [`Effect::Crash`].
    pub fn crash(&mut self) {
        self.effects.push(Effect::Crash);
    }

    /// What was asked for since the last call, in order.
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}

/// A program without sockets and without a clock.
///
/// Calls only update what it knows or respond at once; [`on_iteration`](EventHandler::on_iteration) follows each batch
/// of calls and is where a program makes its decisions.
pub trait EventHandler {
    /// Runs once before all other calls.
    fn on_start(&mut self, now: Micros, effects: &mut Effects);
    /// A connection was accepted at a listener, by its index among those that the loop was given.
    fn on_accepted(&mut self, now: Micros, connection: ConnectionId, listener: usize, effects: &mut Effects);
    /// An outbound connection was established.
    fn on_connected(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects);
    /// A frame arrived, or bytes on a raw connection.
    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects);
    /// A connection ended that the program did not end.
    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        reason: DisconnectReason,
        effects: &mut Effects,
    );
    /// What waits to be sent on the connection rose over the high watermark, or fell under the low one.
    fn on_backpressure(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        backpressure: bool,
        effects: &mut Effects,
    );
    /// A timer that was set with this key fired.
    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects);
    /// A batch of calls is over.
    fn on_iteration(&mut self, now: Micros, effects: &mut Effects);
    /// All that was sent on a raw connection has been handed to the machine: its last byte is written.
    fn on_write_complete(&mut self, _now: Micros, _connection: ConnectionId, _effects: &mut Effects) {}
    /// A datagram arrived at a socket, by its index among the datagram sockets.
    fn on_datagram(
        &mut self,
        _now: Micros,
        _socket: usize,
        _from: Address,
        _bytes: &Bytes,
        _effects: &mut Effects,
    ) {
    }
    /// The configuration file was read again because a signal asked for it. Returns whether it could be used: one that
    /// could not is read once more after a pause.
    fn on_config_reload(&mut self, _now: Micros, _file: &Bytes, _effects: &mut Effects) -> bool {
        true
    }
    /// Another thread of the process sent a message.
    fn on_message(&mut self, _now: Micros, _message: &Bytes, _effects: &mut Effects) {}
    /// The loop came to its timers or its connections by so much later than it could have on an idle machine.
    fn on_loop_lag(&mut self, _now: Micros, _lag: Micros) {}
    /// Asked to shut down: accept nothing new, finish what is in flight.
    fn on_shutdown(&mut self, now: Micros, effects: &mut Effects);
    /// Whether it has finished, and the loop ends. A program that serves finishes only after `on_shutdown`.
    fn is_finished(&self) -> bool;
}
