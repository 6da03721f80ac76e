//! A door: where connections are taken, and how it is shut as a network would shut it.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;

use socket2::{Domain, Protocol, SockFilter, SockRef, Socket, Type};
use tideroute_wire::event_loop::ListenerState;

/// Connections that may wait at a door to be taken; the standard library's own number.
pub const BACKLOG: i32 = 4096;

/// A packet filter of one step: `return 0`, no byte of any packet is let in.
const ADMIT_NOTHING: SockFilter = SockFilter::new((libc::BPF_RET | libc::BPF_K) as u16, 0, 0, 0);

pub struct Door {
    pub listener: Option<TcpListener>,
    address: SocketAddr,
    shut: ListenerState,
    /// Holds the one place of a queue that has no more, so that the kernel leaves further dials unanswered.
    plug: Option<Socket>,
}

impl Door {
    pub fn new(listener: TcpListener) -> io::Result<Door> {
        let address = listener.local_addr()?;
        Ok(Door { listener: Some(listener), address, shut: ListenerState::Open, plug: None })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn is_open(&self) -> bool {
        self.shut == ListenerState::Open
    }

    /// Has the kernel drop what else would come, so that no connection is made there any more. Where the kernel can't,
    /// one may still be made in the moment before the door is gone.
    pub fn admit_no_more(&self) {
        let Some(listener) = &self.listener else { return };
        if let Err(problem) = SockRef::from(&listener.as_fd()).attach_filter(&[ADMIT_NOTHING]) {
            tracing::debug!(%problem, "a door could not be kept from taking more");
        }
    }

    /// Opens or shuts it; whoever watches it stops before it is shut and begins again once it is open.
    pub fn set(&mut self, shut: ListenerState) -> io::Result<()> {
        if std::mem::replace(&mut self.shut, shut) == shut {
            return Ok(());
        }
        if self.listener.is_none() {
            let listener = TcpListener::bind(self.address)?;
            listener.set_nonblocking(true)?;
            self.listener = Some(listener);
        }
        let Some(listener) = &self.listener else { return Ok(()) };
        match shut {
            ListenerState::Open => {
                SockRef::from(&listener.as_fd()).listen(BACKLOG)?;
                if self.plug.take().is_some() {
                    // It came first and so it is the first to be taken.
                    let _ = listener.accept();
                }
            }
            ListenerState::Unresponsive => {
                while listener.accept().is_ok() {}
                SockRef::from(&listener.as_fd()).listen(0)?;
                let plug = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
                plug.set_nonblocking(true)?;
                // It is under way at once; how it went is of no use here.
                let _ = plug.connect(&self.address.into());
                self.plug = Some(plug);
            }
            ListenerState::Refusing => (self.listener, self.plug) = (None, None),
        }
        Ok(())
    }
}
