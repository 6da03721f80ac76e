//! A fleet as its routers see it: one is asked for all that it knows, the others for what they know otherwise.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::Serialize;
use tideroute_membership::{digest_part, MessageAuthenticator};
use tideroute_simulation::convert;
use tideroute_wire::gossip::{self, GossipHandler, GossipMessage, MemberStatus, LARGEST, PARTS};
use tideroute_wire::Address;

use crate::{serve, Ended};

/// How long a router may take to answer before it is asked again.
const ANSWER: Duration = Duration::from_millis(300);
/// How often it is asked before it counts as not answering.
const TRIES: usize = 4;
/// Asks without anything new after which all is known of a fleet whose pages do not fit into one answer.
const QUIET: usize = 3;

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum Shown {
    There,
    Suspected,
    Dead,
    Left,
}

impl From<MemberStatus> for Shown {
    fn from(standing: MemberStatus) -> Shown {
        match standing {
            MemberStatus::Alive => Shown::There,
            MemberStatus::Suspected => Shown::Suspected,
            MemberStatus::Dead => Shown::Dead,
            MemberStatus::Left => Shown::Left,
        }
    }
}

#[derive(Clone, Debug, Serialize)]
struct One {
    address: String,
    standing: Shown,
    incarnation: u64,
    #[serde(skip)]
    at: Address,
}

impl One {
    fn is_in(&self) -> bool {
        matches!(self.standing, Shown::There | Shown::Suspected)
    }
}

fn shown(at: Address) -> SocketAddrV4 {
    SocketAddrV4::new([at[0], at[1], at[2], at[3]].into(), u16::from_be_bytes([at[4], at[5]]))
}

/// What one router said that it sees.
#[derive(Default)]
struct Said {
    own: Option<String>,
    health: u32,
    prints: Vec<u64>,
    seen: BTreeMap<String, One>,
    /// Of the ask under way: its number, the pages there are, and those that have come.
    number: u32,
    pages: u32,
    come: u32,
}

impl GossipHandler for Said {
    fn sender(&mut self, name: &str, at: Address, incarnation: u64, standing: MemberStatus) {
        self.own = Some(name.to_string());
        self.claim(name, at, incarnation, standing, 0, true);
    }

    fn claim(
        &mut self,
        name: &str,
        at: Address,
        incarnation: u64,
        standing: MemberStatus,
        _by: u32,
        in_page: bool,
    ) {
        if in_page {
            let one = One { address: shown(at).to_string(), standing: standing.into(), incarnation, at };
            self.seen.insert(name.to_string(), one);
        }
    }

    fn ping(&mut self, _number: u32) {}

    fn ack(&mut self, _number: u32) {}

    fn nack(&mut self, _number: u32) {}

    fn ping_request(&mut self, _number: u32, _name: &str, _at: Address) {}

    fn digest(&mut self, _number: u32, _prints: &[u64]) {}

    fn page(&mut self, number: u32, _page: u32, pages: u32, prints: &[u64], health: u32) {
        if number == self.number {
            (self.pages, self.health) = (pages, health);
            self.come += 1;
            if !prints.is_empty() {
                self.prints = prints.to_vec();
            }
        }
    }
}

struct Asker {
    socket: UdpSocket,
    seal: MessageAuthenticator,
    number: u32,
}

impl Asker {
    /// Asks one for what it knows otherwise than these prints say; None if it does not answer. What a lost page
    /// would have brought comes with a later ask.
    fn ask(&mut self, to: Address, prints: [u64; PARTS]) -> Result<Option<Said>, String> {
        let (mut said, mut quiet, mut unanswered) = (Said::default(), 0, 0);
        while unanswered < TRIES && quiet < QUIET {
            self.number += 1;
            (said.number, said.pages, said.come) = (self.number, u32::MAX, 0);
            let known = said.seen.len();
            let datagram = self
                .seal
                .sign(&GossipMessage::new(None, MessageAuthenticator::OVERHEAD).digest(self.number, prints));
            self.socket.send_to(&datagram, shown(to)).map_err(|e| format!("{}: {e}", shown(to)))?;
            self.listen(&mut said);
            if said.come == 0 {
                unanswered += 1;
            } else if said.come >= said.pages && (said.pages as usize) < tideroute_membership::MAX_PAGES {
                return Ok(Some(said));
            }
            quiet = if said.come > 0 && said.seen.len() == known { quiet + 1 } else { 0 };
        }
        Ok(said.own.is_some().then_some(said))
    }

