//! Timers in a hierarchical wheel (Varghese and Lauck, "Hashed and hierarchical timing wheels", 1987, scheme 7).
//!
//! Each level has 64 slots, and each slot of a level spans as many ticks as the whole level below. A timer is kept at
//! the level of the highest six bits in which its tick differs from the current tick, and moves down as time passes.
//! The cost of setting a timer does not depend on their number. `benches/timer_wheel.rs` compares the wheel with a
//! `BTreeMap`.

/// Slots per level, each of which has one bit in a 64-bit word.
const SLOTS: usize = 64;
/// Bits of a tick that one level covers.
const BITS: u32 = 6;
/// Levels that together cover all bits of a tick.
const LEVELS: usize = 11;

#[derive(Clone, Copy, Debug)]
struct Timer<K> {
    at: u64,
    order: u64,
    key: K,
}

#[derive(Debug)]
struct Level<K> {
    /// A bit for each slot that holds a timer.
    occupied: u64,
    slots: Vec<Vec<Timer<K>>>,
}

/// The first slot of the wheel that holds a timer.
struct FirstSlot {
    level: usize,
    slot: usize,
    /// The tick at which the slot begins.
    begins_at: u64,
}

/// A set of timers ordered by tick; the caller chooses how long a tick lasts.
#[derive(Debug)]
pub struct TimerWheel<K> {
    now: u64,
    order: u64,
    count: usize,
    levels: Vec<Level<K>>,
}

impl<K: Copy> TimerWheel<K> {
    /// Returns an empty wheel at tick `now`.
    pub fn new(now: u64) -> Self {
        let level = || Level { occupied: 0, slots: (0..SLOTS).map(|_| Vec::new()).collect() };
        TimerWheel { now, order: 0, count: 0, levels: (0..LEVELS).map(|_| level()).collect() }
    }

    /// Returns the number of timers that are set.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Sets a timer; a timer for a tick that has passed is due at once.
    pub fn set(&mut self, at: u64, key: K) {
        self.order += 1;
        self.count += 1;
        let timer = Timer { at: at.max(self.now), order: self.order, key };
        self.insert(timer);
    }

    fn insert(&mut self, timer: Timer<K>) {
        let differing_bits = timer.at ^ self.now;
        let level = ((63 - (differing_bits | 1).leading_zeros()) / BITS) as usize;
        let slot = (timer.at >> (BITS * level as u32)) as usize % SLOTS;
        self.levels[level].occupied |= 1 << slot;
        self.levels[level].slots[slot].push(timer);
    }

    fn first_slot(&self) -> Option<FirstSlot> {
        let level = self.levels.iter().position(|level| level.occupied != 0)?;
        let slot = self.levels[level].occupied.trailing_zeros() as usize;
        let shift = BITS * level as u32;
        // The bits above those of this level are the same as in the current tick.
        let above = if shift + BITS >= 64 { 0 } else { self.now >> (shift + BITS) << (shift + BITS) };
        Some(FirstSlot { level, slot, begins_at: above | (slot as u64) << shift })
    }

    /// Returns a tick that is not later than the first timer, at which the wheel should be advanced; `None` if no timer
    /// is set.
    pub fn next(&self) -> Option<u64> {
        self.first_slot().map(|first| first.begins_at)
    }

    /// Advances to tick `now` and appends the keys of all timers up to and including it to `due`, by tick and then in
    /// the order in which they were set.
    pub fn advance(&mut self, now: u64, due: &mut Vec<K>) {
        let mut fired: Vec<Timer<K>> = Vec::new();
        while let Some(FirstSlot { level, slot, begins_at }) = self.first_slot() {
            if begins_at > now {
                break;
            }
            self.now = begins_at.max(self.now);
            self.levels[level].occupied &= !(1 << slot);
            let timers = std::mem::take(&mut self.levels[level].slots[slot]);
            if level == 0 {
                self.count -= timers.len();
                fired.extend(timers);
            } else {
                timers.into_iter().for_each(|timer| self.insert(timer));
            }
        }
        self.now = self.now.max(now);
        fired.sort_by_key(|timer| (timer.at, timer.order));
        due.extend(fired.into_iter().map(|timer| timer.key));
    }
}
