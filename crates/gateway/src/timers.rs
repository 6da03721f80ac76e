//! How long a connection is waited for: one timer at a time, however often the wait is set anew.

use tideroute_wire::event_loop::Effects;
use tideroute_wire::Micros;

#[derive(Clone, Copy, Debug)]
pub struct Patience {
    until: Micros,
    /// The timer that is set.
    rung: Option<Micros>,
}

impl Patience {
    pub const ENDLESS: Patience = Patience { until: Micros::MAX, rung: None };

    pub fn until(&self) -> Micros {
        self.until
    }

    /// Waits until then from now on.
    pub fn set(&mut self, until: Micros, key: u64, effects: &mut Effects) {
        self.until = until;
        if until < Micros::MAX && self.rung.is_none_or(|at| at > until) {
            self.rung = Some(until);
            effects.set_timer(until, key);
        }
    }

    /// A timer rang: whether the wait is over. If it is not, the next timer is set.
    pub fn over(&mut self, now: Micros, key: u64, effects: &mut Effects) -> bool {
        if self.rung.is_some_and(|at| at <= now) {
            self.rung = None;
        }
        if self.until <= now {
            return true;
        }
        self.set(self.until, key, effects);
        false
    }
}
