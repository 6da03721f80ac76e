//! The configuration of a relay: its routes and the faults that it injects.

use tideroute_wire::Address;

use crate::fault::Fault;

/// The route of a listener or datagram socket.
#[derive(Clone, Debug)]
pub struct Route {
    /// The address of the peer to which the relay forwards.
    pub to: Address,
    /// Indexes into [`RelayConfig::faults`] of the faults that affect this route.
    pub faults: Vec<usize>,
}

/// The routes and the faults of a relay.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// The routes of the event loop's listeners, in the order of the listeners.
    pub listeners: Vec<Route>,
    /// The routes of the event loop's datagram sockets, in the order of the sockets. Only faults that include the
    /// forward direction affect them.
    pub datagram_sockets: Vec<Route>,
    /// The faults of all routes.
    pub faults: Vec<Fault>,
    /// Seed of the random number generator for jitter and loss.
    pub seed: u64,
}
