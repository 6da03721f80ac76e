//! How late the event loop handles events. Events that arrive while the loop is busy, or not run by the machine, wait
//! unread for that long, while a client's deadline counts from when it sent its request.

use tideroute_wire::Micros;

#[cfg(test)]
mod tests;

/// Microseconds for which a lag is remembered at least; at most twice as long. Stalls come in series.
const WINDOW: Micros = 1_000_000;

/// At most this part of a remaining time is attributed to lag, since most events have waited less than the worst.
const MAX_ATTRIBUTED_PART: Micros = 4;

/// The worst lag of the recent past.
#[derive(Default)]
pub struct LoopLag {
    window_started_at: Micros,
    worst_in_window: Micros,
    worst_in_previous_window: Micros,
}

impl LoopLag {
    /// The loop came to an event `lag` microseconds late.
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

    /// The worst lag of the recent past, in microseconds.
    pub fn worst(&self) -> Micros {
        self.worst_in_window.max(self.worst_in_previous_window)
    }

    /// The remaining time of a client that had `remaining_time` when it sent a request that is read now.
    pub fn remaining_time(&self, remaining_time: Micros) -> Micros {
        remaining_time - self.worst().min(remaining_time / MAX_ATTRIBUTED_PART)
    }
}
