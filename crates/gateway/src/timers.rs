//! Timers of the gateway: which event each one is for, and timeouts that keep one timer set at a time.
//!
//! The event loop knows a timer by a `u64` only. [`TimerKey`] is its one encoding: the kind stands in the top byte,
//! what the timer is for in the 56 bits beneath.

use tideroute::types::RequestId;
use tideroute_lifecycle::{id_counter, Timer};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

/// Bits of a key beneath its kind.
const PAYLOAD_BITS: u32 = 56;

/// The part of a request's id that differs between the open requests of one process, and fits into a timer's key.
/// The request table expands it to the whole id.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ShortRequestId(pub u64);

impl From<RequestId> for ShortRequestId {
    fn from(id: RequestId) -> ShortRequestId {
        ShortRequestId(id_counter(id))
    }
}

/// What a timer is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TimerKey {
    /// The scheduler asked to be woken.
    SchedulerWake,
    /// The deadline of a request.
    RequestDeadline(ShortRequestId),
    /// The timeout of a health check, by its nonce.
    HealthCheck(u64),
    /// A decision on requests that wait for admission may be due.
    Admission,
    /// The timeout of a client's connection.
    Client(ConnectionId),
    /// The timeout of a connection to a worker.
    Worker(ConnectionId),
    /// State that is reserved for a request has to be released, or looked after.
    ReservedState(ShortRequestId),
    /// The timeout of the discovery watch, or the pause before it is opened again.
    DiscoveryWatch,
    /// New requests are no longer admitted after a signal to shut down.
    ShutdownGrace,
    /// The periodic log line of statistics.
    Statistics,
}

impl TimerKey {
    /// The number by which the event loop knows the timer.
    pub fn encode(self) -> u64 {
        let (kind, payload) = match self {
            TimerKey::SchedulerWake => (0, 0),
            TimerKey::RequestDeadline(id) => (1, id.0),
            TimerKey::HealthCheck(nonce) => (2, nonce),
            TimerKey::Admission => (3, 0),
            TimerKey::Client(connection) => (4, connection.number()),
            TimerKey::Worker(connection) => (5, connection.number()),
            TimerKey::ReservedState(id) => (6, id.0),
            TimerKey::DiscoveryWatch => (7, 0),
            TimerKey::ShutdownGrace => (8, 0),
            TimerKey::Statistics => (9, 0),
        };
        kind << PAYLOAD_BITS | payload
    }

    /// The timer of that number; none if the number is of no kind.
    pub fn decode(key: u64) -> Option<TimerKey> {
        let payload = key & ((1 << PAYLOAD_BITS) - 1);
        Some(match key >> PAYLOAD_BITS {
            0 => TimerKey::SchedulerWake,
            1 => TimerKey::RequestDeadline(ShortRequestId(payload)),
            2 => TimerKey::HealthCheck(payload),
            3 => TimerKey::Admission,
            4 => TimerKey::Client(ConnectionId(payload)),
            5 => TimerKey::Worker(ConnectionId::outbound(payload)),
            6 => TimerKey::ReservedState(ShortRequestId(payload)),
            7 => TimerKey::DiscoveryWatch,
            8 => TimerKey::ShutdownGrace,
            9 => TimerKey::Statistics,
            _ => return None,
        })
    }

    /// Sets the timer.
    pub fn set(self, at: Micros, effects: &mut Effects) {
        effects.set_timer(at, self.encode());
    }
}

impl From<Timer> for TimerKey {
    fn from(timer: Timer) -> TimerKey {
        match timer {
            Timer::SchedulerWake => TimerKey::SchedulerWake,
            Timer::Deadline(id) => TimerKey::RequestDeadline(id.into()),
            Timer::HealthCheck(nonce) => TimerKey::HealthCheck(nonce),
            Timer::Admission => TimerKey::Admission,
        }
    }
}

/// A timeout that may be moved at any time, with one timer set for it however often it is moved: a timer that fires
/// before the timeout has expired sets the next one.
#[derive(Clone, Copy, Debug)]
pub struct Timeout {
    expires_at: Micros,
    /// When the timer that is set fires.
    timer_at: Option<Micros>,
}

impl Timeout {
    /// A timeout that never expires.
    pub const NEVER: Timeout = Timeout { expires_at: Micros::MAX, timer_at: None };

    /// When the timeout expires; `Micros::MAX` for never.
    pub fn expires_at(&self) -> Micros {
        self.expires_at
    }

    /// Moves the timeout to `expires_at`, earlier or later than before.
    pub fn set(&mut self, expires_at: Micros, key: TimerKey, effects: &mut Effects) {
        self.expires_at = expires_at;
        if expires_at < Micros::MAX && self.timer_at.is_none_or(|timer_at| timer_at > expires_at) {
            self.timer_at = Some(expires_at);
            key.set(expires_at, effects);
        }
    }

    /// Stops the timeout. A timer that is set still fires, and changes nothing.
    pub fn clear(&mut self) {
        self.expires_at = Micros::MAX;
    }

    /// Called when a timer with this key has fired: whether the timeout has expired. If it has not, the next timer is
    /// set.
    pub fn has_expired(&mut self, now: Micros, key: TimerKey, effects: &mut Effects) -> bool {
        if self.timer_at.is_some_and(|timer_at| timer_at <= now) {
            self.timer_at = None;
        }
        if self.expires_at <= now {
            return true;
        }
        self.set(self.expires_at, key, effects);
        false
    }
}

#[cfg(test)]
mod tests;
