//! Merges the captures of all processes by time into the capture of a scenario.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fs::File;
use std::io::{BufReader, BufWriter, ErrorKind, Write};
use std::path::{Path, PathBuf};

use bytes::Bytes;
use tideroute_wire::capture::{self, CaptureError, CaptureEvent, CapturedFrame, CapturedProcess, Reader};
use tideroute_wire::Micros;

/// Compression level of captures: the default of zstd.
const COMPRESSION_LEVEL: i32 = 3;

/// The capture of one process.
pub struct CapturePart {
    pub process_info: CapturedProcess,
    pub path: PathBuf,
    /// When the process was killed; its capture may end in the middle of a frame then.
    pub killed: Option<Micros>,
    /// When the process was paused and resumed.
    pub pauses: Vec<(Micros, CaptureEvent)>,
}

/// The remaining events of a capture.
struct Stream {
    reader: Reader<BufReader<File>>,
    /// The next event that the process captured itself, read ahead.
    next_event: Option<CapturedFrame>,
    /// Whether the capture has no more events.
    ended: bool,
    pauses: VecDeque<(Micros, CaptureEvent)>,
    killed: Option<Micros>,
    process: u32,
}

impl Stream {
    /// Returns the next event: one that the process captured itself, or a pause, resumption or kill from outside.
    fn next(&mut self) -> Result<Option<CapturedFrame>, CaptureError> {
        if self.next_event.is_none() && !self.ended {
            self.next_event = match self.reader.next_passed() {
                // The process was killed while it wrote; the events before the incomplete one are used.
                Err(CaptureError::Truncated { .. }) if self.killed.is_some() => None,
                next => next?,
            };
            self.ended = self.next_event.is_none();
        }
        let process = self.process;
        let external_event = |(at, event)| CapturedFrame {
            at,
            process,
            connection: 0,
            event,
            position: 0,
            frame: Bytes::new(),
        };
        let own_event_at = self.next_event.as_ref().map(|frame| frame.at);
        if let Some(pause) =
            self.pauses.pop_front_if(|(at, _)| own_event_at.is_none_or(|own_event_at| *at <= own_event_at))
        {
            return Ok(Some(external_event(pause)));
        }
        Ok(self
            .next_event
            .take()
            .or_else(|| self.killed.take().map(|at| external_event((at, CaptureEvent::ProcessKilled)))))
    }
}

/// Writes the compressed capture of a whole scenario to the path `to`; returns the number of its events.
pub fn merge(parts: &[CapturePart], checker_config: &str, to: &Path) -> Result<u64, CaptureError> {
    let file = BufWriter::new(File::create(to)?);
    let mut output = zstd::Encoder::new(file, COMPRESSION_LEVEL)?;
    let processes: Vec<CapturedProcess> = parts.iter().map(|part| part.process_info.clone()).collect();
    capture::write_head(&mut output, &processes, checker_config)?;
    let (mut streams, mut heap) = (Vec::new(), BinaryHeap::new());
    let mut pending: Vec<Option<CapturedFrame>> = Vec::new();
    for part in parts {
        let file = match File::open(&part.path) {
            Ok(file) => file,
            // The process was killed before it had created its capture.
            Err(e) if e.kind() == ErrorKind::NotFound && part.killed.is_some() => continue,
            Err(problem) => return Err(problem.into()),
        };
        let mut reader = Reader::new(BufReader::new(file));
        reader.head()?;
        let (pauses, process) = (part.pauses.iter().copied().collect(), part.process_info.number);
        let mut stream =
            Stream { reader, next_event: None, ended: false, pauses, killed: part.killed, process };
        let first = stream.next()?;
        heap.extend(first.iter().map(|frame| Reverse((frame.at, streams.len()))));
        pending.push(first);
        streams.push(stream);
    }
    let (mut events, mut last) = (0, 0);
    while let Some(Reverse((_, index))) = heap.pop() {
        let Some(mut event) = pending[index].take() else { continue };
        // This process records the time of a kill, and its clock may be slightly behind the last event of the killed process.
        event.at = event.at.max(last);
        last = event.at;
        capture::write(&mut output, &event)?;
        events += 1;
        pending[index] = streams[index].next()?;
        heap.extend(pending[index].iter().map(|frame| Reverse((frame.at.max(last), index))));
    }
    output.finish().and_then(|mut file| file.flush())?;
    Ok(events)
}
