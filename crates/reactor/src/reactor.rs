//! The loop itself.

use std::collections::{HashMap, VecDeque};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use metrics::{counter, gauge};
use polling::{Event, Events, PollMode, Poller};
use slab::Slab;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tideroute_wire::link::{Act, Link, Loss, Outbox, Program, Shut};
use tideroute_wire::tap::{counts, What};
use tideroute_wire::{Address, Micros};

use crate::clock::{Clock, Warp};
use crate::conn::{Conn, Got, Stage, MOST, PIECE};
use crate::datagrams::{DatagramDoor, TAKEN};
use crate::door::{Door, BACKLOG};
use crate::mailbox::{mailbox, Letters, Mailbox};
use crate::signals::Signals;
use crate::tap::Tap;
use crate::wheel::Wheel;

/// Connections taken at a door in one turn, so that a flood of them leaves time for those that are there.
const ACCEPTS: usize = 64;
/// Microseconds in which a closed connection has to get on with its last words, and a raw one, whose peer may be slow.
const LAST_WORDS: Micros = 500_000;
const RAW_LAST_WORDS: Micros = 2_000_000;
/// Microseconds until a door is looked at again where a connection could not be taken for want of descriptors.
const WANTING: Micros = 50_000;
/// Microseconds a tick of the wheel: as fine as the decisions' own clock.
const TICK: Micros = 100;
/// Keys of the poller: doors come first, then those for datagrams, then the signals, then connections.
const DATAGRAMS: usize = 1 << 15;
const SIGNALS: usize = 1 << 16;
const REREADS: usize = SIGNALS + 1;
const CONNS: usize = REREADS + 1;
/// Bytes of a file that is read again; a larger one is none of ours.
const LARGEST: u64 = 16 << 20;
/// Bytes that a raw connection may still bring after its last word: what the largest senders have under way.
const WASTE: usize = 96 << 20;
/// Pieces of them thrown away in one go, so that a sender at full speed leaves time for the others.
const WASTES: usize = 8;
/// Microseconds that it may take to stop sending.
const STOPS: Micros = 2_000_000;

#[derive(Debug, thiserror::Error)]
pub enum ReactorError {
    #[error("cannot listen at {0}: {1}")]
    Listen(SocketAddr, io::Error),
    #[error("the loop failed: {0}")]
    Loop(#[from] io::Error),
}

/// How a run ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Ended {
    Done,
    /// The program asked to vanish.
    Vanished,
    /// A second signal came before all was finished.
    Forced,
}

/// What the program is yet to be told.
enum News {
    Opened(Link),
    Lost(Link, Loss),
    Crowded(Link, bool),
    Drained(Link),
}

pub struct Reactor {
    poller: Arc<Poller>,
    clock: Clock,
    doors: Vec<Door>,
    datagrams: Vec<DatagramDoor>,
    /// Where some are to be dialled in place of where they are.
    ways: HashMap<Address, Address>,
    conns: Slab<Conn>,
    places: HashMap<Link, usize>,
    dirty: Vec<usize>,
    dead: Vec<usize>,
    news: VecDeque<News>,
    wheel: Wheel<Ring>,
    signals: Option<Signals>,
    rereads: Option<(Signals, PathBuf)>,
    tap: Option<Tap>,
    keep: Option<PathBuf>,
    letters: Option<Letters>,
    published: Option<Mailbox>,
    raw: bool,
    /// Raw connections that linger, and how many may.
    lingering: usize,
    most_lingering: usize,
    /// Doors stay open after a signal to end, and another changes nothing.
    patient: bool,
    piece: Box<[u8]>,
    links: u64,
    stopping: bool,
    vanished: bool,
}

/// A timer of the program, or the end of a connection's patience.
#[derive(Clone, Copy)]
enum Ring {
    Program(u64),
    Patience(Link),
    /// A door is looked at again.
    Door(usize),
    Fail,
}

impl Reactor {
    /// Listens at each address; port 0 lets the machine choose.
    pub fn new(addresses: &[SocketAddr]) -> Result<Reactor, ReactorError> {
        Self::with_doors(addresses, TcpListener::bind)
    }

