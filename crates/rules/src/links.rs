//! Which ends of connections belong together, who talks to whom on them, and whether anything is missing.

use std::collections::BTreeMap;

use tideroute_wire::tap::{counted, Passed, What, Who};
use tideroute_wire::{Address, Micros, Party};

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

#[derive(Default)]
struct End {
    dialled: bool,
    unreached: bool,
    to: Option<Address>,
    /// Both ends' addresses, the acceptor's first, and when they met.
    ends: Option<(Address, Address)>,
    met: Micros,
    between: Option<Between>,
    /// Checksums of the frames that passed.
    sent: Vec<u32>,
    heard: Vec<u32>,
    said: Option<(u64, u64)>,
    closed: Option<Micros>,
}

type Key = (u32, u64);

pub struct Links {
    roles: BTreeMap<u32, String>,
    addresses: BTreeMap<Address, String>,
    ends: BTreeMap<Key, End>,
    killed: BTreeMap<u32, Micros>,
}

fn sum(bytes: &[u8]) -> u32 {
    // FNV-1a: frames are compared with their other end, not defended against forgery.
    bytes.iter().fold(0x811c_9dc5, |x, &b| (x ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

impl Links {
    pub fn new(processes: &[Who]) -> Links {
        let roles = processes.iter().map(|p| (p.number, p.role.clone())).collect();
        let addresses = processes.iter().filter_map(|p| Some((p.address?, p.role.clone()))).collect();
        Links { roles, addresses, ends: BTreeMap::new(), killed: BTreeMap::new() }
    }

    /// Takes one event to the books; tells who talks on its connection, if that is known.
    pub fn follow(&mut self, passed: &Passed, report: &mut Report) -> Option<Talk> {
        let role = self.roles.get(&passed.process).cloned().unwrap_or_default();
        let end = self.ends.entry((passed.process, passed.link)).or_default();
        let address = |from: usize| passed.frame.get(from..from + 6).and_then(|a| Address::try_from(a).ok());
        match passed.what {
            What::Dialled => {
                (end.dialled, end.to) = (true, address(0));
                let target = end.to.and_then(|to| self.addresses.get(&to)).map(String::as_str);
                end.between = between(&role, target.unwrap_or(""));
                if end.between.is_none() {
                    report.note(
                        Rule::Record,
                        passed.at,
                        None,
                        format!("a {role} dials nobody that is known"),
                    );
                }
            }
            What::Met => (end.ends, end.met) = (address(0).zip(address(6)), passed.at),
            What::Accepted => {
                end.met = passed.at;
                end.ends = address(6).zip(address(0));
                end.to = address(6);
            }
            What::Unreached => end.unreached = true,
            What::Closed => {
                end.closed = Some(passed.at);
                end.said = counted(&passed.frame);
                if end.said != Some((end.sent.len() as u64, end.heard.len() as u64)) {
                    let what =
                        format!("process {} link {:x} lacks its last frames", passed.process, passed.link);
                    report.note(Rule::Record, passed.at, None, what);
                }
            }
            What::Sent | What::Heard => {
                let frames = if passed.what == What::Sent { &mut end.sent } else { &mut end.heard };
                if passed.place != frames.len() as u64 {
                    let (process, link) = (passed.process, passed.link);
                    let what = format!("process {process} link {link:x} lacks frame {}", frames.len());
                    report.note(Rule::Record, passed.at, None, what);
                    frames.resize(passed.place as usize, 0);
                }
                frames.push(sum(&passed.frame));
                let hello = passed.place == 0 && (passed.what == What::Sent) == end.dialled;
                if hello && !end.dialled {
                    let party = tideroute_wire::first(&passed.frame).map(|(party, ..)| party).ok();
                    end.between = party.and_then(|party| between(name(party), &role));
                    if end.between.is_none() {
                        report.note(Rule::Record, passed.at, None, format!("a {role} was told no Hello"));
                    }
                }
                let (Some(between), Some(to)) = (end.between, end.to) else {
                    report.note(Rule::Record, passed.at, None, "a frame passed on a connection never made");
                    return None;
                };
                return Some(Talk { between, dialled: end.dialled, to, hello });
            }
            What::Killed => {
                self.killed.insert(passed.process, passed.at);
            }
            What::Began | What::Left => {}
        }
        let (between, to) = (end.between?, end.to?);
        Some(Talk { between, dialled: end.dialled, to, hello: false })
    }

    /// What one end heard is what the other sent, up to where the connection broke.
    pub fn finish(&self, report: &mut Report) {
        for (key, end) in self.ends.iter().filter(|(_, e)| e.dialled && !e.unreached) {
            if end.ends.is_none() {
                if !self.killed.contains_key(&key.0) {
                    let what = format!("what became of process {} link {:x} is not told", key.0, key.1);
                    report.note(Rule::Record, 0, None, what);
                }
                continue;
            }
            let Some(other) = self.other(key.0, key.1).and_then(|key| self.ends.get(&key)) else {
                // A connection that the other side never took from its queue: it ended before that.
                if !end.heard.is_empty() {
                    let what = format!("process {} link {:x} heard words from nobody", key.0, key.1);
                    report.note(Rule::Record, 0, None, what);
                }
                continue;
            };
            for (sent, heard) in [(&end.sent, &other.heard), (&other.sent, &end.heard)] {
                if heard.len() > sent.len() || heard[..] != sent[..heard.len()] {
                    let what = format!("process {} link {:x} heard what was not sent", key.0, key.1);
                    report.note(Rule::Record, 0, None, what);
                }
            }
        }
    }

    /// Whether the connection had ended, or its process was killed, by the end of the record.
    pub fn over(&self, process: u32, link: u64) -> bool {
        self.killed.contains_key(&process)
            || self.ends.get(&(process, link)).is_none_or(|e| e.closed.is_some())
    }

    /// The other end of a connection. A machine gives a port out again once it is free, so that two connections
    /// may have the same ends; those that met at nearly the same time are one.
    pub fn other(&self, process: u32, link: u64) -> Option<Key> {
        let end = self.ends.get(&(process, link))?;
        let ends = end.ends?;
        let other = |(_, e): &(&Key, &End)| e.ends == Some(ends) && e.dialled != end.dialled;
        let apart = |e: &End| e.met.abs_diff(end.met);
        self.ends.iter().filter(other).min_by_key(|(_, e)| apart(e)).map(|(key, _)| *key)
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
