//! Messages between the cores of a router and its administration: changes of tenants, and statistics of their requests.

use bytes::Bytes;
use prost::Message;

use crate::generated::{self, tenant_letter, TenantLetter};
use crate::{Malformed, Micros};

/// A rate limit, as a token bucket.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Rate {
    /// Sustained rate in units per second.
    pub per_second: f64,
    /// Largest number of units at once: the capacity of the bucket.
    pub burst: f64,
}

/// The messages that a core receives about tenants.
pub trait Core {
    /// A tenant was added or changed. `keys` are the BLAKE3 hashes of its keys. `requests` and `tokens` are its rate
    /// limits and `max_in_flight` limits its requests in flight; `None` means no limit. At most `max_waiting` of its
    /// requests wait in the queue.
    fn set(
        &mut self,
        name: &str,
        version: u64,
        keys: Vec<[u8; 32]>,
        weight: f64,
        requests: Option<Rate>,
        tokens: Option<Rate>,
        max_in_flight: Option<u32>,
        max_waiting: u32,
    ) -> Result<(), Malformed>;
    /// A tenant was removed.
    fn removed(&mut self, name: &str, version: u64) -> Result<(), Malformed>;
}

/// Decodes a message to a core and calls the method for its change.
pub fn receive(message: &Bytes, core: &mut impl Core) -> Result<(), Malformed> {
    match TenantLetter::decode(message.clone())?.said.ok_or(Malformed::Empty)? {
        tenant_letter::Said::Set(set) => {
            let keys = set.keys.iter().map(|key| key.as_ref().try_into());
            let keys = keys.collect::<Result<_, _>>().map_err(|_| Malformed::Range("keys"))?;
            let requests = set.submissions.map(|per_second| Rate { per_second, burst: set.submissions_once });
            let tokens = set.tokens.map(|per_second| Rate { per_second, burst: set.tokens_once });
            core.set(&set.name, set.version, keys, set.weight, requests, tokens, set.in_flight, set.waiting)
        }
        tenant_letter::Said::Gone(removed) => core.removed(&removed.name, removed.version),
    }
}

/// Encodes the message that calls [`Core::set`].
pub fn set(
    name: &str,
    version: u64,
    keys: &[[u8; 32]],
    weight: f64,
    requests: Option<Rate>,
    tokens: Option<Rate>,
    max_in_flight: Option<u32>,
    max_waiting: u32,
) -> Bytes {
    to_core(tenant_letter::Said::Set(generated::TenantSet {
        name: name.to_string(),
        version,
        keys: keys.iter().map(|key| Bytes::copy_from_slice(key)).collect(),
        weight,
        submissions: requests.map(|rate| rate.per_second),
        submissions_once: requests.map_or(0.0, |rate| rate.burst),
        tokens: tokens.map(|rate| rate.per_second),
        tokens_once: tokens.map_or(0.0, |rate| rate.burst),
        in_flight: max_in_flight,
        waiting: max_waiting,
    }))
}

/// Encodes the message that calls [`Core::removed`].
pub fn removed(name: &str, version: u64) -> Bytes {
    to_core(tenant_letter::Said::Gone(generated::TenantGone { name: name.to_string(), version }))
}

fn to_core(message: tenant_letter::Said) -> Bytes {
    TenantLetter { said: Some(message) }.encode_to_vec().into()
}

/// Statistics of a tenant's requests at one core. The fields up to `queue_time` are cumulative.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct TenantStats {
    /// Requests received.
    pub received: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests that met their latency objective.
    pub in_time: u64,
    /// Requests that missed their latency objective.
    pub late: u64,
    /// Total time that admitted requests waited in the queue.
    pub queue_time: Micros,
    /// Requests that are waiting now.
    pub waiting: u32,
    /// Requests that are in flight now.
    pub in_flight: u32,
}

/// The messages that the administration receives from cores.
pub trait Watcher {
    /// The statistics of a tenant at a core.
    fn stats(&mut self, core: &str, name: &str, stats: TenantStats) -> Result<(), Malformed>;
}

/// Decodes a message to the administration and calls [`Watcher::stats`] for each tenant in it.
pub fn receive_stats(message: &Bytes, watcher: &mut impl Watcher) -> Result<(), Malformed> {
    let received = generated::TenantFigures::decode(message.clone())?;
    for figure in &received.of {
        let stats = TenantStats {
            received: figure.asked,
            admitted: figure.let_in,
            rejected: figure.turned_back,
            in_time: figure.in_time,
            late: figure.late,
            queue_time: figure.waited_us,
            waiting: figure.waiting,
            in_flight: figure.in_flight,
        };
        watcher.stats(&received.core, &figure.name, stats)?;
    }
    Ok(())
}

/// Encodes the message that calls [`Watcher::stats`] for each of these tenants at one core.
pub fn stats<'a>(core: &str, tenants: impl Iterator<Item = (&'a str, TenantStats)>) -> Bytes {
    let figure = |(name, stats): (&str, TenantStats)| generated::TenantFigure {
        name: name.to_string(),
        asked: stats.received,
        let_in: stats.admitted,
        turned_back: stats.rejected,
        in_time: stats.in_time,
        late: stats.late,
        waited_us: stats.queue_time,
        waiting: stats.waiting,
        in_flight: stats.in_flight,
    };
    let of = tenants.map(figure).collect();
    generated::TenantFigures { core: core.to_string(), of }.encode_to_vec().into()
}
