//! The router on the platform as real processes on loopback: stand-ins of workers, discovery and clients that
//! speak its protocol, SIGHUP and SIGTERM under load, and the five rules checked from what passed.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use tideroute_test_support::http_messages::{NEVER_RAN, PREFILL_COMPLETE, STREAM_EVENTS};
use tideroute_test_support::process::{send_signal, unused_address, wait_for, KillOnDrop};
use tideroute_test_support::{fixture, http_messages};

/// How long the clients ask, when the new configuration comes, and when the signal to end.
const LOAD_TIME: Duration = Duration::from_millis(3_000);
const RELOAD_AT: Duration = Duration::from_millis(1_000);
const SHUTDOWN_AT: Duration = Duration::from_millis(2_600);
const CLIENTS: usize = 12;

/// What passed, as the stand-ins saw it.
#[derive(Default)]
struct Observations {
    /// Whole requests at each worker that were not proven void, by trace id: when, and where.
    shots: BTreeMap<String, Vec<(Instant, usize)>>,
    /// States that are held, and since when.
    states: BTreeMap<String, Instant>,
    /// The longest that any was.
    pinned: Duration,
    /// When a worker was told to drain.
    drained: BTreeMap<usize, Instant>,
    /// Final answers of each submission; a second one would be a second entry.
    answers: BTreeMap<String, Vec<u16>>,
    single_use: BTreeSet<String>,
    broken: Vec<String>,
}

type Shared = Arc<Mutex<Observations>>;

fn with_observations<T>(observations: &Shared, at: impl FnOnce(&mut Observations) -> T) -> T {
    at(&mut observations.lock().unwrap_or_else(|e| e.into_inner()))
}

/// One message: its head, and its body by Content-Length or chunks. None at the end of the connection.
fn message(stream: &mut TcpStream, kept: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut piece = [0; 4096];
    loop {
        if let Some(end) = kept.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&kept[..end]).to_lowercase();
            let field = |name: &str| {
                head.split(&format!("\r\n{name}: ")).nth(1).map(|v| v.split("\r\n").next().unwrap_or(""))
            };
            let length = field("content-length").and_then(|l| l.parse::<usize>().ok()).unwrap_or(0);
            let whole = if field("transfer-encoding").is_some() {
                kept[end..].windows(5).position(|w| w == b"0\r\n\r\n").map(|at| end + at + 5)
            } else {
                (kept.len() >= end + 4 + length).then_some(end + 4 + length)
            };
            if let Some(whole) = whole {
                let body = kept[end + 4..whole].to_vec();
                kept.drain(..whole);
                return Some((head, body));
            }
        }
        match stream.read(&mut piece) {
            Ok(0) => return None,
            Ok(got) => kept.extend_from_slice(&piece[..got]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

fn field<'a>(head: &'a str, name: &str) -> &'a str {
    head.split(&format!("\r\n{name}: ")).nth(1).and_then(|v| v.split("\r\n").next()).unwrap_or("")
}

fn serve(listener: TcpListener, each: impl Fn(TcpStream) + Send + Sync + 'static) {
    let each = Arc::new(each);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (each, _) = (each.clone(), stream.set_nodelay(true));
            std::thread::spawn(move || each(stream));
        }
    });
}

/// A reader or writer.
fn worker(observations: Shared, number: usize, listener: TcpListener) {
    serve(listener, move |mut stream| {
        let (mut kept, mut count) = (vec![], 0_usize);
        while let Some((head, _)) = message(&mut stream, &mut kept) {
            count += 1;
            if !respond(&observations, number, count, &head, &mut stream) {
                return;
            }
        }
    });
}

