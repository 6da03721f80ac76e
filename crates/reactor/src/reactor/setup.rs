//! Creates and configures a loop before its run.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;

use polling::Poller;
use slab::Slab;
use socket2::{Domain, Protocol, Socket, Type};
use tideroute_wire::{Address, Micros};

use super::polling_sources::{add, readable};
use super::timers::{self, TICK};
use super::{ConfigReload, Reactor};
use crate::clock::{Clock, ClockSkew};
use crate::connection::READ_CHUNK;
use crate::datagram_socket::DatagramSocket;
use crate::error::ReactorError;
use crate::listener::{Listener, BACKLOG};
use crate::mailbox::{mailbox, Mailbox};
use crate::poll_key::PollKey;
use crate::signal_pipe::SignalPipe;
use crate::timer_key::TimerKey;
use crate::traffic_capture::TrafficCapture;

/// Listens at an address with SO_REUSEPORT, once for each of `count` loops: the kernel gives each connection to one of
/// the listeners. All of them are bound before the first one listens, so that connections which arrive at once are
/// spread over all of them, and wait there until their loop runs.
pub fn shared_listeners(address: SocketAddr, count: usize) -> Result<Vec<TcpListener>, ReactorError> {
    let listen_error = |error| ReactorError::Listen(address, error);
    let sockets: Vec<_> =
        (0..count).map(|_| bind_shared(address)).collect::<io::Result<_>>().map_err(listen_error)?;
    for socket in &sockets {
        socket.listen(BACKLOG).map_err(listen_error)?;
    }
    Ok(sockets.into_iter().map(TcpListener::from).collect())
}

