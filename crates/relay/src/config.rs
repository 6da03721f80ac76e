//! Where a relay leads, and which faults it injects.

use tideroute_wire::Address;

use crate::fault::Fault;

/// Where a listener or datagram socket leads.
#[derive(Clone, Debug)]
pub struct Route {
    /// The peer for which the relay stands.
    pub to: Address,
    /// Indexes of the faults that concern it in [`RelayConfig::faults`].
    pub faults: Vec<usize>,
}

/// The routes and the faults of a relay.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// The routes of the loop's listeners, in their order.
    pub listeners: Vec<Route>,
    /// The routes of the loop's datagram sockets, in their order. Faults in forward direction concern them.
    pub datagram_sockets: Vec<Route>,
    /// All faults.
    pub faults: Vec<Fault>,
    /// Seed of the random numbers for jitter and loss.
    pub seed: u64,
}
