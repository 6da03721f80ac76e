//! A discovery that answers late, or not at all, in any part of a call. The gateway runs in virtual time.

mod common;

use std::collections::BTreeMap;

use common::*;
use serde_json::{json, Value};
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::{Address, Micros};

const STEP: Micros = 10 * MS;
const HEARTBEAT_INTERVAL: Micros = 2_000 * MS;
/// Microseconds after which a router counts as notified of an update that discovery has and could send.
const NOTIFICATION_LIMIT: Micros = 6_000 * MS;
/// Microseconds after which a router counts as notified of what discovery has when the configuration is reloaded.
const RELOAD_LIMIT: Micros = 4_000 * MS;
/// Microseconds for which discovery's former address serves its open calls.
const FORMER_ADDRESS_TIME: Micros = 1_500 * MS;
const ADDRESSES: [&str; 2] = ["127.0.9.9:90", "127.0.8.8:85"];
const UPDATE_PIECES: usize = 20;

/// The part of a call that takes long.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum SlowPart {
    Connect,
    Head,
    FirstUpdate,
    /// Like `FirstUpdate`, with an empty line behind the head.
    FirstUpdateBehindEmptyLine,
    /// Each update comes in pieces.
    EveryUpdate,
}

const SLOW_PARTS: [SlowPart; 5] = [
    SlowPart::Connect,
    SlowPart::Head,
    SlowPart::FirstUpdate,
    SlowPart::FirstUpdateBehindEmptyLine,
    SlowPart::EveryUpdate,
];

/// A call as the emulated discovery sees it.
struct AgentCall {
    /// What is still to be sent, by the time at which it is due.
    pending: BTreeMap<Micros, String>,
    /// The version that the call has once all that is pending is sent; 0 if it is never answered.
    version: u64,
    next_heartbeat: Micros,
}

fn address_text([a, b, c, d, high, low]: Address) -> String {
    format!("{a}.{b}.{c}.{d}:{}", u16::from_be_bytes([high, low]))
}

/// The router, and an emulated discovery that answers slowly.
struct SlowDiscovery {
    harness: Harness,
    part: SlowPart,
    delay: Micros,
    version: u64,
    /// Number of calls that are never answered before one is.
    unanswered: usize,
    is_down: bool,
    /// The newest version of the list that was sent in full on a call that the router had not ended.
    notified_version: u64,
    calls: BTreeMap<ConnectionId, AgentCall>,
}

impl SlowDiscovery {
    fn new(part: SlowPart, delay: Micros) -> SlowDiscovery {
        let mut harness = Harness::new();
        harness.completes_io_immediately = false;
        SlowDiscovery {
            harness,
            part,
            delay,
            version: 9,
            unanswered: 0,
            is_down: false,
            notified_version: 0,
            calls: BTreeMap::new(),
        }
    }

    /// Returns a discovery that has answered the watch at once, and is slow from now on, right after a heartbeat.
    fn watched(part: SlowPart, delay: Micros) -> SlowDiscovery {
        let mut discovery = SlowDiscovery::new(part, MS);
        discovery.run(100 * MS);
        discovery.delay = delay;
        assert_eq!(discovery.notified_version, 9);
        discovery.run(HEARTBEAT_INTERVAL);
        discovery
    }

    fn open_calls(&self) -> Vec<ConnectionId> {
        let is_open = |connection: &ConnectionId| !self.harness.ended.contains_key(connection);
        let is_discovery = |address: &Address| address[2] == 9 || address[2] == 8;
        let calls = self.harness.outbound.iter().filter(|(_, address)| is_discovery(address));
        calls.map(|(connection, _)| *connection).filter(is_open).collect()
    }

    /// Accepts a call: schedules what is sent on it.
    fn accept(&mut self, connection: ConnectionId) {
        let now = self.harness.now;
        let is_unanswered = self.is_down || self.unanswered > 0;
        if !self.is_down {
            self.unanswered = self.unanswered.saturating_sub(1);
        }
        let mut pending = BTreeMap::new();
        if !is_unanswered {
            let update = chunk(&format!("{}\n", endpoint_list(self.version)));
            let (head_at, update_at) = match self.part {
                SlowPart::Connect | SlowPart::Head => (now + self.delay, now + self.delay + 1),
                _ => (now, now + self.delay),
            };
            let empty_line =
                if self.part == SlowPart::FirstUpdateBehindEmptyLine { chunk("\n") } else { String::new() };
            pending.insert(head_at, format!("{WATCH_HEAD}{empty_line}"));
            self.schedule_update(&mut pending, update_at, &update);
        }
        let version = if is_unanswered { 0 } else { self.version };
        let next_heartbeat = now + self.delay + HEARTBEAT_INTERVAL;
        self.calls.insert(connection, AgentCall { pending, version, next_heartbeat });
        if self.part != SlowPart::Connect {
            self.harness.complete_write(connection);
        }
    }

