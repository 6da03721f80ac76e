//! Datagrams between the members of a cluster: who sends, claims about members, and at most one message.
//!
//! Around a datagram stands a message authentication, which is not this package's concern.

use bytes::Bytes;
use prost::Message;

use crate::fields::{decode_address, encode_address};
use crate::generated::fleet::{claim, datagram, Claim, Compare, Datagram, Detour, Page, Ping};
use crate::{Address, Malformed};

/// Bytes of a datagram, its authentication included: below what most networks carry in one packet.
pub const LARGEST: usize = 1_400;
/// Parts of a member list, each with a digest of its own.
pub const PARTS: usize = 32;
/// Bytes of a member's name.
pub const LONGEST_NAME: usize = 64;
/// Bytes kept free of claims, so that the message beside them always fits: the digests, numbers and a claim.
const MESSAGE_SPACE: usize = 16 + 9 * PARTS;
/// Bytes before a claim in a datagram: a tag, and a length of two bytes at most.
const CLAIM_HEADER: usize = 3;

/// The status of a member.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum MemberStatus {
    /// It answers.
    Alive,
    /// It did not answer a ping, and has not refuted the suspicion yet.
    Suspected,
    /// Its suspicion was not refuted in time.
    Dead,
    /// It has left by itself.
    Left,
}

impl MemberStatus {
    /// Whether it is a member, as far as is known; a suspicion alone removes nobody.
    pub fn is_in(self) -> bool {
        self <= MemberStatus::Suspected
    }
}

/// What a member receives in a datagram: first the sender, then each claim, then the message, if there is one.
pub trait GossipHandler {
    /// The sender's claim about itself; left out by one that only observes.
    fn sender(&mut self, name: &str, at: Address, incarnation: u64, status: MemberStatus);
    /// A claim about a member in that incarnation. `by` is a hash of the name of the member that suspects it;
    /// `in_page` claims are part of a full exchange and no gossip.
    fn claim(
        &mut self,
        name: &str,
        at: Address,
        incarnation: u64,
        status: MemberStatus,
        by: u32,
        in_page: bool,
    );
    /// Asks for an `ack` of that number.
    fn ping(&mut self, number: u32);
    /// The ping of that number was received.
    fn ack(&mut self, number: u32);
    /// The target of the ping request of that number has not answered.
    fn nack(&mut self, number: u32);
    /// Asks to ping the named member and to forward its answer.
    fn ping_request(&mut self, number: u32, name: &str, at: Address);
    /// The digest of each part of the sender's member list; answered by pages of the parts that differ.
    fn digest(&mut self, number: u32, digests: &[u64]);
    /// A page of the answer to a digest, with the answerer's own digests on the first page where parts differ.
    /// `health` is how far the answerer distrusts its own observations, 0 for not at all.
    fn page(&mut self, number: u32, page: u32, pages: u32, digests: &[u64], health: u32);
}

/// A claim whose fields are checked.
struct CheckedClaim<'a> {
    name: &'a str,
    at: Address,
    incarnation: u64,
    status: MemberStatus,
    by: u32,
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
        if claim.name.is_empty() || claim.name.len() > LONGEST_NAME {
            return Err(Malformed::Range("name"));
        }
        Ok(CheckedClaim {
            name: &claim.name,
            at: decode_address("address", &claim.address)?,
            incarnation: claim.incarnation,
            status,
            by: claim.by,
        })
    }

    fn encode(self) -> Claim {
        let standing = match self.status {
            MemberStatus::Alive => claim::Standing::There,
            MemberStatus::Suspected => claim::Standing::Suspected,
            MemberStatus::Dead => claim::Standing::Dead,
            MemberStatus::Left => claim::Standing::Left,
        };
        Claim {
            name: self.name.to_string(),
            address: encode_address(self.at),
            incarnation: self.incarnation,
            standing: standing.into(),
            by: self.by,
        }
    }
}