    /// The same beside other loops of this user at the same addresses (SO_REUSEPORT): the kernel gives each
    /// connection to one of them.
    pub fn sharing(addresses: &[SocketAddr]) -> Result<Reactor, ReactorError> {
        Self::with_doors(addresses, |address| {
            let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
            socket.set_reuse_address(true)?;
            socket.set_reuse_port(true)?;
            socket.bind(&address.into())?;
            socket.listen(BACKLOG)?;
            Ok(socket.into())
        })
    }

    fn with_doors(
        addresses: &[SocketAddr],
        bind: impl Fn(SocketAddr) -> io::Result<TcpListener>,
    ) -> Result<Reactor, ReactorError> {
        let (poller, clock) = (Arc::new(Poller::new()?), Clock::start());
        let mut doors = Vec::new();
        for &address in addresses {
            let listen = |e| ReactorError::Listen(address, e);
            let door = bind(address).map_err(listen)?;
            door.set_nonblocking(true).map_err(listen)?;
            add(&poller, &door, Event::readable(doors.len()))?;
            doors.push(Door::new(door).map_err(listen)?);
        }
        Ok(Reactor {
            poller,
            clock,
            doors,
            datagrams: vec![],
            ways: HashMap::new(),
            conns: Slab::new(),
            places: HashMap::new(),
            dirty: vec![],
            dead: vec![],
            news: VecDeque::new(),
            wheel: Wheel::new(clock.now() / TICK),
            signals: None,
            rereads: None,
            tap: None,
            keep: None,
            letters: None,
            published: None,
            raw: false,
            lingering: 0,
            most_lingering: usize::MAX,
            patient: false,
            piece: vec![0; PIECE].into(),
            links: 0,
            stopping: false,
            vanished: false,
        })
    }

    /// Hears datagrams at these addresses as well; they stay to the end of the run.
    pub fn datagrams(&mut self, addresses: &[SocketAddr]) -> Result<(), ReactorError> {
        for &address in addresses {
            let door = DatagramDoor::bind(address).map_err(|e| ReactorError::Listen(address, e))?;
            add(&self.poller, &door.socket, Event::readable(DATAGRAMS + self.datagrams.len()))?;
            self.datagrams.push(door);
        }
        Ok(())
    }

    /// What passes is bytes as they come, and not frames. A connection that the program ends with something
    /// still to send is then closed in two steps, so many of them at once.
    pub fn raw(&mut self, most_lingering: usize) {
        (self.raw, self.most_lingering) = (true, most_lingering);
    }

    /// Asked to end, it keeps its doors open until the program is done, and a second signal changes nothing.
    pub fn patient(&mut self) {
        self.patient = true;
    }

    /// SIGHUP has the file read and handed to the program.
    pub fn reread(&mut self, path: PathBuf) -> Result<(), ReactorError> {
        let signals = Signals::rereads()?;
        add(&self.poller, &signals.heard, Event::readable(REREADS))?;
        self.rereads = Some((signals, path));
        Ok(())
    }

    /// Where what the program publishes goes.
    pub fn publish_to(&mut self, mailbox: Mailbox) {
        self.published = Some(mailbox);
    }

    /// Through which other threads tell this loop's program something.
    pub fn mailbox(&mut self) -> Mailbox {
        let (mailbox, letters) = mailbox(self.poller.clone());
        self.letters = Some(letters);
        mailbox
    }

