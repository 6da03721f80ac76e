//! The membership under test, and random claims.

use bytes::Bytes;
use tideroute::rng::Rng;
use tideroute_membership::{Membership, MembershipConfig};
use tideroute_wire::gossip::{GossipMessage, MemberStatus};
use tideroute_wire::Address;

pub const NOW: u64 = 1_800_000_000_000_000;
pub const OWN_ADDRESS: Address = [127, 0, 0, 1, 1, 1];
pub const STATUSES: [MemberStatus; 4] =
    [MemberStatus::Alive, MemberStatus::Suspected, MemberStatus::Dead, MemberStatus::Left];

/// Creates the membership of a router named `own` that knows no other member.
pub fn membership(rng_seed: u64) -> Membership {
    let config = MembershipConfig { name: "own".into(), address: OWN_ADDRESS, seeds: vec![], rng_seed };
    Membership::new(config, NOW)
}

pub fn random_below(rng: &mut Rng, bound: usize) -> usize {
    (rng.unit() * bound as f64) as usize
}

/// A claim about a member, sent as the only claim in a message.
#[derive(Clone)]
pub struct TestClaim {
    pub name: String,
    pub incarnation: u64,
    pub status: MemberStatus,
    /// True for a claim in a page of a full exchange, false for a rumor.
    pub in_page: bool,
}

impl TestClaim {
    pub fn random(rng: &mut Rng, names: usize) -> TestClaim {
        TestClaim {
            name: format!("r{}", random_below(rng, names)),
            incarnation: 1 + random_below(rng, 4) as u64,
            status: STATUSES[random_below(rng, 4)],
            in_page: random_below(rng, 3) == 0,
        }
    }

    pub fn message(&self) -> Bytes {
        let mut message = GossipMessage::new(None, 0);
        assert!(message.claim(&self.name, OWN_ADDRESS, self.incarnation, self.status, 7));
        if self.in_page {
            message.page(1, 0, 1, None, 0)
        } else {
            message.plain()
        }
    }
}
