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
    /// The text is not an IPv4 address with a port.
    #[error("{0:?} is not an IPv4 address with a port")]
    InvalidAddress(String),
    /// The text is not a hash of 64 hexadecimal digits.
    #[error(transparent)]
    InvalidHash(blake3::HexError),
    /// The key of a tenant or of a cluster is not a hash.
    #[error("the key of {owner}: {source}")]
    Key {
        /// The tenant or the cluster whose key it is.
        owner: String,
        /// The error of the key.
        source: Box<ConvertError>,
    },
}

/// Parses an IPv4 address with a port.
pub fn parse_socket(text: &str) -> Result<SocketAddrV4, ConvertError> {
    text.parse().map_err(|_| ConvertError::InvalidAddress(text.to_string()))
}

/// Parses a hash of 64 hexadecimal digits.
pub fn parse_hash(text: &str) -> Result<[u8; 32], ConvertError> {
    blake3::Hash::from_hex(text).map(|hash| *hash.as_bytes()).map_err(ConvertError::InvalidHash)
}

/// Parses an IPv4 address with a port into the form of the wire protocol.
pub fn parse_address(text: &str) -> Result<Address, ConvertError> {
    let parsed = parse_socket(text)?;
    let ([a, b, c, d], [high, low]) = (parsed.ip().octets(), parsed.port().to_be_bytes());
    Ok([a, b, c, d, high, low])
}

fn tenth_millis(micros: u64) -> types::TenthMillis {
    (micros / MICROS_PER_TENTH_MILLI) as types::TenthMillis
}

fn request_class(class: &RequestClass) -> types::RequestClass {
    let scope = match class.deduplication_scope.as_str() {
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        _ => DeduplicationScope::All,
    };
    let idempotency = match class.idempotency.as_str() {
        "replayable" => Idempotency::Idempotent,
        "referenced" => {
            Idempotency::IdempotentWithKey { scope, window: tenth_millis(class.deduplication_window) }
        }
        _ => Idempotency::NonIdempotent,
    };
    types::RequestClass {
        idempotency,
        ttft_objective: tenth_millis(class.ttft_objective),
        ttft_objective_per_1000_tokens: tenth_millis(class.ttft_objective_per_1000_tokens),
        priority_weight: class.priority_weight,
    }
}

fn scheduler_config(settings: &SchedulerSettings, config: &Router) -> types::SchedulerConfig {
    let role = |role: &Role| match role {
        Role::Reader => types::Role::Prefill,
        Role::Writer => types::Role::Decode,
        Role::Mixed => types::Role::Mixed,
    };
    types::SchedulerConfig {
        router_count: settings.routers,
        classes: config.classes.iter().map(request_class).collect(),
        role_by_kind: config.kinds.iter().map(|kind| role(&kind.role)).collect(),
        reservations_enabled: settings.reservations,
        decode_workers_prefill: settings.decode_workers_prefill,
        state_release_timeout: tenth_millis(settings.state_release_timeout),
        cold_capacity_share: settings.slow_start_share,
        warm_up_time: tenth_millis(settings.warm_up),
        overload_multiple: settings.overload_multiple,
        overload_window: tenth_millis(settings.overload_window),
        max_attempts: settings.max_attempts,
        cancellation_enabled: settings.cancellations,
        health_checks_enabled: settings.health_checks,
        load_reports_enabled: settings.load_reports,
        load_in_tokens: false,
        // The router watches the endpoint list, and opens the watch again whenever it was lost.
        endpoint_watch_enabled: true,
        retry_after_enabled: settings.retry_after,
        max_retry_after: tenth_millis(settings.max_retry_after),
    }
}

/// Returns the settings of one core of a router. The scheduler treats each core as a separate router, so that all cores
/// together stay within the slow-start budget of a worker without communicating. Limits are divided evenly among the
/// cores.
pub fn router_config(
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
        classes: config.classes.iter().map(|class| class.name.clone()).collect(),
        connect_timeout: config.settings.connect_timeout,
        max_open_requests: config.settings.max_open_requests.div_ceil(cores),
        tenants: tenants(config)?,
        limits_share: 1.0 / f64::from(config.settings.routers) / f64::from(config.cores),
        max_admission_wait: config.settings.max_queue_time,
        seed,
    };
    Ok(tideroute_lifecycle::RouterConfig {
        lifecycle: lifecycle_config,
        discovery: parse_address(&config.discovery)?,
        origin,
        network_delay: config.settings.network_delay,
        stream_window_tokens: config.settings.stream_window_tokens,
        max_requests_per_client: config.settings.max_requests_per_client,
        max_clients: config.settings.max_clients.div_ceil(cores),
    })
}

/// Returns the settings of a cluster member, and the authenticator for the messages of the cluster.
pub fn member(
    name: &str,
    membership: &MembershipConfig,
    seed: u64,
) -> Result<(tideroute_membership::MembershipConfig, MessageAuthenticator), ConvertError> {
    let key = parse_hash(&membership.key).map_err(|e| ConvertError::Key {
        owner: format!("the cluster {}", membership.name),
        source: Box::new(e),
    })?;
    let seeds =
        membership.seeds.iter().map(|seed_address| parse_address(seed_address)).collect::<Result<_, _>>()?;
    let config = tideroute_membership::MembershipConfig {
        name: name.to_string(),
        address: parse_address(&membership.listen)?,
        seeds,
        rng_seed: seed,
    };
    Ok((config, MessageAuthenticator::new(&membership.name, &key)))
}

