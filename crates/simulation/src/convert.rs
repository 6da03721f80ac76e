//! Converts sections of configuration files into the settings of the programs that they configure.

use std::net::SocketAddrV4;

use tideroute::types::{self, DeduplicationScope, Idempotency};
use tideroute_admission::{Limits, RateLimit};
use tideroute_config_language::records::{
    Discovery, MembershipConfig, Relay, RelayFault, RelayListener, RequestClass, Role, Router,
    SchedulerSettings, Tenant, Worker, WorkerCapacity, WorkerFault,
};
use tideroute_emulator::{DiscoveryConfig, ScriptedFault, WorkerConfig, WorkerRole};
use tideroute_membership::MessageAuthenticator;
use tideroute_relay::{FaultDirection, FaultKind, RelayConfig, Route};
use tideroute_wire::{Address, Micros, Origin};

/// Microseconds in a tenth of a millisecond, the scheduler's unit of time.
const MICROS_PER_TENTH_MILLI: u64 = 100;

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

fn tenth_millis(micros: u64) -> types::TenthMillis {
    (micros / MICROS_PER_TENTH_MILLI) as types::TenthMillis
}

fn request_class(t: &RequestClass) -> types::RequestClass {
    let scope = match t.deduplication_scope.as_str() {
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        _ => DeduplicationScope::All,
    };
    let idempotency = match t.idempotency.as_str() {
        "replayable" => Idempotency::Idempotent,
        "referenced" => {
            Idempotency::IdempotentWithKey { scope, window: tenth_millis(t.deduplication_window) }
        }
        _ => Idempotency::NonIdempotent,
    };
    types::RequestClass {
        idempotency,
        ttft_objective: tenth_millis(t.ttft_objective),
        ttft_objective_per_1000_tokens: tenth_millis(t.ttft_objective_per_1000_tokens),
        priority_weight: t.priority_weight,
    }
}

fn scheduler_config(terms: &SchedulerSettings, config: &Router) -> types::SchedulerConfig {
    let role = |role: &Role| match role {
        Role::Reader => types::Role::Prefill,
        Role::Writer => types::Role::Decode,
        Role::Mixed => types::Role::Mixed,
    };
    types::SchedulerConfig {
        router_count: terms.routers,
        classes: config.classes.iter().map(request_class).collect(),
        role_by_kind: config.kinds.iter().map(|k| role(&k.role)).collect(),
        reservations_enabled: terms.reservations,
        decode_workers_prefill: terms.decode_workers_prefill,
        state_release_timeout: tenth_millis(terms.state_release_timeout),
        cold_capacity_share: terms.slow_start_share,
        warm_up_time: tenth_millis(terms.warm_up),
        overload_multiple: terms.overload_multiple,
        overload_window: tenth_millis(terms.overload_window),
        max_attempts: terms.max_attempts,
        cancellation_enabled: terms.cancellations,
        health_checks_enabled: terms.health_checks,
        load_reports_enabled: terms.load_reports,
        load_in_tokens: false,
        // The list is asked for once, and again whenever it was lost.
        endpoint_watch_enabled: true,
        retry_after_enabled: terms.retry_after,
        max_retry_after: tenth_millis(terms.max_retry_after),
    }
}

/// The settings of one core of a router. To the scheduler each core is a router of its own, so that all of them
/// together stay within the slow-start budget of a worker without communicating; limits are divided evenly.
pub fn router(
    config: &Router,
    core: u32,
    seed: u64,
    origin: Origin,
) -> Result<tideroute_lifecycle::RouterConfig, ConvertError> {
    let cores = config.cores as usize;
    let mut scheduler_config = scheduler_config(&config.settings, config);
    scheduler_config.router_count = scheduler_config.router_count.saturating_mul(config.cores);
    let lifecycle_config = tideroute_lifecycle::LifecycleConfig {
        name: if config.cores > 1 { format!("{}/{core}", config.name) } else { config.name.clone() },
        scheduler: scheduler_config,
        classes: config.classes.iter().map(|t| t.name.clone()).collect(),
        connect_timeout: config.settings.connect_timeout,
        max_open_requests: config.settings.max_open_requests.div_ceil(cores),
        tenants: tenants(config)?,
        limits_share: 1.0 / f64::from(config.settings.routers) / f64::from(config.cores),
        max_admission_wait: config.settings.max_queue_time,
        seed,
    };
    Ok(tideroute_lifecycle::RouterConfig {
        lifecycle: lifecycle_config,
        discovery: address(&config.discovery)?,
        origin,
        network_delay: config.settings.network_delay,
        stream_window_tokens: config.settings.stream_window_tokens,
        max_requests_per_client: config.settings.max_requests_per_client,
        max_clients: config.settings.max_clients.div_ceil(cores),
    })
}

/// The settings of a cluster member, and the key that authenticates messages of the cluster.
pub fn member(
    name: &str,
    f: &MembershipConfig,
    seed: u64,
) -> Result<(tideroute_membership::MembershipConfig, MessageAuthenticator), ConvertError> {
    let key = hash(&f.key)
        .map_err(|e| ConvertError::Key { owner: format!("the fleet {}", f.name), source: Box::new(e) })?;
    let seeds = f.seeds.iter().map(|s| address(s)).collect::<Result<_, _>>()?;
    let terms = tideroute_membership::MembershipConfig {
        name: name.to_string(),
        address: address(&f.listen)?,
        seeds,
        rng_seed: seed,
    };
    Ok((terms, MessageAuthenticator::new(&f.name, &key)))
}

