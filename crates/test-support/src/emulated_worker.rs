//! An emulated worker on real sockets. It prefills, holds KV state and decode reservations, and streams responses. Its
//! processing times, rejections, failures and resets are drawn from a random number generator.

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

/// Interval at which a worker polls its connection and its process while it works.
pub const POLL_INTERVAL: Duration = Duration::from_millis(3);
/// Maximum number of bytes per read.
const READ_SIZE: usize = 4096;
/// Milliseconds after which a reservation is answered if no prefill of its request is in flight.
const UNKNOWN_PREFILL_MS: u64 = 300;
/// Probability that a reservation is made, whether a prefill of its request is in flight or not.
const RESERVATION_PROBABILITY: f64 = 0.6;
/// Probability that a stream is a long one.
const LONG_STREAM_PROBABILITY: f64 = 0.1;
/// Maximum duration of a stream in milliseconds.
const MAX_STREAM_MS: f64 = 200.0;
/// Maximum duration of a long stream in milliseconds.
const MAX_LONG_STREAM_MS: f64 = 3_000.0;
/// Probability that a second response follows a stream on its connection.
const SECOND_RESPONSE_PROBABILITY: f64 = 0.05;
/// Maximum delay of the second response in milliseconds.
const MAX_SECOND_RESPONSE_DELAY_MS: f64 = 20.0;
/// Probability that a connection is closed before anything is read from it.
const IMMEDIATE_CLOSE_PROBABILITY: f64 = 0.02;
/// Probability, per [`POLL_INTERVAL`], that a connection of a machine that is down stays open.
const STAY_OPEN_PROBABILITY: f64 = 0.999;

/// The environment of a worker: it receives the events of the worker, and determines the state of its process.
pub trait WorkerEnvironment: Send + Sync + 'static {
    /// Reports an event. Returns the answer if the event is a question.
    fn handle(&self, event: WorkerEvent) -> bool;
    /// Returns a random number that is at least 0 and less than 1.
    fn random_unit(&self) -> f64;
    /// Returns whether the test is over.
    fn is_over(&self) -> bool;
    /// Returns the number of the process incarnation that accepts connections now; `None` while the machine is down.
    fn process_start(&self) -> Option<u64> {
        Some(0)
    }
    /// Returns whether the process hangs.
    fn is_hung(&self) -> bool {
        false
    }
    /// Returns whether the worker reports received calls and closed connections; if not, a proxy between the router and
    /// the worker reports them.
    fn reports_connections(&self) -> bool {
        true
    }
    /// Returns the number under which a connection is reported.
    fn connection_number(&self, stream: &TcpStream) -> u64;
}

/// Serves every connection on a thread of its own.
pub fn serve<E: WorkerEnvironment>(listener: TcpListener, spec: WorkerSpec, environment: Arc<E>) {
    for stream in listener.incoming().flatten() {
        let environment = environment.clone();
        std::thread::spawn(move || Connection::serve(stream, spec, environment));
    }
}

/// Returns whether a read failed because no bytes have arrived yet.
pub fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

/// A connection to a worker. Its methods return `None` once the connection or the process has ended.
struct Connection<E> {
    environment: Arc<E>,
    spec: WorkerSpec,
    /// The incarnation of the process that accepted the connection; `None` if the machine was down.
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
        if connection.environment.random_unit() < IMMEDIATE_CLOSE_PROBABILITY {
            return;
        }
        connection.serve_requests();
        let process_ended = !connection.is_process_alive();
        connection.report_connection(WorkerEvent::ConnectionClosed { on });
        // A machine that is down sends nothing on its open connections, not even a reset.
        while process_ended
            && !connection.environment.is_over()
            && connection.environment.random_unit() < STAY_OPEN_PROBABILITY
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

    /// Returns whether the process that accepted the connection still runs.
    fn is_process_alive(&self) -> bool {
        self.process_start.is_some() && self.environment.process_start() == self.process_start
    }

    /// Reads until a request is complete, and returns its head.
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

    /// Waits while the process hangs. Returns false if the process has ended.
    fn wait_while_hung(&self) -> bool {
        while self.is_process_alive() && self.environment.is_hung() {
            std::thread::sleep(POLL_INTERVAL);
        }
        self.is_process_alive()
    }

    /// Works for `ms` milliseconds; stops early if the router closes the connection.
    fn work(&self, ms: u64) -> Option<()> {
        let done_at = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < done_at {
            match self.stream.peek(&mut [0]) {
                Ok(0) => return None,
                Err(error) if !is_timeout(&error) => return None,
                _ => {
                    let remaining = done_at.saturating_duration_since(Instant::now());
                    std::thread::sleep(POLL_INTERVAL.min(remaining));
                }
            }
        }
        self.wait_while_hung().then_some(())
    }

    fn send(&mut self, text: &str) -> Option<()> {
        self.stream.write_all(text.as_bytes()).ok()
    }

    /// Returns random milliseconds from `min` to `max`, uniformly distributed by their logarithm.
    fn random_ms(&self, min: f64, max: f64) -> u64 {
        scale_log_uniform(self.environment.random_unit(), min, max) as u64
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
        let is_reserved = self.environment.random_unit() < RESERVATION_PROBABILITY;
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
        let is_long = self.environment.random_unit() < LONG_STREAM_PROBABILITY;
        self.work(self.random_ms(1.0, if is_long { MAX_LONG_STREAM_MS } else { MAX_STREAM_MS }))?;
        self.environment.handle(WorkerEvent::ResponseComplete { on: self.on });
        self.send(&format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])))?;
        if self.environment.random_unit() < SECOND_RESPONSE_PROBABILITY {
            std::thread::sleep(Duration::from_millis(self.random_ms(1.0, MAX_SECOND_RESPONSE_DELAY_MS)));
            self.send(&streamed_response())?;
        }
        Some(())
    }
}
