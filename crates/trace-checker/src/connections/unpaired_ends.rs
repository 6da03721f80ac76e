//! Ends of connections whose other end is not known yet. Ports are reused, so several ends may have the same addresses.

use std::collections::{BTreeMap, HashMap};

use tideroute_wire::Micros;

use super::connection_end::{AddressPair, ConnectionEnd, EndKey};

/// The longest time in microseconds for which a connection may wait to be accepted: longer than any process is paused.
const MAX_ACCEPT_DELAY: Micros = 60_000_000;
/// The longest delay in microseconds with which a relay captures that it joined two connections.
const MAX_RELAY_DELAY: Micros = 1_000_000;

/// The ends of all connections.
pub type Ends = BTreeMap<EndKey, ConnectionEnd>;

/// The addresses of a downstream connection (from the dialler to a relay), and when the relay joined it with an
/// upstream connection (from the relay to the acceptor).
struct RelayedConnection {
    downstream: AddressPair,
    at: Micros,
}

/// Ends whose other end is not known yet.
#[derive(Default)]
pub struct UnpairedEnds {
    by_addresses: HashMap<AddressPair, Vec<EndKey>>,
    /// Connections that a relay joined, keyed by the addresses of the upstream connection. An entry is kept until the
    /// accepted end of the upstream connection is known.
    relayed: HashMap<AddressPair, RelayedConnection>,
}

impl UnpairedEnds {
    /// Returns the addresses that the dialling end of an accepted connection has: the downstream addresses if a relay
    /// joined the connection with another, else the same addresses.
    pub fn downstream_of(&mut self, addresses: AddressPair, accepted_at: Micros) -> AddressPair {
        match self.relayed.remove(&addresses) {
            Some(relayed) if accepted_at.saturating_sub(relayed.at) < MAX_ACCEPT_DELAY => relayed.downstream,
            _ => addresses,
        }
    }

    /// Handles a relay's event that it joined two connections. If the accepted end of the upstream connection is known
    /// already, removes it from the ends that are unpaired by the upstream addresses and returns it.
    pub fn take_end(
        &mut self,
        ends: &Ends,
        downstream: AddressPair,
        upstream: AddressPair,
        at: Micros,
    ) -> Option<EndKey> {
        let unpaired = self.by_addresses.get(&upstream);
        let nearest_end =
            unpaired.and_then(|keys| keys.iter().filter_map(|key| accepted_near(ends, *key, at)).min());
        let Some((_, key)) = nearest_end else {
            self.relayed.insert(upstream, RelayedConnection { downstream, at });
            return None;
        };
        self.by_addresses.entry(upstream).or_default().retain(|other| *other != key);
        Some(key)
    }

    /// Removes and returns the other end of `key`, or adds `key` to the unpaired ends if there is none. Only an end
    /// that is still open can be the other end; closed ends with the same addresses stay until the end of the capture.
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

    /// Removes and returns all unpaired ends, grouped by their addresses.
    pub fn take_groups(&mut self) -> Vec<Vec<EndKey>> {
        std::mem::take(&mut self.by_addresses).into_values().collect()
    }
}

/// Returns an accepted end that a relay may have joined at `joined_at`, with the time between both events. An end that
/// was closed and accepted long before is an earlier connection with the same port.
fn accepted_near(ends: &Ends, key: EndKey, joined_at: Micros) -> Option<(Micros, EndKey)> {
    let end = ends.get(&key).filter(|end| !end.is_dialler)?;
    let distance = end.connected_at.abs_diff(joined_at);
    (end.is_open() || distance < MAX_RELAY_DELAY).then_some((distance, key))
}

/// Returns the index of the candidate that connected nearest in time to `key` and can be its other end. All candidates
/// have the same addresses.
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
