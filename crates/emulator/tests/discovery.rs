//! What discovery sends to routers, and when.

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

/// Discovery in virtual time.
struct Emulation {
    discovery: Discovery,
    now: Micros,
    effects: Effects,
    /// Timers that have not fired: when, and their key.
    timers: Vec<(Micros, u64)>,
    /// Updates that were sent to the router.
    updates: Vec<Update>,
}

impl Emulation {
    fn start() -> Emulation {
        let config = DiscoveryConfig { notification_delay: NOTIFICATION_DELAY, script: vec![] };
        let mut emulation = Emulation {
            discovery: Discovery::new(config),
            now: START,
            effects: Effects::default(),
            timers: vec![],
            updates: vec![],
        };
        emulation.discovery.on_start(START, &mut emulation.effects);
        emulation.execute();
        emulation
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
fn watch_within_the_settling_time_is_answered_after_it() {
    let mut emulation = Emulation::start();
    emulation.watch(0);
    emulation.register_worker(WORKER);
    emulation.run_until(START + SETTLING_TIME - 1);
    assert_eq!(emulation.updates, []);
    emulation.run_until(START + SETTLING_TIME);
    assert_eq!(emulation.updates, [update(START + 1, true, &[EndpointStatus::Serving])]);
}

#[test]
fn lost_worker_is_removed_after_the_notification_delay() {
    let mut emulation = Emulation::start();
    emulation.register_worker(WORKER);
    emulation.run_until(START + SETTLING_TIME);
    emulation.watch(0);
    emulation.updates.clear();
    emulation.disconnect(WORKER);
    emulation.run_until(START + SETTLING_TIME + NOTIFICATION_DELAY - 1);
    assert_eq!(emulation.updates, []);
    emulation.run_until(START + SETTLING_TIME + NOTIFICATION_DELAY);
    assert_eq!(emulation.updates, [update(START + 2, false, &[EndpointStatus::Removed])]);
}

#[test]
fn end_of_an_older_connection_does_not_remove_a_worker_that_registered_again() {
    let mut emulation = Emulation::start();
    emulation.register_worker(WORKER);
    emulation.register_worker(WORKER_AGAIN);
    emulation.run_until(START + SETTLING_TIME);
    emulation.watch(0);
    emulation.updates.clear();
    emulation.disconnect(WORKER);
    emulation.run_until(START + 2 * SETTLING_TIME);
    assert_eq!(emulation.updates, []);
}

#[test]
fn router_with_a_known_version_is_sent_only_the_changes_after_it() {
    let mut emulation = Emulation::start();
    emulation.register_worker(WORKER);
    emulation.run_until(START + SETTLING_TIME);
    emulation.disconnect(WORKER);
    emulation.run_until(START + 2 * SETTLING_TIME);
    emulation.watch(START + 1);
    assert_eq!(emulation.updates, [update(START + 2, false, &[EndpointStatus::Removed])]);
    emulation.updates.clear();
    emulation.watch(START + 2);
    assert_eq!(emulation.updates, []);
}

#[test]
fn router_without_a_known_version_is_sent_a_snapshot_without_removed_workers() {
    let mut emulation = Emulation::start();
    emulation.register_worker(WORKER);
    emulation.run_until(START + SETTLING_TIME);
    emulation.disconnect(WORKER);
    emulation.run_until(START + 2 * SETTLING_TIME);
    emulation.watch(0);
    assert_eq!(emulation.updates, [update(START + 2, true, &[])]);
}
