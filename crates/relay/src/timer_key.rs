//! The timer keys of a relay.

/// The bit that is set in the keys of connection pairs.
const PAIR_BIT: u64 = 1 << 62;
/// The bit that is set in the keys of datagrams.
const DATAGRAM_BIT: u64 = 1 << 61;

/// The purpose of a timer. [`encode`](TimerKey::encode) and [`decode`](TimerKey::decode) convert it to and from the key
/// that is passed to the event loop.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum TimerKey {
    /// The fault with this index starts or ends.
    Fault(usize),
    /// Bytes on the connection pair with this number are due.
    Pair(u64),
    /// The delayed datagram with this number is due.
    Datagram(u64),
}

impl TimerKey {
    pub fn encode(self) -> u64 {
        match self {
            TimerKey::Fault(index) => index as u64,
            TimerKey::Pair(number) => PAIR_BIT | number,
            TimerKey::Datagram(number) => DATAGRAM_BIT | number,
        }
    }

    pub fn decode(key: u64) -> TimerKey {
        if key & DATAGRAM_BIT != 0 {
            TimerKey::Datagram(key & !DATAGRAM_BIT)
        } else if key & PAIR_BIT != 0 {
            TimerKey::Pair(key & !PAIR_BIT)
        } else {
            TimerKey::Fault(key as usize)
        }
    }
}