fn respond(observations: &Shared, number: usize, count: usize, head: &str, stream: &mut TcpStream) -> bool {
    let (line, trace) = (head.split("\r\n").next().unwrap_or(""), field(head, "x-trace-id").to_string());
    let mut say = |text: &str| stream.write_all(text.as_bytes()).is_ok();
    if let Some(trace) = line.strip_prefix("delete /internal/reservations/") {
        with_observations(observations, |s| s.states.remove(trace.split(' ').next().unwrap_or("")));
        return say("HTTP/1.1 204 No Content\r\n\r\n");
    }
    if line.starts_with("post /internal/reservations/") {
        return say(&http_messages::response(if count.is_multiple_of(41) { 409 } else { 200 }, "", ""));
    }
    if line.starts_with("get /alive") {
        return say(&http_messages::response(200, "", ""));
    }
    let now = Instant::now();
    with_observations(observations, |s| {
        if s.drained.get(&number).is_some_and(|at| now > *at + Duration::from_millis(1_050)) {
            s.broken.push(format!("rule 3: {trace} came to worker {number} long after it was told to drain"));
        }
    });
    if fixture::WORKERS[number].kind == "reading" {
        std::thread::sleep(Duration::from_millis(5));
        if count.is_multiple_of(47) {
            return say(NEVER_RAN);
        }
        with_observations(observations, |s| s.states.insert(trace, Instant::now()));
        return say(PREFILL_COMPLETE);
    }
    if count.is_multiple_of(43) {
        return say(NEVER_RAN);
    }
    let state = with_observations(observations, |s| {
        let state = s.states.remove(&trace);
        if let Some(since) = state {
            s.pinned = s.pinned.max(since.elapsed());
            s.shots.entry(trace.clone()).or_default().push((now, number));
        }
        state
    });
    if state.is_none() {
        return say(&NEVER_RAN.replace("503", "410"));
    }
    // Now and then the connection breaks with the request in hand, or the stream in the middle.
    if count.is_multiple_of(29) {
        return false;
    }
    if !say(http_messages::STREAM_HEAD) {
        return false;
    }
    for (n, event) in STREAM_EVENTS.iter().enumerate() {
        std::thread::sleep(Duration::from_millis(3));
        if (n == 2 && count.is_multiple_of(31)) || !say(&http_messages::chunk(event)) {
            return false;
        }
    }
    say("0\r\n\r\n")
}

/// Discovery: one line with the whole list, then empty ones.
fn discovery(observations: Shared, list: Value) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address").to_string();
    serve(listener, move |mut stream| {
        if message(&mut stream, &mut vec![]).is_none() {
            return;
        }
        let line = http_messages::chunk(&format!("{list}\n"));
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let _ = stream.write_all(format!("{head}{line}").as_bytes());
        with_observations(&observations, |s| {
            let servers = list["servers"].as_array().into_iter().flatten().enumerate();
            for (n, _) in servers.filter(|(_, server)| server["state"] == "DRAINING") {
                s.drained.entry(n).or_insert(Instant::now());
            }
        });
        while stream.write_all(http_messages::chunk("\n").as_bytes()).is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });
    at
}

/// Asks until it is told to stop. A connection that ends before a byte of an answer came is opened anew once.
fn client(observations: Shared, number: usize, router: String, stop: Arc<AtomicBool>) {
    let mut connection: Option<(TcpStream, Vec<u8>)> = None;
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let (trace, track) = (format!("c{number}-{n}"), ["safe", "once", "keyed"][n % 3]);
        if track == "once" {
            with_observations(&observations, |s| s.single_use.insert(trace.clone()));
        }
        let asked = http_messages::chat_request_with(&trace, track, 2_000, "{\"model\":\"m\"}");
        for _ in 0..2 {
            let Some((mut stream, mut kept)) = connection.take().or_else(|| {
                let stream = TcpStream::connect(&router).ok()?;
                stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
                Some((stream, vec![]))
            }) else {
                // Nobody listens any more: the router has ended.
                return;
            };
            let sent = Instant::now();
            let whole =
                stream.write_all(asked.as_bytes()).is_ok().then(|| message(&mut stream, &mut kept)).flatten();
            let status = match &whole {
                Some((head, _)) => head.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0),
                // An answer that began and broke is an answer: its stream failed.
                None if !kept.is_empty() => 1,
                None => continue,
            };
            with_observations(&observations, |s| {
                s.answers.entry(trace.clone()).or_default().push(status);
                if status != 200 && status != 1 && sent.elapsed() > Duration::from_millis(2_050) {
                    s.broken.push(format!("rule 1: {trace} was answered {status} after its time"));
                }
            });
            if whole.is_some_and(|(head, _)| field(&head, "connection") != "close") {
                connection = Some((stream, kept));
            }
            break;
        }
    }
}

