//! Merges the captures of all processes by time into the capture of a scenario.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fs::File;
use std::io::{BufReader, BufWriter, ErrorKind, Write};
use std::path::{Path, PathBuf};

use bytes::Bytes;
use tideroute_wire::capture::{self, CaptureError, CaptureEvent, CapturedFrame, CapturedProcess, Reader};
use tideroute_wire::Micros;

/// Compression level of captures: zstd's default.
const COMPRESSION_LEVEL: i32 = 3;

/// The capture of one process.
pub struct CapturePart {
    pub process_info: CapturedProcess,
    pub path: PathBuf,
    /// When it was killed from outside; its capture may end in the middle of a frame.
    pub killed: Option<Micros>,
    /// When it was paused from outside and resumed.
    pub pauses: Vec<(Micros, CaptureEvent)>,
}

/// The remaining events of a capture.
struct Stream {
    reader: Reader<BufReader<File>>,
    /// The next event that the process captured itself, read ahead.
    next_event: Option<CapturedFrame>,
    /// The capture has no more events.
    ended: bool,
    pauses: VecDeque<(Micros, CaptureEvent)>,
    killed: Option<Micros>,
    process: u32,
}

impl Stream {
    fn next(&mut self) -> Result<Option<CapturedFrame>, CaptureError> {
        if self.next_event.is_none() && !self.ended {
            self.next_event = match self.reader.next_passed() {
                // Killed while it wrote: the events before that count.
                Err(CaptureError::CutOff { .. }) if self.killed.is_some() => None,
                next => next?,
            };
            self.ended = self.next_event.is_none();
        }
        let process = self.process;
        let outside = |(at, what)| CapturedFrame {
            at,
            process,
            connection: 0,
            event: what,
            position: 0,
            frame: Bytes::new(),
        };
        let own = self.next_event.as_ref().map(|p| p.at);
        if let Some(halt) = self.pauses.pop_front_if(|(at, _)| own.is_none_or(|own| *at <= own)) {
            return Ok(Some(outside(halt)));
        }
        Ok(self
            .next_event
            .take()
            .or_else(|| self.killed.take().map(|at| outside((at, CaptureEvent::ProcessKilled)))))
    }
}

/// Writes the compressed capture of a whole scenario; returns the number of its events.
pub fn merge(parts: &[CapturePart], terms: &str, to: &Path) -> Result<u64, CaptureError> {
    let file = BufWriter::new(File::create(to)?);
    let mut output = zstd::Encoder::new(file, COMPRESSION_LEVEL)?;
    let processes: Vec<CapturedProcess> = parts.iter().map(|p| p.process_info.clone()).collect();
    capture::write_head(&mut output, &processes, terms)?;
    let (mut streams, mut heap) = (Vec::new(), BinaryHeap::new());
    let mut pending: Vec<Option<CapturedFrame>> = Vec::new();
    for part in parts {
        let file = match File::open(&part.path) {
            Ok(file) => file,
            // Killed before it had begun to write.
            Err(e) if e.kind() == ErrorKind::NotFound && part.killed.is_some() => continue,
            Err(problem) => return Err(problem.into()),
        };
        let mut reader = Reader::new(BufReader::new(file));
        reader.head()?;
        let (pauses, process) = (part.pauses.iter().copied().collect(), part.process_info.number);
        let mut stream =
            Stream { reader, next_event: None, ended: false, pauses, killed: part.killed, process };
        let first = stream.next()?;
        heap.extend(first.iter().map(|p| Reverse((p.at, streams.len()))));
        pending.push(first);
        streams.push(stream);
    }
    let (mut events, mut last) = (0, 0);
    while let Some(Reverse((_, n))) = heap.pop() {
        let Some(mut event) = pending[n].take() else { continue };
        // A kill is captured by the killer, whose clock may be a moment behind the killed process's last event.
        event.at = event.at.max(last);
        last = event.at;
        capture::write(&mut output, &event)?;
        events += 1;
        pending[n] = streams[n].next()?;
        heap.extend(pending[n].iter().map(|p| Reverse((p.at.max(last), n))));
    }
    output.finish().and_then(|mut file| file.flush())?;
    Ok(events)
}
