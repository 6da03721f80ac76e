//! Tests which updates discovery sends to routers, and at which times.

use bytes::Bytes;
use tideroute_emulator::{Discovery, DiscoveryConfig};
use tideroute_wire::endpoint_list::{self, EndpointStatus};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effect, Effects, EventHandler};
use tideroute_wire::{say_hello, say_router, Address, Malformed, Micros, Party};

const START: Micros = 1_000_000_000;
const NOTIFICATION_DELAY: Micros = 50_000;
const SETTLING_TIME: Micros = 600_000;

const ROUTER: ConnectionId = ConnectionId(1);
const WORKER: ConnectionId = ConnectionId(2);
const WORKER_AGAIN: ConnectionId = ConnectionId(3);
const ADDRESS: Address = [127, 0, 0, 1, 27, 88];

/// An update as a router decodes it.
#[derive(Default, Debug, PartialEq)]
struct Update {
    version: u64,
    is_snapshot: bool,
    endpoints: Vec<(Address, EndpointStatus)>,
}

impl endpoint_list::Router for Update {
    fn begin_update(&mut self, version: u64, is_snapshot: bool) -> Result<(), Malformed> {
        self.version = version;
        self.is_snapshot = is_snapshot;
        Ok(())
    }

    fn endpoint(
        &mut self,
        worker: Address,
        _kind: u16,
        _size: f64,
        status: EndpointStatus,
        _cell: u16,
        _zone: u8,
        _started: Micros,
    ) -> Result<(), Malformed> {
        self.endpoints.push((worker, status));
        Ok(())
    }
}

/// Runs discovery in virtual time.
struct Harness {
    discovery: Discovery,
    now: Micros,
    effects: Effects,
    /// Timers that have not fired yet, as pairs of time and key.
    timers: Vec<(Micros, u64)>,
    /// Updates sent to the router.
    updates: Vec<Update>,
}

impl Harness {
    fn start() -> Harness {
        let config = DiscoveryConfig { notification_delay: NOTIFICATION_DELAY, script: vec![] };
        let mut harness = Harness {
            discovery: Discovery::new(config),
            now: START,
            effects: Effects::default(),
            timers: vec![],
            updates: vec![],
        };
        harness.discovery.on_start(START, &mut harness.effects);
        harness.execute();
        harness
    }

    fn execute(&mut self) {
        for effect in self.effects.take() {
            match effect {
                Effect::SetTimer { at, key } => self.timers.push((at, key)),
                Effect::Send { connection, frame } => {
                    assert_eq!(connection, ROUTER);
                    let mut update = Update::default();
                    endpoint_list::receive_from_list(&frame, &mut update).unwrap();
                    self.updates.push(update);
                }
                other => panic!("{other:?}"),
            }
        }
    }

    fn run_until(&mut self, until: Micros) {
        self.timers.sort_unstable();
        while let Some(&(at, key)) = self.timers.first().filter(|(at, _)| *at <= until) {
            self.timers.remove(0);
            self.now = at;
            self.discovery.on_timer(at, key, &mut self.effects);
            self.execute();
            self.timers.sort_unstable();
        }
        self.now = until;
    }

    fn receive(&mut self, connection: ConnectionId, frame: Bytes) {
        self.discovery.on_data(self.now, connection, &frame, &mut self.effects);
        self.execute();
    }

    fn accept(&mut self, connection: ConnectionId, hello: Bytes) {
        self.discovery.on_accepted(self.now, connection, 0, &mut self.effects);
        self.receive(connection, hello);
    }

    fn register_worker(&mut self, connection: ConnectionId) {
        self.accept(connection, say_hello(Party::Worker, "worker"));
        let serving = EndpointStatus::Serving;
        self.receive(connection, endpoint_list::register(ADDRESS, 0, 1.0, serving, 0, 0, START));
    }

    fn watch(&mut self, version: u64) {
        self.accept(ROUTER, say_router("router", 7));
        self.receive(ROUTER, endpoint_list::watch(version));
    }

    fn disconnect(&mut self, connection: ConnectionId) {
        self.discovery.on_disconnect(self.now, connection, DisconnectReason::Reset, &mut self.effects);
        self.execute();
    }
}

fn update(version: u64, is_snapshot: bool, statuses: &[EndpointStatus]) -> Update {
    let endpoints = statuses.iter().map(|status| (ADDRESS, *status)).collect();
    Update { version, is_snapshot, endpoints }
}

#[test]
fn watch_within_the_settling_time_is_answered_when_it_ends() {
    let mut harness = Harness::start();
    harness.watch(0);
    harness.register_worker(WORKER);
    harness.run_until(START + SETTLING_TIME - 1);
    assert_eq!(harness.updates, []);
    harness.run_until(START + SETTLING_TIME);
    assert_eq!(harness.updates, [update(START + 1, true, &[EndpointStatus::Serving])]);
}

#[test]
fn disconnected_worker_is_removed_after_the_notification_delay() {
    let mut harness = Harness::start();
    harness.register_worker(WORKER);
    harness.run_until(START + SETTLING_TIME);
    harness.watch(0);
    harness.updates.clear();
    harness.disconnect(WORKER);
    harness.run_until(START + SETTLING_TIME + NOTIFICATION_DELAY - 1);
    assert_eq!(harness.updates, []);
    harness.run_until(START + SETTLING_TIME + NOTIFICATION_DELAY);
    assert_eq!(harness.updates, [update(START + 2, false, &[EndpointStatus::Removed])]);
}

#[test]
fn end_of_an_older_connection_does_not_remove_a_worker_that_registered_again() {
    let mut harness = Harness::start();
    harness.register_worker(WORKER);
    harness.register_worker(WORKER_AGAIN);
    harness.run_until(START + SETTLING_TIME);
    harness.watch(0);
    harness.updates.clear();
    harness.disconnect(WORKER);
    harness.run_until(START + 2 * SETTLING_TIME);
    assert_eq!(harness.updates, []);
}

#[test]
fn router_with_a_known_version_is_sent_only_the_changes_after_it() {
    let mut harness = Harness::start();
    harness.register_worker(WORKER);
    harness.run_until(START + SETTLING_TIME);
    harness.disconnect(WORKER);
    harness.run_until(START + 2 * SETTLING_TIME);
    harness.watch(START + 1);
    assert_eq!(harness.updates, [update(START + 2, false, &[EndpointStatus::Removed])]);
    harness.updates.clear();
    harness.watch(START + 2);
    assert_eq!(harness.updates, []);
}

#[test]
fn router_without_a_known_version_is_sent_a_snapshot_without_removed_workers() {
    let mut harness = Harness::start();
    harness.register_worker(WORKER);
    harness.run_until(START + SETTLING_TIME);
    harness.disconnect(WORKER);
    harness.run_until(START + 2 * SETTLING_TIME);
    harness.watch(0);
    assert_eq!(harness.updates, [update(START + 2, true, &[])]);
}
