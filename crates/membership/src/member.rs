//! Members, and the hashes by which two routers compare what they know of them.

use tideroute_wire::gossip::{MemberStatus, PARTS};
use tideroute_wire::Address;

/// A member, as one router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Where it receives datagrams.
    pub address: Address,
    /// Its incarnation: the time of its start in milliseconds, raised by one with each refutation.
    pub incarnation: u64,
    /// Its status.
    pub status: MemberStatus,
}

/// Precedence of claims about one member: the later incarnation wins, and within one incarnation the graver status.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Precedence {
    pub incarnation: u64,
    pub status: MemberStatus,
}

impl Member {
    pub(crate) fn precedence(&self) -> Precedence {
        Precedence { incarnation: self.incarnation, status: self.status }
    }

    /// What it adds to the digest of its part; nothing where it is not in the fleet.
    pub(crate) fn digest(&self) -> u64 {
        if !self.status.is_in() {
            return 0;
        }
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.name.as_bytes());
        hasher.update(&[0]);
        hasher.update(&self.address);
        hasher.update(&self.incarnation.to_le_bytes());
        let hash = *hasher.finalize().as_bytes();
        u64::from_le_bytes(std::array::from_fn(|n| hash[n]))
    }
}

/// A hash of a member's name. It stands for the member where it suspects another; two names share one in four billion
/// pairs.
pub(crate) fn name_hash(name: &str) -> u32 {
    let hash = *blake3::hash(name.as_bytes()).as_bytes();
    u32::from_le_bytes([hash[0], hash[1], hash[2], hash[3]])
}

/// The part of the member list to which a name belongs. Each part has a digest of its own.
pub fn digest_part(name: &str) -> usize {
    name_hash(name) as usize % PARTS
}
