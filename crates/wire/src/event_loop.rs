//! What a program sees of its connections: a loop over real sockets or one in virtual time tells it what
//! happened through [`EventHandler`]'s calls, and carries out, in order, what it put into its [`Effects`].

use bytes::Bytes;

use crate::{Address, Micros};

/// One connection of a program, never used again after it ended.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ConnectionId(pub u64);

/// Links that the program dialled itself have this bit; those accepted have not.
const OUTBOUND: u64 = 1 << 63;

impl ConnectionId {
    pub fn is_outbound(self) -> bool {
        self.0 & OUTBOUND != 0
    }

    /// Its number among those dialled, or among those accepted.
    pub fn number(self) -> u64 {
        self.0 & !OUTBOUND
    }

    /// The dialled link of that number.
    pub fn outbound(number: u64) -> ConnectionId {
        ConnectionId(OUTBOUND | number)
    }
}

/// How a link ended, as far as this side can know.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DisconnectReason {
    /// A dial that never led to a connection: nothing that was sent on it arrived.
    ConnectFailed,
    /// The same, for want of something on this machine: nothing is known of the peer.
    LocalFailure,
    /// A connection that was there; what was sent may have arrived.
    Reset,
}

/// How a door treats those who dial it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListenerState {
    Open,
    /// Dials are not answered, as where nothing passes on the way.
    Unresponsive,
    /// Dials are refused.
    Refusing,
}

/// What a program asks of the loop that drives it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Effect {
    /// Connects within so long; frames sent before it is open wait for it.
    Connect {
        connection: ConnectionId,
        to: Address,
        timeout: Micros,
    },
    Send {
        connection: ConnectionId,
        frame: Bytes,
    },
    /// Ends the link after what was sent has gone out; no `lost` follows.
    Close {
        connection: ConnectionId,
        reason: String,
    },
    /// Ends the link at once: what has not gone out yet never does. No `lost` follows.
    Abort {
        connection: ConnectionId,
    },
    /// Ends the link at once with a reset. No `lost` follows.
    Reset {
        connection: ConnectionId,
    },
    /// Opens or shuts a door, by its place among those that the program was given.
    SetListenerState {
        listener: usize,
        state: ListenerState,
    },
    /// Notes that what passes on one link passes on the other: the program is a relay.
    Joined {
        connections: [ConnectionId; 2],
    },
    /// Calls `rang` with the key at that time or soon after. Nothing takes a timer back: ignore it instead.
    SetTimer {
        at: Micros,
        key: u64,
    },
    /// Nothing more is read from the link until it is told otherwise.
    PauseReading {
        connection: ConnectionId,
        paused: bool,
    },
    /// Keeps the bytes where the program finds them when it starts again, in place of what was kept before.
    Persist {
        bytes: Bytes,
    },
    /// Hands bytes to whom the loop was given for it; lost if there is nobody, or too much waits there.
    Publish {
        bytes: Bytes,
    },
    /// Sends a datagram from a datagram door, by its place among those; lost if there is no room, as on the way.
    Datagram {
        socket: usize,
        to: Address,
        bytes: Bytes,
    },
    /// Writes something that the program saw into the record of what passed, if there is one.
    AnnotateCapture {
        bytes: Bytes,
    },
    /// Ends the program at once, without a word to anybody, as a crash would.
    Crash,
}

#[derive(Debug, Default)]
pub struct Effects {
    effects: Vec<Effect>,
    dials: u64,
}

impl Effects {
    pub fn connect(&mut self, to: Address, timeout: Micros) -> ConnectionId {
        let connection = ConnectionId(OUTBOUND | self.dials);
        self.dials += 1;
        self.effects.push(Effect::Connect { connection, to, timeout });
        connection
    }

    pub fn send(&mut self, connection: ConnectionId, frame: Bytes) {
        self.effects.push(Effect::Send { connection, frame });
    }

