//! Keys of an emulated worker's timers.

#[cfg(test)]
mod tests;

/// What a timer is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TimerKey {
    /// The line of the script with that index.
    Script(u64),
    /// Connect to discovery again.
    ReconnectDiscovery,
    /// A step of the prefill with that serial number.
    Prefill(u64),
    /// The next token of the stream with that serial number.
    Token(u64),
    /// The early fetch with that serial number has waited long enough.
    EarlyFetch(u64),
}

/// The kind of a timer stands above this bit of the key, its number below.
const KIND_SHIFT: u32 = 56;
const NUMBER_MASK: u64 = (1 << KIND_SHIFT) - 1;

const SCRIPT: u64 = 0;
const RECONNECT_DISCOVERY: u64 = 1;
const PREFILL: u64 = 2;
const TOKEN: u64 = 3;
const EARLY_FETCH: u64 = 4;

impl TimerKey {
    /// The key as the event loop takes it.
    pub fn encode(self) -> u64 {
        let (kind, number) = match self {
            TimerKey::Script(index) => (SCRIPT, index),
            TimerKey::ReconnectDiscovery => (RECONNECT_DISCOVERY, 0),
            TimerKey::Prefill(serial) => (PREFILL, serial),
            TimerKey::Token(serial) => (TOKEN, serial),
            TimerKey::EarlyFetch(serial) => (EARLY_FETCH, serial),
        };
        kind << KIND_SHIFT | number
    }

    /// The key from the event loop; None if it is not one of ours.
    pub fn decode(key: u64) -> Option<TimerKey> {
        let number = key & NUMBER_MASK;
        match key >> KIND_SHIFT {
            SCRIPT => Some(TimerKey::Script(number)),
            RECONNECT_DISCOVERY => Some(TimerKey::ReconnectDiscovery),
            PREFILL => Some(TimerKey::Prefill(number)),
            TOKEN => Some(TimerKey::Token(number)),
            EARLY_FETCH => Some(TimerKey::EarlyFetch(number)),
            _ => None,
        }
    }
}
