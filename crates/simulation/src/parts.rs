//! The parts that processes wrote, merged by time into the record of a day.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fs::File;
use std::io::{BufReader, BufWriter, ErrorKind, Write};
use std::path::{Path, PathBuf};

use bytes::Bytes;
use tideroute_wire::capture::{self, CaptureError, CaptureEvent, CapturedFrame, CapturedProcess, Reader};
use tideroute_wire::Micros;

/// How hard records are compressed: zstd's default.
const LEVEL: i32 = 3;

/// One process's part.
pub struct Part {
    pub who: CapturedProcess,
    pub path: PathBuf,
    /// When it was killed from outside; its part may end in the middle of a frame.
    pub killed: Option<Micros>,
    /// When it was halted from outside and let go on.
    pub halts: Vec<(Micros, CaptureEvent)>,
}

/// What a part still has to give: its next event first.
struct Stream {
    reader: Reader<BufReader<File>>,
    /// Its own next event, read ahead.
    ahead: Option<CapturedFrame>,
    /// It has none any more.
    over: bool,
    halts: VecDeque<(Micros, CaptureEvent)>,
    killed: Option<Micros>,
    process: u32,
}

impl Stream {
    fn next(&mut self) -> Result<Option<CapturedFrame>, CaptureError> {
        if self.ahead.is_none() && !self.over {
            self.ahead = match self.reader.next_passed() {
                // Killed while it wrote: what it wrote before counts.
                Err(CaptureError::CutOff { .. }) if self.killed.is_some() => None,
                next => next?,
            };
            self.over = self.ahead.is_none();
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
        let own = self.ahead.as_ref().map(|p| p.at);
        if let Some(halt) = self.halts.pop_front_if(|(at, _)| own.is_none_or(|own| *at <= own)) {
            return Ok(Some(outside(halt)));
        }
        Ok(self
            .ahead
            .take()
            .or_else(|| self.killed.take().map(|at| outside((at, CaptureEvent::ProcessKilled)))))
    }
}

/// Writes the record of a whole day, compressed, and tells how many events it has.
pub fn merge(parts: &[Part], terms: &str, to: &Path) -> Result<u64, CaptureError> {
    let file = BufWriter::new(File::create(to)?);
    let mut out = zstd::Encoder::new(file, LEVEL)?;
    let processes: Vec<CapturedProcess> = parts.iter().map(|p| p.who.clone()).collect();
    capture::write_head(&mut out, &processes, terms)?;
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
        let (halts, process) = (part.halts.iter().copied().collect(), part.who.number);
        let mut stream = Stream { reader, ahead: None, over: false, halts, killed: part.killed, process };
        let first = stream.next()?;
        heap.extend(first.iter().map(|p| Reverse((p.at, streams.len()))));
        pending.push(first);
        streams.push(stream);
    }
    let (mut events, mut last) = (0, 0);
    while let Some(Reverse((_, n))) = heap.pop() {
        let Some(mut passed) = pending[n].take() else { continue };
        // A kill is noted by who killed, whose clock may be a moment behind the last word of the killed.
        passed.at = passed.at.max(last);
        last = passed.at;
        capture::write(&mut out, &passed)?;
        events += 1;
        pending[n] = streams[n].next()?;
        heap.extend(pending[n].iter().map(|p| Reverse((p.at.max(last), n))));
    }
    out.finish().and_then(|mut file| file.flush())?;
    Ok(events)
}
