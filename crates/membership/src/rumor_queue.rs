//! Which members' changes are still disseminated, and in which order.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

/// Transmissions of a rumor, times the logarithm (base 2) of the number of members. In SWIM's proof all but a vanishing
/// part of the members hear a rumor from 1 on; loss and speed need more.
const TRANSMISSIONS: u32 = 3;

/// How often a rumor is transmitted in a fleet of so many members.
pub(crate) fn max_transmissions(members: usize) -> u32 {
    TRANSMISSIONS * (usize::BITS - members.leading_zeros())
}

#[derive(Clone, Copy)]
struct Rumor {
    transmissions: u32,
    /// Larger for a younger rumor.
    sequence: u64,
}

/// Rumors by the member, a slot of the member list, that they are about. The least transmitted goes first, and among those
/// the youngest.
#[derive(Default)]
pub(crate) struct RumorQueue {
    rumors: HashMap<usize, Rumor>,
    order: BTreeSet<(u32, Reverse<u64>, usize)>,
    last_sequence: u64,
}

impl RumorQueue {
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// All rumors, in the order in which they are to be transmitted.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.order.iter().map(|&(_, _, slot)| slot)
    }

    /// Spreads what is known of a member now, in place of any older rumor about it.
    pub fn start(&mut self, slot: usize) {
        self.last_sequence += 1;
        self.replace(slot, Some(Rumor { transmissions: 0, sequence: self.last_sequence }));
    }

    /// Counts one more transmission of a rumor, and drops it once it was transmitted `max_transmissions` times.
    pub fn transmitted(&mut self, slot: usize, max_transmissions: u32) {
        let Some(rumor) = self.rumors.get(&slot).copied() else { return };
        let transmissions = rumor.transmissions + 1;
        let rumor = Rumor { transmissions, ..rumor };
        self.replace(slot, (transmissions < max_transmissions).then_some(rumor));
    }

    pub fn remove(&mut self, slot: usize) {
        self.replace(slot, None);
    }

    fn replace(&mut self, slot: usize, rumor: Option<Rumor>) {
        if let Some(old) = self.rumors.remove(&slot) {
            self.order.remove(&(old.transmissions, Reverse(old.sequence), slot));
        }
        if let Some(rumor) = rumor {
            self.rumors.insert(slot, rumor);
            self.order.insert((rumor.transmissions, Reverse(rumor.sequence), slot));
        }
    }
}
