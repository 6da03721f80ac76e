//! Timers in a hierarchical wheel (Varghese and Lauck, "Hashed and hierarchical timing wheels", 1987, scheme
//! 7): levels of 64 slots, each level's slot as long as all of the level below. A timer stands at the level of
//! the highest six bits in which its tick differs from now, and moves down as time passes; setting one costs
//! the same however many there are. `benches/wheel.rs` measures it against a `BTreeMap`.

/// Slots a level: one bit each in a word.
const SLOTS: usize = 64;
/// Bits of a tick that one level takes.
const BITS: u32 = 6;
/// Levels that together take all bits of a tick.
const LEVELS: usize = 11;

#[derive(Clone, Copy, Debug)]
struct Timer<K> {
    at: u64,
    order: u64,
    key: K,
}

#[derive(Debug)]
struct Level<K> {
    filled: u64,
    slots: Vec<Vec<Timer<K>>>,
}

/// Timers by tick; what a tick lasts is the caller's.
#[derive(Debug)]
pub struct Wheel<K> {
    now: u64,
    order: u64,
    count: usize,
    levels: Vec<Level<K>>,
}

impl<K: Copy> Wheel<K> {
    pub fn new(now: u64) -> Self {
        let level = || Level { filled: 0, slots: (0..SLOTS).map(|_| Vec::new()).collect() };
        Wheel { now, order: 0, count: 0, levels: (0..LEVELS).map(|_| level()).collect() }
    }

    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Sets a timer; one for a tick that has passed is due at once.
    pub fn set(&mut self, at: u64, key: K) {
        self.order += 1;
        self.count += 1;
        let timer = Timer { at: at.max(self.now), order: self.order, key };
        self.put(timer);
    }

    fn put(&mut self, timer: Timer<K>) {
        let differs = timer.at ^ self.now;
        let level = ((63 - (differs | 1).leading_zeros()) / BITS) as usize;
        let slot = (timer.at >> (BITS * level as u32)) as usize % SLOTS;
        self.levels[level].filled |= 1 << slot;
        self.levels[level].slots[slot].push(timer);
    }

    /// The first slot that holds a timer and the tick at which it begins.
    fn first(&self) -> Option<(usize, usize, u64)> {
        let level = self.levels.iter().position(|l| l.filled != 0)?;
        let slot = self.levels[level].filled.trailing_zeros() as usize;
        let shift = BITS * level as u32;
        // Above the level's own bits the tick is that of now.
        let above = if shift + BITS >= 64 { 0 } else { self.now >> (shift + BITS) << (shift + BITS) };
        Some((level, slot, above | (slot as u64) << shift))
    }

    /// A tick at which there may be something to do; never later than the first timer.
    pub fn next(&self) -> Option<u64> {
        self.first().map(|(.., at)| at)
    }

    /// Lets time pass up to and with tick `now`; what came due is added, by tick and then as it was set.
    pub fn advance(&mut self, now: u64, due: &mut Vec<K>) {
        let mut rung: Vec<Timer<K>> = Vec::new();
        while let Some((level, slot, at)) = self.first() {
            if at > now {
                break;
            }
            self.now = at.max(self.now);
            self.levels[level].filled &= !(1 << slot);
            let timers = std::mem::take(&mut self.levels[level].slots[slot]);
            if level == 0 {
                self.count -= timers.len();
                rung.extend(timers);
            } else {
                timers.into_iter().for_each(|timer| self.put(timer));
            }
        }
        self.now = self.now.max(now);
        rung.sort_by_key(|t| (t.at, t.order));
        due.extend(rung.into_iter().map(|t| t.key));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;
    use std::collections::BTreeMap;

    quickcheck! {
        fn rings_as_a_plain_map_does(steps: Vec<(u8, u32)>) -> bool {
            let (mut wheel, mut plain) = (Wheel::new(1_000_003), BTreeMap::new());
            let (mut now, mut order) = (1_000_003u64, 0u64);
            for (what, much) in steps {
                if what % 3 < 2 {
                    let at = now + (u64::from(much) >> (what % 32));
                    order += 1;
                    wheel.set(at, order);
                    plain.insert((at, order), ());
                } else {
                    now += u64::from(much) >> (what % 32);
                    if wheel.next().is_some_and(|n| plain.keys().next().is_none_or(|k| n > k.0)) {
                        return false;
                    }
                    let mut due = vec![];
                    wheel.advance(now, &mut due);
                    let later = plain.split_off(&(now + 1, 0));
                    let expected: Vec<_> = plain.into_keys().map(|(_, key)| key).collect();
                    plain = later;
                    if due != expected || wheel.len() != plain.len() {
                        return false;
                    }
                }
            }
            true
        }
    }
}
