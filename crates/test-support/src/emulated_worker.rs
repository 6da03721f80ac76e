//! A worker on real sockets: it prefills, holds KV state and decode reservations, and streams responses, with times
//! and a part of rejections, failures and resets taken from a random number generator.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http_messages::{
    attempted_request, chunk, response, streamed_response, take_request, value_after, NEVER_RAN,
    PREFILL_COMPLETE, STREAM_EVENTS, STREAM_HEAD,
};
use crate::random::scale_log_uniform;
use crate::worker_event::{WorkerConnection, WorkerEvent};
use crate::worker_spec::{Role, WorkerSpec};

/// How often a worker at work looks whether its connection is still there.
pub const POLL_INTERVAL: Duration = Duration::from_millis(3);
/// Bytes that are read at once.
const READ_SIZE: usize = 4096;
/// Milliseconds in which a reservation is answered of which no prefill is known.
const UNKNOWN_PREFILL_MS: u64 = 300;
/// The part of reservations that are made, of those whose prefill is known or not.
const RESERVED: f64 = 0.6;
/// The part of streams that may last longer than the others.
const LONG_STREAMS: f64 = 0.1;
/// Milliseconds that a stream lasts at most, and a long one.
const STREAM_MS: f64 = 200.0;
const LONG_STREAM_MS: f64 = 3_000.0;
/// The part of streams behind which a second response comes, and milliseconds after which it comes at most.
const SECOND_RESPONSES: f64 = 0.05;
const SECOND_RESPONSE_MS: f64 = 20.0;
/// The part of connections that break before anything is read.
const BREAKS_AT_ONCE: f64 = 0.02;
/// The part of looks at which the connections of a machine that is away stay open.
const STAYS_OPEN: f64 = 0.999;

/// Where a worker runs: to whom it reports what passes, and what becomes of its process.
pub trait WorkerEnvironment: Send + Sync + 'static {
    /// Reports an event; the answer to one that asks.
    fn handle(&self, event: WorkerEvent) -> bool;
    /// A random number from 0 to below 1.
    fn random_unit(&self) -> f64;
    /// Whether the test is over.
    fn is_over(&self) -> bool;
    /// Which start of its process accepts connections now; none while its machine is away.
    fn process_start(&self) -> Option<u64> {
        Some(0)
    }
    /// Whether the process hangs.
    fn is_hung(&self) -> bool {
        false
    }
    /// Whether the worker reports received calls and closed connections; else somebody nearer to the router does.
    fn reports_connections(&self) -> bool {
        true
    }
    /// The number under which a connection is reported.
    fn connection_number(&self, stream: &TcpStream) -> u64;
}

/// Serves all who connect, each on a thread of its own.
pub fn serve<E: WorkerEnvironment>(listener: TcpListener, spec: WorkerSpec, environment: Arc<E>) {
    for stream in listener.incoming().flatten() {
        let environment = environment.clone();
        std::thread::spawn(move || Connection::serve(stream, spec, environment));
    }
}

/// Whether a read failed because nothing has come yet.
pub fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

/// One connection to a worker. Methods return none once the connection or the process has ended.
struct Connection<E> {
    environment: Arc<E>,
    spec: WorkerSpec,
    /// The start of the process that accepted it; none if the machine was away.
    process_start: Option<u64>,
    on: WorkerConnection,
    stream: TcpStream,
    arrived: Vec<u8>,
}

