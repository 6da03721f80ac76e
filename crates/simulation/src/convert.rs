//! Converts sections of configuration files into the settings of the programs that they configure.

use std::net::SocketAddrV4;

use tideroute::types::{self, DeduplicationScope, Idempotency};
use tideroute_admission::{Limits, Rate};
use tideroute_config_language::kinds::{
    Able, Door, Fault, Fleet, List, Relay, Role, Router, Step, Tenant, Terms, Track, Worker,
};
use tideroute_emulator::{Does, ListTerms, Trouble, WorkerTerms};
use tideroute_membership::Seal;
use tideroute_relay::{FaultDirection, FaultKind, RelayConfig, Route};
use tideroute_wire::{Address, Micros, Origin};

/// Microseconds in a tenth of a millisecond, the scheduler's unit of time.
const TENTH: u64 = 100;

/// Why a value of a configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConvertError {
    /// The text is no IPv4 address with a port.
    #[error("{0:?} is no address")]
    InvalidAddress(String),
    /// The text is no hash of 64 hexadecimal digits.
    #[error(transparent)]
    InvalidHash(blake3::HexError),
    /// The key of a tenant or of a cluster is no hash.
    #[error("the key of {owner}: {source}")]
    Key {
        /// Whose key it is.
        owner: String,
        /// What is wrong with it.
        source: Box<ConvertError>,
    },
}

/// An IPv4 address with a port.
pub fn socket(text: &str) -> Result<SocketAddrV4, ConvertError> {
    text.parse().map_err(|_| ConvertError::InvalidAddress(text.to_string()))
}

/// A hash as 64 hexadecimal digits.
pub fn hash(text: &str) -> Result<[u8; 32], ConvertError> {
    blake3::Hash::from_hex(text).map(|hash| *hash.as_bytes()).map_err(ConvertError::InvalidHash)
}

/// The address in the form of the wire protocol.
pub fn address(text: &str) -> Result<Address, ConvertError> {
    let parsed = socket(text)?;
    let ([a, b, c, d], [high, low]) = (parsed.ip().octets(), parsed.port().to_be_bytes());
    Ok([a, b, c, d, high, low])
}

fn tenths(micros: u64) -> types::TenthMillis {
    (micros / TENTH) as types::TenthMillis
}

fn track(t: &Track) -> types::RequestClass {
    let group = match t.group.as_str() {
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        _ => DeduplicationScope::All,
    };
    let repeat = match t.repeat.as_str() {
        "replayable" => Idempotency::Idempotent,
        "referenced" => Idempotency::IdempotentWithKey { scope: group, window: tenths(t.window) },
        _ => Idempotency::NonIdempotent,
    };
    let (contract, per_thousand) = (tenths(t.contract), tenths(t.per_thousand));
    types::RequestClass {
        idempotency: repeat,
        ttft_objective: contract,
        ttft_objective_per_1000_tokens: per_thousand,
        priority_weight: t.earnings,
    }
}

fn module(terms: &Terms, r: &Router) -> types::SchedulerConfig {
    let role = |role: &Role| match role {
        Role::Reader => types::Role::Prefill,
        Role::Writer => types::Role::Decode,
        Role::Mixed => types::Role::Mixed,
    };
    types::SchedulerConfig {
        router_count: terms.routers,
        classes: r.tracks.iter().map(track).collect(),
        role_by_kind: r.kinds.iter().map(|k| role(&k.role)).collect(),
        reservations_enabled: terms.places,
        decode_workers_prefill: terms.writers_read,
        state_release_timeout: tenths(terms.release),
        cold_capacity_share: terms.cold_share,
        warm_up_time: tenths(terms.warm_after),
        overload_multiple: terms.fall_multiple,
        overload_window: tenths(terms.fall_span),
        max_attempts: terms.most_shots,
        cancellation_enabled: terms.withdrawals,
        health_checks_enabled: terms.probes,
        load_reports_enabled: terms.asks,
        load_in_tokens: false,
        // The list is asked for once, and again whenever it was lost.
        endpoint_watch_enabled: true,
        retry_after_enabled: terms.advice,
        max_retry_after: tenths(terms.longest_advice),
    }
}

/// The terms of one core of a router. Each is a router of its own to the decisions, so that what all of them
/// send to a cold worker stays within the rule with no word between them; bounds are shared out evenly.
pub fn router(
    r: &Router,
    core: u32,
    seed: u64,
    origin: Origin,
) -> Result<tideroute_lifecycle::RouterConfig, ConvertError> {
    let cores = r.cores as usize;
    let mut module = module(&r.terms, r);
    module.router_count = module.router_count.saturating_mul(r.cores);
    let books = tideroute_lifecycle::LifecycleConfig {
        name: if r.cores > 1 { format!("{}/{core}", r.name) } else { r.name.clone() },
        scheduler: module,
        classes: r.tracks.iter().map(|t| t.name.clone()).collect(),
        connect_timeout: r.terms.unheard,
        max_open_requests: r.terms.most_open.div_ceil(cores),
        tenants: tenants(r)?,
        limits_share: 1.0 / f64::from(r.terms.routers) / f64::from(r.cores),
        max_admission_wait: r.terms.longest_wait,
        seed,
    };
    Ok(tideroute_lifecycle::RouterConfig {
        lifecycle: books,
        discovery: address(&r.list)?,
        origin,
        network_delay: r.terms.travel,
        stream_window_tokens: r.terms.window,
        max_requests_per_client: r.terms.most_a_client,
        max_clients: r.terms.most_clients.div_ceil(cores),
    })
}

