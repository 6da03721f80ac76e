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
use socket2::{Domain, Protocol, Socket, Type};
use tideroute_wire::capture::{counts, CaptureEvent};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::{Address, Micros};

use crate::clock::{Clock, Warp};
use crate::conn::{Conn, Got, Stage, PIECE};
use crate::datagrams::{DatagramDoor, TAKEN};
use crate::door::{Door, BACKLOG};
use crate::mailbox::{mailbox, Letters, Mailbox};
use crate::signals::Signals;
use crate::tap::Tap;
use crate::wheel::Wheel;

mod acts;
mod closing;
mod doors;

use doors::Last;

/// Microseconds a tick of the wheel: as fine as the decisions' own clock.
const TICK: Micros = 100;
/// Keys of the poller: doors come first, then those for datagrams, then the signals, then connections.
const DATAGRAMS: usize = 1 << 15;
const SIGNALS: usize = 1 << 16;
const REREADS: usize = SIGNALS + 1;
const CONNS: usize = REREADS + 1;
/// Microseconds until a file that could not be used is read again, and how often: some seconds in all, within the time
/// in which a new configuration has to be in force.
const REREAD_PAUSE: Micros = 150_000;
const REREADS_MOST: u32 = 20;
/// Bytes of a file that is read again; a larger one is none of ours.
const LARGEST: u64 = 16 << 20;

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
    Opened(ConnectionId),
    Lost(ConnectionId, DisconnectReason),
    Crowded(ConnectionId, bool),
    Drained(ConnectionId),
}

pub struct Reactor {
    poller: Arc<Poller>,
    clock: Clock,
    doors: Vec<Door>,
    datagrams: Vec<DatagramDoor>,
    /// Where some are to be dialled in place of where they are.
    ways: HashMap<Address, Address>,
    conns: Slab<Conn>,
    places: HashMap<ConnectionId, usize>,
    dirty: Vec<usize>,
    dead: Vec<usize>,
    news: VecDeque<News>,
    wheel: Wheel<Ring>,
    signals: Option<Signals>,
    rereads: Option<(Signals, PathBuf)>,
    /// How often the file that could not be used is tried yet.
    rereads_left: u32,
    /// Looks at a door in vain since the program is done.
    last_looks: u32,
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
    connections: u64,
    stopping: bool,
    vanished: bool,
}