    /// Takes what comes until all pages are there or none comes any more.
    fn listen(&self, said: &mut Said) {
        let (until, mut piece) = (Instant::now() + ANSWER, [0; LARGEST + 1]);
        while said.come < said.pages {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.socket.set_read_timeout(Some(left)).is_err() {
                return;
            }
            // A wait that ended, or a refusal of a door where nobody is.
            let Ok((length, _)) = self.socket.recv_from(&mut piece) else { continue };
            if let Ok(opened) = self.seal.verify(&Bytes::copy_from_slice(&piece[..length])) {
                let _ = gossip::receive(&opened, said);
            }
        }
    }
}

#[derive(Serialize)]
struct Status {
    fleet: String,
    router: String,
    health: u32,
    alone: bool,
    seen: BTreeMap<String, One>,
    /// Names whose views agree, and for each other what it sees otherwise.
    agree: Vec<String>,
    differ: BTreeMap<String, Vec<String>>,
    silent: Vec<String>,
}

/// Asks the router of that record, then all that it sees.
pub fn status(path: &Path, json: bool) -> Ended {
    let record = serve::part(path, serve::read(path)?.router, "router")?;
    let fleet = serve::part(path, record.fleet, "router.fleet")?;
    let (terms, seal) = convert::member(&record.name, &fleet, 0)?;
    // From the machine's own address that the router is at, so that its answer finds the way back.
    let own = SocketAddr::from((*shown(terms.address).ip(), 0));
    let socket = UdpSocket::bind(own)
        .or_else(|_| UdpSocket::bind("0.0.0.0:0"))
        .map_err(|e| format!("no way to ask: {e}"))?;
    let mut asker = Asker { socket, seal, number: 0 };
    // No part's print is this, so that all are told.
    let Some(first) = asker.ask(terms.address, [u64::MAX; PARTS])? else {
        return Err(format!(
            "{} does not answer at {}: it does not run, or has another key",
            record.name, fleet.listen
        ));
    };
    let prints: [u64; PARTS] = first.prints.clone().try_into().unwrap_or([u64::MAX; PARTS]);
    let router = first.own.clone().unwrap_or_default();
    let (mut agree, mut differ, mut silent) = (vec![], BTreeMap::new(), vec![]);
    for (name, one) in first.seen.iter().filter(|(name, one)| **name != router && one.is_in()) {
        match asker.ask(one.at, prints)? {
            None => silent.push(name.clone()),
            Some(other) => match differences(&first, &prints, &other) {
                none if none.is_empty() => agree.push(name.clone()),
                some => drop(differ.insert(name.clone(), some)),
            },
        }
    }
    let alone = first.seen.values().filter(|one| one.is_in()).count() < 2;
    let status = Status {
        fleet: fleet.name,
        router,
        health: first.health,
        alone,
        seen: first.seen,
        agree,
        differ,
        silent,
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&status).map_err(|e| e.to_string())?);
    } else {
        print(&status);
    }
    Ok(status.differ.is_empty() && status.silent.is_empty() && !status.alone)
}

/// What another sees otherwise, in the parts whose prints differ.
fn differences(first: &Said, prints: &[u64; PARTS], other: &Said) -> Vec<String> {
    if other.prints.is_empty() {
        return vec![];
    }
    let apart = |name: &String| other.prints.get(digest_part(name)) != Some(&prints[digest_part(name)]);
    let mut found = Vec::new();
    for (name, one) in first.seen.iter().filter(|(name, one)| one.is_in() && apart(name)) {
        match other.seen.get(name).filter(|o| o.is_in()) {
            None => found.push(format!("lacks {name}")),
            Some(o) if o.incarnation != one.incarnation => {
                found.push(format!("knows {name} in incarnation {}", o.incarnation));
            }
            Some(_) => {}
        }
    }
    let lacking = |name: &&String| first.seen.get(*name).is_none_or(|o| !o.is_in());
    let more = other.seen.iter().filter(|(_, o)| o.is_in()).map(|(name, _)| name).filter(lacking);
    found.extend(more.map(|name| format!("sees {name} as well")));
    found
}

fn print(status: &Status) {
    let count = |standing: Shown| status.seen.values().filter(|one| one.standing == standing).count();
    println!(
        "fleet {}, as {} sees it: {} there, {} suspected, {} dead, {} left; distrust of its own sight {} of 8",
        status.fleet,
        status.router,
        count(Shown::There),
        count(Shown::Suspected),
        count(Shown::Dead),
        count(Shown::Left),
        status.health
    );
    for (name, one) in &status.seen {
        let standing = format!("{:?}", one.standing).to_lowercase();
        println!("  {name:<24} {:<21} {standing:<9} {}", one.address, one.incarnation);
    }
    if status.alone {
        return println!("ALONE: it sees no other router");
    }
    println!(
        "of the others {} see the same, {} differ, {} do not answer",
        status.agree.len(),
        status.differ.len(),
        status.silent.len()
    );
    for (name, found) in &status.differ {
        println!("  {name} {}", found.join(", "));
    }
    for name in &status.silent {
        println!("  {name} does not answer");
    }
}
