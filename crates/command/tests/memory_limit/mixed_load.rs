//! A soak: clients of all kinds at once, whose behavior is drawn from a seed. `MEMORY_SOAK_SECONDS` sets its length and
//! `MEMORY_SOAK_SEED` the seed.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use tideroute::rng::Rng;
use tideroute_test_support::http_connection::read_message;
use tideroute_test_support::http_messages::chunk;

use crate::harness::{Limits, Router, Worker};
use crate::{flood_with_commands, request, run_clients, LARGE_BODY, LONG_DEADLINE_MS};

/// The length of the soak in seconds if `MEMORY_SOAK_SECONDS` is not set.
const SOAK_SECONDS: u64 = 15;
/// The number of clients that send one request after another and read all responses.
const USUAL_CLIENTS: usize = 8;
/// Bytes of the body that usual clients send.
const USUAL_BODY: usize = 20_000;
/// How long clients flood the router, or leave a response unread.
const RUDE_TIME: Duration = Duration::from_millis(300);

fn environment_number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |value| value.parse().expect("a number"))
}

/// A client that does something else with each connection.
struct RandomClient<'a> {
    router: &'a Router,
    number: usize,
    requests: usize,
    rng: Rng,
}

impl RandomClient<'_> {
    fn next_trace_id(&mut self) -> String {
        self.requests += 1;
        format!("c{}n{}", self.number, self.requests)
    }

    fn next_request(&mut self) -> String {
        let length = 2 + (self.rng.unit() * LARGE_BODY as f64) as usize;
        request(&self.next_trace_id(), length, LONG_DEADLINE_MS)
    }

    /// Uses one connection, until the router or the client ends it.
    fn use_connection(&mut self) -> std::io::Result<()> {
        let mut stream = self.router.connect();
        match (self.rng.unit() * 7.0) as usize {
            0 => self.send_and_read(&mut stream)?,
            1 => self.send_chunked(&mut stream)?,
            2 => self.send_half(&mut stream)?,
            3 => self.send_pipelined(&mut stream)?,
            4 => flood_with_commands(stream, RUDE_TIME, true),
            5 => flood_with_commands(stream, RUDE_TIME, false),
            _ => self.leave_response_unread(&mut stream)?,
        }
        Ok(())
    }

    fn send_and_read(&mut self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(self.next_request().as_bytes())?;
        read_message(stream, &mut vec![]);
        Ok(())
    }

    fn send_chunked(&mut self, stream: &mut TcpStream) -> std::io::Result<()> {
        let complete = self.next_request();
        let (head, body) = complete.split_once("\r\n\r\n").expect("a head");
        let (head, _) = head.split_once("Content-Length").expect("a length");
        stream.write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
        for piece in body.as_bytes().chunks(10_000) {
            stream.write_all(chunk(&String::from_utf8_lossy(piece)).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        read_message(stream, &mut vec![]);
        Ok(())
    }

    fn send_half(&mut self, stream: &mut TcpStream) -> std::io::Result<()> {
        let complete = self.next_request();
        stream.write_all(&complete.as_bytes()[..complete.len() / 2])?;
        std::thread::sleep(RUDE_TIME);
        Ok(())
    }

    fn send_pipelined(&mut self, stream: &mut TcpStream) -> std::io::Result<()> {
        for _ in 0..3 {
            stream.write_all(self.next_request().as_bytes())?;
        }
        let mut received = vec![];
        while read_message(stream, &mut received).is_some() {}
        Ok(())
    }

    fn leave_response_unread(&mut self, stream: &mut TcpStream) -> std::io::Result<()> {
        let request = request(&self.next_trace_id(), 100, LONG_DEADLINE_MS);
        stream.write_all(request.as_bytes())?;
        std::thread::sleep(RUDE_TIME);
        let _ = stream.read(&mut [0; 1_000]);
        Ok(())
    }
}

/// Sends requests one after another until `ends_at`; returns how many were sent and how many got no answer.
fn run_usual_client(router: &Router, number: usize, ends_at: Instant) -> (usize, usize) {
    let (mut sent, mut unanswered) = (0, 0);
    while Instant::now() < ends_at {
        sent += 1;
        let mut stream = router.connect();
        let request = request(&format!("usual{number}n{sent}"), USUAL_BODY, LONG_DEADLINE_MS);
        let written = stream.write_all(request.as_bytes());
        let response = written.ok().and_then(|()| read_message(&mut stream, &mut vec![]));
        unanswered += usize::from(response.is_none());
        std::thread::sleep(Duration::from_millis(50));
    }
    (sent, unanswered)
}

/// Guards against loads that stay within the memory limit one by one, but not together or one after another.
#[test]
fn a_mixed_load_stays_within_the_memory_limit() {
    let limits = Limits { memory_mb: 32, sockets: 512 };
    let duration = Duration::from_secs(environment_number("MEMORY_SOAK_SECONDS", SOAK_SECONDS));
    let seed = environment_number("MEMORY_SOAK_SEED", 1);
    let router = Router::start(limits, 8, Worker::Prefill(Duration::from_millis(200)), Worker::Stream(40));
    let ends_at = Instant::now() + duration;
    let counts = run_clients(&router, limits.clients(), |number, stream| {
        drop(stream);
        if number < USUAL_CLIENTS {
            return run_usual_client(&router, number, ends_at);
        }
        let rng = Rng::new(seed ^ (number as u64) << 32);
        let mut client = RandomClient { router: &router, number, requests: 0, rng };
        while Instant::now() < ends_at {
            // The router may end the connection at any time.
            let _ = client.use_connection();
        }
        (0, 0)
    });
    let sent: usize = counts.iter().map(|(sent, _)| sent).sum();
    let unanswered: usize = counts.iter().map(|(_, unanswered)| unanswered).sum();
    println!("usual clients: {sent} requests, {unanswered} without an answer");
    assert!(sent > 0 && unanswered == 0, "{unanswered} of {sent} requests of usual clients got no answer");
    router.assert_within_limit();
}