/// The tenants of a router; None if clients need no key. Those of a store come from the administration API.
fn tenants(config: &Router) -> Result<Option<Vec<tideroute_lifecycle::TenantConfig>>, ConvertError> {
    let named = config.tenants.iter().map(tenant).collect::<Result<Vec<_>, _>>()?;
    Ok((config.admin.is_some() || !named.is_empty()).then_some(named))
}

fn tenant(t: &Tenant) -> Result<tideroute_lifecycle::TenantConfig, ConvertError> {
    let rate =
        |a_second: Option<f64>, burst| a_second.map(|a_second| RateLimit { per_second: a_second, burst });
    let key = hash(&t.key).map_err(|e| ConvertError::Key { owner: t.name.clone(), source: Box::new(e) })?;
    let limits = Limits {
        requests: rate(t.requests_per_second, t.request_burst),
        tokens: rate(t.tokens_per_second, t.token_burst),
        in_flight: t.max_in_flight,
        weight: t.weight,
        waiting: t.max_waiting,
    };
    Ok(tideroute_lifecycle::TenantConfig { name: t.name.clone(), version: 0, keys: vec![key], limits })
}

/// The steps of a script that are still ahead at `now`.
fn remaining_steps<T>(from: Micros, now: Micros, steps: Vec<(u64, T)>) -> Vec<(Micros, T)> {
    let later = steps.into_iter().map(|(at, what)| (from + at, what)).filter(|(at, _)| *at >= now);
    later.map(|(at, what)| (at - now, what)).collect()
}

fn steps(step: &WorkerFault) -> Vec<(u64, ScriptedFault)> {
    let (begin, end) = match step.kind.as_str() {
        "refuse" => (ScriptedFault::Reject(true), Some(ScriptedFault::Reject(false))),
        "fault" => (ScriptedFault::ServerError(true), Some(ScriptedFault::ServerError(false))),
        "slow" => (ScriptedFault::Slow(step.factor), Some(ScriptedFault::Slow(1.0))),
        "corrupt" => (ScriptedFault::CorruptState(true), Some(ScriptedFault::CorruptState(false))),
        "silent" => (ScriptedFault::Silent, Some(ScriptedFault::Crash)),
        "drain" => (ScriptedFault::Drain, None),
        _ => (ScriptedFault::Crash, None),
    };
    let end = end.zip(step.duration).map(|(end, lasts)| (step.at + lasts, end));
    [(step.at, begin)].into_iter().chain(end).collect()
}

/// The settings of an emulated worker whose script began at a time and that starts now.
pub fn worker(config: &Worker, cold: bool, from: Micros, now: Micros) -> Result<WorkerConfig, ConvertError> {
    let capabilities: &WorkerCapacity = &config.capacity;
    Ok(WorkerConfig {
        name: config.name.clone(),
        address: address(&config.listen)?,
        discovery: address(&config.discovery)?,
        role: match capabilities.role {
            Role::Reader => WorkerRole::Prefill,
            Role::Writer => WorkerRole::Decode,
            Role::Mixed => WorkerRole::Mixed,
        },
        kind: config.kind,
        size: capabilities.size,
        cell: config.cell,
        zone: config.zone,
        is_warm: config.warm && !cold,
        prefill_slots: capabilities.prefill_slots,
        max_queued_prefills: capabilities.prefill_queue,
        prefill_tokens_per_second: capabilities.prefill_tokens_per_second,
        decode_slots: capabilities.decode_slots,
        max_queued_streams: capabilities.decode_queue,
        token_interval: capabilities.token_interval,
        state_bytes_per_token: capabilities.state_bytes_per_token,
        cold_capacity_share: config.settings.slow_start_share,
        warm_up: config.settings.warm_up,
        overload_multiple: config.settings.overload_multiple,
        overload_window: config.settings.overload_window,
        max_cached_prefixes: capabilities.max_cached_prefixes,
        script: remaining_steps(from, now, config.script.iter().flat_map(steps).collect()),
    })
}

/// A relay whose script began at a time and that starts now.
pub fn relay(config: &Relay, from: Micros, now: Micros) -> Result<RelayConfig, ConvertError> {
    let route = |d: &RelayListener| Ok(Route { to: address(&d.to)?, faults: d.faults.clone() });
    let since = now.saturating_sub(from);
    let ahead = from.saturating_sub(now);
    let fault = |f: &RelayFault| tideroute_relay::Fault {
        from: (ahead + f.at).saturating_sub(since),
        until: (ahead + f.at + f.duration).saturating_sub(since),
        direction: match f.direction.as_str() {
            "there" => FaultDirection::Forward,
            "back" => FaultDirection::Backward,
            _ => FaultDirection::Both,
        },
        kind: match f.kind.as_str() {
            "silent" => FaultKind::Blackhole,
            "reset" => FaultKind::Reset,
            _ => FaultKind::Delay { delay: f.delay, jitter: f.jitter, loss: f.loss },
        },
    };
    let routes =
        |routes: &[RelayListener]| routes.iter().map(route).collect::<Result<Vec<_>, ConvertError>>();
    let (listeners, datagram_sockets) = (routes(&config.listeners)?, routes(&config.datagrams)?);
    Ok(RelayConfig {
        listeners,
        datagram_sockets,
        faults: config.faults.iter().map(fault).collect(),
        seed: config.seed,
    })
}

/// The settings of an endpoint list whose script began at a time and that starts now.
pub fn discovery(config: &Discovery, from: Micros, now: Micros) -> DiscoveryConfig {
    let late =
        config.delays.iter().flat_map(|late| [(late.at, late.lag), (late.at + late.duration, config.lag)]);
    DiscoveryConfig { notification_delay: config.lag, script: remaining_steps(from, now, late.collect()) }
}
