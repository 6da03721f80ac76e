//! Ends of connections whose other end is not known yet. Ports are given out again, so that several ends may have the
//! same addresses.

use std::collections::{BTreeMap, HashMap};

use tideroute_wire::Micros;

use super::connection_end::{AddressPair, ConnectionEnd, EndKey};

/// Microseconds for which a connection may wait to be accepted: longer than any process is paused.
const MAX_ACCEPT_DELAY: Micros = 60_000_000;
/// Microseconds by which a relay may be late to say what it joined.
const MAX_RELAY_DELAY: Micros = 1_000_000;

/// The ends of all connections.
pub type Ends = BTreeMap<EndKey, ConnectionEnd>;

/// The addresses before a relay that it joined with those behind it, and when it said so.
struct RelayedConnection {
    front: AddressPair,
    at: Micros,
}

/// Ends whose other end is not known yet.
#[derive(Default)]
pub struct UnpairedEnds {
    by_addresses: HashMap<AddressPair, Vec<EndKey>>,
    /// Connections that a relay joined, by the addresses behind it, until the end behind is known.
    relayed: HashMap<AddressPair, RelayedConnection>,
}

impl UnpairedEnds {
    /// The addresses by which an accepted connection's other end knows it: those before a relay, if one stands between.
    pub fn front_of(&mut self, addresses: AddressPair, accepted_at: Micros) -> AddressPair {
        match self.relayed.remove(&addresses) {
            Some(relayed) if accepted_at.saturating_sub(relayed.at) < MAX_ACCEPT_DELAY => relayed.front,
            _ => addresses,
        }
    }

    /// A relay joined two connections. Returns the accepted end behind it if that is known already; it is then no longer
    /// unpaired by the addresses behind.
    pub fn relay_joined(
        &mut self,
        ends: &Ends,
        front: AddressPair,
        behind: AddressPair,
        at: Micros,
    ) -> Option<EndKey> {
        let unpaired = self.by_addresses.get(&behind);
        let fitting =
            unpaired.and_then(|keys| keys.iter().filter_map(|key| accepted_near(ends, *key, at)).min());
        let Some((_, key)) = fitting else {
            self.relayed.insert(behind, RelayedConnection { front, at });
            return None;
        };
        self.by_addresses.entry(behind).or_default().retain(|other| *other != key);
        Some(key)
    }

    /// Takes the other end of `key` out, or adds `key` to the unpaired ends. Of ends that look alike, one that is still
    /// open is the other end, and the rest stay to the end of the capture.
    pub fn take_peer(&mut self, ends: &Ends, key: EndKey, addresses: AddressPair) -> Option<EndKey> {
        let is_dialler = ends.get(&key)?.is_dialler;
        let unpaired = self.by_addresses.entry(addresses).or_default();
        let is_peer = |other: &EndKey| {
            let end = ends.get(other);
            end.is_some_and(|end| end.is_dialler != is_dialler && end.is_open()) && *other != key
        };
        let Some(index) = unpaired.iter().position(is_peer) else {
            unpaired.push(key);
            return None;
        };
        let peer = unpaired.swap_remove(index);
        if unpaired.is_empty() {
            self.by_addresses.remove(&addresses);
        }
        Some(peer)
    }

    /// Takes out all groups of unpaired ends with the same addresses.
    pub fn take_groups(&mut self) -> Vec<Vec<EndKey>> {
        std::mem::take(&mut self.by_addresses).into_values().collect()
    }
}

/// An accepted end that a relay may have joined at a moment, with the time between; one of long ago had the same port.
fn accepted_near(ends: &Ends, key: EndKey, joined_at: Micros) -> Option<(Micros, EndKey)> {
    let end = ends.get(&key).filter(|end| !end.is_dialler)?;
    let apart = end.connected_at.abs_diff(joined_at);
    (end.is_open() || apart < MAX_RELAY_DELAY).then_some((apart, key))
}

/// Of ends with the same addresses, the index of the other end of `key` that connected at the nearest time.
pub fn nearest_peer(ends: &Ends, key: EndKey, candidates: &[EndKey]) -> Option<usize> {
    let end = ends.get(&key)?;
    let distance = |candidate: &EndKey| {
        let peer = ends.get(candidate).filter(|peer| peer.is_dialler != end.is_dialler)?;
        Some(peer.connected_at.abs_diff(end.connected_at))
    };
    let indexed = candidates.iter().enumerate();
    let nearest = indexed.filter_map(|(index, candidate)| Some((distance(candidate)?, index))).min();
    nearest.map(|(_, index)| index)
}