    fn schedule_update(&self, pending: &mut BTreeMap<Micros, String>, complete_at: Micros, update: &str) {
        let pieces = if self.part == SlowPart::EveryUpdate { UPDATE_PIECES } else { 1 };
        for (n, piece) in update.as_bytes().chunks(update.len().div_ceil(pieces)).rev().enumerate() {
            let earlier = self.delay * n as Micros / (UPDATE_PIECES + 1) as Micros;
            pending.insert(complete_at - earlier, String::from_utf8_lossy(piece).into_owned());
        }
    }

    /// Sends a newer list on the answered calls.
    fn update(&mut self) {
        self.version += 1;
        let update = chunk(&format!("{}\n", endpoint_list(self.version)));
        let is_slow = self.part == SlowPart::EveryUpdate;
        let complete_at = self.harness.now + if is_slow { self.delay } else { 0 };
        for connection in self.open_calls() {
            let Some(mut call) = self.calls.remove(&connection) else { continue };
            if call.version > 0 {
                self.schedule_update(&mut call.pending, complete_at, &update);
                call.version = self.version;
            }
            self.calls.insert(connection, call);
        }
    }

    /// Lets the open calls fall silent, without an error on them.
    fn silence_calls(&mut self) {
        for call in self.calls.values_mut() {
            call.pending.clear();
            call.version = 0;
        }
    }

    /// Moves discovery to its other address by a new configuration. Returns the calls at the former one.
    fn reload(&mut self, address: &str) -> Vec<ConnectionId> {
        let former = self.open_calls().into_iter();
        let former = former.filter(|call| address_text(self.harness.outbound[call]) != address).collect();
        let mut file = router_config();
        file["discovery"] = json!(address);
        assert!(self.harness.reload_config(&file));
        former
    }

    fn reset(&mut self, connections: &[ConnectionId]) {
        for connection in connections {
            if self.open_calls().contains(connection) {
                self.calls.remove(connection);
                self.harness.reset(*connection);
            }
        }
    }

    fn run(&mut self, time: Micros) {
        let until = self.harness.now + time;
        while self.harness.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        let open_calls = self.open_calls();
        self.calls.retain(|connection, _| open_calls.contains(connection));
        for connection in open_calls {
            if !self.calls.contains_key(&connection) {
                self.accept(connection);
            }
            self.send_due(connection);
        }
        self.harness.advance(STEP);
    }

    fn send_due(&mut self, connection: ConnectionId) {
        let now = self.harness.now;
        while let Some(call) = self.calls.get_mut(&connection) {
            let is_working = call.version > 0 && !self.is_down;
            let heartbeat_is_due = is_working && call.pending.is_empty() && call.next_heartbeat <= now;
            let due = call.pending.first_entry().filter(|entry| *entry.key() <= now);
            let text = match due {
                Some(entry) => {
                    let text = entry.remove();
                    if call.pending.is_empty() {
                        self.notified_version = self.notified_version.max(call.version);
                    }
                    text
                }
                None if heartbeat_is_due => {
                    call.next_heartbeat = now + HEARTBEAT_INTERVAL;
                    chunk("\n")
                }
                None => return,
            };
            self.harness.complete_write(connection);
            self.harness.deliver(connection, text);
            self.calls.retain(|connection, _| !self.harness.ended.contains_key(connection));
        }
    }

    /// Returns the microseconds until the newest list has been sent in full; `None` if `limit` passes before.
    fn time_until_notified(&mut self, limit: Micros) -> Option<Micros> {
        let started_at = self.harness.now;
        while self.harness.now <= started_at + limit {
            if self.notified_version == self.version {
                return Some(self.harness.now - started_at);
            }
            self.step();
        }
        None
    }

    /// Asserts that the router has the newest list: it asks for what changed after it.
    fn assert_list_in_force(&mut self, case: &str) {
        let calls = self.open_calls();
        self.reset(&calls);
        self.harness.advance(500 * MS);
        let (_, request) = self.harness.watch();
        assert!(request.contains(&format!("after={} ", self.version)), "{case}: {request}");
    }
}

/// Returns the discovery right after the event from which the time until the router is notified counts.
type Scenario = fn(SlowPart, Micros) -> SlowDiscovery;

