//! SIGHUP and SIGTERM under load: the HTTP router as a real process on loopback between emulated workers, discovery and
//! clients. The five rules are checked on what the emulated processes observed.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use tideroute_test_support::http_connection::{field, is_up, read_message, serve};
use tideroute_test_support::http_messages::{NEVER_RAN, PREFILL_COMPLETE, STREAM_EVENTS};
use tideroute_test_support::process::{send_signal, unused_address, wait_for, KillOnDrop};
use tideroute_test_support::{fixture, http_messages};

/// How long the clients send requests.
const LOAD_TIME: Duration = Duration::from_millis(3_000);
/// When the router receives SIGHUP with a new configuration, after the start of the load.
const RELOAD_AT: Duration = Duration::from_millis(1_000);
/// When the router receives SIGTERM, after the start of the load.
const SHUTDOWN_AT: Duration = Duration::from_millis(2_600);
const CLIENTS: usize = 12;

/// What the emulated workers, discovery and clients observed.
#[derive(Default)]
struct Observations {
    /// The attempts that may have run at a decode worker, by trace id: when each arrived, and at which worker.
    attempts: BTreeMap<String, Vec<(Instant, usize)>>,
    /// The reserved states that no decode worker has taken and no release has freed, by trace id, and since when.
    states: BTreeMap<String, Instant>,
    /// The longest time for which a state was reserved before a decode worker took it.
    longest_reservation: Duration,
    /// When discovery first listed a worker as draining, by worker.
    draining_since: BTreeMap<usize, Instant>,
    /// The final status codes of each request by trace id; a second response would be a second entry.
    responses: BTreeMap<String, Vec<u16>>,
    /// The trace ids of the non-idempotent requests.
    non_idempotent: BTreeSet<String>,
    violations: Vec<String>,
}

type SharedObservations = Arc<Mutex<Observations>>;

fn with_observations<T>(observations: &SharedObservations, access: impl FnOnce(&mut Observations) -> T) -> T {
    access(&mut observations.lock().unwrap_or_else(|e| e.into_inner()))
}

/// Serves an emulated prefill or decode worker.
fn serve_worker(observations: SharedObservations, number: usize, listener: TcpListener) {
    serve(listener, move |mut stream| {
        let (mut received, mut request_number) = (vec![], 0_usize);
        while let Some((head, _)) = read_message(&mut stream, &mut received) {
            request_number += 1;
            if !respond(&observations, number, request_number, &head, &mut stream) {
                return;
            }
        }
    });
}

/// Answers one request to a worker, of which `request_number` counts those on its connection from 1. Returns whether
/// the connection stays open.
fn respond(
    observations: &SharedObservations,
    number: usize,
    request_number: usize,
    head: &str,
    stream: &mut TcpStream,
) -> bool {
    let (line, trace) = (head.split("\r\n").next().unwrap_or(""), field(head, "x-trace-id").to_string());
    let mut send = |text: &str| stream.write_all(text.as_bytes()).is_ok();
    if let Some(trace) = line.strip_prefix("delete /internal/reservations/") {
        with_observations(observations, |s| s.states.remove(trace.split(' ').next().unwrap_or("")));
        return send("HTTP/1.1 204 No Content\r\n\r\n");
    }
    if line.starts_with("post /internal/reservations/") {
        return send(&http_messages::response(
            if request_number.is_multiple_of(41) { 409 } else { 200 },
            "",
            "",
        ));
    }
    if line.starts_with("get /alive") {
        return send(&http_messages::response(200, "", ""));
    }
    let now = Instant::now();
    with_observations(observations, |s| {
        if s.draining_since.get(&number).is_some_and(|at| now > *at + Duration::from_millis(1_050)) {
            s.violations.push(format!(
                "rule 3: {trace} arrived at worker {number} long after discovery listed it as draining"
            ));
        }
    });
    if fixture::WORKERS[number].kind == "reading" {
        std::thread::sleep(Duration::from_millis(5));
        if request_number.is_multiple_of(47) {
            return send(NEVER_RAN);
        }
        with_observations(observations, |s| s.states.insert(trace, Instant::now()));
        return send(PREFILL_COMPLETE);
    }
    if request_number.is_multiple_of(43) {
        return send(NEVER_RAN);
    }
    let state = with_observations(observations, |s| {
        let state = s.states.remove(&trace);
        if let Some(since) = state {
            s.longest_reservation = s.longest_reservation.max(since.elapsed());
            s.attempts.entry(trace.clone()).or_default().push((now, number));
        }
        state
    });
    if state.is_none() {
        return send(&NEVER_RAN.replace("503", "410"));
    }
    // Some connections break after the request arrived, and others in the middle of the stream.
    if request_number.is_multiple_of(29) {
        return false;
    }
    if !send(http_messages::STREAM_HEAD) {
        return false;
    }
    for (n, event) in STREAM_EVENTS.iter().enumerate() {
        std::thread::sleep(Duration::from_millis(3));
        if (n == 2 && request_number.is_multiple_of(31)) || !send(&http_messages::chunk(event)) {
            return false;
        }
    }
    send("0\r\n\r\n")
}

