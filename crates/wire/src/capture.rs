//! The record of what passed on sockets: a head, then events, each as a frame. A process writes its own part
//! as it goes; parts are later merged by time into the record of a day.

use std::io::{self, Read, Write};

use bytes::{Buf, Bytes, BytesMut};
use prost::Message;

use crate::made::record::{event, Event, Head, Process};
use crate::{address_if_any, bytes_of, frame, Address, Malformed, Micros};

/// One process of a record.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CapturedProcess {
    pub number: u32,
    pub name: String,
    /// `client`, `router`, `worker` or `list`.
    pub role: String,
    pub address: Option<Address>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CaptureEvent {
    /// A connection to the address that the frame holds is asked for by the process.
    Connecting,
    /// It is there: the frame holds the other end's address, then this one's.
    Connected,
    /// It never was: what was sent on it did not arrive.
    ConnectFailed,
    /// One was taken; the frame as with `Met`.
    Accepted,
    /// The frame holds how many frames were sent and how many heard ([`counts`]).
    Closed,
    Sent,
    Received,
    ProcessStarted,
    /// The process ended by itself, in order.
    ProcessExited,
    /// It was killed from outside.
    ProcessKilled,
    /// A relay has joined two connections: the frame holds where the first was taken and where it comes from,
    /// then where the second went and where it goes out.
    Joined,
    /// The process was halted from outside.
    ProcessPaused,
    /// It was let go on.
    ProcessResumed,
    /// The process saw something, which the frame tells.
    Observed,
}

/// One thing that passed.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CapturedFrame {
    pub at: Micros,
    pub process: u32,
    pub connection: u64,
    pub event: CaptureEvent,
    /// Which frame of its direction on the connection it is, from 0.
    pub position: u64,
    pub frame: Bytes,
}

#[derive(Debug, thiserror::Error)]
pub enum CaptureError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("byte {at}: {problem}")]
    Malformed { at: u64, problem: Malformed },
    #[error("the record ends in the middle of a frame that begins at byte {at}")]
    CutOff { at: u64 },
}

pub fn write_head(to: &mut impl Write, processes: &[CapturedProcess], terms: &str) -> io::Result<()> {
    let processes = processes.iter().map(|w| Process {
        number: w.number,
        name: w.name.clone(),
        role: w.role.clone(),
        address: bytes_of(w.address),
    });
    let head = Head { processes: processes.collect(), terms: terms.to_string() };
    put(to, &head.encode_to_vec())
}

pub fn write(to: &mut impl Write, passed: &CapturedFrame) -> io::Result<()> {
    let what = match passed.event {
        CaptureEvent::Connecting => event::What::Dialled,
        CaptureEvent::Connected => event::What::Met,
        CaptureEvent::ConnectFailed => event::What::Unreached,
        CaptureEvent::Accepted => event::What::Accepted,
        CaptureEvent::Closed => event::What::Closed,
        CaptureEvent::Sent => event::What::Sent,
        CaptureEvent::Received => event::What::Heard,
        CaptureEvent::ProcessStarted => event::What::Began,
        CaptureEvent::ProcessExited => event::What::Left,
        CaptureEvent::ProcessKilled => event::What::Killed,
        CaptureEvent::Joined => event::What::Joined,
        CaptureEvent::ProcessPaused => event::What::Halted,
        CaptureEvent::ProcessResumed => event::What::WentOn,
        CaptureEvent::Observed => event::What::Saw,
    };
    let event = Event {
        at_us: passed.at,
        process: passed.process,
        link: passed.connection,
        what: what.into(),
        place: passed.position,
        frame: passed.frame.clone(),
    };
    put(to, &event.encode_to_vec())
}

fn put(to: &mut impl Write, body: &[u8]) -> io::Result<()> {
    let mut framed = BytesMut::new();
    frame::put(&mut framed, body);
    to.write_all(&framed)
}

/// Bytes: longer frames of a worker are cut, as chunks of states are long and many. What has a meaning for the
/// rules is shorter there; a list's page is not, and others keep frames whole.
const LONGEST: usize = 1024;
/// Bytes kept of a frame that is cut.
const START: usize = 16;
/// Bytes: a longer frame is cut everywhere, or its event would be no frame any more.
const MOST: usize = frame::LARGEST / 2;

/// What a record keeps of a frame that passed at a process of that role.
pub fn kept(frame: &Bytes, role: &str) -> Bytes {
    let longest = if role == "worker" { LONGEST } else { MOST };
    if frame.len() > longest {
        frame.slice(..START)
    } else {
        frame.clone()
    }
}

/// The part of a frame that both ends' records have, whatever each has kept.
pub fn common(frame: &[u8]) -> &[u8] {
    if frame.len() > LONGEST {
        &frame[..START]
    } else {
        frame
    }
}