fn start(part: SlowPart, delay: Micros) -> SlowDiscovery {
    SlowDiscovery::new(part, delay)
}

fn outage(part: SlowPart, delay: Micros) -> SlowDiscovery {
    let mut discovery = SlowDiscovery::watched(part, delay);
    discovery.is_down = true;
    discovery.silence_calls();
    discovery.run(8_330 * MS);
    discovery.is_down = false;
    discovery.version += 1;
    discovery
}

fn reset(part: SlowPart, delay: Micros) -> SlowDiscovery {
    let mut discovery = SlowDiscovery::watched(part, delay);
    let calls = discovery.open_calls();
    discovery.reset(&calls);
    discovery.version += 1;
    discovery
}

fn silence(part: SlowPart, delay: Micros) -> SlowDiscovery {
    let mut discovery = SlowDiscovery::watched(part, delay);
    discovery.silence_calls();
    discovery.version += 1;
    discovery
}

fn update_that_stops(part: SlowPart, delay: Micros) -> SlowDiscovery {
    let mut discovery = SlowDiscovery::watched(part, delay);
    let (watch, _) = discovery.harness.watch();
    let update = chunk(&format!("{}\n", endpoint_list(10)));
    discovery.harness.deliver(watch, &update[..update.len() / 2]);
    discovery.silence_calls();
    discovery.version += 1;
    discovery
}

fn reload_elsewhere(part: SlowPart, delay: Micros) -> SlowDiscovery {
    let mut discovery = SlowDiscovery::watched(part, delay);
    discovery.reload(ADDRESSES[1]);
    discovery.version += 1;
    discovery
}

fn reload_of_a_silent_watch(part: SlowPart, delay: Micros) -> SlowDiscovery {
    let mut discovery = silence(part, delay);
    discovery.reload(ADDRESSES[0]);
    discovery
}

/// Guards against drains that are never learnt from a discovery that takes over a second to answer: each call was ended
/// at that time, and the next one too. Here the delay is in each part of a call, alone or behind a call that is never
/// answered, which looks the same at first.
#[test]
fn a_slow_discovery_is_heard_in_time_also_behind_a_call_that_is_never_answered() {
    let scenarios: [(&str, Scenario, Micros); 7] = [
        ("start", start, NOTIFICATION_LIMIT),
        ("outage", outage, NOTIFICATION_LIMIT),
        ("reset", reset, NOTIFICATION_LIMIT),
        ("silence", silence, NOTIFICATION_LIMIT),
        ("update that stops", update_that_stops, NOTIFICATION_LIMIT),
        ("reload elsewhere", reload_elsewhere, RELOAD_LIMIT),
        ("reload of a silent watch", reload_of_a_silent_watch, RELOAD_LIMIT),
    ];
    let mut late = vec![];
    for (name, scenario, limit) in scenarios {
        for part in SLOW_PARTS {
            for (delay_ms, unanswered) in [(1_200, 0), (1_200, 1), (2_900, 0), (2_900, 1)] {
                let mut discovery = scenario(part, delay_ms * MS);
                discovery.unanswered = unanswered;
                let case = format!("{name}, slow {part:?} of {delay_ms} ms, {unanswered} unanswered calls");
                match discovery.time_until_notified(limit) {
                    Some(_) => discovery.assert_list_in_force(&case),
                    None => late.push(case),
                }
            }
        }
    }
    assert!(late.is_empty(), "{} cases were late: {late:#?}", late.len());
}

/// Guards against updates of the open watch that are never learnt, because they take longer than the watch is given.
#[test]
fn an_update_that_comes_slowly_is_heard() {
    for delay_ms in [1_200, 2_900, 5_500] {
        let mut discovery = SlowDiscovery::watched(SlowPart::EveryUpdate, delay_ms * MS);
        discovery.update();
        assert!(discovery.time_until_notified(NOTIFICATION_LIMIT).is_some(), "{delay_ms} ms");
        discovery.assert_list_in_force("slow update");
    }
}

