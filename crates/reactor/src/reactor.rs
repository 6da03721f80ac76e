//! The event loop's state. Its methods are in the submodules, one for each concern.

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
mod output_limit;
mod polling_sources;
mod reading;
mod setup;
mod shutdown;
mod timers;
mod writing;

pub use setup::shared_listeners;

/// How a run ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RunOutcome {
    /// The handler has finished, and its output has been sent.
    Finished,
    /// The handler requested a crash.
    Crashed,
    /// A second signal was received before the handler had finished.
    Forced,
}

/// A notification that is yet to be delivered to the handler.
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
    /// Replacements for addresses to which the handler connects or sends.
    address_overrides: HashMap<Address, Address>,
    connections: Slab<Connection>,
    /// The slot of each connection in `connections`.
    slots: HashMap<ConnectionId, usize>,
    /// Slots of connections whose output is sent at the end of the iteration.
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
    /// Bytes are passed as they arrive instead of in frames.
    raw: bool,
    /// Number of raw connections that are lingering.
    lingering: usize,
    /// Maximum number of raw connections that may linger at a time.
    max_lingering: usize,
    /// Number of bytes that wait to be sent on accepted connections.
    unsent_responses: usize,
    /// Maximum of `unsent_responses`.
    max_unsent_responses: usize,
    /// Listeners stay open after a shutdown signal, and further signals are ignored.
    drain_on_shutdown: bool,
    read_buffer: Box<[u8]>,
    /// Number of connections accepted so far, which is also the number of the next one.
    accepted: u64,
    shutting_down: bool,
    crashed: bool,
}

/// The configuration file that is reloaded on SIGHUP.
struct ConfigReload {
    signals: SignalPipe,
    path: PathBuf,
    /// Remaining attempts to read a file that could not be used.
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