    /// Where the doors are, in order.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.doors.iter().map(Door::address).collect()
    }

    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Writes down all that passes from now on.
    pub fn tap(&mut self, tap: Tap) {
        self.tap = Some(tap);
    }

    /// Where some addresses are to be dialled in place of where they are: at a relay that leads there.
    pub fn ways(&mut self, ways: HashMap<Address, Address>) {
        self.ways = ways;
    }

    /// Has the program see a clock that is wrong; a record that has begun goes on by the true one.
    pub fn warp(&mut self, warp: Warp) {
        self.clock = self.clock.warped(warp);
        self.wheel = Wheel::new(self.clock.now() / TICK);
        self.tap.iter_mut().for_each(|tap| tap.clock = Some(self.clock));
    }

    /// Panics after so long, to test what the end of one loop means for others in the process.
    pub fn fail_after(&mut self, after: Micros) {
        self.wheel.set((self.now() + after) / TICK, Ring::Fail);
    }

    /// Where the program's `Keep` goes.
    pub fn keep(&mut self, path: PathBuf) {
        self.keep = Some(path);
    }

    /// SIGTERM and SIGINT stop the program; a second one ends the run at once.
    pub fn catch_signals(&mut self) -> Result<(), ReactorError> {
        let signals = Signals::ends()?;
        add(&self.poller, &signals.heard, Event::readable(SIGNALS))?;
        self.signals = Some(signals);
        Ok(())
    }

    /// Drives the program until it is done.
    pub fn run(&mut self, program: &mut impl Program) -> Result<Ended, ReactorError> {
        let (mut out, mut events, mut due) = (Outbox::default(), Events::new(), Vec::new());
        self.note_process(What::Began);
        program.begin(self.clock.now(), &mut out);
        loop {
            self.settle(program, &mut out);
            if self.vanished {
                self.note_process(What::Killed);
                self.reset_all();
                return Ok(Ended::Vanished);
            }
            let lingers = self.patient && self.lingering > 0;
            if program.done() && !lingers && self.conns.iter().all(|(_, c)| c.waiting() == 0) {
                self.note_process(What::Left);
                return Ok(Ended::Done);
            }
            let wait =
                self.wheel.next().map(|at| Duration::from_micros((at * TICK).saturating_sub(self.now())));
            events.clear();
            match self.poller.wait(&mut events, wait) {
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
            let woke = self.now();
            let due_at = self.wheel.next().map_or(woke, |at| at * TICK);
            for event in events.iter() {
                match event.key {
                    SIGNALS => {
                        let count = self.signals.as_mut().map_or(0, Signals::count);
                        if !self.patient && (count > 1 || (count == 1 && self.stopping)) {
                            return Ok(Ended::Forced);
                        }
                        if count > 0 && !self.stopping {
                            self.stop(program, &mut out)?;
                        }
                    }
                    REREADS => self.read_again(program, &mut out),
                    door if door < DATAGRAMS => self.accept(door, program, &mut out),
                    door if door < SIGNALS => self.take(door - DATAGRAMS, program, &mut out),
                    key => self.ready(key - CONNS, event, program, &mut out),
                }
            }
            while let Some(letter) = self.letters.as_ref().and_then(Letters::next) {
                program.told(self.clock.now(), &letter, &mut out);
                self.carry_out(&mut out);
                self.letters.as_ref().into_iter().for_each(Letters::told);
            }
            self.wheel.advance(self.now() / TICK, &mut due);
            for ring in due.drain(..) {
                match ring {
                    Ring::Program(key) => {
                        program.rang(self.clock.now(), key, &mut out);
                        self.carry_out(&mut out);
                    }
                    Ring::Patience(link) => self.out_of_patience(link),
                    Ring::Door(door) => self.look_at(door, true),
                    Ring::Fail => panic!("told to fail"),
                }
            }
            let now = self.now();
            program.late(now, (now - woke).max(woke.saturating_sub(due_at)));
        }
    }

    /// Asks the program to end, as a signal does; its doors take nobody any more.
    fn stop(&mut self, program: &mut impl Program, out: &mut Outbox) -> Result<(), ReactorError> {
        self.stopping = true;
        if !self.patient {
            for door in std::mem::take(&mut self.doors) {
                if let Some(listener) = door.listener.as_ref().filter(|_| door.is_open()) {
                    self.poller.delete(listener)?;
                }
            }
        }
        program.stop(self.clock.now(), out);
        self.carry_out(out);
        Ok(())
    }

    /// Hands the program its file; what can't be read leaves the old one in force.
    fn read_again(&mut self, program: &mut impl Program, out: &mut Outbox) {
        let Some((signals, path)) = &mut self.rereads else { return };
        if signals.count() == 0 {
            return;
        }
        let mut bytes = Vec::new();
        let file = std::fs::File::open(&path).and_then(|f| f.take(LARGEST).read_to_end(&mut bytes));
        match file {
            Ok(_) => {
                program.reread(self.clock.now(), &bytes.into(), out);
                self.carry_out(out);
            }
            Err(problem) => {
                tracing::error!(%problem, path = %path.display(), "cannot be read again; the old one stays");
            }
        }
    }

    fn now(&self) -> Micros {
        self.clock.now()
    }

    fn note(&mut self, link: Link, what: What, frame: &Bytes) {
        let now = self.clock.now();
        if let Some(tap) = self.tap.as_mut() {
            tap.note(now, link, what, 0, frame);
        }
    }

    /// Notes that a connection is over, with how much passed.
    fn note_end(&mut self, place: usize) {
        let conn = &self.conns[place];
        let (link, counts) = (conn.link, counts(conn.sent, conn.heard));
        self.note(link, What::Closed, &counts);
    }

    /// Notes the beginning or end of the process itself.
    fn note_process(&mut self, what: What) {
        if what == What::Left {
            let open: Vec<_> =
                self.conns.iter().filter(|(_, c)| c.stage == Stage::Open).map(|(p, _)| p).collect();
            open.into_iter().for_each(|place| self.note_end(place));
        }
        self.note(Link(0), what, &Bytes::new());
        if let Some(tap) = self.tap.as_mut() {
            tap.flush();
        }
    }

    /// Tells the program what has come of what it asked for.
    fn tell(&mut self, program: &mut impl Program, out: &mut Outbox) {
        while let Some(news) = self.news.pop_front() {
            let now = self.clock.now();
            match news {
                News::Opened(link) => program.opened(now, link, out),
                News::Lost(link, loss) => program.lost(now, link, loss, out),
                News::Crowded(link, crowded) => program.crowded(now, link, crowded, out),
                News::Drained(link) => program.drained(now, link, out),
            }
            self.carry_out(out);
        }
    }

    /// Lets the program decide, sends what it said, and tells it what came of that, until all is quiet.
    fn settle(&mut self, program: &mut impl Program, out: &mut Outbox) {
        loop {
            self.tell(program, out);
            program.turn(self.clock.now(), out);
            self.carry_out(out);
            // Written down before it leaves: a process killed in between has not sent what its record lacks.
            if let Some(tap) = self.tap.as_mut() {
                tap.flush();
            }
            for place in std::mem::take(&mut self.dirty) {
                self.flush(place);
            }
            if self.news.is_empty() {
                break;
            }
        }
        for place in std::mem::take(&mut self.dead) {
            let conn = self.conns.remove(place);
            self.places.remove(&conn.link);
        }
        gauge!("tideroute_links").set(self.conns.len() as f64);
        if let Some(tap) = self.tap.as_mut() {
            tap.flush();
        }
    }

    fn carry_out(&mut self, out: &mut Outbox) {
        for act in out.take() {
            match act {
                Act::Dial { link, to, within } => {
                    let until = self.now() + within;
                    self.note(link, What::Dialled, &Bytes::copy_from_slice(&to));
                    let to = self.ways.get(&to).copied().unwrap_or(to);
                    match Conn::dial(link, to, until) {
                        Ok(mut conn) => {
                            conn.raw = self.raw;
                            self.insert(conn, Event::writable(0));
                            self.wheel.set(until / TICK + 1, Ring::Patience(link));
                        }
                        Err(_) => {
                            self.note(link, What::Unreached, &Bytes::new());
                            self.news.push_back(News::Lost(link, Loss::Unreached));
                        }
                    }
                }
                Act::Send { link, frame } => self.send(link, &frame),
                Act::Close { link, why } => self.close(link, &why),
                Act::Cut { link } => {
                    if let Some(&place) = self.places.get(&link) {
                        self.bury(place);
                    }
                }
                Act::Reset { link } => {
                    if let Some(&place) = self.places.get(&link) {
                        let _ = SockRef::from(&self.conns[place].stream).set_linger(Some(Duration::ZERO));
                        self.give_up(place);
                    }
                }
                Act::Door { door, shut } => self.shut(door, shut),
                Act::Joined { links } => self.note_joined(links),
                Act::Ring { at, key } => self.wheel.set(at.div_ceil(TICK), Ring::Program(key)),
                Act::Hush { link, hush } => {
                    let Some(&place) = self.places.get(&link) else { continue };
                    self.conns[place].hushed = hush;
                    self.watch(place);
                }
                Act::Keep { bytes } => self.keep_file(&bytes),
                Act::Publish { bytes } => {
                    let taken = self.published.as_ref().is_some_and(|to| to.offer(bytes));
                    counter!("tideroute_published_total", "taken" => taken.to_string()).increment(1);
                }
                Act::Datagram { door, to, bytes } => {
                    let to = self.ways.get(&to).copied().unwrap_or(to);
                    let sent = self.datagrams.get(door).is_some_and(|d| d.send(to, &bytes));
                    counter!("tideroute_datagrams_total", "sent" => sent.to_string()).increment(1);
                }
                Act::Note { bytes } => self.note(Link(0), What::Saw, &bytes),
                Act::Vanish => self.vanished = true,
            }
        }
    }

    /// Puts the file in its place whole: what a crash leaves is the old one or the new one.
    fn keep_file(&self, bytes: &[u8]) {
        let Some(path) = &self.keep else { return };
        let fresh = path.with_extension("new");
        if let Err(problem) = std::fs::write(&fresh, bytes).and_then(|()| std::fs::rename(&fresh, path)) {
            tracing::error!(%problem, path = %path.display(), "what was to be kept could not be written");
        }
    }

    fn insert(&mut self, conn: Conn, mut interest: Event) {
        let link = conn.link;
        let place = self.conns.insert(conn);
        interest.key = CONNS + place;
        self.conns[place].watched = (interest.readable, interest.writable);
        if let Err(problem) = add(&self.poller, &self.conns[place].stream, interest) {
            tracing::error!(%problem, "a connection could not be watched");
            self.conns.remove(place);
            self.news.push_back(News::Lost(link, Loss::Unreached));
            return;
        }
        self.places.insert(link, place);
    }

    fn send(&mut self, link: Link, frame: &Bytes) {
        let Some(&place) = self.places.get(&link) else { return };
        let now = self.clock.now();
        let conn = &mut self.conns[place];
        if !matches!(conn.stage, Stage::Dialling { .. } | Stage::Open) {
            return;
        }
        conn.put(frame);
        if let Some(tap) = self.tap.as_mut() {
            tap.note(now, link, What::Sent, conn.sent, frame);
        }
        conn.sent += 1;
        if conn.waiting() > MOST {
            self.lose(place, Loss::Broken, "its peer does not read");
        } else if self.conns[place].stage == Stage::Open {
            self.dirty.push(place);
        }
    }

    fn close(&mut self, link: Link, why: &str) {
        let Some(&place) = self.places.get(&link) else { return };
        tracing::debug!(link = link.0, why, "closes a connection");
        counter!("tideroute_links_closed_total", "by" => "program").increment(1);
        if self.conns[place].stage == Stage::Dead {
            return;
        }
        if let Stage::Dialling { .. } = self.conns[place].stage {
            self.note(link, What::Unreached, &Bytes::new());
        } else {
            self.note_end(place);
        }
        let conn = &mut self.conns[place];
        if conn.stage == Stage::Open && conn.waiting() > 0 {
            self.speaks_its_last(place);
            self.dirty.push(place);
            self.watch(place);
        } else if conn.stage == Stage::Open {
            self.end(place);
        } else {
            self.bury(place);
        }
    }

    /// What is still to be sent has so long again.
    fn speaks_its_last(&mut self, place: usize) {
        let now = self.now();
        let conn = &mut self.conns[place];
        let until = now + if conn.raw { RAW_LAST_WORDS } else { LAST_WORDS };
        conn.stage = Stage::Closing { until };
        self.wheel.set(until / TICK + 1, Ring::Patience(conn.link));
    }

    /// Tells the poller what the connection waits for.
    fn watch(&mut self, place: usize) {
        let conn = &mut self.conns[place];
        let wanted = match conn.stage {
            Stage::Dialling { .. } | Stage::Closing { .. } => (false, true),
            Stage::Open => (!conn.hushed, conn.waiting() > 0),
            Stage::Lingering { .. } => (true, false),
            Stage::Dead => return,
        };
        if std::mem::replace(&mut conn.watched, wanted) == wanted {
            return;
        }
        let interest = Event::new(CONNS + place, wanted.0, wanted.1);
        if let Err(problem) = self.poller.modify_with_mode(&conn.stream, interest, PollMode::Level) {
            tracing::error!(%problem, "a connection could not be watched");
        }
    }

    fn flush(&mut self, place: usize) {
        let Some(conn) = self.conns.get_mut(place) else { return };
        if !matches!(conn.stage, Stage::Open | Stage::Closing { .. }) {
            return;
        }
        let before = conn.waiting();
        if conn.flush().is_err() {
            return self.lose(place, Loss::Broken, "it broke while sending");
        }
        counter!("tideroute_bytes_total", "way" => "out").increment((before - conn.waiting()) as u64);
        let (waiting, closing) = (conn.waiting(), conn.stage != Stage::Open);
        if closing && waiting == 0 {
            return self.end(place);
        }
        let (high, low) = conn.marks();
        let crowded = if conn.crowded { waiting > low } else { waiting > high };
        if crowded != conn.crowded && !closing {
            conn.crowded = crowded;
            self.news.push_back(News::Crowded(conn.link, crowded));
        }
        if self.conns[place].raw && before > 0 && waiting == 0 {
            self.news.push_back(News::Drained(self.conns[place].link));
        }
        if closing && waiting < before {
            self.speaks_its_last(place);
        }
        self.watch(place);
    }

    /// The last words have gone out, just now or before. A reset would follow if the peer still sends, and might
    /// overtake them: a raw connection that was taken at a door ends on this side first.
    fn end(&mut self, place: usize) {
        let conn = &mut self.conns[place];
        let lingers = conn.raw && !conn.link.dialled() && self.lingering < self.most_lingering;
        if !lingers || conn.stream.shutdown(std::net::Shutdown::Write).is_err() {
            return self.bury(place);
        }
        let until = self.clock.now() + STOPS;
        conn.stage = Stage::Lingering { until, left: WASTE };
        self.lingering += 1;
        self.wheel.set(until / TICK + 1, Ring::Patience(conn.link));
        self.watch(place);
    }

    /// Throws away what still comes on a connection that lingers, until its peer has ended it too.
    fn waste(&mut self, place: usize) {
        for _ in 0..WASTES {
            let conn = &mut self.conns[place];
            let Stage::Lingering { until, left } = conn.stage else { return };
            match conn.waste(&mut self.piece) {
                Some(0) => return,
                Some(got) if got < left => conn.stage = Stage::Lingering { until, left: left - got },
                _ => return self.bury(place),
            }
        }
    }

    /// Ends a connection that the program did not end, and tells it.
    fn lose(&mut self, place: usize, loss: Loss, why: &str) {
        let conn = &self.conns[place];
        let (link, told) = (conn.link, matches!(conn.stage, Stage::Dialling { .. } | Stage::Open));
        if told {
            tracing::debug!(link = link.0, why, "lost a connection");
            counter!("tideroute_links_closed_total", "by" => "loss").increment(1);
            match loss {
                Loss::Broken => self.note_end(place),
                Loss::Unreached => self.note(link, What::Unreached, &Bytes::new()),
            }
            self.news.push_back(News::Lost(link, loss));
        }
        self.bury(place);
    }

    fn bury(&mut self, place: usize) {
        if self.conns[place].stage != Stage::Dead {
            self.give_up(place);
            let _ = self.conns[place].stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Has nothing more to do with a connection; its socket ends with this turn.
    fn give_up(&mut self, place: usize) {
        let conn = &mut self.conns[place];
        if conn.stage != Stage::Dead {
            self.lingering -= usize::from(matches!(conn.stage, Stage::Lingering { .. }));
            conn.stage = Stage::Dead;
            let _ = self.poller.delete(&conn.stream);
            self.dead.push(place);
        }
    }

    /// Opens or shuts a door; what cannot be done leaves it as it is, told aloud.
    fn shut(&mut self, place: usize, shut: Shut) {
        let Some(door) = self.doors.get_mut(place) else { return };
        if let Some(listener) = door.listener.as_ref().filter(|_| door.is_open() && shut != Shut::Open) {
            let _ = self.poller.delete(listener);
        }
        let was_open = door.is_open();
        if let Err(problem) = door.set(shut) {
            tracing::error!(%problem, address = %door.address(), "a door could not be opened or shut");
        }
        if let Some(listener) = door.listener.as_ref().filter(|_| !was_open && door.is_open()) {
            if let Err(problem) = add(&self.poller, listener, Event::readable(place)) {
                tracing::error!(%problem, "a door could not be watched");
            }
        }
    }

    /// Has the poller look at an open door, or not.
    fn look_at(&mut self, door: usize, look: bool) {
        let Some(door_there) = self.doors.get(door).filter(|d| d.is_open()) else { return };
        let Some(listener) = &door_there.listener else { return };
        let interest = Event::new(door, look, false);
        if let Err(problem) = self.poller.modify_with_mode(listener, interest, PollMode::Level) {
            tracing::error!(%problem, "a door could not be watched");
        }
    }

    fn note_joined(&mut self, links: [Link; 2]) {
        let conns = links.map(|link| self.places.get(&link).map(|&place| &self.conns[place].stream));
        let [Some(one), Some(two)] = conns else { return };
        let ends = [one.local_addr().ok(), one.peer_addr().ok(), two.peer_addr().ok(), two.local_addr().ok()];
        if let Some(tap) = self.tap.as_mut() {
            tap.joined(self.clock.now(), ends);
        }
    }

    fn out_of_patience(&mut self, link: Link) {
        let Some(&place) = self.places.get(&link) else { return };
        match self.conns[place].stage {
            Stage::Dialling { until } if until <= self.now() => {
                self.lose(place, Loss::Unreached, "no connection in time");
            }
            Stage::Closing { until } | Stage::Lingering { until, .. } if until <= self.now() => {
                self.bury(place);
            }
            _ => {}
        }
    }

    fn accept(&mut self, door: usize, program: &mut impl Program, out: &mut Outbox) {
        for _ in 0..ACCEPTS {
            let Some(listener) = self.doors.get(door).and_then(|d| d.listener.as_ref()) else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(problem) => {
                    tracing::warn!(%problem, "a connection could not be taken");
                    // Guards against a door that is ready over and over while nobody can be taken there.
                    if matches!(problem.raw_os_error(), Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS)) {
                        self.look_at(door, false);
                        self.wheel.set((self.now() + WANTING) / TICK, Ring::Door(door));
                    }
                    return;
                }
            };
            if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_err() {
                continue;
            }
            let link = Link(self.links);
            self.links += 1;
            let (now, ends) = (self.clock.now(), [stream.peer_addr().ok(), stream.local_addr().ok()]);
            if let Some(tap) = self.tap.as_mut() {
                tap.met(now, link, What::Accepted, ends);
            }
            let mut conn = Conn::new(link, stream, Stage::Open);
            conn.raw = self.raw;
            self.insert(conn, Event::readable(0));
            program.accepted(now, link, door, out);
            self.carry_out(out);
        }
    }

    /// Takes the datagrams that wait at a door, up to a bound.
    fn take(&mut self, door: usize, program: &mut impl Program, out: &mut Outbox) {
        for _ in 0..TAKEN {
            let Some(taken) = self.datagrams.get(door).map(|d| d.take(&mut self.piece)) else { return };
            match taken {
                Ok(Some((from, bytes))) => program.datagram(self.clock.now(), door, from, &bytes, out),
                Ok(None) => return,
                Err(problem) => {
                    tracing::warn!(%problem, "a datagram could not be taken");
                    return;
                }
            }
            self.carry_out(out);
        }
    }

    fn ready(&mut self, place: usize, event: Event, program: &mut impl Program, out: &mut Outbox) {
        let Some(conn) = self.conns.get(place) else { return };
        if let Stage::Dialling { .. } = conn.stage {
            return self.reached(place);
        }
        if let Stage::Lingering { .. } = conn.stage {
            return self.waste(place);
        }
        if event.writable && conn.waiting() > 0 {
            self.flush(place);
            // Guards against what follows in this turn, a list or a timer, taking a request for unwritten whose last
            // byte has just left.
            self.tell(program, out);
        }
        // Of a link that is hushed the poller still tells that it broke, over and over.
        let hushed = self.conns[place].hushed && self.conns[place].stage == Stage::Open;
        if hushed && (event.is_interrupt() || event.is_err().unwrap_or(false)) {
            return self.lose(place, Loss::Broken, "it broke while nothing was read from it");
        }
        let open = |r: &Self| r.conns.get(place).is_some_and(|c| c.stage == Stage::Open);
        if !event.readable || !open(self) || self.conns[place].hushed {
            return;
        }
        let link = self.conns[place].link;
        let (frames, end) = match self.conns[place].read(&mut self.piece) {
            Ok(Got::Frames(frames)) => (frames, None),
            Ok(Got::End(frames)) => (frames, Some("its peer ended it".to_string())),
            Ok(Got::Bad(frames, problem)) => (frames, Some(problem.to_string())),
            Err(problem) => (vec![], Some(problem.to_string())),
        };
        for frame in frames {
            if !open(self) {
                return;
            }
            let now = self.clock.now();
            let number = self.conns[place].heard;
            self.conns[place].heard += 1;
            if let Some(tap) = self.tap.as_mut() {
                tap.note(now, link, What::Heard, number, &frame);
            }
            program.heard(now, link, &frame, out);
            self.carry_out(out);
        }
        if let Some(why) = end {
            if open(self) {
                self.lose(place, Loss::Broken, &why);
            }
        }
    }

    fn reached(&mut self, place: usize) {
        if !self.conns[place].reached() {
            return self.lose(place, Loss::Unreached, "nobody there");
        }
        let now = self.clock.now();
        let conn = &mut self.conns[place];
        conn.stage = Stage::Open;
        let link = conn.link;
        let ends = [conn.stream.peer_addr().ok(), conn.stream.local_addr().ok()];
        if let Some(tap) = self.tap.as_mut() {
            tap.met(now, link, What::Met, ends);
        }
        self.news.push_back(News::Opened(link));
        self.dirty.push(place);
        self.watch(place);
    }

    /// Ends all connections as a crash does, with a reset.
    fn reset_all(&mut self) {
        for conn in self.conns.drain() {
            let _ = self.poller.delete(&conn.stream);
            let socket: Socket = conn.stream.into();
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}

impl Drop for Reactor {
    /// Keeps the promise that `add` makes to the poller.
    fn drop(&mut self) {
        for (_, conn) in &self.conns {
            let _ = self.poller.delete(&conn.stream);
        }
        for door in &self.datagrams {
            let _ = self.poller.delete(&door.socket);
        }
        for door in self.doors.iter().filter(|d| d.is_open()) {
            door.listener.iter().for_each(|listener| drop(self.poller.delete(listener)));
        }
        for signals in self.signals.iter().chain(self.rereads.iter().map(|(signals, _)| signals)) {
            let _ = self.poller.delete(&signals.heard);
        }
    }
}

/// Has the poller watch a source, for as long as the event says so and not just once.
#[allow(unsafe_code)]
fn add(poller: &Poller, source: &impl AsRawFd, interest: Event) -> io::Result<()> {
    // SAFETY: the poller asks that a source be deleted from it before the source is closed. The reactor owns
    // both: `bury` and `stop` delete before anything is dropped, and `drop` deletes what is left.
    unsafe { poller.add_with_mode(source.as_raw_fd(), interest, PollMode::Level) }
}
