//! One connection to a worker, and the answers that come on it.

use bytes::{Bytes, BytesMut};
use tideroute::types::{RequestId, WorkerId};
use tideroute_http::{Body, Bounds, Problem};
use tideroute_wire::{Address, Micros};

use crate::headers;
use crate::timers::Timeout;

/// What an answer of a worker may have.
const BOUNDS: Bounds = Bounds { head: 16 << 10, fields: 64, body: u64::MAX >> 1 };
/// Bytes of an answer that is no stream.
const SHORT: u64 = 256 << 10;
/// Heads of status 1xx ahead of an answer.
const AHEAD: u8 = 16;

/// What a connection is there for now.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Job {
    /// `once` for the writing of a submission that may run but once.
    Attempt {
        id: RequestId,
        number: u16,
        reading: bool,
        once: bool,
    },
    Place {
        id: RequestId,
    },
    Release {
        id: RequestId,
    },
    Probe {
        nonce: u64,
    },
    /// Asks the reader of a request for a sign of life.
    Liveness {
        id: RequestId,
    },
}

/// An answer of which the head is there.
pub struct Coming {
    status: u16,
    never_ran: bool,
    pub last: bool,
    body: Body,
}

pub struct Conn {
    pub worker: WorkerId,
    /// Where it was dialled.
    pub to: Address,
    pub job: Option<Job>,
    /// The connection is there, and not only dialled.
    pub up: bool,
    /// The request's last byte has been written.
    pub written: bool,
    /// It has carried a call before this one.
    pub used: bool,
    /// By then its last byte has left, or it is given up.
    pub leaves_by: Micros,
    /// The writer that is asked for a place once the request is written.
    pub place: Option<WorkerId>,
    /// The events pass on to the client.
    pub streams: bool,
    /// The start of a stream, until an event of it is whole; or a load report.
    pub first: BytesMut,
    pub timeout: Timeout,
    pub opened: Micros,
    /// When it last brought something.
    pub heard: Micros,
    pub rests_since: Micros,
    /// From then on nothing comes any more that belongs to its last call.
    pub settled_by: Micros,
    /// How long it had rested before this call.
    pub rested: Micros,
    pub arrived: BytesMut,
    pub heads: u8,
    pub coming: Option<Coming>,
}

/// What a connection brought.
pub enum Heard {
    Nothing,
    /// A piece of the body of an answer with that status.
    Piece(u16, Bytes),
    /// The answer is whole; whether it proves that the request never ran.
    End(u16, bool),
}

impl Conn {
    pub fn new(worker: WorkerId, to: Address, now: Micros) -> Conn {
        Conn {
            worker,
            to,
            job: None,
            up: false,
            written: false,
            used: false,
            leaves_by: Micros::MAX,
            place: None,
            streams: false,
            first: BytesMut::new(),
            timeout: Timeout::NEVER,
            opened: now,
            heard: 0,
            rests_since: 0,
            settled_by: 0,
            rested: 0,
            arrived: BytesMut::new(),
            heads: 0,
            coming: None,
        }
    }

    /// Whether its call is one that a worker which drains must not get.
    pub fn brings_new(&self) -> bool {
        matches!(self.job, Some(Job::Attempt { .. } | Job::Place { .. }))
    }

    pub fn heard(&mut self, bytes: &Bytes) {
        self.arrived.extend_from_slice(bytes);
    }

    /// Takes the next of what has arrived.
    pub fn next(&mut self) -> Result<Heard, Problem> {
        while self.coming.is_none() {
            let Some((head, length)) = tideroute_http::answer(&self.arrived, &BOUNDS)? else {
                return Ok(Heard::Nothing);
            };
            let _ = self.arrived.split_to(length);
            if (100..200).contains(&head.status) {
                self.heads += 1;
                if self.heads > AHEAD {
                    return Err(Problem::HeadTooLarge(BOUNDS.head));
                }
                continue;
            }
            let stream = matches!(self.job, Some(Job::Attempt { reading: false, .. })) && head.status == 200;
            let most = if stream { BOUNDS.body } else { SHORT };
            let never_ran = head.fields.one(headers::NEVER_RAN) == Some("1");
            let body = Body::new(head.framing, most);
            self.coming = Some(Coming { status: head.status, never_ran, last: head.last, body });
        }
        let Some(coming) = &mut self.coming else { return Ok(Heard::Nothing) };
        if let Some(piece) = coming.body.next(&mut self.arrived)? {
            return Ok(Heard::Piece(coming.status, piece));
        }
        let (status, never_ran) = (coming.status, coming.never_ran);
        Ok(if coming.body.done() { Heard::End(status, never_ran) } else { Heard::Nothing })
    }

    /// The answer that the connection's end completes, if it does.
    pub fn silent(&self) -> bool {
        self.arrived.is_empty() && self.coming.is_none()
    }

    pub fn ends_with(&self) -> Option<(u16, bool)> {
        let coming = self.coming.as_ref().filter(|c| c.body.may_end())?;
        Some((coming.status, coming.never_ran))
    }
}
