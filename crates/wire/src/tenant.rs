//! Messages between the cores of a router and its administration: changes of tenants, and what came of their requests.

use bytes::Bytes;
use prost::Message;

use crate::generated::{self, tenant_letter, TenantLetter};
use crate::{Malformed, Micros};

/// A rate limit, as a token bucket.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Rate {
    /// Units a second.
    pub per_second: f64,
    /// Units at once.
    pub burst: f64,
}

/// What a core receives about tenants.
pub trait Core {
    /// A tenant was added or changed. `keys` are hashes of its keys; without a rate or an in-flight limit there is none
    /// of that kind; at most `waiting` requests are queued.
    fn set(
        &mut self,
        name: &str,
        version: u64,
        keys: Vec<[u8; 32]>,
        weight: f64,
        requests: Option<Rate>,
        tokens: Option<Rate>,
        in_flight: Option<u32>,
        waiting: u32,
    ) -> Result<(), Malformed>;
    /// A tenant was removed.
    fn removed(&mut self, name: &str, version: u64) -> Result<(), Malformed>;
}

/// Decodes a message to a core and makes the call that it stands for.
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

/// The message that calls [`Core::set`].
pub fn set(
    name: &str,
    version: u64,
    keys: &[[u8; 32]],
    weight: f64,
    requests: Option<Rate>,
    tokens: Option<Rate>,
    in_flight: Option<u32>,
    waiting: u32,
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
        in_flight,
        waiting,
    }))
}

/// The message that calls [`Core::removed`].
pub fn removed(name: &str, version: u64) -> Bytes {
    to_core(tenant_letter::Said::Gone(generated::TenantGone { name: name.to_string(), version }))
}

fn to_core(message: tenant_letter::Said) -> Bytes {
    TenantLetter { said: Some(message) }.encode_to_vec().into()
}

/// What came of a tenant's requests at one core.
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
    /// Requests that missed it.
    pub late: u64,
    /// The time that all admitted requests waited in the queue.
    pub queue_time: Micros,
    /// Requests that wait now.
    pub waiting: u32,
    /// Requests that are in flight now.
    pub in_flight: u32,
}

/// What the administration receives from cores.
pub trait Watcher {
    /// The stats of a tenant at a core.
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

/// The message that calls [`Watcher::stats`] for some tenants at one core.
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
