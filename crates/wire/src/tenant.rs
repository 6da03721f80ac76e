//! Messages between the cores of a router and its administration: changes of tenants, and what came of their requests.

use bytes::Bytes;
use prost::Message;

use crate::generated::{self, tenant_letter, TenantLetter};
use crate::Malformed;

/// A rate limit: so many units a second, and so many at once.
pub type Rate = (f64, f64);

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
            let requests = set.submissions.map(|rate| (rate, set.submissions_once));
            let tokens = set.tokens.map(|rate| (rate, set.tokens_once));
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
        submissions: requests.map(|rate| rate.0),
        submissions_once: requests.map_or(0.0, |rate| rate.1),
        tokens: tokens.map(|rate| rate.0),
        tokens_once: tokens.map_or(0.0, |rate| rate.1),
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

/// What came of a tenant's requests at one core: received, admitted, rejected, completed in time, completed late, and
/// microseconds that the admitted ones waited; and how many wait and are in flight.
pub type Figures = ([u64; 6], [u32; 2]);

/// What the administration receives from cores.
pub trait Watcher {
    /// The figures of a tenant at a core.
    fn stats(&mut self, core: &str, name: &str, figures: Figures) -> Result<(), Malformed>;
}

/// Decodes a message to the administration and calls [`Watcher::stats`] for each tenant in it.
pub fn receive_stats(message: &Bytes, watcher: &mut impl Watcher) -> Result<(), Malformed> {
    let stats = generated::TenantFigures::decode(message.clone())?;
    for f in &stats.of {
        let sums = [f.asked, f.let_in, f.turned_back, f.in_time, f.late, f.waited_us];
        watcher.stats(&stats.core, &f.name, (sums, [f.waiting, f.in_flight]))?;
    }
    Ok(())
}

/// The message that calls [`Watcher::stats`] for some tenants at one core.
pub fn stats<'a>(core: &str, tenants: impl Iterator<Item = (&'a str, Figures)>) -> Bytes {
    let figure = |(name, (sums, now)): (&str, Figures)| generated::TenantFigure {
        name: name.to_string(),
        asked: sums[0],
        let_in: sums[1],
        turned_back: sums[2],
        in_time: sums[3],
        late: sums[4],
        waited_us: sums[5],
        waiting: now[0],
        in_flight: now[1],
    };
    let of = tenants.map(figure).collect();
    generated::TenantFigures { core: core.to_string(), of }.encode_to_vec().into()
}
