//! One connection: its socket, the bytes that have arrived on it and the bytes that wait to be sent.

use std::io::{self, Read, Write};
use std::net::TcpStream;

use bytes::{Buf, Bytes, BytesMut};
use socket2::{Domain, Protocol, Socket, Type};
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::{frame, Address, Malformed, Micros};

use crate::address;

/// Bytes read from one connection before others have their turn.
pub const READ_CHUNK: usize = 64 << 10;
/// Bytes of waiting output over which the handler is notified of backpressure; about what the kernel buffer of a slow
/// peer holds too.
pub const HIGH_WATERMARK: usize = 256 << 10;
/// Bytes of waiting output under which backpressure ends.
pub const LOW_WATERMARK: usize = 64 << 10;
/// [`HIGH_WATERMARK`] of raw connections: there are many of them, in little memory.
pub const RAW_HIGH_WATERMARK: usize = 32 << 10;
/// [`LOW_WATERMARK`] of raw connections.
pub const RAW_LOW_WATERMARK: usize = 8 << 10;
/// Bytes of waiting output over which a connection is closed: four of the largest frames.
pub const MAX_BUFFERED: usize = 4 << 20;

/// How far a connection has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ConnectionState {
    /// An outbound connection that is not established yet; it fails at the deadline.
    Connecting { deadline: Micros },
    /// Established; frames pass both ways.
    Open,
    /// Ends once all output has been sent, or at the deadline.
    Closing { deadline: Micros },
    /// Output has ended; what still arrives is discarded, up to so many bytes and until the deadline, so that no reset
    /// overtakes the last output.
    Lingering { deadline: Micros, discardable: usize },
    /// Over; its slot is freed at the end of the loop's iteration.
    Closed,
}

/// What the poller watches a connection for.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) struct Interest {
    pub readable: bool,
    pub writable: bool,
}

/// Bytes of waiting output at which backpressure begins and ends.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Watermarks {
    pub high: usize,
    pub low: usize,
}

/// A socket with its buffers and its state.
pub(crate) struct Connection {
    pub id: ConnectionId,
    pub stream: TcpStream,
    pub state: ConnectionState,
    /// The handler has asked that nothing be read for now.
    pub reading_paused: bool,
    /// The handler was notified of backpressure.
    pub backpressure: bool,
    /// Bytes pass as they come, not in frames.
    pub raw: bool,
    /// What the poller was last asked to watch for.
    pub watched: Interest,
    pub frames_sent: u64,
    pub frames_received: u64,
    input: BytesMut,
    output: BytesMut,
}

/// Why nothing more can be read from a connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadEnd {
    #[error("the peer closed the connection")]
    PeerClosed,
    #[error(transparent)]
    Malformed(Malformed),
    #[error(transparent)]
    Io(io::Error),
}

/// The frames that one read brought, and whether it was the last.
#[derive(Default)]
pub(crate) struct ReadOutcome {
    /// Complete frames, up to the first that is malformed.
    pub frames: Vec<Bytes>,
    /// None while more may come.
    pub end: Option<ReadEnd>,
}

impl Connection {
    pub fn new(id: ConnectionId, stream: TcpStream, state: ConnectionState) -> Connection {
        Connection {
            id,
            stream,
            state,
            reading_paused: false,
            backpressure: false,
            raw: false,
            watched: Interest::default(),
            frames_sent: 0,
            frames_received: 0,
            input: BytesMut::new(),
            output: BytesMut::new(),
        }
    }

    /// Begins to connect; whether that succeeds is known once the socket is writable
    /// ([`is_established`](Connection::is_established)).
    pub fn connect(id: ConnectionId, to: Address, deadline: Micros) -> io::Result<Connection> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        if let Err(error) = socket.set_tcp_nodelay(true) {
            tracing::debug!(%error, "TCP_NODELAY not set, small writes may be delayed");
        }
        match socket.connect(&address::decode(to).into()) {
            Ok(()) => {}
            // An interrupted call continues in the background, as one in progress does.
            Err(e) if matches!(e.raw_os_error(), Some(libc::EINPROGRESS | libc::EINTR)) => {}
            Err(e) => return Err(e),
        }
        Ok(Connection::new(id, socket.into(), ConnectionState::Connecting { deadline }))
    }

    /// After the socket became writable: whether the connection is established.
    pub fn is_established(&self) -> bool {
        self.stream.take_error().is_ok_and(|error| error.is_none()) && self.stream.peer_addr().is_ok()
    }

    /// Appends a frame to the output.
    pub fn queue(&mut self, body: &Bytes) {
        if self.raw {
            self.output.extend_from_slice(body);
        } else {
            frame::put(&mut self.output, body);
        }
    }

    /// Bytes of output that wait to be sent.
    pub fn buffered(&self) -> usize {
        self.output.len()
    }

    pub fn watermarks(&self) -> Watermarks {
        if self.raw {
            Watermarks { high: RAW_HIGH_WATERMARK, low: RAW_LOW_WATERMARK }
        } else {
            Watermarks { high: HIGH_WATERMARK, low: LOW_WATERMARK }
        }
    }

    /// Sends what the socket takes now.
    pub fn flush(&mut self) -> io::Result<()> {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(sent) => self.output.advance(sent),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        // A buffer that once held much would keep its memory for as long as the connection is there.
        if self.raw {
            self.output = BytesMut::new();
        }
        Ok(())
    }

    /// Discards what has arrived, a chunk at most. Returns the number of bytes, or None at the end of the input.
    pub fn discard_input(&mut self, chunk: &mut [u8]) -> Option<usize> {
        match self.stream.read(chunk) {
            Ok(0) => None,
            Ok(length) => Some(length),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => Some(0),
            Err(_) => None,
        }
    }

    /// Reads a chunk at most and splits it into frames.
    pub fn read(&mut self, chunk: &mut [u8]) -> ReadOutcome {
        let length = match self.stream.read(chunk) {
            Ok(length) => length,
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
                return ReadOutcome::default();
            }
            Err(e) => return ReadOutcome { frames: vec![], end: Some(ReadEnd::Io(e)) },
        };
        if self.raw {
            return Self::raw_read(&chunk[..length]);
        }
        self.input.extend_from_slice(&chunk[..length]);
        self.split_frames(length == 0)
    }

    /// What a raw connection has read: the bytes as they came.
    fn raw_read(bytes: &[u8]) -> ReadOutcome {
        if bytes.is_empty() {
            return ReadOutcome { frames: vec![], end: Some(ReadEnd::PeerClosed) };
        }
        ReadOutcome { frames: vec![Bytes::copy_from_slice(bytes)], end: None }
    }

    /// Takes the complete frames out of the input.
    fn split_frames(&mut self, peer_closed: bool) -> ReadOutcome {
        let mut frames = Vec::new();
        let end = loop {
            match frame::next(&mut self.input) {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => break peer_closed.then_some(ReadEnd::PeerClosed),
                Err(error) => break Some(ReadEnd::Malformed(error)),
            }
        };
        ReadOutcome { frames, end }
    }
}