    pub fn close(&mut self, connection: ConnectionId, reason: impl Into<String>) {
        self.effects.push(Effect::Close { connection, reason: reason.into() });
    }

    pub fn abort(&mut self, connection: ConnectionId) {
        self.effects.push(Effect::Abort { connection });
    }

    pub fn reset(&mut self, connection: ConnectionId) {
        self.effects.push(Effect::Reset { connection });
    }

    pub fn set_listener_state(&mut self, listener: usize, state: ListenerState) {
        self.effects.push(Effect::SetListenerState { listener, state });
    }

    pub fn joined(&mut self, one: ConnectionId, two: ConnectionId) {
        self.effects.push(Effect::Joined { connections: [one, two] });
    }

    pub fn set_timer(&mut self, at: Micros, key: u64) {
        self.effects.push(Effect::SetTimer { at, key });
    }

    pub fn pause_reading(&mut self, connection: ConnectionId, paused: bool) {
        self.effects.push(Effect::PauseReading { connection, paused });
    }

    pub fn persist(&mut self, bytes: impl Into<Bytes>) {
        self.effects.push(Effect::Persist { bytes: bytes.into() });
    }

    pub fn publish(&mut self, bytes: Bytes) {
        self.effects.push(Effect::Publish { bytes });
    }

    pub fn send_datagram(&mut self, socket: usize, to: Address, bytes: Bytes) {
        self.effects.push(Effect::Datagram { socket, to, bytes });
    }

    pub fn annotate_capture(&mut self, bytes: impl Into<Bytes>) {
        self.effects.push(Effect::AnnotateCapture { bytes: bytes.into() });
    }

    pub fn crash(&mut self) {
        self.effects.push(Effect::Crash);
    }

    /// What has been asked for since the last call, in order.
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}

/// A program without sockets and clock. Calls only update what it knows or answer at once; `turn` follows
/// each batch of calls and is where a program pulls its decisions.
pub trait EventHandler {
    /// Runs once before all else.
    fn on_start(&mut self, now: Micros, effects: &mut Effects);
    /// A connection was accepted at a door, by the door's place among those that the program was given.
    fn on_accepted(&mut self, now: Micros, connection: ConnectionId, door: usize, effects: &mut Effects);
    /// A dial led to a connection.
    fn on_connected(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects);
    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects);
    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        loss: DisconnectReason,
        effects: &mut Effects,
    );
    /// What waits to be sent on the link rose over the high mark, or fell under the low one.
    fn on_backpressure(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        crowded: bool,
        effects: &mut Effects,
    );
    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects);
    fn on_iteration(&mut self, now: Micros, effects: &mut Effects);
    /// All that was sent on a raw link has been handed to the machine: its last byte is written.
    fn on_write_complete(&mut self, _now: Micros, _link: ConnectionId, _out: &mut Effects) {}
    /// A datagram came to a datagram door, by its place among those.
    fn on_datagram(
        &mut self,
        _now: Micros,
        _door: usize,
        _from: Address,
        _bytes: &Bytes,
        _out: &mut Effects,
    ) {
    }
    /// The file that the program was started with, read again because a signal asked for it. Whether it could be used:
    /// one that could not is read again.
    fn on_config_reload(&mut self, _now: Micros, _file: &Bytes, _out: &mut Effects) -> bool {
        true
    }
    /// Another thread of the process tells something.
    fn on_message(&mut self, _now: Micros, _letter: &Bytes, _out: &mut Effects) {}
    /// The loop came to what was due, or to its peers, so much later than it could have on an idle machine.
    fn on_loop_lag(&mut self, _now: Micros, _by: Micros) {}
    /// Asked to end: take nothing new, finish what is held.
    fn on_shutdown(&mut self, now: Micros, effects: &mut Effects);
    /// Whether it has finished: the loop ends. A program that serves is done only after `stop`.
    fn is_finished(&self) -> bool;
}
