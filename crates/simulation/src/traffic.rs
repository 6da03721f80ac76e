//! The requests of a load, generated in advance from a seed: sessions of several turns, many of which begin with a text
//! that other sessions share.

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_config_language::records::{Load, LoadBurst, TokenRange, Traffic};
use tideroute_wire::Micros;

/// One request that will be sent, whatever happens to the requests before it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Microseconds after the start of the load.
    pub at: Micros,
    /// The index of its request class.
    pub class: u8,
    /// The session to which it belongs.
    pub session: u64,
    /// The shared text with which the prompt begins; 0 for none.
    pub prefix: u64,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Length of the shared text in tokens.
    pub prefix_tokens: u32,
    /// Largest number of tokens of the response.
    pub max_tokens: u32,
    /// Microseconds from its planned sending to its deadline, over all attempts.
    pub timeout: Micros,
    /// A random key that identifies it for deduplication.
    pub idempotency_key: u64,
    /// The text of the prompt.
    pub prompt: Bytes,
    /// Number of tokens after which its client cancels it; `None` if the client does not cancel.
    pub cancel_after_tokens: Option<u32>,
    /// The index of the client that sends it.
    pub client: usize,
    /// The index of its tenant among the keys of the load.
    pub tenant: Option<usize>,
}

/// Mean microseconds between two turns of a session, in which a person reads the response and writes the next prompt.
const MEAN_THINK_TIME: f64 = 2e6;
/// A constant that is combined with the seed of the load, so that the choice of busy routers is independent of the
/// traffic.
const SKEW_SEED: u64 = 0x756e_6576_656e;
/// Bytes of the text of a prompt. The length in tokens is sent as a separate number.
const PROMPT_BYTES: usize = 48;

/// Generates all requests of a load, in order of time.
pub fn plan_requests(load: &Load) -> Vec<PlannedRequest> {
    let mut planned = Vec::new();
    // Sessions arrive as a Poisson process. Their rate is the request rate divided by the mean number of turns.
    let weight_sum: f64 = load.traffic.iter().map(|entry| entry.weight).sum();
    let mut shared_rng = Pcg64::seed_from_u64(load.seed);
    for (index, traffic) in load.traffic.iter().enumerate() {
        // With tenants, each traffic entry has its own random numbers, so that it does not depend on the other entries.
        let mut own_rng = Pcg64::seed_from_u64(load.seed ^ (index as u64 + 1) << 40);
        let rng = if load.keys.is_empty() { &mut shared_rng } else { &mut own_rng };
        let rate = load.rate * traffic.weight / weight_sum / traffic.mean_turns / 1e6;
        let mut at = 0.0;
        // Sessions are generated from before the start of the load, so that some are in the middle of their turns then.
        let lead_time = MEAN_THINK_TIME * (traffic.mean_turns - 1.0);
        at -= lead_time;
        loop {
            let burst_factor = burst_factor(&load.bursts, traffic, at);
            at += -(1.0 - rng.random::<f64>()).ln() / (rate * burst_factor);
            if at >= load.duration as f64 {
                break;
            }
            plan_session(load, traffic, index, at, rng, &mut planned);
        }
    }
    planned.sort_by_key(|request| (request.at, request.session, request.prompt_tokens));
    planned
}

/// Returns the router to which each client connects first. All clients send the same traffic on average, so that the
/// traffic of a router depends on its number of clients: equal for all routers, or higher by a factor for some if the load
/// is skewed.
pub fn router_by_client(load: &Load, routers: usize) -> Vec<usize> {
    let Some(skew) = load.skew else { return (0..load.clients).map(|client| client % routers).collect() };
    let mut rng = Pcg64::seed_from_u64(load.seed ^ SKEW_SEED);
    let busy = ((routers as f64 * skew.router_share).round() as usize).clamp(1, routers);
    let mut order: Vec<usize> = (0..routers).collect();
    for router in 0..busy {
        let swapped = rng.random_range(router..routers);
        order.swap(router, swapped);
    }
    let mut weights = vec![1.0; routers];
    order[..busy].iter().for_each(|&router| weights[router] = skew.factor);
    // Each client is assigned to the router with the fewest clients in relation to its weight.
    let mut client_counts = vec![0.0; routers];
    let least_assigned = |client_counts: &[f64]| {
        let relative_count = |router: &usize| (client_counts[*router] + 1.0) / weights[*router];
        (0..routers).min_by(|a, b| relative_count(a).total_cmp(&relative_count(b))).unwrap_or(0)
    };
    let choose_router = |_| {
        let router = least_assigned(&client_counts);
        client_counts[router] += 1.0;
        router
    };
    (0..load.clients).map(choose_router).collect()
}

