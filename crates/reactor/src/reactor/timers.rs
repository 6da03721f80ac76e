//! Sets and fires the loop's timers, whose times are in microseconds.

use std::time::Duration;

use tideroute_wire::event_loop::{ConnectionId, Effects, EventHandler};
use tideroute_wire::Micros;

use super::Reactor;
use crate::clock::Clock;
use crate::timer_key::TimerKey;
use crate::timer_wheel::TimerWheel;

/// Microseconds per tick of the wheel, the resolution of the scheduler's clock.
pub(super) const TICK: Micros = 100;

/// Returns an empty wheel at the clock's time.
pub(super) fn new_wheel(clock: &Clock) -> TimerWheel<TimerKey> {
    TimerWheel::new(clock.now() / TICK)
}

impl Reactor {
    pub(super) fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Sets a timer of the handler, which never fires early.
    pub(super) fn set_handler_timer(&mut self, at: Micros, key: u64) {
        self.timers.set(at.div_ceil(TICK), TimerKey::Handler(key));
    }

    /// Sets a timer for the first tick after a connection's deadline.
    pub(super) fn set_connection_deadline(&mut self, deadline: Micros, connection: ConnectionId) {
        self.timers.set(deadline / TICK + 1, TimerKey::ConnectionDeadline(connection));
    }

    /// Sets a timer for an action that is retried after a delay.
    pub(super) fn set_retry_timer(&mut self, delay: Micros, key: TimerKey) {
        self.timers.set((self.now() + delay) / TICK, key);
    }

    /// Returns the time at which the first timer may fire; `None` if no timer is set.
    pub(super) fn next_timer_at(&self) -> Option<Micros> {
        self.timers.next().map(|tick| tick * TICK)
    }

    /// Returns how long the loop may wait for events; `None` if no timer is set.
    pub(super) fn poll_timeout(&self) -> Option<Duration> {
        self.next_timer_at().map(|at| Duration::from_micros(at.saturating_sub(self.now())))
    }

    /// Fires the timers that are due; `due` is a reusable buffer that is empty before and after.
    pub(super) fn fire_timers(
        &mut self,
        due: &mut Vec<TimerKey>,
        handler: &mut impl EventHandler,
        effects: &mut Effects,
    ) {
        self.timers.advance(self.now() / TICK, due);
        for key in due.drain(..) {
            match key {
                TimerKey::Handler(key) => {
                    handler.on_timer(self.clock.now(), key, effects);
                    self.execute(effects);
                }
                TimerKey::ConnectionDeadline(connection) => self.check_connection_deadline(connection),
                TimerKey::ResumeAccepting(listener) => self.watch_listener(listener, true),
                TimerKey::RetryConfigReload => self.retry_config_reload(handler, effects),
                TimerKey::Panic => panic!("a panic was requested"),
            }
        }
    }
}