/// Returns the tenants that the configuration names; `None` if clients need no key. The administration API provides the
/// tenants of a store.
fn tenants(config: &Router) -> Result<Option<Vec<tideroute_lifecycle::TenantConfig>>, ConvertError> {
    let configured = config.tenants.iter().map(tenant).collect::<Result<Vec<_>, _>>()?;
    Ok((config.admin.is_some() || !configured.is_empty()).then_some(configured))
}

fn tenant(tenant: &Tenant) -> Result<tideroute_lifecycle::TenantConfig, ConvertError> {
    let rate = |per_second: Option<f64>, burst| per_second.map(|per_second| RateLimit { per_second, burst });
    let key = parse_hash(&tenant.key)
        .map_err(|e| ConvertError::Key { owner: tenant.name.clone(), source: Box::new(e) })?;
    let limits = Limits {
        requests: rate(tenant.requests_per_second, tenant.request_burst),
        tokens: rate(tenant.tokens_per_second, tenant.token_burst),
        in_flight: tenant.max_in_flight,
        weight: tenant.weight,
        waiting: tenant.max_waiting,
    };
    Ok(tideroute_lifecycle::TenantConfig { name: tenant.name.clone(), version: 0, keys: vec![key], limits })
}

/// Returns the steps of a script that are due at `now` or later, with their times from `now`.
fn remaining_steps<T>(script_start: Micros, now: Micros, steps: Vec<(u64, T)>) -> Vec<(Micros, T)> {
    let remaining =
        steps.into_iter().map(|(at, action)| (script_start + at, action)).filter(|(at, _)| *at >= now);
    remaining.map(|(at, action)| (at - now, action)).collect()
}

/// Returns the start of a scripted fault, and its end if it has one, with their times after the start of the script.
fn steps(fault: &WorkerFault) -> Vec<(u64, ScriptedFault)> {
    let (begin, end) = match fault.kind.as_str() {
        "refuse" => (ScriptedFault::Reject(true), Some(ScriptedFault::Reject(false))),
        "fault" => (ScriptedFault::ServerError(true), Some(ScriptedFault::ServerError(false))),
        "slow" => (ScriptedFault::Slow(fault.factor), Some(ScriptedFault::Slow(1.0))),
        "corrupt" => (ScriptedFault::CorruptState(true), Some(ScriptedFault::CorruptState(false))),
        "silent" => (ScriptedFault::Silent, Some(ScriptedFault::Crash)),
        "drain" => (ScriptedFault::Drain, None),
        _ => (ScriptedFault::Crash, None),
    };
    let end = end.zip(fault.duration).map(|(end, duration)| (fault.at + duration, end));
    [(fault.at, begin)].into_iter().chain(end).collect()
}

/// Returns the settings of an emulated worker that starts at `now` and whose script began at `script_start`.
pub fn worker_config(
    config: &Worker,
    cold: bool,
    script_start: Micros,
    now: Micros,
) -> Result<WorkerConfig, ConvertError> {
    let capacity: &WorkerCapacity = &config.capacity;
    Ok(WorkerConfig {
        name: config.name.clone(),
        address: parse_address(&config.listen)?,
        discovery: parse_address(&config.discovery)?,
        role: match capacity.role {
            Role::Reader => WorkerRole::Prefill,
            Role::Writer => WorkerRole::Decode,
            Role::Mixed => WorkerRole::Mixed,
        },
        kind: config.kind,
        size: capacity.size,
        cell: config.cell,
        zone: config.zone,
        is_warm: config.warm && !cold,
        prefill_slots: capacity.prefill_slots,
        max_queued_prefills: capacity.prefill_queue,
        prefill_tokens_per_second: capacity.prefill_tokens_per_second,
        decode_slots: capacity.decode_slots,
        max_queued_streams: capacity.decode_queue,
        token_interval: capacity.token_interval,
        state_bytes_per_token: capacity.state_bytes_per_token,
        cold_capacity_share: config.settings.slow_start_share,
        warm_up: config.settings.warm_up,
        overload_multiple: config.settings.overload_multiple,
        overload_window: config.settings.overload_window,
        max_cached_prefixes: capacity.max_cached_prefixes,
        script: remaining_steps(script_start, now, config.script.iter().flat_map(steps).collect()),
    })
}

/// Returns the settings of a relay that starts at `now` and whose script began at `from`.
pub fn relay_config(config: &Relay, from: Micros, now: Micros) -> Result<RelayConfig, ConvertError> {
    let route = |listener: &RelayListener| {
        Ok(Route { to: parse_address(&listener.to)?, faults: listener.faults.clone() })
    };
    let elapsed = now.saturating_sub(from);
    let until_start = from.saturating_sub(now);
    let fault = |fault: &RelayFault| tideroute_relay::Fault {
        from: (until_start + fault.at).saturating_sub(elapsed),
        until: (until_start + fault.at + fault.duration).saturating_sub(elapsed),
        direction: match fault.direction.as_str() {
            "there" => FaultDirection::Forward,
            "back" => FaultDirection::Backward,
            _ => FaultDirection::Both,
        },
        kind: match fault.kind.as_str() {
            "silent" => FaultKind::Blackhole,
            "reset" => FaultKind::Reset,
            _ => FaultKind::Delay { delay: fault.delay, jitter: fault.jitter, loss: fault.loss },
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

/// Returns the settings of an endpoint list that starts at `now` and whose script began at `from`.
pub fn discovery_config(config: &Discovery, from: Micros, now: Micros) -> DiscoveryConfig {
    let delays = config
        .delays
        .iter()
        .flat_map(|delays| [(delays.at, delays.lag), (delays.at + delays.duration, config.lag)]);
    DiscoveryConfig { notification_delay: config.lag, script: remaining_steps(from, now, delays.collect()) }
}
