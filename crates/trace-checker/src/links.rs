//! Which ends of connections belong together, who talks to whom on them, and whether anything is missing.

use std::collections::{BTreeMap, HashMap, VecDeque};

use tideroute_wire::capture::{self, counted, CaptureEvent, CapturedFrame, CapturedProcess};
use tideroute_wire::{Address, Micros, Origin, Party};

use crate::{Report, Rule};

/// What a connection is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Between {
    ClientRouter,
    RouterWorker,
    RouterList,
    WorkerList,
    Fetch,
}

/// Who speaks on a connection, seen from the process that recorded it.
#[derive(Clone, Copy, Debug)]
pub struct Talk {
    pub between: Between,
    /// The process dialled it.
    pub dialled: bool,
    /// The address that was dialled: the worker's, on a connection to one.
    pub to: Address,
    /// The frame is the Hello with which it begins.
    pub hello: bool,
}

/// Frames of one direction at one end whose likeness at the other end is not seen yet.
#[derive(Default)]
struct Flow {
    passed: u64,
    open: VecDeque<u32>,
}

impl Flow {
    fn push(&mut self, sum: u32) {
        self.passed += 1;
        self.open.push_back(sum);
    }
}

#[derive(Default)]
struct End {
    dialled: bool,
    unreached: bool,
    to: Option<Address>,
    /// Both ends' addresses, the acceptor's first, and when they met.
    ends: Option<Ends>,
    met: Micros,
    between: Option<Between>,
    /// Checksums of the frames that passed.
    sent: Flow,
    heard: Flow,
    other: Option<Key>,
    closed: Option<Micros>,
}

/// Microseconds for which a connection may wait to be taken: longer than any process is halted.
const WAITS: Micros = 60_000_000;
/// Microseconds by which a relay may be late to say what it joined.
const LATE: Micros = 1_000_000;

type Key = (u32, u64);
type Ends = (Address, Address);

pub struct Links {
    roles: BTreeMap<u32, String>,
    addresses: HashMap<Address, String>,
    ends: BTreeMap<Key, End>,
    /// Those whose other end is not known yet, by their addresses.
    alone: HashMap<Ends, Vec<Key>>,
    /// Where a relay stands between, the addresses behind it as those before it, until the end behind is known;
    /// with when the relay said so, as ports are given out again.
    joined: HashMap<Ends, (Ends, Micros)>,
    /// What became of clients' connections, whose words are asked for at the end.
    pairs: HashMap<Key, Key>,
    killed: BTreeMap<u32, Micros>,
    /// Which origin each router's process says, and whose each origin is.
    origins: BTreeMap<u32, Origin>,
    owners: HashMap<Origin, u32>,
}

