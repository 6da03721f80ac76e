//! How workers, routers and requests are identified across processes.

/// Four bytes of IPv4 and two of port, most significant first; the scheduler's worker ids are of the same form.
pub type Address = [u8; 6];

/// What distinguishes one start of one core of one router from every other: 128 random bits of the machine.
///
/// No coordination and no clock is needed. Of a billion starts two agree with a probability of 1e-21; 24 bits of time
/// and process number were seen to agree within one cluster.
pub type Origin = u128;

/// A request wherever requests of several routers meet: its router's origin, and the router's own id of it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct GlobalRequestId {
    /// The core of a router that gave the id.
    pub origin: Origin,
    /// The router's own id, which others may have given too.
    pub local_id: u64,
}
