//! When the processes of workers started, on this router's own clock.
//!
//! Discovery tells starts in Unix time, as the wall clock of another machine showed it. Wall clocks may be stepped, by
//! an hour and more, so such a time is only believed where it agrees with what this router saw itself: a start that
//! is told now, and was not when discovery was last heard, lies between the two, give or take how late lists may be.
//! Anything else is taken for a start of this moment, which errs towards a colder worker than there is.

use std::collections::HashMap;

use tideroute::types::WorkerId;
use tideroute_wire::Micros;

/// Microseconds by which a list may lag behind the fleet: by then whatever discovery has to tell counts as told.
const LIST_LAG: Micros = 6_000_000;
/// Microseconds by which two machines' clocks differ that are in step.
const CLOCK_SKEW: Micros = 50_000;
/// Microseconds for which the start of a worker that was removed is remembered, should it be listed again.
const REMEMBERED: Micros = 600_000_000;

/// A start as it was told, and when that was on this router's clock.
struct Start {
    told: Micros,
    began: Micros,
    removed: Option<Micros>,
}

/// What an entry of the list says of its worker's process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Incarnation {
    /// When it started, on this router's clock; 0 for long ago.
    pub started_at: Micros,
    /// It is another process than the one that was listed before: connections opened before then led to that one.
    pub replaced_before: Option<Micros>,
}

#[derive(Default)]
pub struct EndpointIncarnations {
    known: HashMap<WorkerId, Start>,
    /// When discovery was last heard; by then it had told all that it knew.
    heard: Option<Micros>,
}

impl EndpointIncarnations {
    /// Discovery has been heard, and what it told has been taken.
    pub fn discovery_synced(&mut self, now: Micros) {
        self.heard = Some(now);
    }

    /// A worker is listed with the Unix time of its start.
    pub fn observe(&mut self, now: Micros, worker: WorkerId, told: Micros) -> Incarnation {
        if let Some(known) = self.known.get_mut(&worker).filter(|known| known.told == told) {
            known.removed = None;
            return Incarnation { started_at: known.began, replaced_before: None };
        }
        let earliest = self.heard.map_or(0, |heard| heard.saturating_sub(LIST_LAG));
        let agrees = told == 0 || (earliest..=now + CLOCK_SKEW).contains(&told);
        let began = if agrees { told.min(now) } else { now };
        if !agrees {
            tracing::warn!(
                ?worker,
                told,
                now,
                "a start that does not agree with this router's clock: taken for now"
            );
        }
        let before = self.known.insert(worker, Start { told, began, removed: None });
        // Only connections older than any time at which it may have started are surely dead.
        let replaces_until = before.map(|_| if agrees { began } else { earliest });
        Incarnation { started_at: began, replaced_before: replaces_until }
    }

    /// The Unix time of a worker's start as it was told.
    pub fn reported_start_time(&self, worker: WorkerId) -> Micros {
        self.known.get(&worker).map_or(0, |known| known.told)
    }

    /// A worker is removed from the list.
    pub fn removed(&mut self, now: Micros, worker: WorkerId) {
        if let Some(known) = self.known.get_mut(&worker) {
            known.removed.get_or_insert(now);
        }
    }

    /// Forgets workers that were removed long ago.
    pub fn forget_removed(&mut self, now: Micros) {
        self.known.retain(|_, known| known.removed.is_none_or(|removed| now < removed + REMEMBERED));
    }
}
