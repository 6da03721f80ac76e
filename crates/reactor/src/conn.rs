//! One connection: a socket, what has arrived on it and what waits to be sent.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};

use bytes::{Buf, Bytes, BytesMut};
use socket2::{Domain, Protocol, Socket, Type};
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::{frame, Address, Malformed, Micros};

/// Bytes read from one connection before others have their turn.
pub const PIECE: usize = 64 << 10;
/// Bytes waiting to be sent over which the program is told that the link is crowded; about what a slow
/// reader's kernel buffer holds too.
pub const HIGH: usize = 256 << 10;
/// And under which it is told that it no longer is.
pub const LOW: usize = 64 << 10;
/// The same two marks where bytes pass raw: there are many such connections, in little memory.
pub const RAW_HIGH: usize = 32 << 10;
pub const RAW_LOW: usize = 8 << 10;
/// Bytes waiting over which a connection is closed: room for four of the largest frames.
pub const MOST: usize = 4 << 20;

/// How far a connection has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    Dialling {
        until: Micros,
    },
    Open,
    /// To be ended once all has been sent, or at that time.
    Closing {
        until: Micros,
    },
    /// This side has ended; what still comes is thrown away, so that the last words are not lost by a reset.
    Lingering {
        until: Micros,
        left: usize,
    },
    Dead,
}

pub struct Conn {
    pub connection: ConnectionId,
    pub stream: TcpStream,
    pub stage: Stage,
    pub hushed: bool,
    pub crowded: bool,
    /// Bytes pass as they come, not in frames.
    pub raw: bool,
    /// What the poller was last asked to look for: reading, writing.
    pub watched: (bool, bool),
    /// Frames that passed, each way.
    pub sent: u64,
    pub heard: u64,
    arrived: BytesMut,
    waiting: BytesMut,
}

/// What reading brought.
pub enum Got {
    Frames(Vec<Bytes>),
    /// Frames up to the one that could not be taken.
    Bad(Vec<Bytes>, Malformed),
    /// The peer ended the connection after these.
    End(Vec<Bytes>),
}

impl Conn {
    pub fn new(connection: ConnectionId, stream: TcpStream, stage: Stage) -> Conn {
        let (arrived, waiting) = (BytesMut::new(), BytesMut::new());
        Conn {
            connection,
            stream,
            stage,
            hushed: false,
            crowded: false,
            raw: false,
            watched: (false, false),
            sent: 0,
            heard: 0,
            arrived,
            waiting,
        }
    }

    /// Begins to connect; whether it led anywhere is known once the socket can be written to.
    pub fn dial(connection: ConnectionId, to: Address, until: Micros) -> io::Result<Conn> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        if let Err(problem) = socket.set_tcp_nodelay(true) {
            tracing::debug!(%problem, "a connection whose small writes may wait");
        }
        let ip = [to[0], to[1], to[2], to[3]].into();
        let to = SocketAddr::V4(SocketAddrV4::new(ip, u16::from_be_bytes([to[4], to[5]])));
        match socket.connect(&to.into()) {
            Ok(()) => {}
            // An interrupted call goes on by itself, as one that is under way does.
            Err(e) if matches!(e.raw_os_error(), Some(libc::EINPROGRESS | libc::EINTR)) => {}
            Err(e) => return Err(e),
        }
        Ok(Conn::new(connection, socket.into(), Stage::Dialling { until }))
    }

    /// After the socket became writable: whether the dial led to a connection.
    pub fn reached(&self) -> bool {
        self.stream.take_error().is_ok_and(|e| e.is_none()) && self.stream.peer_addr().is_ok()
    }

    pub fn put(&mut self, body: &Bytes) {
        if self.raw {
            self.waiting.extend_from_slice(body);
        } else {
            frame::put(&mut self.waiting, body);
        }
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Bytes waiting over which the program hears that the link is crowded, and under which no longer.
    pub fn marks(&self) -> (usize, usize) {
        if self.raw {
            (RAW_HIGH, RAW_LOW)
        } else {
            (HIGH, LOW)
        }
    }

    /// Sends what the socket takes now.
    pub fn flush(&mut self) -> io::Result<()> {
        while !self.waiting.is_empty() {
            match self.stream.write(&self.waiting) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(sent) => self.waiting.advance(sent),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        // A buffer that once held much would keep it for as long as the connection is there.
        if self.raw {
            self.waiting = BytesMut::new();
        }
        Ok(())
    }

    /// Throws away what has come, a piece at most; how much that was, or None at the end.
    pub fn waste(&mut self, piece: &mut [u8]) -> Option<usize> {
        match self.stream.read(piece) {
            Ok(0) => None,
            Ok(got) => Some(got),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => Some(0),
            Err(_) => None,
        }
    }

    /// Reads a piece at most and cuts it into frames.
    pub fn read(&mut self, piece: &mut [u8]) -> io::Result<Got> {
        let got = match self.stream.read(piece) {
            Ok(got) => got,
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
                return Ok(Got::Frames(vec![]));
            }
            Err(e) => return Err(e),
        };
        if self.raw {
            let frames = if got > 0 { vec![Bytes::copy_from_slice(&piece[..got])] } else { vec![] };
            return Ok(if got == 0 { Got::End(frames) } else { Got::Frames(frames) });
        }
        self.arrived.extend_from_slice(&piece[..got]);
        let mut frames = Vec::new();
        loop {
            match frame::next(&mut self.arrived) {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) if got == 0 => return Ok(Got::End(frames)),
                Ok(None) => return Ok(Got::Frames(frames)),
                Err(problem) => return Ok(Got::Bad(frames, problem)),
            }
        }
    }
}