/// A timer of the program, or the end of a connection's patience.
#[derive(Clone, Copy)]
enum Ring {
    EventHandler(u64),
    Patience(ConnectionId),
    /// A door is looked at again.
    Door(usize),
    /// The file is read again that could not be used.
    Reread,
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
            rereads_left: 0,
            last_looks: 0,
            tap: None,
            keep: None,
            letters: None,
            published: None,
            raw: false,
            lingering: 0,
            most_lingering: usize::MAX,
            patient: false,
            piece: vec![0; PIECE].into(),
            connections: 0,
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
    pub fn run(&mut self, program: &mut impl EventHandler) -> Result<Ended, ReactorError> {
        let (mut effects, mut events, mut due) = (Effects::default(), Events::new(), Vec::new());
        self.note_process(CaptureEvent::ProcessStarted);
        program.on_start(self.clock.now(), &mut effects);
        loop {
            self.settle(program, &mut effects);
            if self.vanished {
                self.note_process(CaptureEvent::ProcessKilled);
                self.reset_all();
                return Ok(Ended::Vanished);
            }
            let lingers = self.patient && self.lingering > 0;
            if program.is_finished() && !lingers && self.conns.iter().all(|(_, c)| c.waiting() == 0) {
                match self.take_the_last(program, &mut effects) {
                    Last::Came => continue,
                    Last::Unknown => {}
                    Last::Nobody => {
                        self.note_process(CaptureEvent::ProcessExited);
                        return Ok(Ended::Done);
                    }
                }
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
                            self.stop(program, &mut effects)?;
                        }
                    }
                    REREADS => self.read_again(false, program, &mut effects),
                    door if door < DATAGRAMS => drop(self.accept(door, program, &mut effects)),
                    door if door < SIGNALS => self.take(door - DATAGRAMS, program, &mut effects),
                    key => self.ready(key - CONNS, event, program, &mut effects),
                }
            }
            while let Some(letter) = self.letters.as_ref().and_then(Letters::next) {
                program.on_message(self.clock.now(), &letter, &mut effects);
                self.carry_out(&mut effects);
                self.letters.as_ref().into_iter().for_each(Letters::told);
            }
            self.wheel.advance(self.now() / TICK, &mut due);
            for ring in due.drain(..) {
                match ring {
                    Ring::EventHandler(key) => {
                        program.on_timer(self.clock.now(), key, &mut effects);
                        self.carry_out(&mut effects);
                    }
                    Ring::Patience(connection) => self.out_of_patience(connection),
                    Ring::Door(door) => self.look_at(door, true),
                    Ring::Reread => self.read_again(true, program, &mut effects),
                    Ring::Fail => panic!("told to fail"),
                }
            }
            let now = self.now();
            program.on_loop_lag(now, (now - woke).max(woke.saturating_sub(due_at)));
        }
    }

    /// Asks the program to end, as a signal does; its doors take nobody any more.
    fn stop(&mut self, program: &mut impl EventHandler, effects: &mut Effects) -> Result<(), ReactorError> {
        self.stopping = true;
        if !self.patient {
            for door in std::mem::take(&mut self.doors) {
                if let Some(listener) = door.listener.as_ref().filter(|_| door.is_open()) {
                    self.poller.delete(listener)?;
                }
            }
        }
        program.on_shutdown(self.clock.now(), effects);
        self.carry_out(effects);
        Ok(())
    }

    /// Hands the program its file; what can't be read leaves the old one in force.
    fn read_again(&mut self, again: bool, program: &mut impl EventHandler, effects: &mut Effects) {
        let Some((signals, path)) = &mut self.rereads else { return };
        if signals.count() > 0 {
            self.rereads_left = REREADS_MOST;
        } else if !again {
            return;
        }
        let mut bytes = Vec::new();
        let file = std::fs::File::open(&*path).and_then(|f| f.take(LARGEST).read_to_end(&mut bytes));
        let used = match file {
            Ok(_) => {
                let used = program.on_config_reload(self.clock.now(), &bytes.into(), effects);
                self.carry_out(effects);
                used
            }
            Err(problem) => {
                tracing::error!(%problem, path = %path.display(), "cannot be read again; the old one stays");
                false
            }
        };
        // It may be half written yet, or descriptors may be short just now: no other signal would come for it.
        self.rereads_left = if used { 0 } else { self.rereads_left.saturating_sub(1) };
        if self.rereads_left > 0 {
            self.wheel.set((self.now() + REREAD_PAUSE) / TICK, Ring::Reread);
        }
    }

    fn now(&self) -> Micros {
        self.clock.now()
    }

    fn note(&mut self, connection: ConnectionId, what: CaptureEvent, frame: &Bytes) {
        let now = self.clock.now();
        if let Some(tap) = self.tap.as_mut() {
            tap.note(now, connection, what, 0, frame);
        }
    }

    /// Notes that a connection is over, with how much passed.
    fn note_end(&mut self, place: usize) {
        let conn = &self.conns[place];
        let (connection, counts) = (conn.connection, counts(conn.sent, conn.heard));
        self.note(connection, CaptureEvent::Closed, &counts);
    }

    /// Notes the beginning or end of the process itself.
    fn note_process(&mut self, what: CaptureEvent) {
        if what == CaptureEvent::ProcessExited {
            let open: Vec<_> =
                self.conns.iter().filter(|(_, c)| c.stage == Stage::Open).map(|(p, _)| p).collect();
            open.into_iter().for_each(|place| self.note_end(place));
        }
        self.note(ConnectionId(0), what, &Bytes::new());
        if let Some(tap) = self.tap.as_mut() {
            tap.flush();
        }
    }

    /// Tells the program what has come of what it asked for.
    fn tell(&mut self, program: &mut impl EventHandler, effects: &mut Effects) {
        while let Some(news) = self.news.pop_front() {
            let now = self.clock.now();
            match news {
                News::Opened(connection) => program.on_connected(now, connection, effects),
                News::Lost(connection, loss) => program.on_disconnect(now, connection, loss, effects),
                News::Crowded(connection, crowded) => {
                    program.on_backpressure(now, connection, crowded, effects)
                }
                News::Drained(connection) => program.on_write_complete(now, connection, effects),
            }
            self.carry_out(effects);
        }
    }

    /// Lets the program decide, sends what it said, and tells it what came of that, until all is quiet.
    fn settle(&mut self, program: &mut impl EventHandler, effects: &mut Effects) {
        loop {
            self.tell(program, effects);
            program.on_iteration(self.clock.now(), effects);
            self.carry_out(effects);
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
            self.places.remove(&conn.connection);
        }
        gauge!("tideroute_links").set(self.conns.len() as f64);
        if let Some(tap) = self.tap.as_mut() {
            tap.flush();
        }
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
            return self.lose(place, DisconnectReason::Reset, "it broke while sending");
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
            self.news.push_back(News::Crowded(conn.connection, crowded));
        }
        if self.conns[place].raw && before > 0 && waiting == 0 {
            self.news.push_back(News::Drained(self.conns[place].connection));
        }
        if closing && waiting < before {
            self.speaks_its_last(place);
        }
        self.watch(place);
    }

    fn note_joined(&mut self, connections: [ConnectionId; 2]) {
        let conns = connections
            .map(|connection| self.places.get(&connection).map(|&place| &self.conns[place].stream));
        let [Some(one), Some(two)] = conns else { return };
        let ends = [one.local_addr().ok(), one.peer_addr().ok(), two.peer_addr().ok(), two.local_addr().ok()];
        if let Some(tap) = self.tap.as_mut() {
            tap.joined(self.clock.now(), ends);
        }
    }

    /// Takes the datagrams that wait at a door, up to a bound.
    fn take(&mut self, door: usize, program: &mut impl EventHandler, effects: &mut Effects) {
        for _ in 0..TAKEN {
            let Some(taken) = self.datagrams.get(door).map(|d| d.take(&mut self.piece)) else { return };
            match taken {
                Ok(Some((from, bytes))) => program.on_datagram(self.clock.now(), door, from, &bytes, effects),
                Ok(None) => return,
                Err(problem) => {
                    tracing::warn!(%problem, "a datagram could not be taken");
                    return;
                }
            }
            self.carry_out(effects);
        }
    }

    fn ready(&mut self, place: usize, event: Event, program: &mut impl EventHandler, effects: &mut Effects) {
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
            self.tell(program, effects);
        }
        // Of a link that is hushed the poller still tells that it broke, over and over.
        let hushed = self.conns[place].hushed && self.conns[place].stage == Stage::Open;
        if hushed && (event.is_interrupt() || event.is_err().unwrap_or(false)) {
            return self.lose(place, DisconnectReason::Reset, "it broke while nothing was read from it");
        }
        let open = |r: &Self| r.conns.get(place).is_some_and(|c| c.stage == Stage::Open);
        if !event.readable || !open(self) || self.conns[place].hushed {
            return;
        }
        let connection = self.conns[place].connection;
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
                tap.note(now, connection, CaptureEvent::Received, number, &frame);
            }
            program.on_data(now, connection, &frame, effects);
            self.carry_out(effects);
        }
        if let Some(why) = end {
            if open(self) {
                self.lose(place, DisconnectReason::Reset, &why);
            }
        }
    }

    fn reached(&mut self, place: usize) {
        if !self.conns[place].reached() {
            return self.lose(place, DisconnectReason::ConnectFailed, "nobody there");
        }
        let now = self.clock.now();
        let conn = &mut self.conns[place];
        conn.stage = Stage::Open;
        let connection = conn.connection;
        let ends = [conn.stream.peer_addr().ok(), conn.stream.local_addr().ok()];
        if let Some(tap) = self.tap.as_mut() {
            tap.met(now, connection, CaptureEvent::Connected, ends);
        }
        self.news.push_back(News::Opened(connection));
        self.dirty.push(place);
        self.watch(place);
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
