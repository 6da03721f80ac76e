//! What the cores of a router are told of tenants while they run.

use bytes::Bytes;
use prost::Message;

use crate::made::{self, tenant_letter, TenantLetter};
use crate::Malformed;

/// So many units a second, and so many at once.
pub type Rate = (f64, f64);

/// What a core hears of tenants.
pub trait Core {
    fn set(
        &mut self,
        name: &str,
        version: u64,
        keys: Vec<[u8; 32]>,
        weight: f64,
        submissions: Option<Rate>,
        tokens: Option<Rate>,
        in_flight: Option<u32>,
        waiting: u32,
    ) -> Result<(), Malformed>;
    fn removed(&mut self, name: &str, version: u64) -> Result<(), Malformed>;
}

pub fn receive(letter: &Bytes, core: &mut impl Core) -> Result<(), Malformed> {
    match TenantLetter::decode(letter.clone())?.said.ok_or(Malformed::Empty)? {
        tenant_letter::Said::Set(s) => {
            let keys = s.keys.iter().map(|key| key.as_ref().try_into());
            let keys = keys.collect::<Result<_, _>>().map_err(|_| Malformed::Range("keys"))?;
            let submissions = s.submissions.map(|rate| (rate, s.submissions_once));
            let tokens = s.tokens.map(|rate| (rate, s.tokens_once));
            core.set(&s.name, s.version, keys, s.weight, submissions, tokens, s.in_flight, s.waiting)
        }
        tenant_letter::Said::Gone(g) => core.removed(&g.name, g.version),
    }
}

pub fn set(
    name: &str,
    version: u64,
    keys: &[[u8; 32]],
    weight: f64,
    submissions: Option<Rate>,
    tokens: Option<Rate>,
    in_flight: Option<u32>,
    waiting: u32,
) -> Bytes {
    letter(tenant_letter::Said::Set(made::TenantSet {
        name: name.to_string(),
        version,
        keys: keys.iter().map(|key| Bytes::copy_from_slice(key)).collect(),
        weight,
        submissions: submissions.map(|rate| rate.0),
        submissions_once: submissions.map_or(0.0, |rate| rate.1),
        tokens: tokens.map(|rate| rate.0),
        tokens_once: tokens.map_or(0.0, |rate| rate.1),
        in_flight,
        waiting,
    }))
}

pub fn removed(name: &str, version: u64) -> Bytes {
    letter(tenant_letter::Said::Gone(made::TenantGone { name: name.to_string(), version }))
}

fn letter(said: tenant_letter::Said) -> Bytes {
    TenantLetter { said: Some(said) }.encode_to_vec().into()
}

/// What came of a tenant's submissions at one core: asked, let in, turned back, in time, late, microseconds waited
/// by those let in; and how many wait and are in flight.
pub type Figures = ([u64; 6], [u32; 2]);

/// What the administration hears from cores.
pub trait Watcher {
    fn stats(&mut self, core: &str, name: &str, figures: Figures) -> Result<(), Malformed>;
}

pub fn receive_stats(letter: &Bytes, watcher: &mut impl Watcher) -> Result<(), Malformed> {
    let told = made::TenantFigures::decode(letter.clone())?;
    for f in &told.of {
        let sums = [f.asked, f.let_in, f.turned_back, f.in_time, f.late, f.waited_us];
        watcher.stats(&told.core, &f.name, (sums, [f.waiting, f.in_flight]))?;
    }
    Ok(())
}

/// Figures of some tenants at one core.
pub fn stats<'a>(core: &str, of: impl Iterator<Item = (&'a str, Figures)>) -> Bytes {
    let figure = |(name, (sums, now)): (&str, Figures)| made::TenantFigure {
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
    made::TenantFigures { core: core.to_string(), of: of.map(figure).collect() }.encode_to_vec().into()
}