/// The terms of a fleet's member, and the seal of the fleet.
pub fn member(name: &str, f: &Fleet, seed: u64) -> Result<(tideroute_membership::Terms, Seal), ConvertError> {
    let key = hash(&f.key)
        .map_err(|e| ConvertError::Key { owner: format!("the fleet {}", f.name), source: Box::new(e) })?;
    let seeds = f.seeds.iter().map(|s| address(s)).collect::<Result<_, _>>()?;
    let terms = tideroute_membership::Terms { name: name.to_string(), at: address(&f.listen)?, seeds, seed };
    Ok((terms, Seal::new(&f.name, &key)))
}

/// The tenants of a record; None where anybody may come. Those of a store are told by who administers it.
fn tenants(r: &Router) -> Result<Option<Vec<tideroute_lifecycle::TenantConfig>>, ConvertError> {
    let named = r.tenants.iter().map(tenant).collect::<Result<Vec<_>, _>>()?;
    Ok((r.admin.is_some() || !named.is_empty()).then_some(named))
}

fn tenant(t: &Tenant) -> Result<tideroute_lifecycle::TenantConfig, ConvertError> {
    let rate = |a_second: Option<f64>, burst| a_second.map(|a_second| Rate { a_second, burst });
    let key = hash(&t.key).map_err(|e| ConvertError::Key { owner: t.name.clone(), source: Box::new(e) })?;
    let limits = Limits {
        requests: rate(t.submissions, t.submissions_once),
        tokens: rate(t.tokens, t.tokens_once),
        in_flight: t.in_flight,
        weight: t.weight,
        waiting: t.waiting,
    };
    Ok(tideroute_lifecycle::TenantConfig { name: t.name.clone(), version: 0, keys: vec![key], limits })
}

/// What of a script is still to come, from `now` on.
fn to_come<T>(from: Micros, now: Micros, steps: Vec<(u64, T)>) -> Vec<(Micros, T)> {
    let later = steps.into_iter().map(|(at, what)| (from + at, what)).filter(|(at, _)| *at >= now);
    later.map(|(at, what)| (at - now, what)).collect()
}

fn steps(step: &Step) -> Vec<(u64, Trouble)> {
    let (begin, end) = match step.act.as_str() {
        "refuse" => (Trouble::Refuse(true), Some(Trouble::Refuse(false))),
        "fault" => (Trouble::Fault(true), Some(Trouble::Fault(false))),
        "slow" => (Trouble::Slow(step.times), Some(Trouble::Slow(1.0))),
        "corrupt" => (Trouble::Corrupt(true), Some(Trouble::Corrupt(false))),
        "silent" => (Trouble::Silent, Some(Trouble::Die)),
        "drain" => (Trouble::Drain, None),
        _ => (Trouble::Die, None),
    };
    let end = end.zip(step.lasts).map(|(end, lasts)| (step.at + lasts, end));
    [(step.at, begin)].into_iter().chain(end).collect()
}

/// The settings of an emulated worker whose script began at a time and that starts now.
pub fn worker(w: &Worker, cold: bool, from: Micros, now: Micros) -> Result<WorkerTerms, ConvertError> {
    let able: &Able = &w.does;
    Ok(WorkerTerms {
        name: w.name.clone(),
        address: address(&w.listen)?,
        list: address(&w.list)?,
        does: match able.role {
            Role::Reader => Does::Read,
            Role::Writer => Does::Write,
            Role::Mixed => Does::Both,
        },
        kind: w.kind,
        size: able.size,
        cell: w.cell,
        zone: w.zone,
        warm: w.warm && !cold,
        reads_at_once: able.reads_at_once,
        reads_waiting: able.reads_waiting,
        read_rate: able.read_rate,
        streams_at_once: able.streams_at_once,
        streams_waiting: able.streams_waiting,
        token_gap: able.token_gap,
        state_bytes_a_token: able.state_bytes_a_token,
        cold_share: w.terms.cold_share,
        warm_after: w.terms.warm_after,
        fall_multiple: w.terms.fall_multiple,
        fall_span: w.terms.fall_span,
        keeps: able.keeps,
        script: to_come(from, now, w.script.iter().flat_map(steps).collect()),
    })
}

/// A relay whose script began at a time and that starts now.
pub fn relay(r: &Relay, from: Micros, now: Micros) -> Result<RelayConfig, ConvertError> {
    let door = |d: &Door| Ok(Route { to: address(&d.to)?, faults: d.faults.clone() });
    let since = now.saturating_sub(from);
    let ahead = from.saturating_sub(now);
    let fault = |f: &Fault| tideroute_relay::Fault {
        from: (ahead + f.at).saturating_sub(since),
        until: (ahead + f.at + f.lasts).saturating_sub(since),
        direction: match f.way.as_str() {
            "there" => FaultDirection::Forward,
            "back" => FaultDirection::Backward,
            _ => FaultDirection::Both,
        },
        kind: match f.how.as_str() {
            "silent" => FaultKind::Blackhole,
            "reset" => FaultKind::Reset,
            _ => FaultKind::Delay { delay: f.delay, jitter: f.jitter, loss: f.loss },
        },
    };
    let doors = |doors: &[Door]| doors.iter().map(door).collect::<Result<Vec<_>, ConvertError>>();
    let (listeners, datagram_sockets) = (doors(&r.doors)?, doors(&r.datagrams)?);
    Ok(RelayConfig {
        listeners,
        datagram_sockets,
        faults: r.faults.iter().map(fault).collect(),
        seed: r.seed,
    })
}

/// The settings of an endpoint list whose script began at a time and that starts now.
pub fn list(l: &List, from: Micros, now: Micros) -> ListTerms {
    let late = l.late.iter().flat_map(|late| [(late.at, late.lag), (late.at + late.lasts, l.lag)]);
    ListTerms { lag: l.lag, script: to_come(from, now, late.collect()) }
}
