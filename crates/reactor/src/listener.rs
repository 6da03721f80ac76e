//! A listening socket that can be made unresponsive or refusing, as a fault in the network would make it.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;

use socket2::{Domain, Protocol, SockFilter, SockRef, Socket, Type};
use tideroute_wire::event_loop::ListenerState;

/// Connections that may wait to be accepted; the standard library's own number.
pub(crate) const BACKLOG: i32 = 4096;

/// A packet filter of one step: `return 0`, no byte of any packet is admitted.
const ADMIT_NOTHING: SockFilter = SockFilter::new((libc::BPF_RET | libc::BPF_K) as u16, 0, 0, 0);

/// A listener with the address and state that outlive its socket.
pub(crate) struct Listener {
    /// None while the listener refuses connections.
    pub socket: Option<TcpListener>,
    address: SocketAddr,
    state: ListenerState,
    /// Occupies the one place of a backlog of zero, so that the kernel leaves further connects unanswered.
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

    /// The socket, if the listener is open; the poller watches it just then.
    pub fn open_socket(&self) -> Option<&TcpListener> {
        self.socket.as_ref().filter(|_| self.is_open())
    }

    /// Has the kernel drop further packets, so that no more connections are made. Where the kernel can't, one may
    /// still be made in the moment before the socket is closed.
    pub fn block_new_connections(&self) {
        let Some(socket) = &self.socket else { return };
        if let Err(error) = SockRef::from(&socket.as_fd()).attach_filter(&[ADMIT_NOTHING]) {
            tracing::debug!(%error, "new connections to a listener could not be blocked");
        }
    }

    /// Changes the state. The caller stops watching the socket before it leaves the open state, and watches it again
    /// once it is open.
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
                    // It connected first, so it is the first to be accepted.
                    let _ = socket.accept();
                }
            }
            ListenerState::Unresponsive => {
                while socket.accept().is_ok() {}
                SockRef::from(&socket.as_fd()).listen(0)?;
                let filler = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
                filler.set_nonblocking(true)?;
                // The connect is in progress at once; its result does not matter.
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
