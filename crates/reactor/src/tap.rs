//! Writes down what passes on this process's sockets, whole at the end of each turn: a process that is killed
//! leaves all that it did before.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::net::SocketAddr;
use std::path::Path;

use bytes::Bytes;
use tideroute_wire::capture::{self, CaptureEvent, CapturedFrame, CapturedProcess};
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::{Address, Micros};

use crate::clock::Clock;

pub struct Tap {
    file: BufWriter<File>,
    process: u32,
    role: String,
    /// The process's clock, where the program sees a wrong one.
    pub(crate) clock: Option<Clock>,
}

impl Tap {
    /// Begins the record of one process; what the file held is gone.
    pub fn begin(path: &Path, who: &CapturedProcess) -> io::Result<Tap> {
        let mut file = BufWriter::with_capacity(1 << 18, File::create(path)?);
        capture::write_head(&mut file, std::slice::from_ref(who), "")?;
        Ok(Tap { file, process: who.number, role: who.role.clone(), clock: None })
    }

    pub(crate) fn note(
        &mut self,
        at: Micros,
        connection: ConnectionId,
        what: CaptureEvent,
        place: u64,
        frame: &Bytes,
    ) {
        // What a relay passes on is written down by those who speak.
        if self.role == "relay"
            && !matches!(
                what,
                CaptureEvent::Joined
                    | CaptureEvent::ProcessStarted
                    | CaptureEvent::ProcessExited
                    | CaptureEvent::ProcessKilled
            )
        {
            return;
        }
        let frame = capture::kept(frame, &self.role);
        let at = self.clock.map_or(at, |clock| clock.true_now());
        let passed = CapturedFrame {
            at,
            process: self.process,
            connection: connection.0,
            event: what,
            position: place,
            frame,
        };
        self.write(&passed);
    }

    /// A relay has joined two connections: each one's ends, where it was taken or went to first.
    pub(crate) fn joined(&mut self, at: Micros, ends: [Option<SocketAddr>; 4]) {
        self.met(at, ConnectionId(0), CaptureEvent::Joined, ends);
    }

    /// Two ends of one connection are known to belong together by both ends' addresses.
    pub(crate) fn met<const N: usize>(
        &mut self,
        at: Micros,
        connection: ConnectionId,
        what: CaptureEvent,
        ends: [Option<SocketAddr>; N],
    ) {
        let ends: Vec<u8> = ends.into_iter().flat_map(|end| end.map_or([0; 6], bytes_of)).collect();
        self.note(at, connection, what, 0, &ends.into());
    }

    fn write(&mut self, passed: &CapturedFrame) {
        if let Err(problem) = capture::write(&mut self.file, passed) {
            tracing::error!(%problem, "the record of what passed is incomplete");
        }
    }

    pub(crate) fn flush(&mut self) {
        if let Err(problem) = self.file.flush() {
            tracing::error!(%problem, "the record of what passed is incomplete");
        }
    }
}

pub(crate) fn bytes_of(address: SocketAddr) -> Address {
    let port = address.port().to_be_bytes();
    match address {
        SocketAddr::V4(a) => {
            let ip = a.ip().octets();
            [ip[0], ip[1], ip[2], ip[3], port[0], port[1]]
        }
        SocketAddr::V6(_) => [0, 0, 0, 0, port[0], port[1]],
    }
}
