//! What clients will ask for, drawn ahead from a seed: sessions of several turns, many of which begin with a
//! text that they share with others.

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_config_language::kinds::{Burst, Load, Range, Traffic};
use tideroute_wire::Micros;

/// One submission that will be made, whatever happens before.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// After the beginning of the load.
    pub at: Micros,
    pub track: u8,
    pub session: u64,
    pub prefix: u64,
    pub prompt_tokens: u32,
    pub prefix_tokens: u32,
    pub most_tokens: u32,
    /// What its client waits for it, over all tries.
    pub left: Micros,
    pub mark: u64,
    pub prompt: Bytes,
    /// Its client leaves after so many tokens.
    pub leaves_after: Option<u32>,
    /// Which client makes it.
    pub client: usize,
    /// Whose it is, by its place among the load's keys.
    pub tenant: Option<usize>,
}

/// Microseconds between two turns of a session on average: a person reads the answer and asks on.
const THINKS: f64 = 2e6;
/// Sets the draw of busy routers apart from that of the traffic.
const UNEVEN: u64 = 0x756e_6576_656e;
/// Bytes of a prompt's own text; its length in tokens is told beside it.
const TEXT: usize = 48;

/// All submissions of a load, in order of time.
pub fn plan(load: &Load) -> Vec<Planned> {
    let mut planned = Vec::new();
    // A session brings so many submissions on average; sessions come as a Poisson process.
    let parts: f64 = load.traffic.iter().map(|t| t.part).sum();
    let mut all = Pcg64::seed_from_u64(load.seed);
    for (place, traffic) in load.traffic.iter().enumerate() {
        // A tenant's traffic is drawn by itself, so that it is the same whatever others do.
        let mut own = Pcg64::seed_from_u64(load.seed ^ (place as u64 + 1) << 40);
        let chance = if load.keys.is_empty() { &mut all } else { &mut own };
        let rate = load.rate * traffic.part / parts / traffic.turns / 1e6;
        let mut at = 0.0;
        // Sessions that began before the load are in the middle of their turns when it begins.
        let before = THINKS * (traffic.turns - 1.0);
        at -= before;
        loop {
            let surge = surge(&load.bursts, traffic, at);
            at += -(1.0 - chance.random::<f64>()).ln() / (rate * surge);
            if at >= load.lasts as f64 {
                break;
            }
            session(load, traffic, place, at, chance, &mut planned);
        }
    }
    planned.sort_by_key(|p| (p.at, p.session, p.prompt_tokens));
    planned
}

/// Which router each client calls first. Clients are alike, so that a router's traffic follows from how many
/// call it: all the same, or some of them so many times as many as the rest.
pub fn routers_of(load: &Load, routers: usize) -> Vec<usize> {
    let Some(uneven) = load.uneven else { return (0..load.clients).map(|n| n % routers).collect() };
    let mut chance = Pcg64::seed_from_u64(load.seed ^ UNEVEN);
    let busy = ((routers as f64 * uneven.part).round() as usize).clamp(1, routers);
    let mut order: Vec<usize> = (0..routers).collect();
    for n in 0..busy {
        let other = chance.random_range(n..routers);
        order.swap(n, other);
    }
    let mut weights = vec![1.0; routers];
    order[..busy].iter().for_each(|&n| weights[n] = uneven.times);
    // Each client goes where most is missing of what its weight wants.
    let mut called = vec![0.0; routers];
    let next = |called: &[f64]| {
        let missing = |n: &usize| (called[*n] + 1.0) / weights[*n];
        (0..routers).min_by(|a, b| missing(a).total_cmp(&missing(b))).unwrap_or(0)
    };
    let one = |_| {
        let n = next(&called);
        called[n] += 1.0;
        n
    };
    (0..load.clients).map(one).collect()
}

/// How many times the usual traffic comes at a moment.
fn surge(bursts: &[Burst], traffic: &Traffic, at: f64) -> f64 {
    let its = |b: &&Burst| b.tenant.is_none() || b.tenant == traffic.tenant;
    let now = |b: &&Burst| its(b) && at >= b.at as f64 && at < (b.at + b.lasts) as f64;
    bursts.iter().filter(now).map(|b| b.times).product()
}

fn within(range: Range, chance: &mut Pcg64) -> u32 {
    chance.random_range(range.least..=range.most)
}

fn session(
    load: &Load,
    traffic: &Traffic,
    place: usize,
    began: f64,
    chance: &mut Pcg64,
    planned: &mut Vec<Planned>,
) {
    let track = load.tracks.iter().position(|t| t.name == traffic.track).unwrap_or(0);
    let session: u64 = chance.random::<u64>() | 1;
    let shares = chance.random::<f64>() < traffic.shared;
    let text = u64::from(chance.random_range(0..traffic.texts));
    // A shared text's length belongs to the text, not to the session.
    let prefix = if shares { 1 + text + ((place as u64 + 1) << 32) } else { 0 };
    let mut of_text = Pcg64::seed_from_u64(load.seed ^ prefix);
    let prefix_tokens = if shares { within(traffic.text_tokens, &mut of_text) } else { 0 };
    let tenant = load.keys.iter().position(|k| Some(&k.tenant) == traffic.tenant.as_ref());
    // Clients speak for the tenants in turn.
    let client = match tenant {
        Some(tenant) => {
            let of_it = (load.clients - tenant).div_ceil(load.keys.len());
            tenant + load.keys.len() * chance.random_range(0..of_it)
        }
        None => chance.random_range(0..load.clients),
    };
    let (mut at, mut prompt_tokens) = (began, prefix_tokens);
    let terms = &load.tracks[track];
    loop {
        prompt_tokens += within(traffic.adds, chance);
        if at >= load.lasts as f64 {
            return;
        }
        let patience = chance.random_range(traffic.patience..=1.0);
        let stretch = u64::from(prompt_tokens) * terms.per_thousand / 1000;
        let most_tokens = within(traffic.answer, chance);
        let leaves = chance.random::<f64>() < load.leaves;
        let mut prompt = vec![0; TEXT];
        rand::Rng::fill_bytes(chance, &mut prompt);
        if at >= 0.0 {
            planned.push(Planned {
                at: at as Micros,
                track: track as u8,
                session,
                prefix,
                prompt_tokens,
                prefix_tokens,
                most_tokens,
                left: ((terms.cut_off + stretch) as f64 * patience) as Micros,
                mark: chance.random(),
                prompt: prompt.into(),
                leaves_after: leaves.then(|| chance.random_range(0..=most_tokens / 2)),
                client,
                tenant,
            });
        }
        if chance.random::<f64>() > 1.0 - 1.0 / traffic.turns {
            return;
        }
        at += -(1.0 - chance.random::<f64>()).ln() * THINKS;
    }
}
