//! What routers of one fleet tell each other by datagrams, between the seal around it and the membership that it
//! tells of.

use bytes::Bytes;
use prost::Message;

use crate::made::fleet::{claim, datagram, Claim, Compare, Datagram, Detour, Page, Ping};
use crate::{address, Address, Malformed};

/// Bytes of a datagram, seal and all: below what passes most networks in one piece.
pub const LARGEST: usize = 1_400;
/// Parts of what a router knows, each with a print of its own.
pub const PARTS: usize = 32;
/// Bytes of a router's name.
pub const LONGEST_NAME: usize = 64;
/// Bytes kept free of claims, so that what is said beside them always fits: the prints, numbers and a claim.
const SAID: usize = 16 + 9 * PARTS;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum MemberStatus {
    Alive,
    Suspected,
    Dead,
    Left,
}

impl MemberStatus {
    /// It takes part, as far as is known; a suspicion alone takes nobody out.
    pub fn is_in(self) -> bool {
        self <= MemberStatus::Suspected
    }
}

/// What a router hears in a datagram: first who speaks, then each claim, then what was said, if anything was.
pub trait GossipHandler {
    fn sender(&mut self, name: &str, at: Address, incarnation: u64, standing: MemberStatus);
    /// `in_page`: part of a full exchange, and not news.
    fn claim(
        &mut self,
        name: &str,
        at: Address,
        incarnation: u64,
        standing: MemberStatus,
        by: u32,
        in_page: bool,
    );
    fn ping(&mut self, number: u32);
    fn ack(&mut self, number: u32);
    fn nack(&mut self, number: u32);
    fn ping_request(&mut self, number: u32, name: &str, at: Address);
    fn digest(&mut self, number: u32, prints: &[u64]);
    fn page(&mut self, number: u32, page: u32, pages: u32, prints: &[u64], health: u32);
}

type Checked<'a> = (&'a str, Address, u64, MemberStatus, u32);

fn checked(claim: &Claim) -> Result<Checked<'_>, Malformed> {
    let standing = match claim::Standing::try_from(claim.standing) {
        Ok(claim::Standing::There) => MemberStatus::Alive,
        Ok(claim::Standing::Suspected) => MemberStatus::Suspected,
        Ok(claim::Standing::Dead) => MemberStatus::Dead,
        Ok(claim::Standing::Left) => MemberStatus::Left,
        _ => return Err(Malformed::Range("standing")),
    };
    if claim.name.is_empty() || claim.name.len() > LONGEST_NAME {
        return Err(Malformed::Range("name"));
    }
    Ok((&claim.name, address("address", &claim.address)?, claim.incarnation, standing, claim.by))
}

fn parts(prints: &[u64]) -> Result<(), Malformed> {
    [0, PARTS].contains(&prints.len()).then_some(()).ok_or(Malformed::Range("prints"))
}

/// Takes a datagram and makes the calls that it stands for; all of it is checked first, so that it is taken whole
/// or not at all.
pub fn receive(datagram: &Bytes, ear: &mut impl GossipHandler) -> Result<(), Malformed> {
    let heard = Datagram::decode(datagram.clone())?;
    let from = heard.from.as_ref().map(checked).transpose()?;
    let claims = heard.claims.iter().map(checked).collect::<Result<Vec<_>, _>>()?;
    let to = match &heard.said {
        Some(datagram::Said::Detour(d)) => Some(checked(d.to.as_ref().ok_or(Malformed::Empty)?)?),
        Some(datagram::Said::Compare(c)) if c.prints.len() != PARTS => {
            return Err(Malformed::Range("prints"));
        }
        Some(datagram::Said::Page(p)) => parts(&p.prints).map(|()| None)?,
        _ => None,
    };
    if let Some((name, at, incarnation, standing, _)) = from {
        ear.sender(name, at, incarnation, standing);
    }
    let in_page = matches!(heard.said, Some(datagram::Said::Page(_)));
    for (name, at, incarnation, standing, by) in claims {
        ear.claim(name, at, incarnation, standing, by, in_page);
    }
    match &heard.said {
        Some(datagram::Said::Ping(p)) => ear.ping(p.number),
        Some(datagram::Said::Answer(p)) => ear.ack(p.number),
        Some(datagram::Said::Unheard(p)) => ear.nack(p.number),
        Some(datagram::Said::Detour(d)) => {
            to.into_iter().for_each(|(name, at, ..)| ear.ping_request(d.number, name, at));
        }
        Some(datagram::Said::Compare(c)) => ear.digest(c.number, &c.prints),
        Some(datagram::Said::Page(p)) => ear.page(p.number, p.page, p.pages, &p.prints, p.health),
        None => {}
    }
    Ok(())
}

