//! Writes captures of a router with a few workers, event by event.

use std::collections::BTreeMap;

use bytes::Bytes;
use tideroute_trace_checker::{
    check, CheckerConfig, ClassConfig, DeduplicationScope, Idempotency, Report, WorkerConfig,
};
use tideroute_wire::capture::{self, counts, CaptureEvent, CapturedFrame, CapturedProcess};
use tideroute_wire::endpoint_list::{EndpointStatus, Page};
use tideroute_wire::{client, endpoint_list, say_hello, say_router, worker, Address, Party};

pub const CLIENT: u32 = 1;
pub const ROUTER: u32 = 2;
pub const PREFILL: u32 = 3;
pub const DECODE: u32 = 4;
pub const DISCOVERY: u32 = 5;
pub const OTHER_DECODE: u32 = 6;
/// A second router, which only some tests use.
pub const SECOND_ROUTER: u32 = 7;
/// Microseconds in a millisecond.
pub const MS: u64 = 1000;
/// The router's id of the one request of most captures.
pub const ID: u64 = 77;

/// Returns the address at which a process listens.
pub fn address(process: u32) -> Address {
    [127, 0, 0, 1, 0, process as u8]
}

/// A class of each idempotency, a prefill worker, and a decode worker in each of two cells.
fn config() -> CheckerConfig {
    let class = |name: &str, idempotency, deduplication_scope| ClassConfig {
        name: name.into(),
        idempotency,
        deduplication_scope,
        deduplication_window: 3000 * MS,
        ttft_objective: 0,
        ttft_objective_per_1000_tokens: 0,
    };
    let worker =
        |is_prefill, cell| WorkerConfig { tokens_per_second: 1000.0, is_prefill, cell, zone: 0, slots: 8 };
    let at = |process: u32| format!("127.0.0.1:{process}");
    CheckerConfig {
        classes: vec![
            class("query", Idempotency::Idempotent, DeduplicationScope::All),
            class("lodge", Idempotency::NonIdempotent, DeduplicationScope::All),
            class("note", Idempotency::IdempotentWithKey, DeduplicationScope::Cell),
        ],
        workers: BTreeMap::from([
            (at(PREFILL), worker(true, 0)),
            (at(DECODE), worker(false, 0)),
            (at(OTHER_DECODE), worker(false, 1)),
        ]),
        max_idle_state: 500 * MS,
        drain_grace: 500 * MS,
        slow_start_share: 0.25,
        warm_up: 10_000 * MS,
        overload_multiple: 2.0,
        overload_window: 1000 * MS,
        max_attempts: 5,
    }
}

/// A connection: the process that dialled it (`from`) and the one that accepted it (`to`), with the number of frames
/// sent by the acceptor and by the dialler.
struct TestConnection {
    from: u32,
    to: u32,
    connection_number: u64,
    frames: [u64; 2],
}

/// A capture that is being written.
pub struct CaptureBuilder {
    pub now: u64,
    pub events: Vec<CapturedFrame>,
    connections: Vec<TestConnection>,
}

impl CaptureBuilder {
    /// Creates a capture in which all processes run and are connected. The connections: 0 of the client to the router,
    /// 1 to the prefill worker, 2 to the decode worker, 3 of the router to discovery, 4 and 5 of both workers to
    /// discovery, 6 to the other decode worker.
    pub fn new() -> CaptureBuilder {
        let mut capture = CaptureBuilder { now: 1_000_000 * MS, events: vec![], connections: vec![] };
        for process in [CLIENT, ROUTER, PREFILL, DECODE, DISCOVERY, OTHER_DECODE] {
            capture.add_event(process, 0, CaptureEvent::ProcessStarted, 0, Bytes::new());
        }
        for (from, to, party) in [
            (CLIENT, ROUTER, Party::Client),
            (ROUTER, PREFILL, Party::Router),
            (ROUTER, DECODE, Party::Router),
            (ROUTER, DISCOVERY, Party::Router),
            (PREFILL, DISCOVERY, Party::Worker),
            (DECODE, DISCOVERY, Party::Worker),
            (ROUTER, OTHER_DECODE, Party::Router),
        ] {
            capture.connect(from, to, party);
        }
        capture.send(
            4,
            true,
            endpoint_list::register(address(PREFILL), 0, 1.0, EndpointStatus::Serving, 0, 0, 0),
        );
        capture.send(
            5,
            true,
            endpoint_list::register(address(DECODE), 1, 1.0, EndpointStatus::Serving, 0, 0, 0),
        );
        capture.send(3, true, endpoint_list::watch(0));
        capture.send_update(&[(PREFILL, EndpointStatus::Serving, 0), (DECODE, EndpointStatus::Serving, 0)]);
        capture
    }

