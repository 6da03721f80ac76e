//! The timer keys of an emulated worker.

#[cfg(test)]
mod tests;

/// The purpose of a timer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TimerKey {
    /// The script step with this index is due.
    ScriptStep(u64),
    /// The reconnection to discovery is due.
    ReconnectDiscovery,
    /// A step of the prefill with this serial number ends.
    Prefill(u64),
    /// The next token of the stream with this serial number is due.
    Token(u64),
    /// The early fetch with this serial number times out.
    EarlyFetch(u64),
}

/// A key holds the kind of the timer in the bits from this one up, and its index or serial number in the bits below.
const KIND_SHIFT: u32 = 56;
const NUMBER_MASK: u64 = (1 << KIND_SHIFT) - 1;

const SCRIPT_STEP: u64 = 0;
const RECONNECT_DISCOVERY: u64 = 1;
const PREFILL: u64 = 2;
const TOKEN: u64 = 3;
const EARLY_FETCH: u64 = 4;

impl TimerKey {
    /// Returns the key that is passed to the event loop.
    pub fn encode(self) -> u64 {
        let (kind, number) = match self {
            TimerKey::ScriptStep(index) => (SCRIPT_STEP, index),
            TimerKey::ReconnectDiscovery => (RECONNECT_DISCOVERY, 0),
            TimerKey::Prefill(serial) => (PREFILL, serial),
            TimerKey::Token(serial) => (TOKEN, serial),
            TimerKey::EarlyFetch(serial) => (EARLY_FETCH, serial),
        };
        kind << KIND_SHIFT | number
    }

    /// Decodes a key from the event loop; `None` if its kind is unknown.
    pub fn decode(key: u64) -> Option<TimerKey> {
        let number = key & NUMBER_MASK;
        match key >> KIND_SHIFT {
            SCRIPT_STEP => Some(TimerKey::ScriptStep(number)),
            RECONNECT_DISCOVERY => Some(TimerKey::ReconnectDiscovery),
            PREFILL => Some(TimerKey::Prefill(number)),
            TOKEN => Some(TimerKey::Token(number)),
            EARLY_FETCH => Some(TimerKey::EarlyFetch(number)),
            _ => None,
        }
    }
}
