//! Identifiers of workers, routers and requests across processes.

/// Four bytes of IPv4 address and two of port, most significant first. The scheduler's worker ids have the same form.
pub type Address = [u8; 6];

/// Identifies one start of one core of one router: 128 bits from the operating system's random number generator.
///
/// Random bits need neither coordination nor a clock. The probability that any two of a billion starts share an origin
/// is 1e-21. An earlier form, 24 bits of time and process number, led to duplicates within one cluster.
pub type Origin = u128;

/// Identifies a request where requests of several routers meet.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct GlobalRequestId {
    /// The origin of the router core that assigned `local_id`.
    pub origin: Origin,
    /// The id that the router core assigned; unique only within one origin.
    pub local_id: u64,
}
