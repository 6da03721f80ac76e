//! The start times of worker processes, on this router's own clock.
//!
//! Discovery reports start times in Unix time, as the wall clock of another machine showed it. Wall clocks may be
//! stepped by an hour and more, so a reported time is believed only where it agrees with what this router saw itself:
//! a start that is reported now, and was not at the last synchronisation with discovery, lies between the two,
//! allowing for the lag of the list. Any other time is replaced by the current one, so that the router at worst treats
//! the worker as warming up for longer than it does.

use std::collections::HashMap;

use tideroute::types::WorkerId;
use tideroute_wire::Micros;

use crate::worker_address::WorkerAddress;

/// Microseconds by which the endpoint list may lag behind the workers: discovery has reported every start by then.
const LIST_LAG: Micros = 6_000_000;
/// Largest difference between the clocks of two synchronised machines, in microseconds.
const CLOCK_SKEW: Micros = 50_000;
/// Microseconds for which a removed worker's start time is remembered, in case the worker is listed again.
const RETENTION: Micros = 600_000_000;

/// A worker's last known start.
struct Start {
    /// The start time as discovery reported it, in Unix time.
    reported_at: Micros,
    /// The start time on this router's clock.
    started_at: Micros,
    /// When the worker was removed from the list.
    removed_at: Option<Micros>,
}

/// What an entry of the endpoint list says of its worker's process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Incarnation {
    /// When the process started, in microseconds on this router's clock; 0 for long ago.
    pub started_at: Micros,
    /// Set if the process replaced the one listed before: connections opened before this time led to the old process.
    pub replaced_before: Option<Micros>,
}

/// The start times of all listed workers.
#[derive(Default)]
pub struct EndpointIncarnations {
    starts: HashMap<WorkerId, Start>,
    /// The last synchronisation with discovery.
    synced_at: Option<Micros>,
}

impl EndpointIncarnations {
    /// Records that an update from discovery has been applied in full.
    pub fn discovery_synced(&mut self, now: Micros) {
        self.synced_at = Some(now);
    }

    /// Records that a worker is listed with the Unix time of its start, in microseconds; 0 where it is not known.
    pub fn observe(&mut self, now: Micros, worker: WorkerId, reported_at: Micros) -> Incarnation {
        if let Some(known) = self.starts.get_mut(&worker).filter(|known| known.reported_at == reported_at) {
            known.removed_at = None;
            return Incarnation { started_at: known.started_at, replaced_before: None };
        }
        let earliest = self.synced_at.map_or(0, |synced_at| synced_at.saturating_sub(LIST_LAG));
        let is_plausible = reported_at == 0 || (earliest..=now + CLOCK_SKEW).contains(&reported_at);
        let started_at = if is_plausible { reported_at.min(now) } else { now };
        if !is_plausible {
            tracing::warn!(
                worker = %WorkerAddress(worker),
                reported_at,
                now,
                "worker start time disagreed with this router's clock; using the current time"
            );
        }
        let previous = self.starts.insert(worker, Start { reported_at, started_at, removed_at: None });
        // Only connections that are older than the earliest possible start of the new process are certain to be dead.
        let replaced_before = previous.map(|_| if is_plausible { started_at } else { earliest });
        Incarnation { started_at, replaced_before }
    }

    /// Returns the Unix time of a worker's start, in microseconds, as discovery reported it; 0 where it is not known.
    pub fn reported_start_time(&self, worker: WorkerId) -> Micros {
        self.starts.get(&worker).map_or(0, |known| known.reported_at)
    }

    /// Records that a worker was removed from the list.
    pub fn removed(&mut self, now: Micros, worker: WorkerId) {
        if let Some(known) = self.starts.get_mut(&worker) {
            known.removed_at.get_or_insert(now);
        }
    }

    /// Forgets workers that were removed long ago.
    pub fn forget_removed(&mut self, now: Micros) {
        self.starts.retain(|_, known| known.removed_at.is_none_or(|removed_at| now < removed_at + RETENTION));
    }
}
