//! Measures how long a full snapshot of 1,200 endpoints, one in ten of them changed, blocks a router's event loop with
//! 6,000 requests open: decoding, lifecycle, scheduler and encoding of the list for persistence.
//!
//! Run with `cargo bench -p tideroute-lifecycle`.

use std::time::{Duration, Instant};

use bytes::Bytes;
use tideroute::types::{Idempotency, RequestClass, Role, SchedulerConfig};
use tideroute_lifecycle::{LifecycleConfig, ProtobufRouter, RouterConfig};
use tideroute_wire::endpoint_list::{EndpointStatus, Page};
use tideroute_wire::event_loop::{ConnectionId, Effect, Effects, EventHandler};
use tideroute_wire::{client, say_hello, Party};

const DISCOVERY: [u8; 6] = [10, 0, 0, 1, 0, 1];
const WORKERS: u16 = 1_200;
/// Number of requests that are open while snapshots are applied.
const OPEN_REQUESTS: u64 = 6_000;
/// Number of snapshots that are measured.
const ROUNDS: u16 = 40;

fn scheduler_config() -> SchedulerConfig {
    let class = RequestClass {
        idempotency: Idempotency::Idempotent,
        ttft_objective: 600_000,
        ttft_objective_per_1000_tokens: 400,
        priority_weight: 1.0,
    };
    SchedulerConfig {
        router_count: 3,
        classes: vec![class],
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
        endpoint_watch_enabled: true,
        retry_after_enabled: true,
        max_retry_after: 10_000,
        ..SchedulerConfig::default()
    }
}

fn config() -> RouterConfig {
    let lifecycle = LifecycleConfig {
        name: "r".into(),
        scheduler: scheduler_config(),
        classes: vec!["query".into()],
        connect_timeout: 250_000,
        max_open_requests: 10_000,
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
        max_requests_per_client: 10_000,
        max_clients: 4,
    }
}

fn snapshot(round: u16) -> Bytes {
    let mut snapshot = Page::new(u64::from(round) + 1, true);
    for n in 0..WORKERS {
        let status = if n % 10 == round % 10 { EndpointStatus::Draining } else { EndpointStatus::Serving };
        let worker = [10, 1, (n >> 8) as u8, n as u8, 1, 1];
        snapshot.add(worker, u16::from(!n.is_multiple_of(3)), 4.0, status, n / 9, (n / 27 % 3) as u8, 0);
    }
    snapshot.frame()
}

fn main() {
    let mut now = 1_000_000_000;
    let mut effects = Effects::default();
    let client = ConnectionId(0);
    let mut router = ProtobufRouter::new(config(), None, now);
    router.on_start(now, &mut effects);
    let discovery = effects.take().into_iter().find_map(|effect| match effect {
        Effect::Connect { connection, to: DISCOVERY, .. } => Some(connection),
        _ => None,
    });
    let discovery = discovery.expect("router should connect to discovery");
    router.on_data(now, discovery, &snapshot(0), &mut effects);
    router.on_accepted(now, client, 0, &mut effects);
    router.on_data(now, client, &say_hello(Party::Client, "c"), &mut effects);
    for n in 1..=OPEN_REQUESTS {
        let request =
            client::submit(n, 0, n, n % 20, 300, 100, 20, 60_000_000, 7, Bytes::from_static(b"text"));
        router.on_data(now, client, &request, &mut effects);
        router.on_iteration(now, &mut effects);
        effects.take();
    }
    let mut longest = Duration::ZERO;
    let mut total = Duration::ZERO;
    for round in 1..=ROUNDS {
        now += 50_000;
        let snapshot = snapshot(round);
        let started_at = Instant::now();
        router.on_data(now, discovery, &snapshot, &mut effects);
        router.on_iteration(now, &mut effects);
        let elapsed = started_at.elapsed();
        effects.take();
        longest = longest.max(elapsed);
        total += elapsed;
    }
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    println!(
        "{WORKERS} workers, {} open: a full snapshot takes {:.2} ms on average, {:.2} ms at most",
        router.open_requests(),
        ms(total) / f64::from(ROUNDS),
        ms(longest)
    );
}
