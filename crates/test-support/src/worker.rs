//! A stand-in for a worker on real sockets: it reads prompts, holds places and states, and streams answers of a drawn
//! length, with a drawn part of refusals, failures and breaks.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::customer::Role;
use crate::http_messages::{
    attempted_request, chunk, response, streamed_response, take_request, value_after, NEVER_RAN,
    PREFILL_COMPLETE, STREAM_EVENTS, STREAM_HEAD,
};
use crate::judge::{On, Report};

/// How often a worker at work looks whether its connection is still there.
pub const LOOKS: Duration = Duration::from_millis(3);
/// Milliseconds in which a place is answered of which no read is known.
const UNKNOWN_PLACE_MS: u64 = 300;
/// The part of streams that may last longer than the others, and milliseconds that they last at most.
const LONG_STREAMS: f64 = 0.1;
const LONG_MS: f64 = 3_000.0;
/// The part of streams behind which a second answer comes, and milliseconds that it comes late at most.
const SECOND_ANSWERS: f64 = 0.05;
const LATE_MS: f64 = 20.0;
/// The part of connections that break before anything is read.
const BREAKS_AT_ONCE: f64 = 0.02;

/// Where a worker runs: to whom it tells what passes, and what becomes of its process.
pub trait Surroundings: Send + Sync + 'static {
    fn take(&self, report: Report) -> bool;
    fn unit(&self) -> f64;
    fn is_over(&self) -> bool;
    /// Which start of its process accepts connections now; none while its machine is away.
    fn start(&self) -> Option<u64> {
        Some(0)
    }
    /// The process hangs.
    fn hangs(&self) -> bool {
        false
    }
    /// It is told by the worker when a call arrives and when a connection is closed, and by nobody nearer to the wire.
    fn sees_the_wire(&self) -> bool {
        true
    }
    /// Who a connection is told to be.
    fn number(&self, stream: &TcpStream) -> u64;
}

/// What a worker is.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Kind {
    pub worker: usize,
    pub role: Role,
    pub reads_by_itself: bool,
}

/// Serves all who connect, each on a thread of its own.
pub fn serve<S: Surroundings>(listener: TcpListener, kind: Kind, at: Arc<S>) {
    for stream in listener.incoming().flatten() {
        let at = at.clone();
        std::thread::spawn(move || Call::serve(stream, kind, at));
    }
}

/// A number between two, small ones as often as large.
fn between(at: &impl Surroundings, least: f64, most: f64) -> u64 {
    (least * (most / least).powf(at.unit())) as u64
}

/// One connection to a worker.
struct Call<S> {
    at: Arc<S>,
    kind: Kind,
    /// The start of the process that accepted it.
    start: Option<u64>,
    on: On,
    stream: TcpStream,
    arrived: Vec<u8>,
}

