//! Which faults are active on a route, and what they do to what passes there.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_wire::event_loop::ListenerState;
use tideroute_wire::Micros;

use crate::config::Route;
use crate::fault::{Direction, Fault, FaultKind};

/// Microseconds after which a part that was lost arrives all the same: the least that Linux waits before it
/// retransmits.
const RETRANSMIT_DELAY: Micros = 200_000;

/// The faults of a relay, from its start on.
pub(crate) struct FaultInjector {
    faults: Vec<Fault>,
    started_at: Micros,
    rng: Pcg64,
}

impl FaultInjector {
    pub fn new(faults: Vec<Fault>, seed: u64) -> FaultInjector {
        FaultInjector { faults, started_at: 0, rng: Pcg64::seed_from_u64(seed) }
    }

    /// Starts the time of the faults.
    pub fn start(&mut self, now: Micros) {
        self.started_at = now;
    }

    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    fn active<'a>(&'a self, route: &'a Route, now: Micros) -> impl Iterator<Item = &'a Fault> {
        let elapsed = now.saturating_sub(self.started_at);
        route
            .faults
            .iter()
            .filter_map(|&index| self.faults.get(index))
            .filter(move |fault| fault.from <= elapsed && elapsed < fault.until)
    }

    /// Whether nothing passes in this direction now.
    pub fn is_blocked(&self, route: &Route, direction: Direction, now: Micros) -> bool {
        self.active(route, now)
            .any(|fault| fault.kind == FaultKind::Blackhole && fault.direction.includes(direction))
    }

    /// The state of the route's listener now: the worst that an active fault demands.
    pub fn listener_state(&self, route: &Route, now: Micros) -> ListenerState {
        let mut state = ListenerState::Open;
        for fault in self.active(route, now) {
            match fault.kind {
                FaultKind::Reset => return ListenerState::Refusing,
                FaultKind::Blackhole => state = ListenerState::Unresponsive,
                FaultKind::Delay { .. } => {}
            }
        }
        state
    }

    /// When a part that arrives now goes on.
    pub fn forward_at(&mut self, route: &Route, direction: Direction, now: Micros) -> Micros {
        let active: Vec<Fault> = self.active(route, now).copied().collect();
        let mut at = now;
        for fault in active.iter().filter(|fault| fault.direction.includes(direction)) {
            let FaultKind::Delay { delay, jitter, loss } = fault.kind else { continue };
            at += delay + self.rng.random_range(0..=jitter);
            while loss > 0.0 && self.rng.random::<f64>() < loss {
                at += RETRANSMIT_DELAY;
            }
        }
        at
    }

    /// When a datagram that arrives now goes on; None if it is lost.
    pub fn forward_datagram_at(&mut self, route: &Route, now: Micros) -> Option<Micros> {
        let active: Vec<Fault> = self.active(route, now).copied().collect();
        let mut at = now;
        for fault in active.iter().filter(|fault| fault.direction.includes(Direction::Forward)) {
            let FaultKind::Delay { delay, jitter, loss } = fault.kind else { return None };
            if self.rng.random::<f64>() < loss {
                return None;
            }
            at += delay + self.rng.random_range(0..=jitter);
        }
        Some(at)
    }
}