/// Serves an emulated discovery service that sends the full endpoint list and then heartbeats. Returns its address.
fn serve_discovery(observations: SharedObservations, list: Value) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    serve(listener, move |mut stream| {
        if read_message(&mut stream, &mut vec![]).is_none() {
            return;
        }
        let line = http_messages::chunk(&format!("{list}\n"));
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let _ = stream.write_all(format!("{head}{line}").as_bytes());
        with_observations(&observations, |s| {
            let servers = list["servers"].as_array().into_iter().flatten().enumerate();
            for (n, _) in servers.filter(|(_, server)| server["state"] == "DRAINING") {
                s.draining_since.entry(n).or_insert(Instant::now());
            }
        });
        while stream.write_all(http_messages::chunk("\n").as_bytes()).is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    address
}

/// Sends requests until `stop` is set. A request whose connection ended before any byte of a response is sent once more
/// on a new connection.
fn run_client(observations: SharedObservations, number: usize, router: String, stop: Arc<AtomicBool>) {
    let mut connection: Option<(TcpStream, Vec<u8>)> = None;
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let (trace, class) = (format!("c{number}-{n}"), ["safe", "once", "keyed"][n % 3]);
        if class == "once" {
            with_observations(&observations, |s| s.non_idempotent.insert(trace.clone()));
        }
        let request = http_messages::chat_request_with(&trace, class, 2_000, "{\"model\":\"m\"}");
        for _ in 0..2 {
            let Some((mut stream, mut received)) = connection.take().or_else(|| {
                let stream = TcpStream::connect(&router).ok()?;
                stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
                Some((stream, vec![]))
            }) else {
                // The router has ended and listens no longer.
                return;
            };
            let sent = Instant::now();
            let response = stream
                .write_all(request.as_bytes())
                .is_ok()
                .then(|| read_message(&mut stream, &mut received))
                .flatten();
            let status = match &response {
                Some((head, _)) => head.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0),
                // 1 stands for a response whose stream began and then failed.
                None if !received.is_empty() => 1,
                None => continue,
            };
            with_observations(&observations, |s| {
                s.responses.entry(trace.clone()).or_default().push(status);
                if status != 200 && status != 1 && sent.elapsed() > Duration::from_millis(2_050) {
                    s.violations.push(format!("rule 1: {trace} received status {status} after its deadline"));
                }
            });
            if response.is_some_and(|(head, _)| field(&head, "connection") != "close") {
                connection = Some((stream, received));
            }
            break;
        }
    }
}