impl<S: Surroundings> Call<S> {
    fn serve(stream: TcpStream, kind: Kind, at: Arc<S>) {
        let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(LOOKS)));
        let on = On { worker: kind.worker, number: at.number(&stream) };
        // What comes while the machine is away comes to nobody.
        let mut call = Call { start: at.start(), at, kind, on, stream, arrived: vec![] };
        if call.at.unit() < BREAKS_AT_ONCE {
            return;
        }
        while let Some(head) = call.next() {
            if call.at.sees_the_wire() {
                call.at.take(Report::Arrives { on, head: head.clone() });
            }
            if !call.waits_out_a_hang() || call.handle(&head).is_none() {
                break;
            }
        }
        let silent = !call.lives();
        if call.at.sees_the_wire() {
            call.at.take(Report::Closed { on });
        }
        // A machine that has vanished says nothing on what was open.
        while silent && !call.at.is_over() && call.at.unit() < 0.999 {
            std::thread::sleep(LOOKS);
        }
    }

    /// The process that accepted it is still there.
    fn lives(&self) -> bool {
        self.start.is_some() && self.at.start() == self.start
    }

    /// The next whole request; none at the end of the connection or of the process.
    fn next(&mut self) -> Option<String> {
        let mut piece = [0; 4096];
        loop {
            if let Some(head) = take_request(&mut self.arrived) {
                return Some(head);
            }
            if self.at.is_over() || !self.lives() {
                return None;
            }
            match self.stream.read(&mut piece) {
                Ok(0) => return None,
                Ok(got) => self.arrived.extend_from_slice(&piece[..got]),
                Err(e) if waits(&e) => {}
                Err(_) => return None,
            }
        }
    }

    /// Waits while the process hangs; false if it is not there any more.
    fn waits_out_a_hang(&self) -> bool {
        while self.lives() && self.at.hangs() {
            std::thread::sleep(LOOKS);
        }
        self.lives()
    }

    /// Works for so long; none if the router has ended the connection meanwhile, or the process ended.
    fn works(&self, ms: u64) -> Option<()> {
        let done = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < done {
            match self.stream.peek(&mut [0]) {
                Ok(0) => return None,
                Err(e) if !waits(&e) => return None,
                _ => std::thread::sleep(LOOKS.min(done.saturating_duration_since(Instant::now()))),
            }
        }
        self.waits_out_a_hang().then_some(())
    }

    fn say(&mut self, text: &str) -> Option<()> {
        self.stream.write_all(text.as_bytes()).ok()
    }

    /// Does what is asked; none if the connection is over.
    fn handle(&mut self, head: &str) -> Option<()> {
        if head.starts_with("GET ") {
            return self.say(&response(200, "", "TEXT outstanding=2, x1=0.5"));
        }
        if head.starts_with("POST /v1") {
            return self.attempt(attempted_request(head)?);
        }
        let request: usize = value_after(head, "/internal/reservations/t").parse().ok()?;
        if head.starts_with("DELETE ") {
            self.at.take(Report::Released { request });
            return self.say("HTTP/1.1 204 No Content\r\n\r\n");
        }
        self.place(request)
    }

    fn place(&mut self, request: usize) -> Option<()> {
        let knows = self.at.take(Report::IsRead { request });
        self.works(if knows { between(&*self.at, 1.0, 50.0) } else { UNKNOWN_PLACE_MS })?;
        let held = self.at.unit() < 0.6;
        if held {
            self.at.take(Report::HoldsPlace { on: self.on, request });
        }
        match (knows, held) {
            (false, _) => self.say("HTTP/1.1 204 No Content\r\n\r\n"),
            (true, true) => self.say(&response(200, "", "")),
            (true, false) => self.say(&response(409, "", "")),
        }
    }

    fn attempt(&mut self, request: usize) -> Option<()> {
        let lot = self.at.unit();
        if self.kind.role == Role::Reads {
            self.works(between(&*self.at, 2.0, 800.0))?;
            self.read(request, lot)
        } else {
            self.works(between(&*self.at, 1.0, 800.0))?;
            self.write(request, lot)
        }
    }

    fn read(&mut self, request: usize, lot: f64) -> Option<()> {
        self.at.take(Report::Read { on: self.on, request, left_state: lot < 0.92 });
        match lot {
            0.0..0.86 => self.say(PREFILL_COMPLETE),
            0.86..0.92 => None,
            0.92..0.96 => self.say(NEVER_RAN),
            _ => self.say(&response(500, "", "")),
        }
    }

    fn write(&mut self, request: usize, lot: f64) -> Option<()> {
        let stateless = !self.kind.reads_by_itself && !self.at.take(Report::HasState { request });
        if stateless || lot < 0.12 {
            self.at.take(Report::Failed { on: self.on, request, never_ran: true });
            return self.say(&if stateless { NEVER_RAN.replace("503", "410") } else { NEVER_RAN.into() });
        }
        if lot < 0.25 {
            self.at.take(Report::Failed { on: self.on, request, never_ran: false });
            return if lot < 0.18 { None } else { self.say(&response(500, "", "")) };
        }
        self.at.take(Report::Begins { request });
        self.say(&format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])))?;
        let lasts_ms = if self.at.unit() < LONG_STREAMS { LONG_MS } else { 200.0 };
        self.works(between(&*self.at, 1.0, lasts_ms))?;
        self.at.take(Report::Answered { on: self.on });
        self.say(&format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])))?;
        if self.at.unit() < SECOND_ANSWERS {
            std::thread::sleep(Duration::from_millis(between(&*self.at, 1.0, LATE_MS)));
            self.say(&streamed_response())?;
        }
        Some(())
    }
}

/// Nothing has come yet.
pub fn waits(problem: &std::io::Error) -> bool {
    matches!(problem.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
