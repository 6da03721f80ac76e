//! Timers of the gateway: the event that each one stands for, and timeouts that keep one timer set at a time.
//!
//! The event loop identifies a timer by a `u64`. [`TimerKey`] defines its encoding: the kind in the top byte, and the
//! payload in the lower 56 bits.

use tideroute::types::RequestId;
use tideroute_lifecycle::{id_counter, Timer};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

/// Number of bits of a key below its kind.
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
    /// A release or a check of the state reserved for a request may be due.
    ReservedState(ShortRequestId),
    /// The next call of the discovery watch.
    DiscoveryWatch,
    /// The end of the shutdown's grace period, after which new requests are no longer admitted.
    ShutdownGrace,
    /// The periodic log line of statistics.
    Statistics,
    /// The next turns of clients that have sent more requests than one iteration answers.
    ClientTurns,
}

impl TimerKey {
    /// Returns the number by which the event loop identifies the timer.
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
            TimerKey::ClientTurns => (10, 0),
        };
        kind << PAYLOAD_BITS | payload
    }

    /// Returns the timer of a number; `None` if the number has no valid kind.
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
            10 => TimerKey::ClientTurns,
            _ => return None,
        })
    }

    /// Sets the timer to fire at `fires_at`.
    pub fn set(self, fires_at: Micros, effects: &mut Effects) {
        effects.set_timer(fires_at, self.encode());
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
    /// When the timer fires, if one is set.
    timer_at: Option<Micros>,
}

impl Timeout {
    /// A timeout that never expires.
    pub const NEVER: Timeout = Timeout { expires_at: Micros::MAX, timer_at: None };

    /// Returns when the timeout expires; `Micros::MAX` for never.
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

    /// Stops the timeout. A timer that is already set still fires, but has no effect.
    pub fn clear(&mut self) {
        self.expires_at = Micros::MAX;
    }

    /// Handles a fired timer with this key; returns whether the timeout has expired. If it has not, sets the next
    /// timer.
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