fn sum(bytes: &[u8]) -> u32 {
    // FNV-1a: frames are compared with their other end, not defended against forgery.
    bytes.iter().fold(0x811c_9dc5, |x, &b| (x ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

impl Links {
    pub fn new(processes: &[CapturedProcess]) -> Links {
        Links {
            roles: processes.iter().map(|p| (p.number, p.role.clone())).collect(),
            addresses: processes.iter().filter_map(|p| Some((p.address?, p.role.clone()))).collect(),
            ends: BTreeMap::new(),
            alone: HashMap::new(),
            joined: HashMap::new(),
            pairs: HashMap::new(),
            killed: BTreeMap::new(),
            origins: BTreeMap::new(),
            owners: HashMap::new(),
        }
    }

    /// Takes one event to the books; tells who talks on its connection, if that is known.
    pub fn follow(&mut self, passed: &CapturedFrame, report: &mut Report) -> Option<Talk> {
        let key = (passed.process, passed.connection);
        let address = |from: usize| passed.frame.get(from..from + 6).and_then(|a| Address::try_from(a).ok());
        match passed.event {
            CaptureEvent::Connecting
            | CaptureEvent::ConnectFailed
            | CaptureEvent::Connected
            | CaptureEvent::Accepted => {
                let role = self.roles.get(&passed.process).map_or("", String::as_str);
                let end = self.ends.entry(key).or_default();
                match passed.event {
                    CaptureEvent::Connecting => {
                        (end.dialled, end.to) = (true, address(0));
                        let target = end.to.and_then(|to| self.addresses.get(&to)).map_or("", String::as_str);
                        end.between = between(role, target);
                        if end.between.is_none() {
                            let what = format!("a {role} dials nobody that is known");
                            report.note(Rule::Record, passed.at, None, what);
                        }
                    }
                    CaptureEvent::ConnectFailed => (end.unreached, end.closed) = (true, Some(passed.at)),
                    CaptureEvent::Connected => (end.ends, end.met) = (address(0).zip(address(6)), passed.at),
                    _ => {
                        (end.ends, end.to, end.met) = (address(6).zip(address(0)), address(6), passed.at);
                    }
                }
                if let Some(ends) = end.ends.filter(|_| !end.unreached) {
                    let behind = if end.dialled { None } else { self.joined.remove(&ends) };
                    let fresh = behind.filter(|(_, at)| passed.at.saturating_sub(*at) < WAITS);
                    self.meet(key, fresh.map_or(ends, |(before, _)| before), report);
                }
            }
            CaptureEvent::Joined => {
                let before = address(0).zip(address(6));
                if let Some((before, behind)) = before.zip(address(12).zip(address(18))) {
                    // The end behind may have said so first; one of long ago had the same port.
                    let fits = |k: &Key| {
                        let e = self.ends.get(k).filter(|e| !e.dialled)?;
                        let apart = e.met.abs_diff(passed.at);
                        (e.closed.is_none() || apart < LATE).then_some((apart, *k))
                    };
                    let there = self.alone.get(&behind).and_then(|keys| keys.iter().filter_map(fits).min());
                    let Some((_, key)) = there else {
                        self.joined.insert(behind, (before, passed.at));
                        return None;
                    };
                    self.alone.entry(behind).or_default().retain(|k| *k != key);
                    self.meet(key, before, report);
                }
                return None;
            }
            CaptureEvent::Closed => {
                let end = self.ends.entry(key).or_default();
                end.closed = Some(passed.at);
                if counted(&passed.frame) != Some((end.sent.passed, end.heard.passed)) {
                    let what = format!(
                        "process {} link {:x} lacks its last frames",
                        passed.process, passed.connection
                    );
                    report.note(Rule::Record, passed.at, None, what);
                }
            }
            CaptureEvent::Sent | CaptureEvent::Received => return self.frame(passed, report),
            CaptureEvent::ProcessKilled => {
                self.killed.insert(passed.process, passed.at);
                let mine = self.ends.range((passed.process, 0)..=(passed.process, u64::MAX));
                let keys: Vec<_> = mine.map(|(key, _)| *key).collect();
                for key in keys {
                    self.ends.entry(key).and_modify(|end| end.closed = end.closed.or(Some(passed.at)));
                    self.forget(key, report);
                }
                return None;
            }
            CaptureEvent::ProcessStarted
            | CaptureEvent::Observed
            | CaptureEvent::ProcessExited
            | CaptureEvent::ProcessPaused
            | CaptureEvent::ProcessResumed => return None,
        }
        let end = self.ends.get(&key)?;
        let talk = end.between.zip(end.to).map(|(between, to)| Talk {
            between,
            dialled: end.dialled,
            to,
            hello: false,
        });
        self.forget(key, report);
        talk
    }

    fn frame(&mut self, passed: &CapturedFrame, report: &mut Report) -> Option<Talk> {
        let (process, link, sent) = (passed.process, passed.connection, passed.event == CaptureEvent::Sent);
        let role = self.roles.get(&process).map_or("", String::as_str);
        let end = self.ends.entry((process, link)).or_default();
        let flow = if sent { &mut end.sent } else { &mut end.heard };
        if passed.position != flow.passed {
            let what = format!("process {process} link {link:x} lacks frame {}", flow.passed);
            report.note(Rule::Record, passed.at, None, what);
            // As many as a record may lack; one that lacks more is no record.
            let lacking = passed.position.saturating_sub(flow.passed).min(1 << 16);
            (0..lacking).for_each(|_| flow.push(0));
            flow.passed = passed.position;
        }
        flow.push(sum(capture::common(&passed.frame)));
        let hello = passed.position == 0 && sent == end.dialled;
        if hello && !end.dialled {
            let party = tideroute_wire::first(&passed.frame).map(|(party, ..)| party).ok();
            end.between = party.and_then(|party| between(name(party), role));
            if end.between.is_none() {
                report.note(Rule::Record, passed.at, None, format!("a {role} was told no Hello"));
            }
        }
        let (Some(between), Some(to)) = (end.between, end.to) else {
            report.note(Rule::Record, passed.at, None, "a frame passed on a connection never made");
            return None;
        };
        let talk = Talk { between, dialled: end.dialled, to, hello };
        let other = end.other;
        if hello && talk.dialled && matches!(between, Between::RouterWorker | Between::RouterList) {
            self.origin(passed, report);
        }
        if other.is_some() {
            self.compare((process, link), report);
        }
        Some(talk)
    }

    /// Ids are told apart by what their routers say of themselves: each its own, and always the same.
    fn origin(&mut self, passed: &CapturedFrame, report: &mut Report) {
        let Ok(origin) = tideroute_wire::origin_of(&passed.frame) else {
            return report.note(Rule::Record, passed.at, None, "a router says no origin");
        };
        let before = *self.origins.entry(passed.process).or_insert(origin);
        let owner = *self.owners.entry(origin).or_insert(passed.process);
        if before != origin || owner != passed.process {
            let what = format!("processes {owner} and {} have one origin, or one has two", passed.process);
            report.note(Rule::Record, passed.at, None, what);
        }
    }

    /// An end whose addresses are known looks for its other one. A machine gives a port out again once it is
    /// free; of ends that look alike, one that is still open is the other, and the rest wait for the end.
    fn meet(&mut self, key: Key, ends: Ends, report: &mut Report) {
        let Some(dialled) = self.ends.get(&key).map(|e| e.dialled) else { return };
        let alone = self.alone.entry(ends).or_default();
        let fits = |k: &Key| {
            self.ends.get(k).is_some_and(|e| e.dialled != dialled && e.closed.is_none()) && *k != key
        };
        match alone.iter().position(fits) {
            Some(at) => {
                let other = alone.swap_remove(at);
                if alone.is_empty() {
                    self.alone.remove(&ends);
                }
                self.pair(key, other, report);
            }
            None => alone.push(key),
        }
    }

    fn pair(&mut self, one: Key, two: Key, report: &mut Report) {
        for (key, other) in [(one, two), (two, one)] {
            let Some(end) = self.ends.get_mut(&key) else { continue };
            end.other = Some(other);
            if self.roles.get(&key.0).is_some_and(|role| role == "client") {
                self.pairs.insert(key, other);
            }
        }
        self.compare(one, report);
    }

    /// What one end heard is what the other sent; what was seen at both is forgotten.
    fn compare(&mut self, key: Key, report: &mut Report) {
        let Some(other) = self.ends.get(&key).and_then(|e| e.other) else { return };
        let Some(mut one) = self.ends.remove(&key) else { return };
        if let Some(two) = self.ends.get_mut(&other) {
            for (sent, heard) in [(&mut one.sent, &mut two.heard), (&mut two.sent, &mut one.heard)] {
                while !sent.open.is_empty() && !heard.open.is_empty() {
                    if sent.open.pop_front() != heard.open.pop_front() {
                        let what = format!("process {} link {:x} heard what was not sent", key.0, key.1);
                        report.note(Rule::Record, 0, None, what);
                    }
                }
            }
        }
        self.ends.insert(key, one);
    }

    /// Both ends are over and compared: nothing more is to be known of them.
    fn forget(&mut self, key: Key, report: &mut Report) {
        let Some(end) = self.ends.get(&key).filter(|e| e.closed.is_some()) else { return };
        if end.unreached {
            // Nobody was there, so that nobody hears what was sent.
            self.ends.remove(&key);
            return;
        }
        let Some(other) = end.other else { return };
        if self.ends.get(&other).is_some_and(|e| e.closed.is_some()) {
            self.compare(key, report);
            for key in [key, other] {
                let rest = self.ends.remove(&key).filter(|e| !e.heard.open.is_empty());
                if rest.is_some() {
                    let what = format!("process {} link {:x} heard what was not sent", key.0, key.1);
                    report.note(Rule::Record, 0, None, what);
                }
            }
        }
    }

    /// What one end heard is what the other sent, up to where the connection broke.
    pub fn finish(&mut self, report: &mut Report) {
        for (_, mut keys) in std::mem::take(&mut self.alone) {
            while let Some(key) = keys.pop() {
                let Some(end) = self.ends.get(&key) else { continue };
                let apart = |k: &Key| {
                    let e = self.ends.get(k).filter(|e| e.dialled != end.dialled)?;
                    Some(e.met.abs_diff(end.met))
                };
                let others = keys.iter().enumerate().filter_map(|(n, k)| Some((apart(k)?, n)));
                if let Some((_, n)) = others.min() {
                    let other = keys.swap_remove(n);
                    self.pair(key, other, report);
                }
            }
        }
        for (key, end) in &self.ends {
            if end.other.is_none() && end.dialled && end.ends.is_none() {
                if !self.killed.contains_key(&key.0) {
                    let what = format!("what became of process {} link {:x} is not told", key.0, key.1);
                    report.note(Rule::Record, 0, None, what);
                }
            } else if !end.heard.open.is_empty() && (end.dialled || end.other.is_some()) {
                // A connection that the other side never took from its queue ended before it said anything.
                let from = if end.other.is_some() { "what was not sent" } else { "words from nobody" };
                let what = format!("process {} link {:x} heard {from}", key.0, key.1);
                report.note(Rule::Record, 0, None, what);
            }
        }
    }

    /// Whether the connection had ended, or its process was killed, by the end of the record.
    pub fn over(&self, process: u32, link: u64) -> bool {
        self.killed.contains_key(&process)
            || self.ends.get(&(process, link)).is_none_or(|e| e.closed.is_some())
    }

    /// The router's end of a client's connection.
    pub fn other(&self, process: u32, link: u64) -> Option<Key> {
        self.pairs.get(&(process, link)).copied()
    }
}

fn name(party: Party) -> &'static str {
    match party {
        Party::Client => "client",
        Party::Router => "router",
        Party::Worker => "worker",
    }
}

fn between(from: &str, to: &str) -> Option<Between> {
    Some(match (from, to) {
        ("client", "router") => Between::ClientRouter,
        ("router", "worker") => Between::RouterWorker,
        ("router", "list") => Between::RouterList,
        ("worker", "list") => Between::WorkerList,
        ("worker", "worker") => Between::Fetch,
        _ => return None,
    })
}
