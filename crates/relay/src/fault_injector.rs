//! Determines which faults are active on a route, and how they affect the traffic of the route.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_wire::event_loop::ListenerState;
use tideroute_wire::Micros;

use crate::config::Route;
use crate::fault::{Direction, Fault, FaultKind};

/// Microseconds that are added to the delay of lost bytes for their retransmission: the shortest time after which Linux
/// retransmits.
const RETRANSMIT_DELAY: Micros = 200_000;

/// The faults of a relay, relative to the start of the relay.
pub(crate) struct FaultInjector {
    faults: Vec<Fault>,
    started_at: Micros,
    rng: Pcg64,
}

impl FaultInjector {
    pub fn new(faults: Vec<Fault>, seed: u64) -> FaultInjector {
        FaultInjector { faults, started_at: 0, rng: Pcg64::seed_from_u64(seed) }
    }

    /// Sets the time from which the start and end of each fault are counted.
    pub fn start(&mut self, now: Micros) {
        self.started_at = now;
    }

    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// Returns the faults that are active on a route at `now`.
    fn active<'a>(&'a self, route: &'a Route, now: Micros) -> impl Iterator<Item = &'a Fault> {
        let elapsed = now.saturating_sub(self.started_at);
        route
            .faults
            .iter()
            .filter_map(|&index| self.faults.get(index))
            .filter(move |fault| fault.from <= elapsed && elapsed < fault.until)
    }

    /// Returns whether an active fault blocks all bytes in this direction.
    pub fn is_blocked(&self, route: &Route, direction: Direction, now: Micros) -> bool {
        self.active(route, now)
            .any(|fault| fault.kind == FaultKind::Blackhole && fault.direction.includes(direction))
    }

    /// Returns the state of the route's listener at `now`: refusing if a reset fault is active, else unresponsive if a
    /// blackhole is active, else open.
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

    /// Returns the time at which bytes received at `now` are forwarded.
    pub fn forward_time(&mut self, route: &Route, direction: Direction, now: Micros) -> Micros {
        let active: Vec<Fault> = self.active(route, now).copied().collect();
        let mut forward_at = now;
        for fault in active.iter().filter(|fault| fault.direction.includes(direction)) {
            let FaultKind::Delay { delay, jitter, loss } = fault.kind else { continue };
            forward_at += delay + self.rng.random_range(0..=jitter);
            while loss > 0.0 && self.rng.random::<f64>() < loss {
                forward_at += RETRANSMIT_DELAY;
            }
        }
        forward_at
    }

    /// Returns the time at which a datagram received at `now` is forwarded, or `None` if it is lost.
    pub fn datagram_forward_time(&mut self, route: &Route, now: Micros) -> Option<Micros> {
        let active: Vec<Fault> = self.active(route, now).copied().collect();
        let mut forward_at = now;
        for fault in active.iter().filter(|fault| fault.direction.includes(Direction::Forward)) {
            let FaultKind::Delay { delay, jitter, loss } = fault.kind else { return None };
            if self.rng.random::<f64>() < loss {
                return None;
            }
            forward_at += delay + self.rng.random_range(0..=jitter);
        }
        Some(forward_at)
    }
}
