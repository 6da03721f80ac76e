//! Configuration of one member.

use tideroute_wire::Address;

/// Configuration of one member.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Where the other members reach it with datagrams.
    pub address: Address,
    /// Addresses of members to contact first. Its own address among them is ignored.
    pub seeds: Vec<Address>,
    /// Seed of its random numbers.
    pub rng_seed: u64,
}
