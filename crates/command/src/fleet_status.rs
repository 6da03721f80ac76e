//! The command `fleet status`: queries one router for all members it knows, and the other members for where their views
//! differ from that.

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

use crate::config_file;
use crate::error::{CommandError, CommandResult, CommandStatus};

/// How long to wait for a router's answer before the query is repeated.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Queries without an answer after which a router counts as silent.
const MAX_UNANSWERED: usize = 4;
/// Answered queries without a new member after which the view of a cluster counts as complete, if its pages do not fit
/// into one answer.
const MAX_WITHOUT_NEW_MEMBERS: usize = 3;

/// A member's status as it is printed, in JSON and in the table.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum ShownStatus {
    #[serde(rename = "there")]
    Alive,
    Suspected,
    Dead,
    Left,
}

impl From<MemberStatus> for ShownStatus {
    fn from(status: MemberStatus) -> ShownStatus {
        match status {
            MemberStatus::Alive => ShownStatus::Alive,
            MemberStatus::Suspected => ShownStatus::Suspected,
            MemberStatus::Dead => ShownStatus::Dead,
            MemberStatus::Left => ShownStatus::Left,
        }
    }
}

/// A member as one router sees it, with the keys of its JSON.
#[derive(Clone, Debug, Serialize)]
struct ShownMember {
    address: String,
    #[serde(rename = "standing")]
    status: ShownStatus,
    incarnation: u64,
    #[serde(skip)]
    at: Address,
}

impl ShownMember {
    fn is_present(&self) -> bool {
        matches!(self.status, ShownStatus::Alive | ShownStatus::Suspected)
    }
}

fn socket_address(at: Address) -> SocketAddrV4 {
    SocketAddrV4::new([at[0], at[1], at[2], at[3]].into(), u16::from_be_bytes([at[4], at[5]]))
}

/// The members that one router sees, as far as its answers have arrived.
#[derive(Default)]
struct MemberView {
    /// The router's own name; `None` until it has answered.
    name: Option<String>,
    /// The router's local health score; 0 is healthy.
    health: u32,
    /// Fingerprints of the parts of the router's member list.
    fingerprints: Vec<u64>,
    members: BTreeMap<String, ShownMember>,
    /// The number of the query in progress.
    query: u32,
    /// Number of pages in the answer to that query.
    pages: u32,
    /// Number of those pages that have arrived.
    received: u32,
}

impl GossipHandler for MemberView {
    fn sender(&mut self, name: &str, at: Address, incarnation: u64, status: MemberStatus) {
        self.name = Some(name.to_string());
        self.claim(name, at, incarnation, status, 0, true);
    }

    fn claim(
        &mut self,
        name: &str,
        at: Address,
        incarnation: u64,
        status: MemberStatus,
        _by: u32,
        in_page: bool,
    ) {
        if in_page {
            let address = socket_address(at).to_string();
            let member = ShownMember { address, status: status.into(), incarnation, at };
            self.members.insert(name.to_string(), member);
        }
    }

    fn ping(&mut self, _number: u32) {}

    fn ack(&mut self, _number: u32) {}

    fn nack(&mut self, _number: u32) {}

    fn ping_request(&mut self, _number: u32, _name: &str, _at: Address) {}

    fn digest(&mut self, _number: u32, _fingerprints: &[u64]) {}

    fn page(&mut self, number: u32, _page: u32, pages: u32, fingerprints: &[u64], health: u32) {
        if number == self.query {
            self.pages = pages;
            self.health = health;
            self.received += 1;
            if !fingerprints.is_empty() {
                self.fingerprints = fingerprints.to_vec();
            }
        }
    }
}

/// A client that queries members over one UDP socket.
struct QueryClient {
    socket: UdpSocket,
    authenticator: MessageAuthenticator,
    last_query: u32,
}

impl QueryClient {
    /// Queries a member for the parts of its member list whose fingerprints differ from these; returns `None` if it does
    /// not answer. If a page is lost, the query is repeated.
    fn query(&mut self, to: Address, fingerprints: [u64; PARTS]) -> Result<Option<MemberView>, CommandError> {
        let address = socket_address(to);
        let mut view = MemberView::default();
        let mut without_new_members = 0;
        let mut unanswered = 0;
        while unanswered < MAX_UNANSWERED && without_new_members < MAX_WITHOUT_NEW_MEMBERS {
            self.last_query += 1;
            view.query = self.last_query;
            view.pages = u32::MAX;
            view.received = 0;
            let known_before = view.members.len();
            let datagram = self.authenticator.sign(
                &GossipMessage::new(None, MessageAuthenticator::OVERHEAD)
                    .digest(self.last_query, fingerprints),
            );
            self.socket
                .send_to(&datagram, address)
                .map_err(|source| CommandError::QuerySend { address, source })?;
            self.receive(&mut view);
            if view.received == 0 {
                unanswered += 1;
            } else if view.received >= view.pages && (view.pages as usize) < tideroute_membership::MAX_PAGES {
                return Ok(Some(view));
            }
            let is_unchanged = view.received > 0 && view.members.len() == known_before;
            without_new_members = if is_unchanged { without_new_members + 1 } else { 0 };
        }
        Ok(view.name.is_some().then_some(view))
    }

    /// Receives pages until all have arrived or the response timeout has passed.
    fn receive(&self, view: &mut MemberView) {
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        let mut datagram = [0; LARGEST + 1];
        while view.received < view.pages {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || self.socket.set_read_timeout(Some(remaining)).is_err() {
                return;
            }
            // An error is a timeout, or an ICMP message that the port is unreachable because nothing listens there.
            let Ok((length, _)) = self.socket.recv_from(&mut datagram) else { continue };
            if let Ok(verified) = self.authenticator.verify(&Bytes::copy_from_slice(&datagram[..length])) {
                let _ = gossip::receive(&verified, view);
            }
        }
    }
}

