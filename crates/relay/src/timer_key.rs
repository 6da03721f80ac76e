//! The keys of the relay's timers.

/// The bit of the keys of connection pairs.
const PAIR: u64 = 1 << 62;
/// The bit of the keys of datagrams.
const DATAGRAM: u64 = 1 << 61;

/// What a timer was set for; [`encode`](TimerKey::encode) and [`decode`](TimerKey::decode) are the one mapping to the
/// loop's keys.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum TimerKey {
    /// The fault with this index begins or ends.
    Fault(usize),
    /// A part on the connection pair of this number is due.
    Pair(u64),
    /// The delayed datagram of this number is due.
    Datagram(u64),
}

impl TimerKey {
    pub fn encode(self) -> u64 {
        match self {
            TimerKey::Fault(index) => index as u64,
            TimerKey::Pair(number) => PAIR | number,
            TimerKey::Datagram(number) => DATAGRAM | number,
        }
    }

    pub fn decode(key: u64) -> TimerKey {
        if key & DATAGRAM != 0 {
            TimerKey::Datagram(key & !DATAGRAM)
        } else if key & PAIR != 0 {
            TimerKey::Pair(key & !PAIR)
        } else {
            TimerKey::Fault(key as usize)
        }
    }
}
