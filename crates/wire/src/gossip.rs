//! Datagrams between the members of a cluster. Each holds the sender, claims about members, and at most one message.
//!
//! The authentication that is added to each datagram is not part of this package.

use bytes::Bytes;
use prost::Message;

use crate::fields::{decode_address, encode_address};
use crate::generated::fleet::{claim, datagram, Claim, Compare, Datagram, Detour, Page, Ping};
use crate::{Address, Malformed};

/// Largest datagram in bytes, its authentication included. Most networks carry this size in a single packet.
pub const LARGEST: usize = 1_400;
/// Number of parts of a member list. Each part has its own digest.
pub const PARTS: usize = 32;
/// Longest name of a member, in bytes.
pub const MAX_NAME_LENGTH: usize = 64;
/// Bytes of a datagram that are not used for claims, so that the message always fits: its digests, numbers and a claim.
const MESSAGE_SPACE: usize = 16 + 9 * PARTS;
/// Largest number of bytes before a claim in a datagram: a field tag of one byte and a length of up to two bytes.
const CLAIM_HEADER: usize = 3;

/// The status of a member.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum MemberStatus {
    /// The member answers probes.
    Alive,
    /// The member did not answer a ping and has not refuted the suspicion yet.
    Suspected,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member has left the cluster by itself.
    Left,
}

impl MemberStatus {
    /// Returns whether the member is in the cluster. A suspected member still is.
    pub fn is_in(self) -> bool {
        self <= MemberStatus::Suspected
    }
}

/// The contents of a datagram that a member receives: first the sender, then each claim, then the message, if any.
pub trait GossipHandler {
    /// The sender's claim about itself. Not called if the sender only observes the cluster.
    fn sender(&mut self, name: &str, address: Address, incarnation: u64, status: MemberStatus);
    /// A claim about a member in one of its incarnations. `suspecter` is the hash of the name of the member that
    /// suspects it. A claim with `in_page` is part of a full exchange, not a rumor.
    fn claim(
        &mut self,
        name: &str,
        address: Address,
        incarnation: u64,
        status: MemberStatus,
        suspecter: u32,
        in_page: bool,
    );
    /// The sender asks for an `ack` with this number.
    fn ping(&mut self, number: u32);
    /// The ping with this number was received.
    fn ack(&mut self, number: u32);
    /// The target of the ping request with this number has not answered.
    fn nack(&mut self, number: u32);
    /// The sender asks the receiver to ping the named member and to forward its answer.
    fn ping_request(&mut self, number: u32, name: &str, address: Address);
    /// The digest of each part of the sender's member list. The receiver answers with pages of the parts that differ.
    fn digest(&mut self, number: u32, digests: &[u64]);
    /// A page of the answer to a digest. If parts differ, the first page may hold the sender's own digests; otherwise
    /// `digests` is empty. `health` is how far the sender distrusts its own observations, from 0 (not at all).
    fn page(&mut self, number: u32, page: u32, pages: u32, digests: &[u64], health: u32);
}

/// A claim whose fields have been validated.
struct CheckedClaim<'a> {
    name: &'a str,
    address: Address,
    incarnation: u64,
    status: MemberStatus,
    suspecter: u32,
}

impl CheckedClaim<'_> {
    fn decode(claim: &Claim) -> Result<CheckedClaim<'_>, Malformed> {
        let status = match claim::Standing::try_from(claim.standing) {
            Ok(claim::Standing::There) => MemberStatus::Alive,
            Ok(claim::Standing::Suspected) => MemberStatus::Suspected,
            Ok(claim::Standing::Dead) => MemberStatus::Dead,
            Ok(claim::Standing::Left) => MemberStatus::Left,
            _ => return Err(Malformed::Range("standing")),
        };
        if claim.name.is_empty() || claim.name.len() > MAX_NAME_LENGTH {
            return Err(Malformed::Range("name"));
        }
        Ok(CheckedClaim {
            name: &claim.name,
            address: decode_address("address", &claim.address)?,
            incarnation: claim.incarnation,
            status,
            suspecter: claim.by,
        })
    }

    fn encode(self) -> Claim {
        let status = match self.status {
            MemberStatus::Alive => claim::Standing::There,
            MemberStatus::Suspected => claim::Standing::Suspected,
            MemberStatus::Dead => claim::Standing::Dead,
            MemberStatus::Left => claim::Standing::Left,
        };
        Claim {
            name: self.name.to_string(),
            address: encode_address(self.address),
            incarnation: self.incarnation,
            standing: status.into(),
            by: self.suspecter,
        }
    }
}

/// Decodes a datagram and calls the methods for its contents. All of it is validated before the first call, so that a
/// datagram is applied completely or not at all.
pub fn receive(datagram: &Bytes, handler: &mut impl GossipHandler) -> Result<(), Malformed> {
    let received = Datagram::decode(datagram.clone())?;
    let from = received.from.as_ref().map(CheckedClaim::decode).transpose()?;
    let claims = received.claims.iter().map(CheckedClaim::decode).collect::<Result<Vec<_>, _>>()?;
    if let Some(message) = &received.said {
        validate(message)?;
    }
    if let Some(from) = from {
        handler.sender(from.name, from.address, from.incarnation, from.status);
    }
    let in_page = matches!(received.said, Some(datagram::Said::Page(_)));
    for claim in claims {
        handler.claim(claim.name, claim.address, claim.incarnation, claim.status, claim.suspecter, in_page);
    }
    match &received.said {
        Some(message) => deliver(message, handler),
        None => Ok(()),
    }
}

