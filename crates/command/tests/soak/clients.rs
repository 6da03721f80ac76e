//! Clients, well behaved and not.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tideroute_test_support::emulated_worker::{is_timeout, POLL_INTERVAL};
use tideroute_test_support::http_messages::chat_request_with;
use tideroute_test_support::virtual_time::MS;

use crate::fleet::{lock, ms, Fleet, Life, Router};

/// Milliseconds that a client waits at most.
const LONGEST_WAIT_MS: u64 = 1_500;
/// In which bad clients are owed an error or a close, and how much later that may be seen on a busy machine.
const CLIENT_TIMEOUT_LIMIT: Duration = Duration::from_millis(3_000);
const OBSERVATION_DELAY: Duration = Duration::from_millis(400);

/// A connection to a router, and the life of its process.
struct Connection {
    stream: TcpStream,
    life: Arc<Life>,
}

fn connect(router: &Router) -> Option<Connection> {
    // The life is looked up first: a connection to a later one than that is not taken for a killed one's.
    let life = router.life();
    let stream = TcpStream::connect(&router.listen).ok()?;
    let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(POLL_INTERVAL)));
    Some(Connection { stream, life })
}

/// How a request on a connection went.
enum Went {
    /// Answered, and the connection goes on.
    On,
    Over,
    /// It ended with no byte of an answer.
    Unanswered(String),
}

/// One client: some ask once, some several times on a connection, some go early, some behave badly.
pub fn client(fleet: &Fleet, router: &Router) {
    let lot = fleet.judge.random_unit();
    match lot {
        0.0..0.06 => send_half_a_request(fleet, router, false),
        0.06..0.12 => send_half_a_request(fleet, router, true),
        0.12..0.16 => connect_and_stay_silent(fleet, router),
        0.16..0.4 => send_requests_on_one_connection(fleet, router),
        _ => asks_once(fleet, router),
    }
}

/// One request on a connection of its own.
pub fn asks_once(fleet: &Fleet, router: &Router) {
    let Some(mut connection) = connect(router) else { return };
    let number = asked(fleet, &connection);
    let leaves = fleet.judge.random_unit() < 0.2;
    if let Went::Unanswered(end) = ask(fleet, &mut connection, number, leaves) {
        report_disconnect(fleet, router, &connection, number, &end);
    }
}

/// A request that crosses the end of a resting connection is sent once more, on a new one.
fn send_requests_on_one_connection(fleet: &Fleet, router: &Router) {
    let Some(mut connection) = connect(router) else { return };
    for n in 0..4 {
        let number = asked(fleet, &connection);
        match ask(fleet, &mut connection, number, false) {
            Went::On => {}
            Went::Over => return,
            Went::Unanswered(_) if n > 0 => {
                let crossed = connection.life.killed.load(Ordering::SeqCst);
                let Some(mut fresh) = connect(router).filter(|_| !crossed) else {
                    return fleet.judge.checker().router_killed(number);
                };
                lock(&fresh.life.asked).push(number);
                if let Went::Unanswered(end) = ask(fleet, &mut fresh, number, false) {
                    report_disconnect(fleet, router, &fresh, number, &end);
                }
                return;
            }
            Went::Unanswered(end) => return report_disconnect(fleet, router, &connection, number, &end),
        }
        std::thread::sleep(Duration::from_millis(fleet.judge.random_range(1.0, 600.0)));
    }
}

/// Half a request, on a new connection or behind one that is whole; then nothing more.
fn send_half_a_request(fleet: &Fleet, router: &Router, behind_another: bool) {
    let Some(mut connection) = connect(router) else { return };
    if behind_another {
        let number = asked(fleet, &connection);
        let half = &text(fleet, number, 500)[..40];
        let whole = text(fleet, number, wait_of(fleet, number));
        if connection.stream.write_all(format!("{whole}{half}").as_bytes()).is_err() {
            return report_disconnect(fleet, router, &connection, number, "it could not be written");
        }
        if let Went::Unanswered(end) = receive_response(fleet, &mut connection, number, None) {
            return report_disconnect(fleet, router, &connection, number, &end);
        }
    } else {
        let half = &chat_request_with("half", "class-0", 500, "{}")[..40];
        let _ = connection.stream.write_all(half.as_bytes());
    }
    let stopped = Instant::now();
    let mut piece = [0; 4096];
    while !fleet.is_over() {
        match connection.stream.read(&mut piece) {
            Err(e) if is_timeout(&e) && stopped.elapsed() < CLIENT_TIMEOUT_LIMIT + OBSERVATION_DELAY => {}
            Err(e) if is_timeout(&e) => {
                let what = format!("a client that stopped in the middle was left alone by {}", router.listen);
                return fleet.judge.report_violation(what);
            }
            // An answer of the first may still come; what was owed is an error or a close.
            Ok(got) if got > 0 && !String::from_utf8_lossy(&piece[..got]).contains("HTTP/1.1 4") => {}
            _ => return,
        }
    }
}

