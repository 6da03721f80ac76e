//! The rumors that are still disseminated, and the order in which they are sent.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

/// A rumor is transmitted this many times the logarithm (base 2) of the number of members. By SWIM's analysis a factor
/// of 1 suffices for nearly all members to receive a rumor; packet loss and faster dissemination need more.
const TRANSMISSION_FACTOR: u32 = 3;

/// Returns how often a rumor is transmitted in a cluster with this number of members.
pub(crate) fn max_transmissions(members: usize) -> u32 {
    TRANSMISSION_FACTOR * (usize::BITS - members.leading_zeros())
}

#[derive(Clone, Copy)]
struct Rumor {
    transmissions: u32,
    /// Higher for a newer rumor.
    sequence: u64,
}

/// The rumors, keyed by the slot of the member that they are about. Rumors with the fewest transmissions are sent
/// first, and among those the newest.
#[derive(Default)]
pub(crate) struct RumorQueue {
    rumors: HashMap<usize, Rumor>,
    /// Transmissions, sequence number and slot of each rumor, in the order in which they are sent.
    order: BTreeSet<(u32, Reverse<u64>, usize)>,
    last_sequence: u64,
}

impl RumorQueue {
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the slots of all rumors, in the order in which they are to be sent.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.order.iter().map(|&(_, _, slot)| slot)
    }

    /// Starts a rumor about a member's current state, in place of any older rumor about the member.
    pub fn start(&mut self, slot: usize) {
        self.last_sequence += 1;
        self.replace(slot, Some(Rumor { transmissions: 0, sequence: self.last_sequence }));
    }

    /// Counts one more transmission of a rumor, and removes the rumor after `max_transmissions`.
    pub fn record_transmission(&mut self, slot: usize, max_transmissions: u32) {
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