/// Validates the fields of a message.
fn validate(message: &datagram::Said) -> Result<(), Malformed> {
    match message {
        datagram::Said::Detour(request) => decode_target(request).map(drop),
        datagram::Said::Compare(digest) if digest.prints.len() != PARTS => Err(Malformed::Range("prints")),
        datagram::Said::Page(page) if ![0, PARTS].contains(&page.prints.len()) => {
            Err(Malformed::Range("prints"))
        }
        _ => Ok(()),
    }
}

fn deliver(message: &datagram::Said, handler: &mut impl GossipHandler) -> Result<(), Malformed> {
    match message {
        datagram::Said::Ping(ping) => handler.ping(ping.number),
        datagram::Said::Answer(ping) => handler.ack(ping.number),
        datagram::Said::Unheard(ping) => handler.nack(ping.number),
        datagram::Said::Detour(request) => {
            let target = decode_target(request)?;
            handler.ping_request(request.number, target.name, target.address);
        }
        datagram::Said::Compare(digest) => handler.digest(digest.number, &digest.prints),
        datagram::Said::Page(page) => {
            handler.page(page.number, page.page, page.pages, &page.prints, page.health)
        }
    }
    Ok(())
}

fn decode_target(request: &Detour) -> Result<CheckedClaim<'_>, Malformed> {
    CheckedClaim::decode(request.to.as_ref().ok_or(Malformed::Empty)?)
}

/// A datagram under construction: claims are added first, then the message.
pub struct GossipMessage {
    datagram: Datagram,
    space_left: usize,
}

impl GossipMessage {
    /// Creates a datagram from a member, given by its name, address, incarnation and status, or from a process that
    /// only observes the cluster (`None`). `overhead` bytes are reserved for the authentication.
    pub fn new(from: Option<(&str, Address, u64, MemberStatus)>, overhead: usize) -> GossipMessage {
        let from = from.map(|(name, address, incarnation, status)| {
            CheckedClaim { name, address, incarnation, status, suspecter: 0 }.encode()
        });
        let used = from.as_ref().map_or(0, Message::encoded_len) + overhead + MESSAGE_SPACE;
        GossipMessage {
            datagram: Datagram { from, ..Datagram::default() },
            space_left: LARGEST.saturating_sub(used),
        }
    }

    /// Adds a claim. Returns false, and adds nothing, if there is no space for it.
    pub fn claim(
        &mut self,
        name: &str,
        address: Address,
        incarnation: u64,
        status: MemberStatus,
        suspecter: u32,
    ) -> bool {
        let claim = CheckedClaim { name, address, incarnation, status, suspecter }.encode();
        let length = claim.encoded_len() + CLAIM_HEADER;
        if length > self.space_left {
            return false;
        }
        self.space_left -= length;
        self.datagram.claims.push(claim);
        true
    }

    /// Returns whether no claims have been added.
    pub fn is_empty(&self) -> bool {
        self.datagram.claims.is_empty()
    }

    /// Encodes the datagram without a message.
    pub fn plain(self) -> Bytes {
        self.datagram.encode_to_vec().into()
    }

    /// Encodes the datagram that calls [`GossipHandler::ping`].
    pub fn ping(self, number: u32) -> Bytes {
        self.finish(datagram::Said::Ping(Ping { number }))
    }

    /// Encodes the datagram that calls [`GossipHandler::ack`].
    pub fn ack(self, number: u32) -> Bytes {
        self.finish(datagram::Said::Answer(Ping { number }))
    }

    /// Encodes the datagram that calls [`GossipHandler::nack`].
    pub fn nack(self, number: u32) -> Bytes {
        self.finish(datagram::Said::Unheard(Ping { number }))
    }

    /// Encodes the datagram that calls [`GossipHandler::ping_request`].
    pub fn ping_request(self, number: u32, name: &str, address: Address) -> Bytes {
        let to = CheckedClaim { name, address, incarnation: 0, status: MemberStatus::Alive, suspecter: 0 }
            .encode();
        self.finish(datagram::Said::Detour(Detour { number, to: Some(to) }))
    }

    /// Encodes the datagram that calls [`GossipHandler::digest`].
    pub fn digest(self, number: u32, digests: [u64; PARTS]) -> Bytes {
        self.finish(datagram::Said::Compare(Compare { number, prints: digests.to_vec() }))
    }

    /// Encodes the datagram that calls [`GossipHandler::page`].
    pub fn page(
        self,
        number: u32,
        page: u32,
        pages: u32,
        digests: Option<[u64; PARTS]>,
        health: u32,
    ) -> Bytes {
        let prints = digests.map_or(vec![], |digests| digests.to_vec());
        self.finish(datagram::Said::Page(Page { number, page, pages, prints, health }))
    }

    fn finish(mut self, message: datagram::Said) -> Bytes {
        self.datagram.said = Some(message);
        self.plain()
    }
}
