//! The router stays within `memory_mb`, over which the platform kills it, whatever clients send and leave unread. Each
//! load keeps to the protocol: clients hold a third of the descriptors at most, and a body has 256 KiB at most.

mod harness;
mod mixed_load;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use harness::{Limits, Router, Worker};
use tideroute_test_support::http_connection::{field, read_message};
use tideroute_test_support::http_messages::chat_request_with;

/// Bytes of nearly the largest body that the protocol allows.
const LARGE_BODY: usize = 261_900;
/// Milliseconds until the deadline of requests that may wait for a worker.
const LONG_DEADLINE_MS: u64 = 12_000;
/// Milliseconds until the deadline of requests that no worker reads.
const SHORT_DEADLINE_MS: u64 = 2_000;
/// The usual time of a prefill.
const PREFILL_TIME: Duration = Duration::from_millis(1_000);

fn request(trace_id: &str, body_length: usize, deadline_ms: u64) -> String {
    let body = format!("\"{}\"", "x".repeat(body_length - 2));
    chat_request_with(trace_id, "safe", deadline_ms, &body)
}

/// Runs `client` on a connection of its own for each number up to `count`, all at once; returns the results.
fn run_clients<T: Send>(
    router: &Router,
    count: usize,
    client: impl Fn(usize, TcpStream) -> T + Sync,
) -> Vec<T> {
    std::thread::scope(|scope| {
        let client = &client;
        let run = |number| scope.spawn(move || client(number, router.connect()));
        let clients: Vec<_> = (0..count).map(run).collect();
        clients.into_iter().map(|client| client.join().expect("a client")).collect()
    })
}

/// Sends requests with large bodies, one per client, and returns the heads of the responses; empty for no response. The
/// requests are sent one after another, so that few of them are being received at a time.
fn send_large_requests(router: &Router, count: usize, deadline_ms: u64) -> Vec<String> {
    let turn_to_send = Mutex::new(());
    run_clients(router, count, |number, mut stream| {
        let request = request(&format!("t{number}"), LARGE_BODY, deadline_ms);
        let turn = turn_to_send.lock().unwrap_or_else(|error| error.into_inner());
        let sent = stream.write_all(request.as_bytes());
        drop(turn);
        let response = sent.ok().and_then(|()| read_message(&mut stream, &mut vec![]));
        response.map_or(String::new(), |(head, _)| head)
    })
}

fn status(head: &str) -> &str {
    head.get(9..12).unwrap_or("")
}

/// Guards against a router that is killed because the bodies of open requests count against no limit of memory.
#[test]
fn large_requests_at_once_stay_within_the_memory_limit() {
    let limits = Limits { memory_mb: 32, sockets: 1_024 };
    let router = Router::start(limits, 4, Worker::Prefill(PREFILL_TIME), Worker::Stream(1));
    let heads = send_large_requests(&router, limits.clients(), LONG_DEADLINE_MS);
    assert!(heads.iter().all(|head| !head.is_empty()), "a request got no answer");
    let refused: Vec<_> = heads.iter().filter(|head| status(head) == "503").collect();
    assert!(refused.iter().all(|head| !field(head, "retry-after").is_empty()), "no Retry-After: {refused:?}");
    assert!(heads.iter().any(|head| status(head) == "200"), "no request was served");
    router.assert_within_limit();
}

/// Guards against memory that grows while workers do not read what is being sent to them.
#[test]
fn bodies_that_workers_do_not_read_stay_within_the_memory_limit() {
    let limits = Limits { memory_mb: 16, sockets: 512 };
    let router = Router::start(limits, 60, Worker::Unresponsive, Worker::Stream(1));
    let heads = send_large_requests(&router, limits.clients(), SHORT_DEADLINE_MS);
    assert!(heads.iter().all(|head| !head.is_empty()), "a request got no answer");
    router.assert_within_limit();
}

/// Guards against responses that clients do not read and that count against no limit.
#[test]
fn responses_that_clients_do_not_read_stay_within_the_memory_limit() {
    let limits = Limits { memory_mb: 32, sockets: 1_024 };
    let router = Router::start(limits, 8, Worker::Prefill(Duration::ZERO), Worker::Stream(400));
    run_clients(&router, limits.clients(), |number, mut stream| {
        let _ = stream.write_all(request(&format!("t{number}"), 100, LONG_DEADLINE_MS).as_bytes());
        std::thread::sleep(Duration::from_millis(4_000));
    });
    router.assert_within_limit();
}

/// Sends commands at full speed for `duration`, and reads the responses if `reads` is set.
fn flood_with_commands(stream: TcpStream, duration: Duration, reads: bool) {
    let mut stream = stream;
    let _ = stream.set_nonblocking(true);
    let commands = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n".repeat(1_000);
    let (mut written, mut responses) = (0, vec![0; 64 << 10]);
    let started = Instant::now();
    while started.elapsed() < duration {
        match stream.write(&commands.as_bytes()[written..]) {
            Ok(length) => written = (written + length) % commands.len(),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
        match stream.read(&mut responses) {
            _ if !reads => std::thread::sleep(Duration::from_millis(1)),
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                std::thread::sleep(Duration::from_micros(100));
            }
            Err(_) => return,
        }
    }
}

/// Guards against responses to many small commands that are all made at once and count against no limit.
#[test]
fn commands_at_full_speed_stay_within_the_memory_limit() {
    let limits = Limits { memory_mb: 32, sockets: 256 };
    let router = Router::start(limits, 1, Worker::Prefill(PREFILL_TIME), Worker::Stream(1));
    run_clients(&router, limits.clients(), |_, stream| {
        flood_with_commands(stream, Duration::from_secs(3), true);
    });
    router.assert_within_limit();
}

/// Guards against responses to commands that clients do not read and that count against no limit.
#[test]
fn commands_whose_responses_are_not_read_stay_within_the_memory_limit() {
    let limits = Limits { memory_mb: 32, sockets: 256 };
    let router = Router::start(limits, 1, Worker::Prefill(PREFILL_TIME), Worker::Stream(1));
    run_clients(&router, limits.clients(), |_, stream| {
        flood_with_commands(stream, Duration::from_secs(3), false);
    });
    router.assert_within_limit();
}

/// Guards against requests that wait behind an open one and count against no limit.
#[test]
fn requests_behind_an_open_one_stay_within_the_memory_limit() {
    let limits = Limits { memory_mb: 32, sockets: 512 };
    let router = Router::start(limits, 4, Worker::Prefill(PREFILL_TIME), Worker::Stream(1));
    run_clients(&router, limits.clients(), |number, mut stream| {
        let first = request(&format!("t{number}"), 100, LONG_DEADLINE_MS);
        let second = request(&format!("p{number}"), LARGE_BODY, LONG_DEADLINE_MS);
        let _ = stream.write_all(format!("{first}{second}").as_bytes());
        read_message(&mut stream, &mut vec![]);
    });
    router.assert_within_limit();
}