/// What a connection's end says: frames sent, frames heard.
pub fn counts(sent: u64, heard: u64) -> Bytes {
    [sent.to_le_bytes(), heard.to_le_bytes()].concat().into()
}

/// The same, read.
pub fn counted(frame: &[u8]) -> Option<(u64, u64)> {
    let number = |range| frame.get(range).and_then(|b: &[u8]| b.try_into().ok()).map(u64::from_le_bytes);
    Some((number(0..8)?, number(8..16)?))
}

/// Reads a record from its head on, holding one piece of it at a time.
pub struct Reader<R> {
    from: R,
    arrived: BytesMut,
    at: u64,
}

impl<R: Read> Reader<R> {
    pub fn new(from: R) -> Self {
        Reader { from, arrived: BytesMut::new(), at: 0 }
    }

    fn frame(&mut self) -> Result<Option<Bytes>, CaptureError> {
        loop {
            let before = self.arrived.len();
            let next = frame::next(&mut self.arrived);
            if let Some(frame) = next.map_err(|problem| CaptureError::Malformed { at: self.at, problem })? {
                self.at += (before - self.arrived.remaining()) as u64;
                return Ok(Some(frame));
            }
            let mut piece = vec![0; 1 << 16];
            let got = self.from.read(&mut piece)?;
            if got == 0 && self.arrived.is_empty() {
                return Ok(None);
            }
            if got == 0 {
                return Err(CaptureError::CutOff { at: self.at });
            }
            self.arrived.extend_from_slice(&piece[..got]);
        }
    }

    fn fault(&self, problem: impl Into<Malformed>) -> CaptureError {
        CaptureError::Malformed { at: self.at, problem: problem.into() }
    }

    /// The processes and the terms; the first thing to read.
    pub fn head(&mut self) -> Result<(Vec<CapturedProcess>, String), CaptureError> {
        let frame = self.frame()?.ok_or_else(|| self.fault(Malformed::Empty))?;
        let head = Head::decode(frame).map_err(|e| self.fault(e))?;
        let mut processes = vec![];
        for p in head.processes {
            let address = address_if_any("address", &p.address).map_err(|e| self.fault(e))?;
            processes.push(CapturedProcess { number: p.number, name: p.name, role: p.role, address });
        }
        Ok((processes, head.terms))
    }

    /// The next event; None at the end.
    pub fn next_passed(&mut self) -> Result<Option<CapturedFrame>, CaptureError> {
        let Some(frame) = self.frame()? else { return Ok(None) };
        let e = Event::decode(frame).map_err(|e| self.fault(e))?;
        let what = match event::What::try_from(e.what) {
            Ok(event::What::Dialled) => CaptureEvent::Connecting,
            Ok(event::What::Met) => CaptureEvent::Connected,
            Ok(event::What::Unreached) => CaptureEvent::ConnectFailed,
            Ok(event::What::Accepted) => CaptureEvent::Accepted,
            Ok(event::What::Closed) => CaptureEvent::Closed,
            Ok(event::What::Sent) => CaptureEvent::Sent,
            Ok(event::What::Heard) => CaptureEvent::Received,
            Ok(event::What::Began) => CaptureEvent::ProcessStarted,
            Ok(event::What::Left) => CaptureEvent::ProcessExited,
            Ok(event::What::Killed) => CaptureEvent::ProcessKilled,
            Ok(event::What::Joined) => CaptureEvent::Joined,
            Ok(event::What::Halted) => CaptureEvent::ProcessPaused,
            Ok(event::What::WentOn) => CaptureEvent::ProcessResumed,
            Ok(event::What::Saw) => CaptureEvent::Observed,
            _ => return Err(self.fault(Malformed::Range("what"))),
        };
        let (at, process, link, place) = (e.at_us, e.process, e.link, e.place);
        Ok(Some(CapturedFrame {
            at,
            process,
            connection: link,
            event: what,
            position: place,
            frame: e.frame,
        }))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The list of 100 workers was once cut at a router, and the check could not read it.
    #[test]
    fn a_list_of_many_workers_is_kept_whole_and_chunks_of_states_are_not() {
        let mut page = crate::endpoint_list::Page::new(1, true);
        (0..200u8).for_each(|n| {
            page.add(
                [127, 0, 0, n, 1, 1],
                0,
                1.0,
                crate::endpoint_list::EndpointStatus::Serving,
                0,
                0,
                1_700_000_000_000_000,
            );
        });
        let frame = page.frame();
        assert!(frame.len() > LONGEST);
        for role in ["router", "list", "client"] {
            assert_eq!(kept(&frame, role), frame);
        }
        let chunk = crate::state_transfer::chunk((1, 2), 0, vec![7; 16 << 10].into(), 3);
        assert_eq!(kept(&chunk, "worker").len(), START);
        // What one end cut and the other kept is the same to who compares them.
        assert_eq!(common(&kept(&frame, "worker")), common(&frame));
    }
}