#[test]
fn reload_and_shutdown_under_load_break_no_rule() {
    let observations = SharedObservations::default();
    let mut list = fixture::endpoint_list(5);
    for (n, server) in list["servers"].as_array_mut().expect("a list").iter_mut().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        server["addr"] = json!(listener.local_addr().expect("an address").to_string());
        serve_worker(observations.clone(), n, listener);
    }
    let mut draining_list = list.clone();
    draining_list["version"] = json!(6);
    draining_list["servers"][2]["state"] = json!("DRAINING");
    let (old_discovery, new_discovery) = (
        serve_discovery(observations.clone(), list.clone()),
        serve_discovery(observations.clone(), draining_list),
    );
    let (router, mut file) = (unused_address(), fixture::router_config());
    (file["listen"], file["discovery"], file["known"]) = (json!(router), json!(old_discovery), list);
    let path = std::env::temp_dir().join(format!("tideroute-platform-{}.json", std::process::id()));
    std::fs::write(&path, file.to_string()).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
    command.arg("platform").env("EDGE_CONFIG", &path).stdin(Stdio::null());
    let mut running = KillOnDrop(command.spawn().expect("the program starts"));
    wait_for(|| is_up(&router));
    let (stop, load_start) = (Arc::new(AtomicBool::new(false)), Instant::now());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (observations, router, stop) = (observations.clone(), router.clone(), stop.clone());
            std::thread::spawn(move || run_client(observations, n, router, stop))
        })
        .collect();
    wait_for(|| (load_start.elapsed() >= RELOAD_AT).then_some(()));
    file["discovery"] = json!(new_discovery);
    std::fs::write(&path, file.to_string()).expect("a file");
    send_signal(&running.0, "-HUP");
    wait_for(|| with_observations(&observations, |s| s.draining_since.get(&2).copied()));
    wait_for(|| (load_start.elapsed() >= SHUTDOWN_AT).then_some(()));
    send_signal(&running.0, "-TERM");
    send_signal(&running.0, "-TERM");
    wait_for(|| (load_start.elapsed() >= LOAD_TIME).then_some(()));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().expect("a client"));
    let exit_status = wait_for(|| running.0.try_wait().expect("the exit status"));
    assert_eq!(exit_status.code(), Some(0));
    let _ = std::fs::remove_file(&path);
    with_observations(&observations, |s| {
        assert_eq!(s.violations, Vec::<String>::new());
        let completed = s.responses.values().filter(|statuses| statuses[..] == [200]).count();
        assert!(completed > 200, "{completed} completed of {}", s.responses.len());
        for (trace, statuses) in &s.responses {
            assert_eq!(statuses.len(), 1, "rule 1: {trace} received {statuses:?}");
            assert!(matches!(statuses[0], 1 | 200 | 502 | 503 | 504), "{trace}: {statuses:?}");
            let attempts = s.attempts.get(trace).map_or(0, Vec::len);
            // Rule 2: a non-idempotent request runs at most once, and is not rejected after it ran.
            let non_idempotent = s.non_idempotent.contains(trace);
            assert!(!non_idempotent || attempts <= 1, "rule 2: {trace} ran {attempts} times");
            assert!(
                !non_idempotent || attempts == 0 || statuses[0] != 503,
                "rule 2: {trace} ran and was rejected"
            );
        }
        assert!(
            s.attempts.values().flatten().any(|(at, w)| *w == 3 && *at > s.draining_since[&2]),
            "the other decode worker serves on"
        );
        // Rule 5: reserved state is released in time.
        assert!(
            s.longest_reservation < Duration::from_millis(1_300),
            "a state was reserved for {:?}",
            s.longest_reservation
        );
        assert!(s.states.is_empty(), "rule 5: states were not released: {:?}", s.states);
    });
}

#[test]
fn an_invalid_configuration_ends_the_start_before_it_listens() {
    let path = std::env::temp_dir().join(format!("tideroute-bad-{}.json", std::process::id()));
    let start = |file: Option<&str>| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
        command.arg("platform").env_remove("EDGE_CONFIG").stdin(Stdio::null());
        if let Some(text) = file {
            std::fs::write(&path, text).expect("a file");
            command.env("EDGE_CONFIG", &path);
        }
        let output = command.output().expect("the program starts");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let (code, stderr) = start(None);
    assert!(code == Some(2) && stderr.contains("EDGE_CONFIG"), "{stderr}");
    let (code, stderr) = start(Some("{"));
    assert!(
        code == Some(2) && stderr.contains("not valid JSON") && stderr.contains("tideroute-bad"),
        "{stderr}"
    );
    let mut file = fixture::router_config();
    file["limits"] = json!({});
    let (code, stderr) = start(Some(&file.to_string()));
    assert!(code == Some(2) && stderr.contains("limits.sockets: expected"), "{stderr}");
    let occupied = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut file = fixture::router_config();
    file["listen"] = json!(occupied.local_addr().expect("an address").to_string());
    let (code, stderr) = start(Some(&file.to_string()));
    assert!(code == Some(2) && stderr.contains("cannot listen at"), "{stderr}");
    let _ = std::fs::remove_file(&path);
}
