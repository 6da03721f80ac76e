//! A connection with its socket, its input buffer and its output buffer.

use std::io::{self, Read};
use std::net::TcpStream;

use bytes::{Bytes, BytesMut};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::{frame, Address, Malformed, Micros};

use crate::address;
use crate::output_queue::OutputQueue;

/// Maximum number of bytes read from a connection at a time, before other connections are handled.
pub const READ_CHUNK: usize = 64 << 10;
/// Bytes of waiting output above which the handler is notified of backpressure; roughly as much as the kernel buffer of
/// a slow peer holds.
pub const HIGH_WATERMARK: usize = 256 << 10;
/// Bytes of waiting output at or below which backpressure ends.
pub const LOW_WATERMARK: usize = 64 << 10;
/// [`HIGH_WATERMARK`] of raw connections; lower, because there are many of them and memory is limited.
pub const RAW_HIGH_WATERMARK: usize = 32 << 10;
/// [`LOW_WATERMARK`] of raw connections.
pub const RAW_LOW_WATERMARK: usize = 8 << 10;
/// Bytes that each kernel buffer of a raw connection may hold. The kernel's own limits are megabytes: they would count
/// against the memory of the process, and hide for minutes whether a slow peer reads.
const RAW_SOCKET_BUFFER: usize = 64 << 10;
/// Bytes of waiting output above which a connection is closed: four of the largest frames.
pub const MAX_BUFFERED: usize = 4 << 20;

/// Stage in the life of a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ConnectionState {
    /// An outbound connection that is not established yet; it fails at the deadline.
    Connecting { deadline: Micros },
    /// Established; frames are exchanged in both directions.
    Open,
    /// Being closed; ends once all output has been sent, or at the deadline.
    Closing { deadline: Micros },
    /// Output has ended; input is still read and discarded, up to `discardable` bytes and until the deadline, so that
    /// no reset overtakes the last output.
    Lingering { deadline: Micros, discardable: usize },
    /// Ended; its slot is freed at the end of the loop's iteration.
    Closed,
}

/// Events for which the poller watches a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) struct Interest {
    pub readable: bool,
    pub writable: bool,
}

/// Bytes of waiting output above which backpressure begins (`high`), and down to which it ends (`low`).
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
    /// The handler has paused reading.
    pub reading_paused: bool,
    /// The handler was last notified that backpressure began, not that it ended.
    pub backpressure: bool,
    /// Bytes are passed as they arrive instead of in frames.
    pub raw: bool,
    /// When the output last began to wait, or was last written in part.
    pub stalled_since: Micros,
    /// Events for which the poller currently watches the connection.
    pub watched: Interest,
    pub frames_sent: u64,
    pub frames_received: u64,
    input: BytesMut,
    output: OutputQueue,
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

/// The frames that a read completed, and the end of the input if it was reached.
#[derive(Default)]
pub(crate) struct ReadOutcome {
    /// Complete frames, up to the first that is malformed.
    pub frames: Vec<Bytes>,
    /// `None` while more input may arrive.
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
            stalled_since: 0,
            watched: Interest::default(),
            frames_sent: 0,
            frames_received: 0,
            input: BytesMut::new(),
            output: OutputQueue::default(),
        }
    }

    /// Starts connecting. Once the socket is writable, [`is_established`](Connection::is_established) tells whether it
    /// succeeded.
    pub fn connect(id: ConnectionId, to: Address, deadline: Micros) -> io::Result<Connection> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        if let Err(error) = socket.set_tcp_nodelay(true) {
            tracing::debug!(%error, "setting TCP_NODELAY failed; continuing with small writes possibly delayed");
        }
        match socket.connect(&address::decode(to).into()) {
            Ok(()) => {}
            // Connecting continues in the background, even if the call was interrupted.
            Err(e) if matches!(e.raw_os_error(), Some(libc::EINPROGRESS | libc::EINTR)) => {}
            Err(e) => return Err(e),
        }
        Ok(Connection::new(id, socket.into(), ConnectionState::Connecting { deadline }))
    }

    /// Makes this a raw connection, and limits what the kernel buffers for it. The kernel still takes a whole request for
    /// a peer that reads it a little later: how much is sent on outbound connections is limited by the handler.
    pub fn set_raw(&mut self) {
        self.raw = true;
        let socket = SockRef::from(&self.stream);
        let mut limited = socket.set_recv_buffer_size(RAW_SOCKET_BUFFER);
        if !self.id.is_outbound() {
            limited = limited.and(socket.set_send_buffer_size(RAW_SOCKET_BUFFER));
        }
        if let Err(error) = limited {
            tracing::debug!(%error, "limiting the kernel buffers of a connection failed; continuing with larger ones");
        }
    }

    /// Returns whether the connection is established; valid once the socket has become writable.
    pub fn is_established(&self) -> bool {
        self.stream.take_error().is_ok_and(|error| error.is_none()) && self.stream.peer_addr().is_ok()
    }

    /// Appends a frame to the output.
    pub fn queue(&mut self, body: &Bytes) {
        if self.raw {
            self.output.push(body);
        } else {
            self.output.collect(|collected| frame::put(collected, body));
        }
    }

    /// Discards the output that waits to be sent.
    pub fn discard_output(&mut self) {
        self.output = OutputQueue::default();
    }

    /// Returns the number of output bytes that wait to be sent.
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

    /// Sends as much output as the socket accepts now.
    pub fn flush(&mut self) -> io::Result<()> {
        self.output.write_to(&mut self.stream)?;
        if self.raw {
            self.output.free_if_empty();
        }
        Ok(())
    }

    /// Discards at most a chunk of input. Returns the number of bytes, or `None` at the end of the input.
    pub fn discard_input(&mut self, chunk: &mut [u8]) -> Option<usize> {
        match self.stream.read(chunk) {
            Ok(0) => None,
            Ok(length) => Some(length),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => Some(0),
            Err(_) => None,
        }
    }

    /// Reads at most a chunk and splits the input into frames.
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

    /// Returns the outcome of a read on a raw connection, which passes the bytes as they arrived.
    fn raw_read(bytes: &[u8]) -> ReadOutcome {
        if bytes.is_empty() {
            return ReadOutcome { frames: vec![], end: Some(ReadEnd::PeerClosed) };
        }
        ReadOutcome { frames: vec![Bytes::copy_from_slice(bytes)], end: None }
    }

    /// Removes all complete frames from the input.
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