fn bind_shared(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

impl Reactor {
    /// Creates a loop that listens at each address; for port 0 the operating system chooses the port.
    pub fn new(addresses: &[SocketAddr]) -> Result<Reactor, ReactorError> {
        let bind =
            |&address| TcpListener::bind(address).map_err(|error| ReactorError::Listen(address, error));
        let sockets: Vec<_> = addresses.iter().map(bind).collect::<Result<_, _>>()?;
        Self::with_listeners(sockets)
    }

    /// Creates a loop on one of the listeners of [`shared_listeners`].
    pub fn with_shared_listener(listener: TcpListener) -> Result<Reactor, ReactorError> {
        Self::with_listeners([listener])
    }

    fn with_listeners(sockets: impl IntoIterator<Item = TcpListener>) -> Result<Reactor, ReactorError> {
        let poller = Arc::new(Poller::new()?);
        let clock = Clock::start();
        let mut listeners = Vec::new();
        for socket in sockets {
            let address = socket.local_addr()?;
            let listen_error = |error| ReactorError::Listen(address, error);
            socket.set_nonblocking(true).map_err(listen_error)?;
            add(&poller, &socket, readable(PollKey::Listener(listeners.len())))?;
            listeners.push(Listener::new(socket).map_err(listen_error)?);
        }
        Ok(Self::with_parts(poller, clock, listeners))
    }

    fn with_parts(poller: Arc<Poller>, clock: Clock, listeners: Vec<Listener>) -> Reactor {
        Reactor {
            poller,
            clock,
            listeners,
            datagram_sockets: vec![],
            address_overrides: HashMap::new(),
            connections: Slab::new(),
            slots: HashMap::new(),
            to_flush: vec![],
            closed: vec![],
            notifications: VecDeque::new(),
            timers: timers::new_wheel(&clock),
            shutdown_signals: None,
            config_reload: None,
            last_accept_attempts: 0,
            capture: None,
            persist_path: None,
            messages: None,
            publish_to: None,
            raw: false,
            lingering: 0,
            max_lingering: usize::MAX,
            unsent_responses: 0,
            max_unsent_responses: usize::MAX,
            drain_on_shutdown: false,
            read_buffer: vec![0; READ_CHUNK].into(),
            accepted: 0,
            shutting_down: false,
            crashed: false,
        }
    }

    /// Binds a datagram socket at each address, from which datagrams are received until the end of the run.
    pub fn add_datagram_sockets(&mut self, addresses: &[SocketAddr]) -> Result<(), ReactorError> {
        for &address in addresses {
            let datagram_socket =
                DatagramSocket::bind(address).map_err(|e| ReactorError::Listen(address, e))?;
            let key = PollKey::DatagramSocket(self.datagram_sockets.len());
            add(&self.poller, &datagram_socket.socket, readable(key))?;
            self.datagram_sockets.push(datagram_socket);
        }
        Ok(())
    }

    /// Passes bytes to the handler as they arrive instead of in frames. An accepted connection that the handler closes
    /// then lingers: its output is shut down first and its input later, so that no reset overtakes the output. At most
    /// `max_lingering` connections linger at a time.
    pub fn set_raw(&mut self, max_lingering: usize) {
        self.raw = true;
        self.max_lingering = max_lingering;
    }

    /// Limits the bytes that wait to be sent on all accepted connections together. If more wait although all sockets have
    /// taken what they accept, the connection whose peer has taken nothing for longest is closed.
    pub fn limit_unsent_responses(&mut self, bytes: usize) {
        self.max_unsent_responses = bytes;
    }

    /// After a shutdown signal, keeps the listeners open until the handler has finished, and ignores further signals.
    pub fn drain_on_shutdown(&mut self) {
        self.drain_on_shutdown = true;
    }

    /// Registers for SIGHUP. At each signal the loop reads the file and passes it to the handler.
    pub fn reload_config_on_sighup(&mut self, path: PathBuf) -> Result<(), ReactorError> {
        let signals = SignalPipe::for_reload()?;
        add(&self.poller, &signals.stream, readable(PollKey::ReloadSignals))?;
        self.config_reload = Some(ConfigReload { signals, path, retries_left: 0 });
        Ok(())
    }

    /// Sets the mailbox to which the handler's published messages are sent.
    pub fn publish_to(&mut self, mailbox: Mailbox) {
        self.publish_to = Some(mailbox);
    }

    /// Returns a mailbox through which other threads send messages to this loop's handler.
    pub fn mailbox(&mut self) -> Mailbox {
        let (mailbox, messages) = mailbox(self.poller.clone());
        self.messages = Some(messages);
        mailbox
    }

    /// Returns the addresses of the listeners, in order.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.listeners.iter().map(Listener::address).collect()
    }

    /// Returns the clock whose time the handler sees.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Records all further traffic in this capture.
    pub fn capture_traffic(&mut self, capture: TrafficCapture) {
        self.capture = Some(capture);
    }

    /// Replaces addresses to which the handler connects or sends, for example by that of a relay: from key to value.
    pub fn override_addresses(&mut self, overrides: HashMap<Address, Address>) {
        self.address_overrides = overrides;
    }

    /// Gives the handler a faulty clock; a capture that is already set keeps the true time.
    pub fn skew_clock(&mut self, skew: ClockSkew) {
        self.clock = self.clock.with_skew(skew);
        self.timers = timers::new_wheel(&self.clock);
        if let Some(capture) = &mut self.capture {
            capture.clock = Some(self.clock);
        }
    }

    /// Makes the loop panic after this delay, to test how the end of one loop affects others in the process.
    pub fn panic_after(&mut self, delay: Micros) {
        self.timers.set((self.now() + delay) / TICK, TimerKey::Panic);
    }

    /// Sets the file to which the handler's state is persisted.
    pub fn persist_to(&mut self, path: PathBuf) {
        self.persist_path = Some(path);
    }

    /// Registers for SIGTERM and SIGINT: the first signal shuts the handler down, and a second one ends the run at
    /// once, unless the loop [drains on shutdown](Reactor::drain_on_shutdown).
    pub fn catch_signals(&mut self) -> Result<(), ReactorError> {
        let signals = SignalPipe::for_shutdown()?;
        add(&self.poller, &signals.stream, readable(PollKey::ShutdownSignals))?;
        self.shutdown_signals = Some(signals);
        Ok(())
    }
}