/// Guards against configurations that follow each other faster than discovery answers, each of which ended the call of
/// the one before.
#[test]
fn a_slow_discovery_is_heard_while_configurations_follow_each_other() {
    for (interval_ms, moves) in [(80, false), (1_000, false), (500, true), (1_000, true)] {
        let mut discovery = SlowDiscovery::watched(SlowPart::Head, 1_200 * MS);
        let calls = discovery.open_calls();
        discovery.reset(&calls);
        discovery.version += 1;
        let mut former_calls: Vec<(Micros, Vec<ConnectionId>)> = vec![];
        let mut notified_after = None;
        for n in 0..NOTIFICATION_LIMIT / (interval_ms * MS) {
            let former = discovery.reload(ADDRESSES[if moves { n as usize % 2 } else { 0 }]);
            former_calls.extend(moves.then_some((discovery.harness.now, former)));
            notified_after = notified_after.or(discovery.time_until_notified(interval_ms * MS - STEP));
            let now = discovery.harness.now;
            for (_, calls) in former_calls.extract_if(.., |(at, _)| *at + FORMER_ADDRESS_TIME <= now) {
                discovery.reset(&calls);
            }
        }
        assert!(notified_after.is_some(), "reloads each {interval_ms} ms, to other addresses: {moves}");
    }
}

/// Guards against a discovery that is too slow for the limit, and is then never heard at all.
#[test]
fn a_discovery_that_needs_longer_than_the_limit_is_still_heard() {
    for part in SLOW_PARTS {
        for delay_s in [8, 20, 50] {
            let delay = delay_s * 1_000 * MS;
            let mut discovery = SlowDiscovery::new(part, delay);
            assert!(discovery.time_until_notified(4 * delay).is_some(), "slow {part:?} of {delay_s} s");
        }
    }
}

/// Guards against calls that pile up while discovery does not answer, and against ones that stay once it does.
#[test]
fn open_calls_are_bounded_and_end_with_the_first_answer() {
    let mut discovery = outage(SlowPart::Head, 1_200 * MS);
    discovery.is_down = true;
    for _ in 0..600 {
        discovery.run(1_000 * MS);
        assert!(discovery.open_calls().len() <= 6, "{:?}", discovery.open_calls());
    }
    assert!(discovery.harness.outbound.len() < 700, "calls: {}", discovery.harness.outbound.len());
    discovery.is_down = false;
    assert!(discovery.time_until_notified(NOTIFICATION_LIMIT).is_some());
    discovery.run(10_000 * MS);
    assert_eq!(discovery.open_calls().len(), 1);
}

/// Guards against lists that fill the memory because each of several calls holds an incomplete one.
#[test]
fn incomplete_lists_of_all_calls_are_bounded_and_one_is_completed() {
    const PIECE: usize = 100_000;
    const LIMIT: usize = 4 << 20;
    let mut harness = Harness::new();
    let mut newer = endpoint_list(9);
    newer["comment"] = Value::String("x".repeat(1_900_000));
    let list = format!("{newer}\n");
    let mut delivered: BTreeMap<ConnectionId, usize> = BTreeMap::new();
    let mut most = 0;
    for _ in 0..100 {
        let (newest, _) = harness.watch();
        delivered.entry(newest).or_insert_with(|| {
            harness.deliver(newest, WATCH_HEAD);
            0
        });
        for (connection, sent) in &mut delivered {
            let piece = &list[*sent..list.len().min(*sent + PIECE)];
            // The first call stops in the middle of its list.
            if !piece.is_empty() && (connection.number() > 0 || *sent < list.len() / 2) {
                harness.deliver(*connection, chunk(piece));
                *sent += piece.len();
            }
        }
        delivered.retain(|connection, _| !harness.ended.contains_key(connection));
        most = most.max(delivered.values().sum());
        if delivered.values().any(|sent| *sent == list.len()) {
            break;
        }
        harness.advance(100 * MS);
    }
    assert!(most <= LIMIT, "{most} bytes");
    assert_eq!(delivered.len(), 1, "the complete list ends the other calls");
    assert_eq!(ready_status(&mut harness), 200);
}

/// Guards against further calls beside a watch that works, and against a doubted watch that is ended although it speaks
/// again.
#[test]
fn a_watch_that_speaks_again_stays_open() {
    let mut harness = Harness::new();
    harness.send_update(&endpoint_list(9));
    let (watch, _) = harness.watch();
    for _ in 0..5 {
        harness.advance(2_300 * MS);
        assert_eq!(harness.watch().0, watch, "an empty line that is somewhat late is no reason for a call");
        harness.deliver(watch, chunk("\n"));
    }
    harness.advance(2_600 * MS);
    let (second, request) = harness.watch();
    assert!(second != watch && request.contains("after=9 "), "{request}");
    harness.deliver(watch, chunk("\n"));
    harness.reset(second);
    harness.advance(2_300 * MS);
    assert_eq!(harness.watch().0, watch, "no call follows one that failed beside a watch that works");
    assert!(!harness.ended.contains_key(&watch));
}
