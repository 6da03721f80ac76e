//! A capture of the traffic on this process's sockets. It is flushed in each iteration before output is sent, so that
//! the capture of a killed process holds everything that the process sent.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::net::SocketAddr;
use std::path::Path;

use bytes::Bytes;
use tideroute_wire::capture::{self, CaptureEvent, CapturedFrame, CapturedProcess};
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

use crate::address;
use crate::clock::Clock;

/// Bytes that are buffered before they are written to the file.
const FILE_BUFFER: usize = 1 << 18;
/// Role of a relay, whose frames are captured by the processes that exchange them through it.
const RELAY_ROLE: &str = "relay";

/// The capture file of one process.
pub struct TrafficCapture {
    file: BufWriter<File>,
    process: u32,
    role: String,
    /// The process's clock, for its true time, if the handler sees a skewed one.
    pub(crate) clock: Option<Clock>,
}

impl TrafficCapture {
    /// Starts the capture of one process; overwrites an existing file.
    pub fn create(path: &Path, process: &CapturedProcess) -> io::Result<TrafficCapture> {
        let mut file = BufWriter::with_capacity(FILE_BUFFER, File::create(path)?);
        capture::write_head(&mut file, std::slice::from_ref(process), "")?;
        Ok(TrafficCapture { file, process: process.number, role: process.role.clone(), clock: None })
    }

    /// Captures an event; for a frame, `position` is the frame's index among those of its direction on the connection.
    pub(crate) fn record(
        &mut self,
        at: Micros,
        connection: ConnectionId,
        event: CaptureEvent,
        position: u64,
        frame: &Bytes,
    ) {
        if self.role == RELAY_ROLE && !is_captured_by_relays(event) {
            return;
        }
        let captured = CapturedFrame {
            at: self.clock.map_or(at, |clock| clock.true_now()),
            process: self.process,
            connection: connection.0,
            event,
            position,
            frame: capture::kept(frame, &self.role),
        };
        if let Err(error) = capture::write(&mut self.file, &captured) {
            tracing::error!(%error, "writing the traffic capture failed; continuing with an incomplete capture");
        }
    }

    /// Captures that a relay forwards between two connections, with the addresses of both ends of each.
    pub(crate) fn record_joined(&mut self, at: Micros, ends: [Option<SocketAddr>; 4]) {
        self.record_with_addresses(at, ConnectionId(0), CaptureEvent::Joined, ends);
    }

    /// Captures an event with addresses, which are later used to match the two ends of a connection.
    pub(crate) fn record_with_addresses<const N: usize>(
        &mut self,
        at: Micros,
        connection: ConnectionId,
        event: CaptureEvent,
        ends: [Option<SocketAddr>; N],
    ) {
        let ends: Vec<u8> = ends.into_iter().flat_map(|end| end.map_or([0; 6], address::encode)).collect();
        self.record(at, connection, event, 0, &ends.into());
    }

    pub(crate) fn flush(&mut self) {
        if let Err(error) = self.file.flush() {
            tracing::error!(%error, "writing the traffic capture failed; continuing with an incomplete capture");
        }
    }
}

/// Returns whether a relay captures this event itself. The frames that it forwards are captured by the processes that
/// exchange them.
fn is_captured_by_relays(event: CaptureEvent) -> bool {
    matches!(
        event,
        CaptureEvent::Joined
            | CaptureEvent::ProcessStarted
            | CaptureEvent::ProcessExited
            | CaptureEvent::ProcessKilled
    )
}