fn is_up(router: &str) -> Option<()> {
    let mut stream = TcpStream::connect(router).ok()?;
    stream.write_all(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n").ok()?;
    let (head, _) = message(&mut stream, &mut vec![])?;
    head.starts_with("http/1.1 200").then_some(())
}

#[test]
fn reload_and_shutdown_under_load_break_no_rule() {
    let observations = Shared::default();
    let mut list = fixture::endpoint_list(5);
    for (n, server) in list["servers"].as_array_mut().expect("a list").iter_mut().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        server["addr"] = json!(listener.local_addr().expect("an address").to_string());
        worker(observations.clone(), n, listener);
    }
    let mut drains = list.clone();
    drains["version"] = json!(6);
    drains["servers"][2]["state"] = json!("DRAINING");
    let (old, new) = (discovery(observations.clone(), list.clone()), discovery(observations.clone(), drains));
    let (router, mut file) = (unused_address(), fixture::router_config());
    (file["listen"], file["discovery"], file["known"]) = (json!(router), json!(old), list);
    let path = std::env::temp_dir().join(format!("tideroute-platform-{}.json", std::process::id()));
    std::fs::write(&path, file.to_string()).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
    command.arg("platform").env("EDGE_CONFIG", &path).stdin(Stdio::null());
    let mut running = KillOnDrop(command.spawn().expect("it runs"));
    wait_for(|| is_up(&router));
    let (stop, began) = (Arc::new(AtomicBool::new(false)), Instant::now());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (observations, router, stop) = (observations.clone(), router.clone(), stop.clone());
            std::thread::spawn(move || client(observations, n, router, stop))
        })
        .collect();
    wait_for(|| (began.elapsed() >= RELOAD_AT).then_some(()));
    file["discovery"] = json!(new);
    std::fs::write(&path, file.to_string()).expect("a file");
    send_signal(&running.0, "-HUP");
    wait_for(|| with_observations(&observations, |s| s.drained.get(&2).copied()));
    wait_for(|| (began.elapsed() >= SHUTDOWN_AT).then_some(()));
    send_signal(&running.0, "-TERM");
    send_signal(&running.0, "-TERM");
    wait_for(|| (began.elapsed() >= LOAD_TIME).then_some(()));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().expect("a client"));
    let ended = wait_for(|| running.0.try_wait().expect("its end"));
    assert_eq!(ended.code(), Some(0));
    let _ = std::fs::remove_file(&path);
    with_observations(&observations, |s| {
        assert_eq!(s.broken, Vec::<String>::new());
        let honoured = s.answers.values().filter(|a| a[..] == [200]).count();
        assert!(honoured > 200, "{honoured} honoured of {}", s.answers.len());
        for (trace, answers) in &s.answers {
            assert_eq!(answers.len(), 1, "rule 1: {trace} has {answers:?}");
            assert!(matches!(answers[0], 1 | 200 | 502 | 503 | 504), "{trace}: {answers:?}");
            let shots = s.shots.get(trace).map_or(0, Vec::len);
            // Rule 2: once at most, and no turn-back after it.
            let once = s.single_use.contains(trace);
            assert!(!once || shots <= 1, "rule 2: {trace} ran {shots} times");
            assert!(!once || shots == 0 || answers[0] != 503, "rule 2: {trace} ran and was turned back");
        }
        assert!(s.shots.values().flatten().any(|(at, w)| *w == 3 && *at > s.drained[&2]), "others go on");
        // Rule 5.
        assert!(s.pinned < Duration::from_millis(1_300), "a state was held for {:?}", s.pinned);
        assert!(s.states.is_empty(), "rule 5: states are left: {:?}", s.states);
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
        let output = command.output().expect("it runs");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let (code, told) = start(None);
    assert!(code == Some(2) && told.contains("EDGE_CONFIG"), "{told}");
    let (code, told) = start(Some("{"));
    assert!(code == Some(2) && told.contains("not valid JSON") && told.contains("tideroute-bad"), "{told}");
    let mut file = fixture::router_config();
    file["limits"] = json!({});
    let (code, told) = start(Some(&file.to_string()));
    assert!(code == Some(2) && told.contains("limits.sockets: expected"), "{told}");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut file = fixture::router_config();
    file["listen"] = json!(taken.local_addr().expect("an address").to_string());
    let (code, told) = start(Some(&file.to_string()));
    assert!(code == Some(2) && told.contains("cannot listen at"), "{told}");
    let _ = std::fs::remove_file(&path);
}
