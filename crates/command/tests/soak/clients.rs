//! The clients of a run: well-behaved ones, ones that disconnect early, and ones that send incomplete requests.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tideroute_test_support::emulated_worker::{is_timeout, POLL_INTERVAL};
use tideroute_test_support::http_messages::chat_request_with;
use tideroute_test_support::virtual_time::MS;

use crate::fleet::{lock, ms, Fleet, Router, RouterProcess};

/// The longest time for which a client waits for its response, in milliseconds.
const MAX_WAIT_MS: u64 = 1_500;
/// The time within which the router sends an error to a client that stopped in the middle of a request, or closes its
/// connection.
const CLIENT_TIMEOUT_LIMIT: Duration = Duration::from_millis(3_000);
/// How long after an event a client may observe it on a busy machine.
const OBSERVATION_DELAY: Duration = Duration::from_millis(400);

/// A connection to a router, and the router's process at that time.
struct Connection {
    stream: TcpStream,
    process: Arc<RouterProcess>,
}

fn connect(router: &Router) -> Option<Connection> {
    // The process is looked up before connecting. In the other order, a connection to a process that is then killed
    // could be counted as one to its successor, and the kill reported as a violation.
    let process = router.process();
    let stream = TcpStream::connect(&router.listen).ok()?;
    let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(POLL_INTERVAL)));
    Some(Connection { stream, process })
}

/// The outcome of a request on a connection.
enum Outcome {
    /// The response is complete and the connection stays open.
    KeptAlive,
    /// The request is over and the connection is not used again.
    Closed,
    /// The connection ended before any byte of a response; the text says how.
    Unanswered(String),
}

/// Runs one client: most send one request, some several on one connection, some disconnect early, and some send only a
/// part of a request or nothing.
pub fn client(fleet: &Fleet, router: &Router) {
    let kind = fleet.monitor.random_unit();
    match kind {
        0.0..0.06 => send_half_a_request(fleet, router, false),
        0.06..0.12 => send_half_a_request(fleet, router, true),
        0.12..0.16 => connect_and_stay_silent(fleet, router),
        0.16..0.4 => send_requests_on_one_connection(fleet, router),
        _ => send_one_request(fleet, router),
    }
}

/// Sends one request on a connection of its own. Some of these clients disconnect early.
pub fn send_one_request(fleet: &Fleet, router: &Router) {
    let Some(mut connection) = connect(router) else { return };
    let number = register_request(fleet, &connection);
    let disconnects = fleet.monitor.random_unit() < 0.2;
    if let Outcome::Unanswered(end) = send_request(fleet, &mut connection, number, disconnects) {
        report_disconnect(fleet, router, &connection, number, &end);
    }
}

/// Sends up to four requests on one connection. A request that was sent while the router closed the idle connection is
/// sent once more on a new connection.
fn send_requests_on_one_connection(fleet: &Fleet, router: &Router) {
    let Some(mut connection) = connect(router) else { return };
    for n in 0..4 {
        let number = register_request(fleet, &connection);
        match send_request(fleet, &mut connection, number, false) {
            Outcome::KeptAlive => {}
            Outcome::Closed => return,
            Outcome::Unanswered(_) if n > 0 => {
                let killed = connection.process.killed.load(Ordering::SeqCst);
                let Some(mut new_connection) = connect(router).filter(|_| !killed) else {
                    return fleet.monitor.checker().router_killed(number);
                };
                lock(&new_connection.process.requests).push(number);
                if let Outcome::Unanswered(end) = send_request(fleet, &mut new_connection, number, false) {
                    report_disconnect(fleet, router, &new_connection, number, &end);
                }
                return;
            }
            Outcome::Unanswered(end) => return report_disconnect(fleet, router, &connection, number, &end),
        }
        std::thread::sleep(Duration::from_millis(fleet.monitor.random_range(1.0, 600.0)));
    }
}

/// Sends a part of a request, on a new connection or after a complete request, and then sends nothing more. The router
/// has to answer with an error or close the connection in time.
fn send_half_a_request(fleet: &Fleet, router: &Router, behind_another: bool) {
    let Some(mut connection) = connect(router) else { return };
    if behind_another {
        let number = register_request(fleet, &connection);
        let partial_request = &request_text(fleet, number, 500)[..40];
        let complete_request = request_text(fleet, number, remaining_ms(fleet, number));
        if connection.stream.write_all(format!("{complete_request}{partial_request}").as_bytes()).is_err() {
            return report_disconnect(fleet, router, &connection, number, "the request could not be written");
        }
        if let Outcome::Unanswered(end) = receive_response(fleet, &mut connection, number, None) {
            return report_disconnect(fleet, router, &connection, number, &end);
        }
    } else {
        let partial_request = &chat_request_with("half", "class-0", 500, "{}")[..40];
        let _ = connection.stream.write_all(partial_request.as_bytes());
    }
    let stopped_at = Instant::now();
    let mut piece = [0; 4096];
    while !fleet.is_over() {
        match connection.stream.read(&mut piece) {
            Err(e) if is_timeout(&e) && stopped_at.elapsed() < CLIENT_TIMEOUT_LIMIT + OBSERVATION_DELAY => {}
            Err(e) if is_timeout(&e) => {
                let message = format!(
                    "{} neither answered nor closed a client that stopped in the middle of a request",
                    router.listen
                );
                return fleet.monitor.report_violation(message);
            }
            // The response to the first request may still arrive; the client waits for an error response or a close.
            Ok(count) if count > 0 && !String::from_utf8_lossy(&piece[..count]).contains("HTTP/1.1 4") => {}
            _ => return,
        }
    }
}

