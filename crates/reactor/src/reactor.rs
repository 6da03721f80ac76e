//! The event loop's state. Its concerns stand in files of their own, each with the methods that rule it.

use std::collections::{HashMap, VecDeque};
use std::path::PathBuf;
use std::sync::Arc;

use polling::Poller;
use slab::Slab;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};
use tideroute_wire::Address;

use crate::clock::Clock;
use crate::connection::Connection;
use crate::datagram_socket::DatagramSocket;
use crate::listener::Listener;
use crate::mailbox::{Mailbox, MessageReceiver};
use crate::signal_pipe::SignalPipe;
use crate::timer_key::TimerKey;
use crate::timer_wheel::TimerWheel;
use crate::traffic_capture::TrafficCapture;

mod accepting;
mod capturing;
mod closing;
mod config_reload;
mod connecting;
mod datagrams;
mod effects;
mod event_loop;
mod listener_state;
mod messages;
mod polling_sources;
mod reading;
mod setup;
mod shutdown;
mod timers;
mod writing;

/// How a run ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RunOutcome {
    /// The handler has finished, and its output has been sent.
    Finished,
    /// The handler asked for a crash.
    Crashed,
    /// A second signal came before the handler had finished.
    Forced,
}

/// What the handler is yet to be notified of.
enum Notification {
    Connected(ConnectionId),
    Disconnected(ConnectionId, DisconnectReason),
    Backpressure(ConnectionId, bool),
    WriteComplete(ConnectionId),
}

/// An event loop with its sockets, timers and signals; [`run`](Reactor::run) drives one handler.
pub struct Reactor {
    poller: Arc<Poller>,
    clock: Clock,
    listeners: Vec<Listener>,
    datagram_sockets: Vec<DatagramSocket>,
    /// Where to connect or send in place of the address that the handler gave.
    address_overrides: HashMap<Address, Address>,
    connections: Slab<Connection>,
    /// The slot of each connection in `connections`.
    slots: HashMap<ConnectionId, usize>,
    /// Slots with output that is sent at the end of the iteration.
    to_flush: Vec<usize>,
    /// Slots of closed connections, freed at the end of the iteration.
    closed: Vec<usize>,
    notifications: VecDeque<Notification>,
    timers: TimerWheel<TimerKey>,
    shutdown_signals: Option<SignalPipe>,
    config_reload: Option<ConfigReload>,
    /// Failed attempts to accept the last connections of a handler that has finished.
    last_accept_attempts: u32,
    capture: Option<TrafficCapture>,
    /// The file to which the handler's state is persisted.
    persist_path: Option<PathBuf>,
    messages: Option<MessageReceiver>,
    publish_to: Option<Mailbox>,
    /// Bytes pass as they come, not in frames.
    raw: bool,
    /// Raw connections that linger, and how many may.
    lingering: usize,
    max_lingering: usize,
    /// Listeners stay open after a shutdown signal, and another one changes nothing.
    drain_on_shutdown: bool,
    read_buffer: Box<[u8]>,
    /// Connections accepted so far; the number of the next one.
    accepted: u64,
    shutting_down: bool,
    crashed: bool,
}

/// The configuration file that SIGHUP has read again.
struct ConfigReload {
    signals: SignalPipe,
    path: PathBuf,
    /// How many more times a file that could not be used is read.
    retries_left: u32,
}

impl Drop for Reactor {
    /// Deletes all sources from the poller before they are closed, as the poller requires.
    fn drop(&mut self) {
        for (_, connection) in &self.connections {
            let _ = self.poller.delete(&connection.stream);
        }
        for datagram_socket in &self.datagram_sockets {
            let _ = self.poller.delete(&datagram_socket.socket);
        }
        for socket in self.listeners.iter().filter_map(Listener::open_socket) {
            let _ = self.poller.delete(socket);
        }
        let reload_signals = self.config_reload.iter().map(|reload| &reload.signals);
        for signals in self.shutdown_signals.iter().chain(reload_signals) {
            let _ = self.poller.delete(&signals.stream);
        }
    }
}
