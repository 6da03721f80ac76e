//! Keys that identify the loop's sources in the poller.

/// First key of the datagram sockets; the keys below it belong to listeners.
const FIRST_DATAGRAM_SOCKET: usize = 1 << 15;
const SHUTDOWN_SIGNALS: usize = 1 << 16;
const RELOAD_SIGNALS: usize = SHUTDOWN_SIGNALS + 1;
/// First key of the connections, which come last because their number is unbounded.
const FIRST_CONNECTION: usize = RELOAD_SIGNALS + 1;

/// A source that the poller watches; [`encode`](PollKey::encode) and [`decode`](PollKey::decode) map it to its key and
/// back.
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
    /// Returns the key of this source in the poller.
    pub fn encode(self) -> usize {
        match self {
            PollKey::Listener(index) => index,
            PollKey::DatagramSocket(index) => FIRST_DATAGRAM_SOCKET + index,
            PollKey::ShutdownSignals => SHUTDOWN_SIGNALS,
            PollKey::ReloadSignals => RELOAD_SIGNALS,
            PollKey::Connection(slot) => FIRST_CONNECTION + slot,
        }
    }

    /// Returns the source of a key that [`encode`](PollKey::encode) returned.
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