    pub fn add_event(
        &mut self,
        process: u32,
        connection_number: u64,
        event: CaptureEvent,
        position: u64,
        frame: Bytes,
    ) {
        self.events.push(CapturedFrame {
            at: self.now,
            process,
            connection: connection_number,
            event,
            position,
            frame,
        });
    }

    pub fn connect(&mut self, from: u32, to: u32, party: Party) {
        let connection_number = self.connections.len() as u64;
        let (dialler, acceptor) = ([127, 0, 0, 1, 9, connection_number as u8], address(to));
        self.add_event(
            from,
            connection_number,
            CaptureEvent::Connecting,
            0,
            Bytes::copy_from_slice(&acceptor),
        );
        self.add_event(
            to,
            connection_number,
            CaptureEvent::Accepted,
            0,
            Bytes::from([dialler, acceptor].concat()),
        );
        self.add_event(
            from,
            connection_number,
            CaptureEvent::Connected,
            0,
            Bytes::from([acceptor, dialler].concat()),
        );
        self.connections.push(TestConnection { from, to, connection_number, frames: [0, 0] });
        let hello = match party {
            Party::Router => say_router("somebody", u128::from(from)),
            _ => say_hello(party, "somebody"),
        };
        self.send(connection_number as usize, true, hello);
    }

    /// Adds a frame that the dialler or the acceptor of a connection sends and the other one receives.
    pub fn send(&mut self, connection: usize, from_dialler: bool, frame: Bytes) {
        let TestConnection { from, to, connection_number, frames } = &mut self.connections[connection];
        let (from, to, connection_number, direction) =
            (*from, *to, *connection_number, usize::from(from_dialler));
        let position = frames[direction];
        frames[direction] += 1;
        let (sender, receiver) = if from_dialler { (from, to) } else { (to, from) };
        self.add_event(sender, connection_number, CaptureEvent::Sent, position, frame.clone());
        self.add_event(receiver, connection_number, CaptureEvent::Received, position, frame);
    }

    pub fn send_update(&mut self, endpoints: &[(u32, EndpointStatus, u64)]) {
        let mut update = Page::new(self.now, false);
        for &(process, status, started) in endpoints {
            update.add(address(process), u16::from(process != PREFILL), 1.0, status, 0, 0, started);
        }
        self.send(3, false, update.frame());
    }

    pub fn advance(&mut self, ms: u64) -> &mut CaptureBuilder {
        self.now += ms * MS;
        self
    }

    pub fn submit(&mut self, number: u64, class: u8, timeout_ms: u64) {
        let prompt = Bytes::from_static(b"text");
        self.send(0, true, client::submit(number, class, 1, 0, 100, 0, 20, timeout_ms * MS, 0, prompt));
        self.send(0, false, client::accepted(number, ID + number - 1));
    }

    pub fn send_prefill(&mut self, id: u64, attempt: u16) {
        self.send(1, true, worker::prefill(id, attempt, 0, 1, 0, 100, 0, 0, Bytes::new()));
    }

