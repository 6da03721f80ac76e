//! Configuration of the router under test.

use tideroute::types::{Idempotency, RequestClass, Role, SchedulerConfig};
use tideroute_lifecycle::{LifecycleConfig, RouterConfig};
use tideroute_wire::Address;

pub const DISCOVERY: Address = [10, 0, 0, 1, 1, 1];

fn scheduler_config() -> SchedulerConfig {
    let class = |idempotency| RequestClass {
        idempotency,
        ttft_objective: 10_000,
        ttft_objective_per_1000_tokens: 400,
        priority_weight: 1.0,
    };
    SchedulerConfig {
        router_count: 2,
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)],
        role_by_kind: vec![Role::Prefill, Role::Decode],
        reservations_enabled: true,
        state_release_timeout: 5_000,
        cold_capacity_share: 0.3,
        warm_up_time: 100_000,
        overload_multiple: 2.5,
        overload_window: 20_000,
        max_attempts: 5,
        cancellation_enabled: true,
        health_checks_enabled: true,
        load_reports_enabled: false,
        load_in_tokens: false,
        endpoint_watch_enabled: true,
        retry_after_enabled: true,
        max_retry_after: 10_000,
        ..SchedulerConfig::default()
    }
}

pub fn config() -> RouterConfig {
    let lifecycle = LifecycleConfig {
        name: "r".into(),
        scheduler: scheduler_config(),
        classes: vec!["a".into(), "b".into()],
        connect_timeout: 250_000,
        max_open_requests: 40,
        tenants: None,
        limits_share: 1.0,
        max_admission_wait: 1_000_000,
        seed: 5,
    };
    RouterConfig {
        lifecycle,
        discovery: DISCOVERY,
        origin: 7,
        network_delay: 10_000,
        stream_window_tokens: 8,
        max_requests_per_client: 30,
        max_clients: 4,
    }
}
