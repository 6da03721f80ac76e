//! Measures how late the event loop handles events. Events that arrive while the loop is busy, or while the machine
//! does not run it, wait unread. A client's deadline, however, counts from the time at which it sent its request.

use tideroute_wire::Micros;

#[cfg(test)]
mod tests;

/// Length of a measuring window, in microseconds. A lag is remembered for at least one window and at most two, because
/// stalls come in series.
const WINDOW: Micros = 1_000_000;

/// At most one part in this many of a remaining time is attributed to lag, because most events have waited less than
/// the worst lag.
const MAX_LAG_DIVISOR: Micros = 4;

/// The worst lag of the last one to two windows.
#[derive(Default)]
pub struct LoopLag {
    window_started_at: Micros,
    worst_in_window: Micros,
    worst_in_previous_window: Micros,
}

impl LoopLag {
    /// Records that the loop handled an event `lag` microseconds late.
    pub fn record(&mut self, now: Micros, lag: Micros) {
        let elapsed = now.saturating_sub(self.window_started_at);
        if elapsed >= WINDOW {
            let is_stale = elapsed >= 2 * WINDOW;
            self.worst_in_previous_window = if is_stale { 0 } else { self.worst_in_window };
            self.window_started_at = now;
            self.worst_in_window = 0;
        }
        self.worst_in_window = self.worst_in_window.max(lag);
    }

    /// Returns the worst recent lag, in microseconds.
    pub fn worst(&self) -> Micros {
        self.worst_in_window.max(self.worst_in_previous_window)
    }

    /// Returns the remaining time of a request that is read now and was sent with `remaining_time`.
    pub fn remaining_time(&self, remaining_time: Micros) -> Micros {
        remaining_time - self.worst().min(remaining_time / MAX_LAG_DIVISOR)
    }
}
