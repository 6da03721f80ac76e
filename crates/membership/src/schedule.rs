//! The schedule of the protocol's periodic tasks.

use tideroute::rng::Rng;
use tideroute_wire::Micros;

use crate::units::MILLISECOND;

/// Interval between two probes by one router. On average each member is probed by one of the others once per interval;
/// the first probe of a dead member comes within 4.6 intervals in 99 of 100 cases.
pub(crate) const PROBE_INTERVAL: Micros = 250 * MILLISECOND;

/// Interval between two rounds of gossip, while there are rumors.
pub(crate) const GOSSIP_INTERVAL: Micros = 100 * MILLISECOND;

/// Interval between two full exchanges with a random member of the cluster.
pub(crate) const EXCHANGE_INTERVAL: Micros = 2_000 * MILLISECOND;

/// Interval to the next full exchange after one that found differences, and between attempts to reach the seeds while
/// no other member is known.
pub(crate) const SHORT_EXCHANGE_INTERVAL: Micros = 500 * MILLISECOND;

/// Interval between two attempts to contact routers that are not in the cluster: a dead member, or a seed that is not
/// known. These attempts reconnect the sides of a network partition.
pub(crate) const REJOIN_INTERVAL: Micros = 1_000 * MILLISECOND;

/// The time at which each periodic task of the protocol is due next.
pub(crate) struct Schedule {
    pub probe_at: Micros,
    pub gossip_at: Micros,
    pub exchange_at: Micros,
    pub rejoin_at: Micros,
}

impl Schedule {
    /// Creates the schedule of a router that starts at `now`. Probes and exchanges begin at random times within their
    /// first interval, so that routers that start together do not probe at the same times.
    pub fn new(now: Micros, rng: &mut Rng) -> Schedule {
        let mut random_time = |interval: Micros| now + (rng.unit() * interval as f64) as Micros;
        let probe_at = random_time(PROBE_INTERVAL);
        let exchange_at = random_time(EXCHANGE_INTERVAL);
        Schedule { probe_at, gossip_at: now, exchange_at, rejoin_at: now }
    }
}
