//! Configuration of one member.

use tideroute_wire::Address;

/// Configuration of one member.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The member's name, unique in the cluster.
    pub name: String,
    /// The address at which it receives datagrams from the other members.
    pub address: Address,
    /// Addresses of members to contact first. The member ignores its own address among them.
    pub seeds: Vec<Address>,
    /// Seed of the member's random numbers.
    pub rng_seed: u64,
}
