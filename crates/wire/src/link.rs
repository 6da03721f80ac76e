//! What a program sees of its connections: a loop over real sockets or one in virtual time tells it what
//! happened through [`Program`]'s calls, and carries out, in order, what it put into its [`Outbox`].

use bytes::Bytes;

use crate::{Address, Micros};

/// One connection of a program, never used again after it ended.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Link(pub u64);

/// Links that the program dialled itself have this bit; those accepted have not.
const DIALLED: u64 = 1 << 63;

impl Link {
    pub fn dialled(self) -> bool {
        self.0 & DIALLED != 0
    }

    /// Its number among those dialled, or among those accepted.
    pub fn number(self) -> u64 {
        self.0 & !DIALLED
    }

    /// The dialled link of that number.
    pub fn of_dial(number: u64) -> Link {
        Link(DIALLED | number)
    }
}

/// How a link ended, as far as this side can know.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Loss {
    /// A dial that never led to a connection: nothing that was sent on it arrived.
    Unreached,
    /// The same, for want of something on this machine: nothing is known of the peer.
    NotDialled,
    /// A connection that was there; what was sent may have arrived.
    Broken,
}

/// How a door treats those who dial it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Shut {
    Open,
    /// Dials are not answered, as where nothing passes on the way.
    Deaf,
    /// Dials are refused.
    Gone,
}

/// What a program asks of the loop that drives it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Act {
    /// Connects within so long; frames sent before it is open wait for it.
    Dial {
        link: Link,
        to: Address,
        within: Micros,
    },
    Send {
        link: Link,
        frame: Bytes,
    },
    /// Ends the link after what was sent has gone out; no `lost` follows.
    Close {
        link: Link,
        why: String,
    },
    /// Ends the link at once: what has not gone out yet never does. No `lost` follows.
    Cut {
        link: Link,
    },
    /// Ends the link at once with a reset. No `lost` follows.
    Reset {
        link: Link,
    },
    /// Opens or shuts a door, by its place among those that the program was given.
    Door {
        door: usize,
        shut: Shut,
    },
    /// Notes that what passes on one link passes on the other: the program is a relay.
    Joined {
        links: [Link; 2],
    },
    /// Calls `rang` with the key at that time or soon after. Nothing takes a timer back: ignore it instead.
    Ring {
        at: Micros,
        key: u64,
    },
    /// Nothing more is read from the link until it is told otherwise.
    Hush {
        link: Link,
        hush: bool,
    },
    /// Keeps the bytes where the program finds them when it starts again, in place of what was kept before.
    Keep {
        bytes: Bytes,
    },
    /// Hands bytes to whom the loop was given for it; lost if there is nobody, or too much waits there.
    Publish {
        bytes: Bytes,
    },
    /// Sends a datagram from a datagram door, by its place among those; lost if there is no room, as on the way.
    Datagram {
        door: usize,
        to: Address,
        bytes: Bytes,
    },
    /// Writes something that the program saw into the record of what passed, if there is one.
    Note {
        bytes: Bytes,
    },
    /// Ends the program at once, without a word to anybody, as a crash would.
    Vanish,
}

#[derive(Debug, Default)]
pub struct Outbox {
    acts: Vec<Act>,
    dials: u64,
}

impl Outbox {
    pub fn dial(&mut self, to: Address, within: Micros) -> Link {
        let link = Link(DIALLED | self.dials);
        self.dials += 1;
        self.acts.push(Act::Dial { link, to, within });
        link
    }

    pub fn send(&mut self, link: Link, frame: Bytes) {
        self.acts.push(Act::Send { link, frame });
    }

    pub fn close(&mut self, link: Link, why: impl Into<String>) {
        self.acts.push(Act::Close { link, why: why.into() });
    }

    pub fn cut(&mut self, link: Link) {
        self.acts.push(Act::Cut { link });
    }

    pub fn reset(&mut self, link: Link) {
        self.acts.push(Act::Reset { link });
    }

    pub fn door(&mut self, door: usize, shut: Shut) {
        self.acts.push(Act::Door { door, shut });
    }

    pub fn joined(&mut self, one: Link, two: Link) {
        self.acts.push(Act::Joined { links: [one, two] });
    }

    pub fn ring(&mut self, at: Micros, key: u64) {
        self.acts.push(Act::Ring { at, key });
    }

    pub fn hush(&mut self, link: Link, hush: bool) {
        self.acts.push(Act::Hush { link, hush });
    }

    pub fn keep(&mut self, bytes: impl Into<Bytes>) {
        self.acts.push(Act::Keep { bytes: bytes.into() });
    }

    pub fn publish(&mut self, bytes: Bytes) {
        self.acts.push(Act::Publish { bytes });
    }

    pub fn datagram(&mut self, door: usize, to: Address, bytes: Bytes) {
        self.acts.push(Act::Datagram { door, to, bytes });
    }

    pub fn note(&mut self, bytes: impl Into<Bytes>) {
        self.acts.push(Act::Note { bytes: bytes.into() });
    }

    pub fn vanish(&mut self) {
        self.acts.push(Act::Vanish);
    }

    /// What has been asked for since the last call, in order.
    pub fn take(&mut self) -> Vec<Act> {
        std::mem::take(&mut self.acts)
    }
}

/// A program without sockets and clock. Calls only update what it knows or answer at once; `turn` follows
/// each batch of calls and is where a program pulls its decisions.
pub trait Program {
    /// Runs once before all else.
    fn begin(&mut self, now: Micros, out: &mut Outbox);
    /// A connection was accepted at a door, by the door's place among those that the program was given.
    fn accepted(&mut self, now: Micros, link: Link, door: usize, out: &mut Outbox);
    /// A dial led to a connection.
    fn opened(&mut self, now: Micros, link: Link, out: &mut Outbox);
    fn heard(&mut self, now: Micros, link: Link, frame: &Bytes, out: &mut Outbox);
    fn lost(&mut self, now: Micros, link: Link, loss: Loss, out: &mut Outbox);
    /// What waits to be sent on the link rose over the high mark, or fell under the low one.
    fn crowded(&mut self, now: Micros, link: Link, crowded: bool, out: &mut Outbox);
    fn rang(&mut self, now: Micros, key: u64, out: &mut Outbox);
    fn turn(&mut self, now: Micros, out: &mut Outbox);
    /// All that was sent on a raw link has been handed to the machine: its last byte is written.
    fn drained(&mut self, _now: Micros, _link: Link, _out: &mut Outbox) {}
    /// A datagram came to a datagram door, by its place among those.
    fn datagram(&mut self, _now: Micros, _door: usize, _from: Address, _bytes: &Bytes, _out: &mut Outbox) {}
    /// The file that the program was started with, read again because a signal asked for it. Whether it could be used:
    /// one that could not is read again.
    fn reread(&mut self, _now: Micros, _file: &Bytes, _out: &mut Outbox) -> bool {
        true
    }
    /// Another thread of the process tells something.
    fn told(&mut self, _now: Micros, _letter: &Bytes, _out: &mut Outbox) {}
    /// The loop came to what was due, or to its peers, so much later than it could have on an idle machine.
    fn late(&mut self, _now: Micros, _by: Micros) {}
    /// Asked to end: take nothing new, finish what is held.
    fn stop(&mut self, now: Micros, out: &mut Outbox);
    /// Whether it has finished: the loop ends. A program that serves is done only after `stop`.
    fn done(&self) -> bool;
}