/// Connects, says nothing for a while, and goes.
fn connect_and_stay_silent(fleet: &Fleet, router: &Router) {
    let Some(connection) = connect(router) else { return };
    std::thread::sleep(Duration::from_millis(fleet.judge.random_range(10.0, 3_000.0)));
    drop(connection);
}

/// A request is about to be asked; its number.
fn asked(fleet: &Fleet, connection: &Connection) -> usize {
    let class = (fleet.judge.random_unit() * fleet.judge.deployment.classes.len() as f64) as usize;
    let longest = fleet.judge.deployment.classes[class].deadline_ms.clamp(100, LONGEST_WAIT_MS);
    let mut wait = fleet.judge.random_range(longest as f64 * 0.5, longest as f64) * MS;
    // Some have very little time left.
    if fleet.judge.random_unit() < 0.05 {
        wait = fleet.judge.random_range(1.0, 50.0) * MS;
    }
    let now = fleet.judge.now();
    let number = fleet.judge.checker().request_sent(now, class, wait);
    lock(&connection.life.asked).push(number);
    // Who was killed just before is not asked any more.
    if connection.life.killed.load(Ordering::SeqCst) {
        fleet.judge.checker().router_killed(number);
    }
    number
}

/// Milliseconds that are left of a request's time.
fn wait_of(fleet: &Fleet, number: usize) -> u64 {
    let deadline = fleet.judge.checker().deadline(number);
    deadline.saturating_sub(fleet.judge.now()) / MS
}

fn text(fleet: &Fleet, number: usize, wait_ms: u64) -> String {
    let class = fleet.judge.checker().class_of(number);
    chat_request_with(&format!("t{number}"), &fleet.judge.deployment.classes[class].name, wait_ms, "{}")
}

fn ask(fleet: &Fleet, connection: &mut Connection, number: usize, leaves: bool) -> Went {
    let text = text(fleet, number, wait_of(fleet, number));
    let leaves = leaves.then(|| Instant::now() + Duration::from_millis(fleet.judge.random_range(1.0, 800.0)));
    if let Err(problem) = connection.stream.write_all(text.as_bytes()) {
        return Went::Unanswered(format!("writing: {problem}"));
    }
    receive_response(fleet, connection, number, leaves)
}

/// Hears the answer to a request, unless its client leaves before.
fn receive_response(
    fleet: &Fleet,
    connection: &mut Connection,
    number: usize,
    leaves: Option<Instant>,
) -> Went {
    let (mut heard, mut piece) = (vec![], [0; 4096]);
    while !fleet.is_over() {
        if leaves.is_some_and(|at| Instant::now() > at) {
            let now = fleet.judge.now();
            fleet.judge.checker().client_disconnected(now, number);
            let _ = connection.stream.shutdown(std::net::Shutdown::Both);
            return Went::Over;
        }
        match connection.stream.read(&mut piece) {
            Ok(got @ 1..) => heard.extend_from_slice(&piece[..got]),
            Err(e) if is_timeout(&e) => {}
            _ if !heard.is_empty() => return Went::Over,
            how => return Went::Unanswered(format!("{how:?}")),
        }
        let status = heard.get(9..12).and_then(|s| std::str::from_utf8(s).ok()?.parse().ok());
        if let Some(status) = status.filter(|_| !fleet.judge.checker().has_response(number)) {
            let now = fleet.judge.now();
            fleet.judge.checker().response_started(now, &fleet.judge.deployment, number, status);
            fleet.judge.log(format!("request {number} is answered {status}"));
        }
        if let Some(whole) = is_complete(&heard) {
            return if whole { Went::On } else { Went::Over };
        }
    }
    Went::Over
}

/// Whether an answer that is complete lets its connection go on.
fn is_complete(heard: &[u8]) -> Option<bool> {
    let text = String::from_utf8_lossy(heard);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.split("content-length: ").nth(1).and_then(|l| l.split("\r\n").next()?.parse().ok());
    let whole = match length {
        Some(length) => body.len() >= length,
        None => body.contains("0\r\n\r\n"),
    };
    whole.then(|| !head.contains("connection: close"))
}

/// The connection of a request ended with no answer: a break, unless its router was killed.
fn report_disconnect(fleet: &Fleet, router: &Router, connection: &Connection, number: usize, end: &str) {
    // A kill is known here a moment after it was made.
    std::thread::sleep(Duration::from_millis(20));
    if fleet.is_over() || connection.life.killed.load(Ordering::SeqCst) {
        return fleet.judge.checker().router_killed(number);
    }
    let now = fleet.judge.now();
    let own = connection.stream.local_addr();
    fleet.judge.log(format!("request {number} at {} from {own:?} ends with no answer: {end}", router.listen));
    println!("request {number} at {} from {own:?}: no answer at {} ms: {end}", router.listen, ms(now));
    fleet.judge.checker().connection_ended_without_response(now, number);
}