/// Returns the factor by which bursts multiply the traffic at a moment.
fn burst_factor(bursts: &[LoadBurst], traffic: &Traffic, moment: f64) -> f64 {
    let concerns_traffic = |burst: &&LoadBurst| burst.tenant.is_none() || burst.tenant == traffic.tenant;
    let is_active = |burst: &&LoadBurst| {
        concerns_traffic(burst) && moment >= burst.at as f64 && moment < (burst.at + burst.duration) as f64
    };
    bursts.iter().filter(is_active).map(|burst| burst.factor).product()
}

fn random_tokens(range: TokenRange, rng: &mut Pcg64) -> u32 {
    rng.random_range(range.min..=range.max)
}

/// Chooses the shared text with which a session begins (0 for none) and returns it with its length in tokens.
fn shared_text(load: &Load, traffic: &Traffic, index: usize, rng: &mut Pcg64) -> (u64, u32) {
    let has_shared_prefix = rng.random::<f64>() < traffic.shared_prefix_share;
    let text = u64::from(rng.random_range(0..traffic.shared_prefixes));
    if !has_shared_prefix {
        return (0, 0);
    }
    let prefix = 1 + text + ((index as u64 + 1) << 32);
    // The length is a property of the text, so that all sessions get the same one.
    let mut text_rng = Pcg64::seed_from_u64(load.seed ^ prefix);
    (prefix, random_tokens(traffic.shared_prefix_tokens, &mut text_rng))
}

/// Chooses the client of a session. Clients are assigned to the tenants in turn.
fn choose_client(load: &Load, tenant: Option<usize>, rng: &mut Pcg64) -> usize {
    let Some(tenant) = tenant else { return rng.random_range(0..load.clients) };
    let clients_of_tenant = (load.clients - tenant).div_ceil(load.keys.len());
    tenant + load.keys.len() * rng.random_range(0..clients_of_tenant)
}

/// Generates the requests of one session.
fn plan_session(
    load: &Load,
    traffic: &Traffic,
    index: usize,
    started_at: f64,
    rng: &mut Pcg64,
    planned: &mut Vec<PlannedRequest>,
) {
    let class_index = load.classes.iter().position(|candidate| candidate.name == traffic.class).unwrap_or(0);
    let session: u64 = rng.random::<u64>() | 1;
    let (prefix, prefix_tokens) = shared_text(load, traffic, index, rng);
    let tenant = load.keys.iter().position(|tenant_key| Some(&tenant_key.tenant) == traffic.tenant.as_ref());
    let client = choose_client(load, tenant, rng);
    let (mut at, mut prompt_tokens) = (started_at, prefix_tokens);
    let request_class = &load.classes[class_index];
    loop {
        prompt_tokens += random_tokens(traffic.turn_tokens, rng);
        if at >= load.duration as f64 {
            return;
        }
        let wait_share = rng.random_range(traffic.min_wait_share..=1.0);
        let extra_time = u64::from(prompt_tokens) * request_class.ttft_objective_per_1000_tokens / 1000;
        let max_tokens = random_tokens(traffic.response_tokens, rng);
        let cancels = rng.random::<f64>() < load.disconnect_share;
        let mut prompt = vec![0; PROMPT_BYTES];
        rand::Rng::fill_bytes(rng, &mut prompt);
        if at >= 0.0 {
            planned.push(PlannedRequest {
                at: at as Micros,
                class: class_index as u8,
                session,
                prefix,
                prompt_tokens,
                prefix_tokens,
                max_tokens,
                timeout: ((request_class.deadline + extra_time) as f64 * wait_share) as Micros,
                idempotency_key: rng.random(),
                prompt: prompt.into(),
                cancel_after_tokens: cancels.then(|| rng.random_range(0..=max_tokens / 2)),
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