/// Connects, sends nothing for a while, and disconnects.
fn connect_and_stay_silent(fleet: &Fleet, router: &Router) {
    let Some(connection) = connect(router) else { return };
    std::thread::sleep(Duration::from_millis(fleet.monitor.random_range(10.0, 3_000.0)));
    drop(connection);
}

/// Registers a request that is about to be sent with the checker, and returns its number.
fn register_request(fleet: &Fleet, connection: &Connection) -> usize {
    let class = (fleet.monitor.random_unit() * fleet.monitor.deployment.classes.len() as f64) as usize;
    let max_wait_ms = fleet.monitor.deployment.classes[class].deadline_ms.clamp(100, MAX_WAIT_MS);
    let mut time_left = fleet.monitor.random_range(max_wait_ms as f64 * 0.5, max_wait_ms as f64) * MS;
    // Some requests have very little time left.
    if fleet.monitor.random_unit() < 0.05 {
        time_left = fleet.monitor.random_range(1.0, 50.0) * MS;
    }
    let now = fleet.monitor.now();
    let number = fleet.monitor.checker().request_sent(now, class, time_left);
    lock(&connection.process.requests).push(number);
    // The router may have been killed just before: a kill that ran already did not see this request.
    if connection.process.killed.load(Ordering::SeqCst) {
        fleet.monitor.checker().router_killed(number);
    }
    number
}

/// Returns the remaining time of a request, in milliseconds.
fn remaining_ms(fleet: &Fleet, number: usize) -> u64 {
    let deadline = fleet.monitor.checker().deadline(number);
    deadline.saturating_sub(fleet.monitor.now()) / MS
}

fn request_text(fleet: &Fleet, number: usize, remaining_ms: u64) -> String {
    let class = fleet.monitor.checker().class_of(number);
    chat_request_with(
        &format!("t{number}"),
        &fleet.monitor.deployment.classes[class].name,
        remaining_ms,
        "{}",
    )
}

/// Sends a request and receives its response, unless the client disconnects before.
fn send_request(fleet: &Fleet, connection: &mut Connection, number: usize, disconnects: bool) -> Outcome {
    let text = request_text(fleet, number, remaining_ms(fleet, number));
    let disconnect_at =
        disconnects.then(|| Instant::now() + Duration::from_millis(fleet.monitor.random_range(1.0, 800.0)));
    if let Err(error) = connection.stream.write_all(text.as_bytes()) {
        return Outcome::Unanswered(format!("writing failed: {error}"));
    }
    receive_response(fleet, connection, number, disconnect_at)
}

/// Receives the response to a request, or disconnects at the given time.
fn receive_response(
    fleet: &Fleet,
    connection: &mut Connection,
    number: usize,
    disconnect_at: Option<Instant>,
) -> Outcome {
    let (mut received, mut piece) = (vec![], [0; 4096]);
    while !fleet.is_over() {
        if disconnect_at.is_some_and(|at| Instant::now() > at) {
            let now = fleet.monitor.now();
            fleet.monitor.checker().client_disconnected(now, number);
            let _ = connection.stream.shutdown(std::net::Shutdown::Both);
            return Outcome::Closed;
        }
        match connection.stream.read(&mut piece) {
            Ok(count @ 1..) => received.extend_from_slice(&piece[..count]),
            Err(e) if is_timeout(&e) => {}
            _ if !received.is_empty() => return Outcome::Closed,
            end => return Outcome::Unanswered(format!("{end:?}")),
        }
        let status = received.get(9..12).and_then(|s| std::str::from_utf8(s).ok()?.parse().ok());
        if let Some(status) = status.filter(|_| !fleet.monitor.checker().has_response(number)) {
            let now = fleet.monitor.now();
            fleet.monitor.checker().response_started(now, &fleet.monitor.deployment, number, status);
            fleet.monitor.log(format!("request {number} received status {status}"));
        }
        if let Some(stays_open) = keeps_alive(&received) {
            return if stays_open { Outcome::KeptAlive } else { Outcome::Closed };
        }
    }
    Outcome::Closed
}

/// Returns whether the connection stays open after the response, or `None` while the response is incomplete.
fn keeps_alive(received: &[u8]) -> Option<bool> {
    let text = String::from_utf8_lossy(received);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.split("content-length: ").nth(1).and_then(|l| l.split("\r\n").next()?.parse().ok());
    let complete = match length {
        Some(length) => body.len() >= length,
        None => body.contains("0\r\n\r\n"),
    };
    complete.then(|| !head.contains("connection: close"))
}

/// Reports that the connection of a request ended without a response: a violation, unless its router was killed.
fn report_disconnect(fleet: &Fleet, router: &Router, connection: &Connection, number: usize, end: &str) {
    // The flag of a kill is set up to a moment after the connection ends.
    std::thread::sleep(Duration::from_millis(20));
    if fleet.is_over() || connection.process.killed.load(Ordering::SeqCst) {
        return fleet.monitor.checker().router_killed(number);
    }
    let now = fleet.monitor.now();
    let local_address = connection.stream.local_addr();
    fleet.monitor.log(format!(
        "request {number} at {} from {local_address:?} ended without a response: {end}",
        router.listen
    ));
    println!(
        "request {number} at {} from {local_address:?}: no response at {} ms: {end}",
        router.listen,
        ms(now)
    );
    fleet.monitor.checker().connection_ended_without_response(now, number);
}
