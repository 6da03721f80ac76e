//! The keys under which the poller knows the loop's sources.

/// First key of the datagram sockets; listeners come before it.
const FIRST_DATAGRAM_SOCKET: usize = 1 << 15;
const SHUTDOWN_SIGNALS: usize = 1 << 16;
const RELOAD_SIGNALS: usize = SHUTDOWN_SIGNALS + 1;
/// First key of the connections, whose number has no bound.
const FIRST_CONNECTION: usize = RELOAD_SIGNALS + 1;

/// A source of the poller; [`encode`](PollKey::encode) and [`decode`](PollKey::decode) are the one mapping to its key.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum PollKey {
    /// The listener with this index.
    Listener(usize),
    /// The datagram socket with this index.
    DatagramSocket(usize),
    /// SIGTERM and SIGINT.
    ShutdownSignals,
    /// SIGHUP.
    ReloadSignals,
    /// The connection in this slot.
    Connection(usize),
}

impl PollKey {
    /// The number that the poller is given.
    pub fn encode(self) -> usize {
        match self {
            PollKey::Listener(index) => index,
            PollKey::DatagramSocket(index) => FIRST_DATAGRAM_SOCKET + index,
            PollKey::ShutdownSignals => SHUTDOWN_SIGNALS,
            PollKey::ReloadSignals => RELOAD_SIGNALS,
            PollKey::Connection(slot) => FIRST_CONNECTION + slot,
        }
    }

    /// The source of a number that [`encode`](PollKey::encode) gave.
    pub fn decode(key: usize) -> PollKey {
        match key {
            SHUTDOWN_SIGNALS => PollKey::ShutdownSignals,
            RELOAD_SIGNALS => PollKey::ReloadSignals,
            index if index < FIRST_DATAGRAM_SOCKET => PollKey::Listener(index),
            key if key < SHUTDOWN_SIGNALS => PollKey::DatagramSocket(key - FIRST_DATAGRAM_SOCKET),
            key => PollKey::Connection(key - FIRST_CONNECTION),
        }
    }
}