/// Decodes a datagram and makes the calls that it stands for. All of it is checked first, so that it is applied
/// completely or not at all.
pub fn receive(datagram: &Bytes, handler: &mut impl GossipHandler) -> Result<(), Malformed> {
    let received = Datagram::decode(datagram.clone())?;
    let from = received.from.as_ref().map(CheckedClaim::decode).transpose()?;
    let claims = received.claims.iter().map(CheckedClaim::decode).collect::<Result<Vec<_>, _>>()?;
    if let Some(message) = &received.said {
        check(message)?;
    }
    if let Some(from) = from {
        handler.sender(from.name, from.at, from.incarnation, from.status);
    }
    let in_page = matches!(received.said, Some(datagram::Said::Page(_)));
    for claim in claims {
        handler.claim(claim.name, claim.at, claim.incarnation, claim.status, claim.by, in_page);
    }
    match &received.said {
        Some(message) => deliver(message, handler),
        None => Ok(()),
    }
}

/// Checks the fields of a message.
fn check(message: &datagram::Said) -> Result<(), Malformed> {
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
            handler.ping_request(request.number, target.name, target.at);
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

/// A datagram that is filled claim by claim and then finished with a message.
pub struct GossipMessage {
    datagram: Datagram,
    space_left: usize,
}

impl GossipMessage {
    /// From a member (its name, address, incarnation and status), or from one that only observes. `overhead` bytes are
    /// kept free for the authentication.
    pub fn new(from: Option<(&str, Address, u64, MemberStatus)>, overhead: usize) -> GossipMessage {
        let from = from.map(|(name, at, incarnation, status)| {
            CheckedClaim { name, at, incarnation, status, by: 0 }.encode()
        });
        let used = from.as_ref().map_or(0, Message::encoded_len) + overhead + MESSAGE_SPACE;
        GossipMessage {
            datagram: Datagram { from, ..Datagram::default() },
            space_left: LARGEST.saturating_sub(used),
        }
    }

    /// Adds a claim; false if there is no space for it.
    pub fn claim(
        &mut self,
        name: &str,
        at: Address,
        incarnation: u64,
        status: MemberStatus,
        by: u32,
    ) -> bool {
        let claim = CheckedClaim { name, at, incarnation, status, by }.encode();
        let length = claim.encoded_len() + CLAIM_HEADER;
        if length > self.space_left {
            return false;
        }
        self.space_left -= length;
        self.datagram.claims.push(claim);
        true
    }

    /// Whether it has no claims.
    pub fn is_empty(&self) -> bool {
        self.datagram.claims.is_empty()
    }

    /// The datagram without a message.
    pub fn plain(self) -> Bytes {
        self.datagram.encode_to_vec().into()
    }

    /// The datagram that calls [`GossipHandler::ping`].
    pub fn ping(self, number: u32) -> Bytes {
        self.finish(datagram::Said::Ping(Ping { number }))
    }

    /// The datagram that calls [`GossipHandler::ack`].
    pub fn ack(self, number: u32) -> Bytes {
        self.finish(datagram::Said::Answer(Ping { number }))
    }

    /// The datagram that calls [`GossipHandler::nack`].
    pub fn nack(self, number: u32) -> Bytes {
        self.finish(datagram::Said::Unheard(Ping { number }))
    }

    /// The datagram that calls [`GossipHandler::ping_request`].
    pub fn ping_request(self, number: u32, name: &str, at: Address) -> Bytes {
        let to = CheckedClaim { name, at, incarnation: 0, status: MemberStatus::Alive, by: 0 }.encode();
        self.finish(datagram::Said::Detour(Detour { number, to: Some(to) }))
    }

    /// The datagram that calls [`GossipHandler::digest`].
    pub fn digest(self, number: u32, digests: [u64; PARTS]) -> Bytes {
        self.finish(datagram::Said::Compare(Compare { number, prints: digests.to_vec() }))
    }

    /// The datagram that calls [`GossipHandler::page`].
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