fn claim(name: &str, at: Address, incarnation: u64, standing: MemberStatus, by: u32) -> Claim {
    let standing = match standing {
        MemberStatus::Alive => claim::Standing::There,
        MemberStatus::Suspected => claim::Standing::Suspected,
        MemberStatus::Dead => claim::Standing::Dead,
        MemberStatus::Left => claim::Standing::Left,
    };
    let address = Bytes::copy_from_slice(&at);
    Claim { name: name.to_string(), address, incarnation, standing: standing.into(), by }
}

/// A datagram that is filled claim by claim and then said.
pub struct GossipMessage {
    datagram: Datagram,
    left: usize,
}

impl GossipMessage {
    /// From a router, or from one that only looks. `around` bytes are kept free for the seal.
    pub fn new(from: Option<(&str, Address, u64, MemberStatus)>, around: usize) -> GossipMessage {
        let from = from.map(|(name, at, incarnation, standing)| claim(name, at, incarnation, standing, 0));
        let taken = from.as_ref().map_or(0, Message::encoded_len) + around + SAID;
        GossipMessage {
            datagram: Datagram { from, ..Datagram::default() },
            left: LARGEST.saturating_sub(taken),
        }
    }

    /// Whether the claim found room.
    pub fn claim(
        &mut self,
        name: &str,
        at: Address,
        incarnation: u64,
        standing: MemberStatus,
        by: u32,
    ) -> bool {
        let claim = claim(name, at, incarnation, standing, by);
        // A tag and a length of two bytes at most.
        let length = claim.encoded_len() + 3;
        let fits = length <= self.left;
        if fits {
            self.left -= length;
            self.datagram.claims.push(claim);
        }
        fits
    }

    pub fn is_empty(&self) -> bool {
        self.datagram.claims.is_empty()
    }

    fn say(mut self, said: datagram::Said) -> Bytes {
        self.datagram.said = Some(said);
        self.plain()
    }

    /// Nothing but its claims.
    pub fn plain(self) -> Bytes {
        self.datagram.encode_to_vec().into()
    }

    pub fn ping(self, number: u32) -> Bytes {
        self.say(datagram::Said::Ping(Ping { number }))
    }

    pub fn ack(self, number: u32) -> Bytes {
        self.say(datagram::Said::Answer(Ping { number }))
    }

    pub fn nack(self, number: u32) -> Bytes {
        self.say(datagram::Said::Unheard(Ping { number }))
    }

    pub fn ping_request(self, number: u32, name: &str, at: Address) -> Bytes {
        let to = Some(claim(name, at, 0, MemberStatus::Alive, 0));
        self.say(datagram::Said::Detour(Detour { number, to }))
    }

    pub fn digest(self, number: u32, prints: [u64; PARTS]) -> Bytes {
        self.say(datagram::Said::Compare(Compare { number, prints: prints.to_vec() }))
    }

    pub fn page(
        self,
        number: u32,
        page: u32,
        pages: u32,
        prints: Option<[u64; PARTS]>,
        health: u32,
    ) -> Bytes {
        let prints = prints.map_or(vec![], |p| p.to_vec());
        self.say(datagram::Said::Page(Page { number, page, pages, prints, health }))
    }
}