    /// Sends an attempt to the decode worker on connection 2, or to the other decode worker on connection 6.
    pub fn send_decode(&mut self, connection: usize, id: u64, attempt: u16, max_tokens: u32) {
        let prefill_worker = Some(address(PREFILL));
        self.send(
            connection,
            true,
            worker::decode(id, attempt, 0, 100, max_tokens, 0, 0, prefill_worker, 8, 1, 0, 0, Bytes::new()),
        );
    }

    pub fn stream(&mut self, number: u64, id: u64, attempt: u16) {
        for index in 0..2 {
            let text = Bytes::from_static(b"word");
            self.send(2, false, worker::token(id, attempt, index, text.clone()));
            self.send(0, false, client::token(number, index, text));
        }
        self.send(2, false, worker::completed(id, attempt, 2));
        self.send(0, false, client::completed(number, 2));
    }

    /// Adds all messages of a request that is prefilled, decoded and completed.
    pub fn complete_request(&mut self, number: u64, class: u8) {
        let id = ID + number - 1;
        self.advance(10).submit(number, class, 4000);
        self.send_prefill(id, 0);
        self.send(2, true, worker::reserve(id, 100, 20, address(PREFILL)));
        self.advance(5).send(2, false, worker::reservation_answered(id, true));
        self.advance(50).send(1, false, worker::prefill_completed(id, 0, 0, 1600));
        self.advance(1).send_decode(2, id, 1, 20);
        self.advance(20).stream(number, id, 1);
    }

    pub fn close_all(&mut self) {
        for connection in 0..self.connections.len() {
            let TestConnection { from, to, connection_number, frames } = self.connections[connection];
            self.add_event(from, connection_number, CaptureEvent::Closed, 0, counts(frames[1], frames[0]));
            self.add_event(to, connection_number, CaptureEvent::Closed, 0, counts(frames[0], frames[1]));
        }
    }

    pub fn check(&mut self) -> Report {
        self.close_all();
        check_events(&self.events)
    }
}

/// Checks a capture that consists of these events.
pub fn check_events(events: &[CapturedFrame]) -> Report {
    let role = |process| match process {
        CLIENT => "client",
        ROUTER | SECOND_ROUTER => "router",
        DISCOVERY => "list",
        _ => "worker",
    };
    let process = |number: u32| CapturedProcess {
        number,
        name: format!("p{number}"),
        role: role(number).into(),
        address: Some(address(number)),
    };
    let mut bytes = Vec::new();
    let processes: Vec<_> = (1..=7).map(process).collect();
    capture::write_head(&mut bytes, &processes, &serde_json::to_string(&config()).unwrap()).unwrap();
    events.iter().for_each(|event| capture::write(&mut bytes, event).unwrap());
    check(bytes.as_slice()).unwrap()
}

/// Returns a capture without any violation, in which every kind of message occurs.
pub fn clean_capture() -> CaptureBuilder {
    let mut capture = CaptureBuilder::new();
    capture.complete_request(1, 0);
    capture.complete_request(2, 1);
    // One request that is rejected, one that fails, one that is cancelled with its attempt; a health check and its
    // answer.
    capture.advance(10).submit(3, 0, 1000);
    capture.advance(5).send(0, false, client::rejected(3, 500 * MS));
    capture.submit(4, 1, 1000);
    capture.send_prefill(ID + 3, 0);
    capture.advance(20).send(1, false, worker::prefill_completed(ID + 3, 0, 0, 1600));
    capture.send_decode(2, ID + 3, 1, 20);
    capture.advance(5).send(2, false, worker::attempt_ended(ID + 3, 1, worker::AttemptFailure::ServerError));
    capture.send(1, true, worker::release(ID + 3));
    capture.send(0, false, client::failed(4));
    capture.submit(5, 0, 1000);
    capture.send_prefill(ID + 4, 0);
    capture.advance(5).send(0, true, client::cancel(5));
    capture.send(1, true, worker::cancel(ID + 4, 0));
    capture.send(1, true, worker::check_health(9));
    capture.send(1, false, worker::health_reported(9, 0, 0, 0));
    capture.send(2, true, worker::grant_tokens(ID, 1, 2));
    capture
}
