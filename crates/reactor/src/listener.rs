//! A listening socket that can be made unresponsive or refusing, to simulate network faults.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;

use socket2::{Domain, Protocol, SockFilter, SockRef, Socket, Type};
use tideroute_wire::event_loop::ListenerState;

/// Connections that may wait to be accepted; the same number as in the standard library.
pub(crate) const BACKLOG: i32 = 4096;

/// A packet filter of the one instruction `return 0`, which drops every packet.
const ADMIT_NOTHING: SockFilter = SockFilter::new((libc::BPF_RET | libc::BPF_K) as u16, 0, 0, 0);

/// A listener, whose address and state are kept while its socket is closed.
pub(crate) struct Listener {
    /// `None` while the listener refuses connections.
    pub socket: Option<TcpListener>,
    address: SocketAddr,
    state: ListenerState,
    /// Takes up the one connection that a backlog of zero admits, so that the kernel does not answer further connection
    /// attempts. `None` unless the listener is unresponsive.
    backlog_filler: Option<Socket>,
}

impl Listener {
    pub fn new(socket: TcpListener) -> io::Result<Listener> {
        let address = socket.local_addr()?;
        Ok(Listener { socket: Some(socket), address, state: ListenerState::Open, backlog_filler: None })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn is_open(&self) -> bool {
        self.state == ListenerState::Open
    }

    /// Returns the socket if the listener is open; only then is it registered with the poller.
    pub fn open_socket(&self) -> Option<&TcpListener> {
        self.socket.as_ref().filter(|_| self.is_open())
    }

    /// Has the kernel drop further packets, so that no more connections are established. If the kernel does not support
    /// this, a connection may still be established in the moment before the socket is closed.
    pub fn block_new_connections(&self) {
        let Some(socket) = &self.socket else { return };
        if let Err(error) = SockRef::from(&socket.as_fd()).attach_filter(&[ADMIT_NOTHING]) {
            tracing::debug!(%error, "blocking new connections to a listener failed");
        }
    }

    /// Changes the state. The caller must delete the socket from the poller before the listener leaves the open state,
    /// and add it again once the listener is open.
    pub fn set_state(&mut self, state: ListenerState) -> io::Result<()> {
        if std::mem::replace(&mut self.state, state) == state {
            return Ok(());
        }
        if self.socket.is_none() {
            let socket = TcpListener::bind(self.address)?;
            socket.set_nonblocking(true)?;
            self.socket = Some(socket);
        }
        let Some(socket) = &self.socket else { return Ok(()) };
        match state {
            ListenerState::Open => {
                SockRef::from(&socket.as_fd()).listen(BACKLOG)?;
                if self.backlog_filler.take().is_some() {
                    // The filler connected first, so it is the first connection to be accepted.
                    let _ = socket.accept();
                }
            }
            ListenerState::Unresponsive => {
                while socket.accept().is_ok() {}
                SockRef::from(&socket.as_fd()).listen(0)?;
                let filler = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
                filler.set_nonblocking(true)?;
                // The call returns while connecting is in progress; its result does not matter.
                let _ = filler.connect(&self.address.into());
                self.backlog_filler = Some(filler);
            }
            ListenerState::Refusing => {
                self.socket = None;
                self.backlog_filler = None;
            }
        }
        Ok(())
    }
}
