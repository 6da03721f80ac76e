//! When each periodic part of the protocol is due.

use tideroute::rng::Rng;
use tideroute_wire::Micros;

use crate::units::MILLISECOND;

/// Interval between two probes by one router. Each member is probed once in this time by somebody, on average; the first
/// probe of a dead one comes within 4.6 intervals in 99 of 100 cases.
pub(crate) const PROBE_INTERVAL: Micros = 250 * MILLISECOND;

/// Interval between two rounds of gossip, while there are rumors.
pub(crate) const GOSSIP_INTERVAL: Micros = 100 * MILLISECOND;

/// Interval between two full exchanges with a member that is in the fleet.
pub(crate) const EXCHANGE_INTERVAL: Micros = 2_000 * MILLISECOND;

/// Interval to the next full exchange where the last one found differences, and between attempts to reach the seeds while
/// this router is alone.
pub(crate) const SHORT_EXCHANGE_INTERVAL: Micros = 500 * MILLISECOND;

/// Interval between two messages to one that is not in the fleet (dead, or a seed that is not known yet): so the sides of a
/// network partition meet again.
pub(crate) const REJOIN_INTERVAL: Micros = 1_000 * MILLISECOND;

/// When each periodic part of the protocol is due.
pub(crate) struct Schedule {
    pub probe_at: Micros,
    pub gossip_at: Micros,
    pub exchange_at: Micros,
    pub rejoin_at: Micros,
}

impl Schedule {
    /// Probes and exchanges begin at random times, so that routers that start together do not probe together.
    pub fn new(now: Micros, rng: &mut Rng) -> Schedule {
        let mut random_time = |interval: Micros| now + (rng.unit() * interval as f64) as Micros;
        let probe_at = random_time(PROBE_INTERVAL);
        let exchange_at = random_time(EXCHANGE_INTERVAL);
        Schedule { probe_at, gossip_at: now, exchange_at, rejoin_at: now }
    }
}
