//! The requests of a load, generated ahead from a seed: sessions of several turns, many of which begin with a text that
//! they share with others.

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_config_language::records::{Load, LoadBurst, TokenRange, Traffic};
use tideroute_wire::Micros;

/// One request that will be sent, whatever happens before.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// Microseconds after the begin of the load.
    pub at: Micros,
    /// The request class, by its index.
    pub track: u8,
    /// The session that it belongs to.
    pub session: u64,
    /// The shared text that the prompt begins with; 0 for none.
    pub prefix: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the shared text.
    pub prefix_tokens: u32,
    /// Tokens of the response at most.
    pub most_tokens: u32,
    /// Microseconds that its client waits for it, over all attempts.
    pub left: Micros,
    /// A random value that identifies it for deduplication.
    pub mark: u64,
    /// The text of the prompt.
    pub prompt: Bytes,
    /// Its client disconnects after so many tokens.
    pub leaves_after: Option<u32>,
    /// The client that sends it.
    pub client: usize,
    /// Its tenant, by the index among the load's keys.
    pub tenant: Option<usize>,
}

/// Mean microseconds between two turns of a session: a person reads the response and writes.
const MEAN_THINK_TIME: f64 = 2e6;
/// Makes the random numbers for busy routers independent of those for the traffic.
const UNEVEN_SEED: u64 = 0x756e_6576_656e;
/// Bytes of a prompt's text; its length in tokens is sent beside it.
const PROMPT_BYTES: usize = 48;

/// All requests of a load, in order of time.
pub fn plan(load: &Load) -> Vec<Planned> {
    let mut planned = Vec::new();
    // A session has so many requests on average; sessions arrive as a Poisson process.
    let parts: f64 = load.traffic.iter().map(|t| t.weight).sum();
    let mut all = Pcg64::seed_from_u64(load.seed);
    for (place, traffic) in load.traffic.iter().enumerate() {
        // A tenant's traffic has its own random numbers, so that it is the same whatever others do.
        let mut own = Pcg64::seed_from_u64(load.seed ^ (place as u64 + 1) << 40);
        let rng = if load.keys.is_empty() { &mut all } else { &mut own };
        let rate = load.rate * traffic.weight / parts / traffic.mean_turns / 1e6;
        let mut at = 0.0;
        // Sessions that began before the load are in the middle of their turns when it begins.
        let before = MEAN_THINK_TIME * (traffic.mean_turns - 1.0);
        at -= before;
        loop {
            let burst_factor = burst_factor(&load.bursts, traffic, at);
            at += -(1.0 - rng.random::<f64>()).ln() / (rate * burst_factor);
            if at >= load.duration as f64 {
                break;
            }
            session(load, traffic, place, at, rng, &mut planned);
        }
    }
    planned.sort_by_key(|p| (p.at, p.session, p.prompt_tokens));
    planned
}

/// Which router each client calls first. Clients are alike, so that a router's traffic follows from how many
/// call it: all the same, or some of them so many times as many as the rest.
pub fn routers_of(load: &Load, routers: usize) -> Vec<usize> {
    let Some(uneven) = load.skew else { return (0..load.clients).map(|n| n % routers).collect() };
    let mut rng = Pcg64::seed_from_u64(load.seed ^ UNEVEN_SEED);
    let busy = ((routers as f64 * uneven.router_share).round() as usize).clamp(1, routers);
    let mut order: Vec<usize> = (0..routers).collect();
    for n in 0..busy {
        let other = rng.random_range(n..routers);
        order.swap(n, other);
    }
    let mut weights = vec![1.0; routers];
    order[..busy].iter().for_each(|&n| weights[n] = uneven.factor);
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

/// The factor by which bursts multiply the traffic at a moment.
fn burst_factor(bursts: &[LoadBurst], traffic: &Traffic, at: f64) -> f64 {
    let its = |b: &&LoadBurst| b.tenant.is_none() || b.tenant == traffic.tenant;
    let now = |b: &&LoadBurst| its(b) && at >= b.at as f64 && at < (b.at + b.duration) as f64;
    bursts.iter().filter(now).map(|b| b.factor).product()
}

fn within(range: TokenRange, rng: &mut Pcg64) -> u32 {
    rng.random_range(range.min..=range.max)
}

/// The shared text that a session begins with, 0 for none, and its tokens.
fn shared_text(load: &Load, traffic: &Traffic, place: usize, rng: &mut Pcg64) -> (u64, u32) {
    let shares = rng.random::<f64>() < traffic.shared_prefix_share;
    let text = u64::from(rng.random_range(0..traffic.shared_prefixes));
    if !shares {
        return (0, 0);
    }
    let prefix = 1 + text + ((place as u64 + 1) << 32);
    // A shared text's length belongs to the text, not to the session.
    let mut text_rng = Pcg64::seed_from_u64(load.seed ^ prefix);
    (prefix, within(traffic.shared_prefix_tokens, &mut text_rng))
}

/// The client of a session; clients belong to the tenants in turn.
fn client_of(load: &Load, tenant: Option<usize>, rng: &mut Pcg64) -> usize {
    let Some(tenant) = tenant else { return rng.random_range(0..load.clients) };
    let clients_of_tenant = (load.clients - tenant).div_ceil(load.keys.len());
    tenant + load.keys.len() * rng.random_range(0..clients_of_tenant)
}

/// Plans the requests of one session.
fn session(
    load: &Load,
    traffic: &Traffic,
    place: usize,
    began: f64,
    rng: &mut Pcg64,
    planned: &mut Vec<Planned>,
) {
    let track = load.classes.iter().position(|t| t.name == traffic.class).unwrap_or(0);
    let session: u64 = rng.random::<u64>() | 1;
    let (prefix, prefix_tokens) = shared_text(load, traffic, place, rng);
    let tenant = load.keys.iter().position(|k| Some(&k.tenant) == traffic.tenant.as_ref());
    let client = client_of(load, tenant, rng);
    let (mut at, mut prompt_tokens) = (began, prefix_tokens);
    let terms = &load.classes[track];
    loop {
        prompt_tokens += within(traffic.turn_tokens, rng);
        if at >= load.duration as f64 {
            return;
        }
        let patience = rng.random_range(traffic.min_wait_share..=1.0);
        let stretch = u64::from(prompt_tokens) * terms.ttft_objective_per_1000_tokens / 1000;
        let most_tokens = within(traffic.response_tokens, rng);
        let leaves = rng.random::<f64>() < load.disconnect_share;
        let mut prompt = vec![0; PROMPT_BYTES];
        rand::Rng::fill_bytes(rng, &mut prompt);
        if at >= 0.0 {
            planned.push(Planned {
                at: at as Micros,
                track: track as u8,
                session,
                prefix,
                prompt_tokens,
                prefix_tokens,
                most_tokens,
                left: ((terms.deadline + stretch) as f64 * patience) as Micros,
                mark: rng.random(),
                prompt: prompt.into(),
                leaves_after: leaves.then(|| rng.random_range(0..=most_tokens / 2)),
                client,
                tenant,
            });
        }
        if rng.random::<f64>() > 1.0 - 1.0 / traffic.mean_turns {
            return;
        }
        at += -(1.0 - rng.random::<f64>()).ln() * MEAN_THINK_TIME;
    }
}