/// The status that is printed; the field names are the keys of its JSON.
#[derive(Serialize)]
struct Status {
    fleet: String,
    router: String,
    health: u32,
    /// Whether the router sees no other member that is alive or suspected.
    alone: bool,
    /// The members that the router sees, by name.
    seen: BTreeMap<String, ShownMember>,
    /// The members whose view agrees with the router's.
    agree: Vec<String>,
    /// The differences from the router's view, by the member that has them.
    differ: BTreeMap<String, Vec<String>>,
    /// The members that do not answer.
    silent: Vec<String>,
}

/// Queries the router of the configuration file at `path`, then all members that it sees, and prints the status.
pub fn run(path: &Path, json: bool) -> CommandResult {
    let config = config_file::require(path, config_file::read(path)?.router, "router")?;
    let membership = config_file::require(path, config.membership, "router.fleet")?;
    let (member_config, authenticator) = convert::member(&config.name, &membership, 0)?;
    let mut client = QueryClient { socket: bind_near(member_config.address)?, authenticator, last_query: 0 };
    // No part has this fingerprint, so the router sends all parts.
    let Some(first) = client.query(member_config.address, [u64::MAX; PARTS])? else {
        return Err(CommandError::RouterSilent { router: config.name, address: membership.listen });
    };
    let status = compare(&mut client, membership.name, first)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        print(&status);
    }
    let all_agree = status.differ.is_empty() && status.silent.is_empty() && !status.alone;
    Ok(CommandStatus::success_if(all_agree))
}

/// Binds a socket at the router's IP address if this machine has it, so that the router's answer is routed back to it;
/// otherwise at any address.
fn bind_near(router: Address) -> Result<UdpSocket, CommandError> {
    let own_address = SocketAddr::from((*socket_address(router).ip(), 0));
    UdpSocket::bind(own_address).or_else(|_| UdpSocket::bind("0.0.0.0:0")).map_err(CommandError::QuerySocket)
}

/// Compares the first router's view with the views of all other members that it sees.
fn compare(client: &mut QueryClient, fleet: String, first: MemberView) -> Result<Status, CommandError> {
    let fingerprints: [u64; PARTS] = first.fingerprints.clone().try_into().unwrap_or([u64::MAX; PARTS]);
    let router = first.name.clone().unwrap_or_default();
    let mut agree = vec![];
    let mut differ = BTreeMap::new();
    let mut silent = vec![];
    let others = first.members.iter().filter(|(name, member)| **name != router && member.is_present());
    for (name, member) in others {
        let Some(other) = client.query(member.at, fingerprints)? else {
            silent.push(name.clone());
            continue;
        };
        let differences = describe_differences(&first, &fingerprints, &other);
        if differences.is_empty() {
            agree.push(name.clone());
        } else {
            differ.insert(name.clone(), differences);
        }
    }
    let alone = first.members.values().filter(|member| member.is_present()).count() < 2;
    Ok(Status { fleet, router, health: first.health, alone, seen: first.members, agree, differ, silent })
}

/// Describes how another member's view differs from the first, in the parts whose fingerprints differ.
fn describe_differences(first: &MemberView, fingerprints: &[u64; PARTS], other: &MemberView) -> Vec<String> {
    if other.fingerprints.is_empty() {
        return vec![];
    }
    let part_differs =
        |name: &String| other.fingerprints.get(digest_part(name)) != Some(&fingerprints[digest_part(name)]);
    let mut found = Vec::new();
    for (name, member) in
        first.members.iter().filter(|(name, member)| member.is_present() && part_differs(name))
    {
        match other.members.get(name).filter(|seen| seen.is_present()) {
            None => found.push(format!("lacks {name}")),
            Some(seen) if seen.incarnation != member.incarnation => {
                found.push(format!("knows {name} in incarnation {}", seen.incarnation));
            }
            Some(_) => {}
        }
    }
    let is_unknown_to_first = |name: &&String| first.members.get(*name).is_none_or(|seen| !seen.is_present());
    let additional = other
        .members
        .iter()
        .filter(|(_, seen)| seen.is_present())
        .map(|(name, _)| name)
        .filter(is_unknown_to_first);
    found.extend(additional.map(|name| format!("sees {name} as well")));
    found
}

fn print(status: &Status) {
    let count = |wanted: ShownStatus| status.seen.values().filter(|member| member.status == wanted).count();
    println!(
        "cluster {}, as seen by {}: {} alive, {} suspected, {} dead, {} left; local health score {} of 8 (0 is healthy)",
        status.fleet,
        status.router,
        count(ShownStatus::Alive),
        count(ShownStatus::Suspected),
        count(ShownStatus::Dead),
        count(ShownStatus::Left),
        status.health
    );
    for (name, member) in &status.seen {
        let member_status = format!("{:?}", member.status).to_lowercase();
        println!("  {name:<24} {:<21} {member_status:<9} {}", member.address, member.incarnation);
    }
    if status.alone {
        return println!("ALONE: this router sees no other router");
    }
    println!(
        "other routers: {} agree, {} differ, {} do not answer",
        status.agree.len(),
        status.differ.len(),
        status.silent.len()
    );
    for (name, differences) in &status.differ {
        println!("  {name} {}", differences.join(", "));
    }
    for name in &status.silent {
        println!("  {name} does not answer");
    }
}

#[cfg(test)]
mod tests;