impl<E: WorkerEnvironment> Connection<E> {
    fn serve(stream: TcpStream, spec: WorkerSpec, environment: Arc<E>) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(POLL_INTERVAL));
        let on = WorkerConnection { worker: spec.worker, number: environment.connection_number(&stream) };
        let process_start = environment.process_start();
        let mut connection = Connection { environment, spec, process_start, on, stream, arrived: vec![] };
        if connection.environment.random_unit() < BREAKS_AT_ONCE {
            return;
        }
        connection.serve_requests();
        let was_away = !connection.is_process_alive();
        connection.report_connection(WorkerEvent::ConnectionClosed { on });
        // A machine that has vanished sends nothing on what was open.
        while was_away
            && !connection.environment.is_over()
            && connection.environment.random_unit() < STAYS_OPEN
        {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn serve_requests(&mut self) {
        while let Some(head) = self.next_request() {
            self.report_connection(WorkerEvent::CallReceived { on: self.on, head: head.clone() });
            if !self.wait_while_hung() || self.handle_call(&head).is_none() {
                return;
            }
        }
    }

    fn report_connection(&self, event: WorkerEvent) {
        if self.environment.reports_connections() {
            self.environment.handle(event);
        }
    }

    /// Whether the process that accepted the connection is still there.
    fn is_process_alive(&self) -> bool {
        self.process_start.is_some() && self.environment.process_start() == self.process_start
    }

    /// The head of the next complete request.
    fn next_request(&mut self) -> Option<String> {
        let mut buffer = [0; READ_SIZE];
        loop {
            if let Some(head) = take_request(&mut self.arrived) {
                return Some(head);
            }
            if self.environment.is_over() || !self.is_process_alive() {
                return None;
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(length) => self.arrived.extend_from_slice(&buffer[..length]),
                Err(error) if is_timeout(&error) => {}
                Err(_) => return None,
            }
        }
    }

    /// Waits while the process hangs; false if it is not there any more.
    fn wait_while_hung(&self) -> bool {
        while self.is_process_alive() && self.environment.is_hung() {
            std::thread::sleep(POLL_INTERVAL);
        }
        self.is_process_alive()
    }

    /// Works for so long, unless the router ends the connection meanwhile.
    fn work(&self, ms: u64) -> Option<()> {
        let done = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < done {
            match self.stream.peek(&mut [0]) {
                Ok(0) => return None,
                Err(error) if !is_timeout(&error) => return None,
                _ => {
                    let remaining = done.saturating_duration_since(Instant::now());
                    std::thread::sleep(POLL_INTERVAL.min(remaining));
                }
            }
        }
        self.wait_while_hung().then_some(())
    }

    fn send(&mut self, text: &str) -> Option<()> {
        self.stream.write_all(text.as_bytes()).ok()
    }

    /// Milliseconds from `least` to `most`, small ones as probable as large ones.
    fn random_ms(&self, least: f64, most: f64) -> u64 {
        scale_log_uniform(self.environment.random_unit(), least, most) as u64
    }

    fn handle_call(&mut self, head: &str) -> Option<()> {
        if head.starts_with("GET ") {
            return self.send(&response(200, "", "TEXT outstanding=2, x1=0.5"));
        }
        if head.starts_with("POST /v1") {
            return self.handle_attempt(attempted_request(head)?);
        }
        let request: usize = value_after(head, "/internal/reservations/t").parse().ok()?;
        if head.starts_with("DELETE ") {
            self.environment.handle(WorkerEvent::Released { request });
            return self.send("HTTP/1.1 204 No Content\r\n\r\n");
        }
        self.reserve(request)
    }

    fn reserve(&mut self, request: usize) -> Option<()> {
        let knows_prefill = self.environment.handle(WorkerEvent::IsPrefillInFlight { request });
        self.work(if knows_prefill { self.random_ms(1.0, 50.0) } else { UNKNOWN_PREFILL_MS })?;
        let is_reserved = self.environment.random_unit() < RESERVED;
        if is_reserved {
            self.environment.handle(WorkerEvent::Reserved { on: self.on, request });
        }
        match (knows_prefill, is_reserved) {
            (false, _) => self.send("HTTP/1.1 204 No Content\r\n\r\n"),
            (true, true) => self.send(&response(200, "", "")),
            (true, false) => self.send(&response(409, "", "")),
        }
    }

    fn handle_attempt(&mut self, request: usize) -> Option<()> {
        let outcome = self.environment.random_unit();
        if self.spec.role == Role::Prefill {
            self.work(self.random_ms(2.0, 800.0))?;
            self.end_prefill(request, outcome)
        } else {
            self.work(self.random_ms(1.0, 800.0))?;
            self.decode(request, outcome)
        }
    }

    fn end_prefill(&mut self, request: usize, outcome: f64) -> Option<()> {
        let left_state = outcome < 0.92;
        self.environment.handle(WorkerEvent::PrefillEnded { on: self.on, request, left_state });
        match outcome {
            0.0..0.86 => self.send(PREFILL_COMPLETE),
            0.86..0.92 => None,
            0.92..0.96 => self.send(NEVER_RAN),
            _ => self.send(&response(500, "", "")),
        }
    }

    fn decode(&mut self, request: usize, outcome: f64) -> Option<()> {
        let state_missing =
            !self.spec.prefills_locally && !self.environment.handle(WorkerEvent::HasState { request });
        if state_missing || outcome < 0.12 {
            self.environment.handle(WorkerEvent::DecodeFailed { on: self.on, request, never_ran: true });
            let rejection = if state_missing { NEVER_RAN.replace("503", "410") } else { NEVER_RAN.into() };
            return self.send(&rejection);
        }
        if outcome < 0.25 {
            self.environment.handle(WorkerEvent::DecodeFailed { on: self.on, request, never_ran: false });
            return if outcome < 0.18 { None } else { self.send(&response(500, "", "")) };
        }
        self.stream_response(request)
    }

    fn stream_response(&mut self, request: usize) -> Option<()> {
        self.environment.handle(WorkerEvent::StreamStarted { request });
        self.send(&format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])))?;
        let is_long = self.environment.random_unit() < LONG_STREAMS;
        self.work(self.random_ms(1.0, if is_long { LONG_STREAM_MS } else { STREAM_MS }))?;
        self.environment.handle(WorkerEvent::ResponseComplete { on: self.on });
        self.send(&format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])))?;
        if self.environment.random_unit() < SECOND_RESPONSES {
            std::thread::sleep(Duration::from_millis(self.random_ms(1.0, SECOND_RESPONSE_MS)));
            self.send(&streamed_response())?;
        }
        Some(())
    }
}
