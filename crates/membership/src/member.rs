//! Members, and the hashes that routers use to compare their member lists.

use tideroute_wire::gossip::{MemberStatus, PARTS};
use tideroute_wire::Address;

/// A member, as one router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member's name, unique in the cluster.
    pub name: String,
    /// The address at which it receives datagrams.
    pub address: Address,
    /// Its incarnation: the time of its start in milliseconds since 1970, raised above the refuted incarnation with
    /// each refutation.
    pub incarnation: u64,
    /// Its status, as this router sees it.
    pub status: MemberStatus,
}

/// Precedence of claims about one member: the higher incarnation wins, and within one incarnation the status that comes
/// later in the order alive, suspected, dead, left.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Precedence {
    pub incarnation: u64,
    pub status: MemberStatus,
}

impl Member {
    pub(crate) fn precedence(&self) -> Precedence {
        Precedence { incarnation: self.incarnation, status: self.status }
    }

    /// Returns the member's contribution to the digest of its part: a hash, or 0 if it is not in the cluster.
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
        u64::from_le_bytes(std::array::from_fn(|index| hash[index]))
    }
}

/// Returns the hash of a member's name. Claims use it to identify the member that suspects another. Two names have the
/// same hash in one of four billion pairs.
pub(crate) fn name_hash(name: &str) -> u32 {
    let hash = *blake3::hash(name.as_bytes()).as_bytes();
    u32::from_le_bytes([hash[0], hash[1], hash[2], hash[3]])
}

/// Returns the part of the member list to which a name belongs. Each part has its own digest.
pub fn digest_part(name: &str) -> usize {
    name_hash(name) as usize % PARTS
}
