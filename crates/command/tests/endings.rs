//! What ends while something is owed, on loopback sockets: the real process between workers, clients and a discovery that
//! do each next thing when the test says so. The order of events forces each crossing; clocks only judge.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use tideroute_test_support::fixture::WORKERS;
use tideroute_test_support::http_messages::{
    chat_request, chat_request_with, chunk, decode_chunked, response, NEVER_RAN, PREFILL_COMPLETE,
    STREAM_EVENTS, STREAM_HEAD,
};
use tideroute_test_support::process::{send_signal, unused_address, wait_for, KillOnDrop, TEST_TIMEOUT};
use tideroute_test_support::{fixture, http_messages};

const RELEASE: &str = "DELETE /internal/reservations/";
const PLACE: &str = "POST /internal/reservations/";
const ATTEMPT: &str = "POST /v1/chat/completions";
const FREED: &str = "HTTP/1.1 204 No Content\r\n\r\n";
/// What the protocol allows for what is held, by the settings of `fixture::router_config`.
const HELD: Duration = Duration::from_millis(1_300);

/// A request at a worker, or a watch at discovery.
struct Call {
    at: usize,
    text: String,
    stream: TcpStream,
    came: Instant,
}

impl Call {
    fn say(&mut self, text: impl AsRef<[u8]>) {
        self.stream.write_all(text.as_ref()).expect("the router is there");
    }

    /// The router has ended the connection, on its side at least.
    fn ends(&self) {
        let mut rest = vec![];
        let _ = (&self.stream).read_to_end(&mut rest);
    }

    fn trace(&self) -> &str {
        let at = self.text.find("x-trace-id: ").expect("an id") + 12;
        self.text[at..].split("\r\n").next().unwrap_or("")
    }
}

/// Takes connections and hands over each whole request that comes on them.
fn listen(listener: TcpListener, at: usize, calls: Sender<Call>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (calls, _) = (calls.clone(), stream.set_nodelay(true));
            std::thread::spawn(move || {
                let (mut kept, mut piece) = (vec![], [0; 4096]);
                while let Ok(got @ 1..) = (&stream).read(&mut piece) {
                    kept.extend_from_slice(&piece[..got]);
                    while let Some(end) = kept.windows(4).position(|w| w == b"\r\n\r\n") {
                        let head = String::from_utf8_lossy(&kept[..end]).into_owned();
                        let length = head.split("content-length: ").nth(1);
                        let length = length.and_then(|l| l.split("\r\n").next()?.parse().ok()).unwrap_or(0);
                        if kept.len() < end + 4 + length {
                            break;
                        }
                        let text = String::from_utf8_lossy(&kept[..end + 4 + length]).into_owned();
                        kept.drain(..end + 4 + length);
                        let stream = stream.try_clone().expect("a handle");
                        let _ = calls.send(Call { at, text, stream, came: Instant::now() });
                    }
                }
            });
        }
    });
}

struct Rig {
    running: KillOnDrop,
    path: PathBuf,
    file: Value,
    calls: Receiver<Call>,
    /// Came before it was asked for.
    early: VecDeque<Call>,
    watch: Call,
    /// Keeps what the workers' connections bring.
    _sender: Sender<Call>,
}

/// How many there were.
static RIGS: AtomicU8 = AtomicU8::new(1);
/// Discovery's number among those that are called.
const DISCOVERY: usize = 99;

impl Rig {
    fn new(name: &str, set: impl FnOnce(&mut Value)) -> Rig {
        Rig::limited(name, "", set)
    }

    /// The process under a limit that its shell sets.
    fn limited(name: &str, limit: &str, set: impl FnOnce(&mut Value)) -> Rig {
        let (sender, calls) = channel();
        let mut list = fixture::endpoint_list(4);
        for (n, server) in list["servers"].as_array_mut().expect("a list").iter_mut().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            server["addr"] = json!(listener.local_addr().expect("an address").to_string());
            listen(listener, n, sender.clone());
        }
        let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut file = fixture::router_config();
        file["discovery"] = json!(discovery.local_addr().expect("an address").to_string());
        // An address of its own: no listener of another test is given its port meanwhile.
        let number = RIGS.fetch_add(1, Ordering::Relaxed);
        let own = unused_address().replace("127.0.0.1", &format!("127.1.1.{number}"));
        (file["listen"], file["known"]) = (json!(own), list);
        set(&mut file);
        listen(discovery, DISCOVERY, sender.clone());
        let path =
            std::env::temp_dir().join(format!("tideroute-end-{name}-{number}-{}.json", std::process::id()));
        std::fs::write(&path, file.to_string()).expect("a file");
        let script = format!("{limit} exec {} platform", env!("CARGO_BIN_EXE_tideroute"));
        let mut command = Command::new("sh");
        command.args(["-c", &script]).env("EDGE_CONFIG", &path).stdin(Stdio::null());
        let running = KillOnDrop(command.spawn().expect("it runs"));
        let mut watch = calls.recv_timeout(TEST_TIMEOUT).expect("a watch");
        assert!(watch.at == DISCOVERY && watch.text.starts_with("GET /discovery/hosts?watch=1&after="));
        watch.say("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        watch.say(chunk(&format!("{}\n", file["known"])));
        let mut rig = Rig { running, path, file, calls, early: VecDeque::new(), watch, _sender: sender };
        wait_for(|| (rig.up() == 200).then_some(()));
        rig
    }

    fn up(&mut self) -> u16 {
        let Ok(mut stream) = TcpStream::connect(self.file["listen"].as_str().expect("an address")) else {
            return 0;
        };
        let _ = stream.write_all(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
        let mut answer = [0; 12];
        let read = stream.read_exact(&mut answer).is_ok();
        if read {
            String::from_utf8_lossy(&answer[9..]).parse().unwrap_or(0)
        } else {
            0
        }
    }

    fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.file["listen"].as_str().expect("an address")).expect("a door");
        stream.set_nodelay(true).expect("no delay");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time");
        stream
    }

    fn ask(&self, trace: &str, class: &str) -> TcpStream {
        let mut client = self.client();
        client.write_all(chat_request(trace, class).as_bytes()).expect("the router is there");
        client
    }

    /// The next call that begins so; probes are answered, and what else comes is kept.
    fn call(&mut self, begins: &str) -> Call {
        self.call_within(begins, TEST_TIMEOUT).unwrap_or_else(|| panic!("no call that begins with {begins}"))
    }

    fn call_within(&mut self, begins: &str, time: Duration) -> Option<Call> {
        let until = Instant::now() + time;
        if let Some(n) = self.early.iter().position(|call| call.text.starts_with(begins)) {
            return self.early.remove(n);
        }
        loop {
            let mut call = self.calls.recv_timeout(until.checked_duration_since(Instant::now())?).ok()?;
            if call.text.starts_with(begins) {
                return Some(call);
            } else if call.text.starts_with("GET /alive") {
                call.say(response(200, "", ""));
            } else {
                self.early.push_back(call);
            }
        }
    }

    /// A request that has been read, its client, and when; and the attempt to write that follows.
    fn read(&mut self, trace: &str, class: &str) -> (TcpStream, Instant, Call) {
        let client = self.ask(trace, class);
        let mut reader = self.call(ATTEMPT);
        reader.say(PREFILL_COMPLETE);
        (client, Instant::now(), self.call(ATTEMPT))
    }

    fn discover(&mut self, line: &Value) {
        self.watch.say(chunk(&format!("{line}\n")));
    }

    /// The entry of a worker as discovery tells it.
    fn entry(&self, worker: usize, state: &str) -> Value {
        let mut entry = self.file["known"]["servers"][worker].clone();
        entry["state"] = json!(state);
        entry
    }

    fn change(&self, version: u64, worker: usize, state: &str) -> Value {
        json!({"version": version, "full": false, "servers": [self.entry(worker, state)]})
    }

    fn signal(&self, name: &str) {
        send_signal(&self.running.0, name);
    }

    fn ended(&mut self) -> ExitStatus {
        wait_for(|| self.running.0.try_wait().expect("its end"))
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// What a client's connection brings up to its end.
fn rest(mut client: TcpStream) -> String {
    let mut all = vec![];
    let _ = client.read_to_end(&mut all);
    String::from_utf8_lossy(&all).into_owned()
}

/// The answer that a client gets, on a connection that may go on.
fn answer(client: &mut TcpStream) -> String {
    let (mut kept, mut piece) = (String::new(), [0; 4096]);
    loop {
        if let Some((head, body)) = kept.split_once("\r\n\r\n") {
            let length =
                head.split("content-length: ").nth(1).and_then(|l| l.split("\r\n").next()?.parse().ok());
            if length.map_or(body.ends_with("0\r\n\r\n"), |length: usize| body.len() >= length) {
                return kept;
            }
        }
        match client.read(&mut piece) {
            Ok(got @ 1..) => kept.push_str(&String::from_utf8_lossy(&piece[..got])),
            _ => return kept,
        }
    }
}

/// Reads on until a text has come.
fn hear(client: &mut TcpStream, kept: &mut String, text: &str) {
    let mut piece = [0; 4096];
    while !kept.contains(text) {
        let got = client.read(&mut piece).expect("it comes");
        assert!(got > 0, "ended before {text:?}: {kept}");
        kept.push_str(&String::from_utf8_lossy(&piece[..got]));
    }
}

fn without_places(file: &mut Value) {
    file["settings"]["family_info"]["ahead"] = json!(false);
}

#[test]
fn a_state_is_released_in_time_while_the_writer_says_nothing() {
    let mut rig = Rig::new("void", without_places);
    let (_client, since, _writer) = rig.read("void", "once");
    let mut release = rig.call(RELEASE);
    assert!(since.elapsed() > Duration::from_millis(700) && since.elapsed() < HELD, "{:?}", since.elapsed());
    release.say(FREED);
}

#[test]
fn a_release_goes_on_to_others_while_the_holder_and_its_connection_are_dead() {
    let mut rig = Rig::new("dead", without_places);
    let (client, since, _writer) = rig.read("dead", "safe");
    drop(client);
    let first = rig.call(RELEASE);
    let mut second = rig.call(RELEASE);
    assert!(first.at != second.at && since.elapsed() < HELD);
    second.say(FREED);
    first.ends();
}

#[test]
fn a_place_granted_behind_its_release_is_released_again() {
    let mut rig = Rig::new("behind", |_| ());
    let client = rig.ask("behind", "safe");
    let reader = rig.call(ATTEMPT);
    let mut place = rig.call(PLACE);
    drop(client);
    rig.call(RELEASE).say(FREED);
    place.say(response(200, "", ""));
    let again = rig.call(RELEASE);
    assert!(place.came.elapsed() < HELD && again.text.contains("/behind "));
    reader.ends();
}

#[test]
fn a_client_that_closes_behind_bytes_of_a_further_request_has_gone() {
    let mut rig = Rig::new("gone", without_places);
    let mut client = rig.client();
    let more =
        chat_request_with("second", "safe", 4_000, &format!("{{\"pad\":\"{}\"}}", "x".repeat(150_000)));
    client.write_all(chat_request("first", "safe").as_bytes()).expect("written");
    let first = rig.call(ATTEMPT);
    client.write_all(more.as_bytes()).expect("written");
    client.shutdown(Shutdown::Write).expect("ended");
    let gone = Instant::now();
    drop(client);
    // Its attempt is given up at once, and none begins: what comes next is another's.
    first.ends();
    assert!(gone.elapsed() < Duration::from_millis(100), "{:?}", gone.elapsed());
    rig.call(RELEASE).say(FREED);
    let _other = rig.ask("other", "safe");
    assert_eq!(rig.call(ATTEMPT).trace(), "other");
}

#[test]
fn a_client_that_goes_between_read_and_write_takes_the_attempt_with_it() {
    let mut rig = Rig::new("between", without_places);
    let (client, _, writer) = rig.read("between", "once");
    drop(client);
    let gone = Instant::now();
    writer.ends();
    assert!(gone.elapsed() < Duration::from_millis(100));
    rig.call(RELEASE).say(FREED);
    let _other = rig.ask("other", "safe");
    assert_eq!(rig.call(ATTEMPT).trace(), "other");
}

#[test]
fn a_worker_that_drains_ends_what_it_has_and_gets_nothing_new() {
    let mut rig = Rig::new("drain", without_places);
    let (mut client, _, mut writer) = rig.read("drain", "safe");
    let change = rig.change(5, writer.at, "DRAINING");
    rig.discover(&change);
    writer.say(format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    for n in 0..6 {
        let (other, _, mut elsewhere) = rig.read(&format!("other-{n}"), "safe");
        assert_ne!(elsewhere.at, writer.at);
        elsewhere.say(http_messages::streamed_response());
        drop(other);
    }
    writer.say(format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])));
    assert!(answer(&mut client).contains("[DONE]"));
}

#[test]
fn a_worker_that_restarts_under_its_id_has_lost_what_was_there() {
    let mut rig = Rig::new("again", without_places);
    let client = rig.ask("again", "safe");
    let first = rig.call(ATTEMPT);
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
    let mut change = rig.change(5, first.at, "SERVING");
    change["servers"][0]["started_ms"] = json!(now.as_millis() as u64);
    rig.discover(&change);
    first.ends();
    let mut second = rig.call(ATTEMPT);
    second.say(PREFILL_COMPLETE);
    rig.call(ATTEMPT).say(http_messages::streamed_response());
    drop(client);
}

#[test]
fn a_watch_reset_in_half_a_line_is_opened_anew_and_brings_the_change() {
    let mut rig = Rig::new("half", without_places);
    let line = format!("{}\n", rig.change(5, 0, "DRAINING"));
    rig.watch.say(format!("{:x}\r\n{}", line.len(), &line[..line.len() / 2]));
    let linger = socket2::SockRef::from(&rig.watch.stream).set_linger(Some(Duration::ZERO));
    linger.expect("a reset");
    let broke = Instant::now();
    let _ = rig.watch.stream.shutdown(Shutdown::Both);
    let mut watch = rig.call("GET /discovery/hosts?watch=1&after=4 ");
    assert!(broke.elapsed() < Duration::from_secs(2));
    watch.say(format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}", chunk(&line)));
    for n in 0..6 {
        let (_client, _, _writer) = rig.read(&format!("r{n}"), "safe");
    }
    assert!(rig.early.iter().all(|call| call.at != 0));
}

#[test]
fn a_new_configuration_and_a_drain_together_are_both_heard_and_disturb_nothing() {
    let mut rig = Rig::new("hup", without_places);
    let (mut client, _, mut writer) = rig.read("hup", "once");
    writer.say(format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    let moved = TcpListener::bind("127.0.0.1:0").expect("a port");
    rig.file["discovery"] = json!(moved.local_addr().expect("an address").to_string());
    listen(moved, DISCOVERY, rig._sender.clone());
    std::fs::write(&rig.path, rig.file.to_string()).expect("a file");
    let change = rig.change(5, writer.at, "DRAINING");
    rig.signal("-HUP");
    rig.discover(&change);
    let mut watch = rig.call("GET /discovery/hosts?watch=1&after=");
    let mut whole = rig.file["known"].clone();
    (whole["version"], whole["servers"][writer.at]) = (json!(5), rig.entry(writer.at, "DRAINING"));
    watch.say(format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}",
        chunk(&format!("{whole}\n"))
    ));
    let mut kept = String::new();
    hear(&mut client, &mut kept, "\"a\":1");
    for n in 0..6 {
        let (_client, _, elsewhere) = rig.read(&format!("h{n}"), "safe");
        assert_ne!(elsewhere.at, writer.at);
    }
    writer.say(format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])));
    hear(&mut client, &mut kept, "0\r\n\r\n");
    assert_eq!(decode_chunked(&kept), (STREAM_EVENTS.concat(), true));
}

/// No second signal comes for it: within four seconds of the one that came it has to be in force.
#[test]
fn a_new_configuration_that_is_half_written_at_its_signal_is_read_once_it_is_whole() {
    let mut rig = Rig::new("half", without_places);
    let moved = TcpListener::bind("127.0.0.1:0").expect("a port");
    let new_address = moved.local_addr().expect("an address");
    rig.file["discovery"] = json!(new_address.to_string());
    listen(moved, DISCOVERY, rig._sender.clone());
    let text = rig.file.to_string();
    std::fs::write(&rig.path, &text[..text.len() / 2]).expect("a file");
    rig.signal("-HUP");
    let told = Instant::now();
    std::thread::sleep(Duration::from_millis(400));
    std::fs::write(&rig.path, text).expect("a file");
    let watch = rig.call("GET /discovery/hosts?watch=1&after=");
    let asked_at = watch.stream.local_addr().expect("an address");
    assert!(asked_at == new_address && told.elapsed() < Duration::from_secs(4), "{:?}", told.elapsed());
    assert_eq!(rig.up(), 200);
}

#[test]
fn a_new_configuration_that_leaves_no_room_is_refused_and_the_old_one_goes_on() {
    let mut rig = Rig::new("room", without_places);
    let (mut client, _, mut writer) = rig.read("room", "once");
    rig.file["settings"]["classes"][2]["key_ttl_ms"] = json!(0);
    rig.file["discovery"] = json!(unused_address());
    std::fs::write(&rig.path, rig.file.to_string()).expect("a file");
    rig.signal("-HUP");
    // Its watch stays where it is, and a change on it is heard.
    let change = rig.change(5, writer.at, "DRAINING");
    rig.discover(&change);
    for n in 0..6 {
        let (_client, _, elsewhere) = rig.read(&format!("h{n}"), "safe");
        assert_ne!(elsewhere.at, writer.at);
    }
    writer.say(http_messages::streamed_response());
    assert!(answer(&mut client).contains("[DONE]"));
    // At the start it ends the program, with key, value and what is needed.
    let output =
        Command::new(env!("CARGO_BIN_EXE_tideroute")).arg("platform").env("EDGE_CONFIG", &rig.path).output();
    let output = output.expect("it runs");
    let told = String::from_utf8_lossy(&output.stderr);
    assert!(
        output.status.code() == Some(2) && told.contains("classes[2].key_ttl_ms in the settings is 0"),
        "{told}"
    );
}

#[test]
fn events_pass_singly_and_at_once_beside_a_client_that_does_not_read() {
    let mut rig = Rig::new("slow", without_places);
    let (_slow, _, mut flood) = rig.read("slow", "safe");
    let (mut client, _, mut writer) = rig.read("quick", "safe");
    let big = format!("data: {}\n\n", "x".repeat(60_000));
    flood.say(STREAM_HEAD);
    let mut pours = flood.stream.try_clone().expect("a handle");
    pours.set_write_timeout(Some(Duration::from_millis(50))).expect("a time");
    while pours.write_all(chunk(&big).as_bytes()).is_ok() {}
    let mut kept = String::new();
    for (n, event) in STREAM_EVENTS.iter().enumerate() {
        let said = Instant::now();
        writer.say(if n == 0 { format!("{STREAM_HEAD}{}", chunk(event)) } else { chunk(event) });
        hear(&mut client, &mut kept, event);
        assert!(said.elapsed() < Duration::from_millis(300), "{n}: {:?}", said.elapsed());
    }
}

#[test]
fn a_stream_whose_client_does_not_read_for_longer_than_a_silent_one_may_last_goes_on() {
    let mut rig = Rig::new("stalls", without_places);
    let (mut slow, _, mut writer) = rig.read("stalls", "once");
    writer.say(STREAM_HEAD);
    let mut pours = writer.stream.try_clone().expect("a handle");
    // The writer writes until nobody takes any more, then the rest once its client reads again.
    let event = format!("data: {}\n\n", "x".repeat(60_000));
    let poured = std::thread::spawn(move || {
        for _ in 0..400 {
            pours.write_all(chunk(&event).as_bytes()).expect("the router goes on");
        }
        pours.write_all(b"0\r\n\r\n").expect("the router goes on");
    });
    let began = Instant::now();
    wait_for(|| (began.elapsed() > Duration::from_secs(6)).then_some(()));
    let whole = answer(&mut slow);
    poured.join().expect("all was taken");
    assert!(whole.ends_with("0\r\n\r\n") && whole.len() > 400 * 60_000);
}

#[test]
fn fields_of_a_client_reach_both_workers() {
    let mut rig = Rig::new("fields", without_places);
    let mut client = rig.client();
    let asked = chat_request("fields", "keyed").replacen("Host:", "Idempotency-Key: 29-55\r\nHost:", 1);
    client.write_all(asked.as_bytes()).expect("written");
    for answer in [PREFILL_COMPLETE.to_string(), http_messages::streamed_response()] {
        let mut call = rig.call(ATTEMPT);
        assert!(call.text.contains("\r\nidempotency-key: 29-55\r\n"), "{}", call.text);
        call.say(answer);
    }
}

#[test]
fn a_worker_that_moved_is_reached_where_it_is() {
    let mut rig = Rig::new("moved", without_places);
    let mut first = rig.ask("first", "safe");
    let mut reader = rig.call(ATTEMPT);
    reader.say(PREFILL_COMPLETE);
    rig.call(ATTEMPT).say(http_messages::streamed_response());
    answer(&mut first);
    let there = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut change = rig.change(5, reader.at, "SERVING");
    change["servers"][0]["addr"] = json!(there.local_addr().expect("an address").to_string());
    listen(there, 50, rig._sender.clone());
    let told = Instant::now();
    rig.discover(&change);
    reader.ends();
    assert!(told.elapsed() < Duration::from_secs(1), "at once, and not when it has rested for long");
    let _again = rig.ask("again", "safe");
    assert_eq!(rig.call(ATTEMPT).at, 50, "the same text is at home there");
}

#[test]
fn the_end_closes_what_rests_serves_what_comes_and_runs_streams_to_their_end() {
    let mut rig = Rig::new("term", without_places);
    let (mut streaming, _, mut writer) = rig.read("streams", "once");
    writer.say(format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    let mut kept = String::new();
    hear(&mut streaming, &mut kept, "\"a\":1");
    let (between, _, mut waits) = rig.read("between", "safe");
    let read = rig.ask("read", "safe");
    let mut reader = rig.call(ATTEMPT);
    let (mut half, resting) = (rig.client(), rig.client());
    let asked = chat_request("half", "safe");
    half.write_all(&asked.as_bytes()[..40]).expect("written");
    let mut used = rig.ask("used", "safe");
    rig.call(ATTEMPT).say(PREFILL_COMPLETE);
    rig.call(ATTEMPT).say(http_messages::streamed_response());
    hear(&mut used, &mut String::new(), "0\r\n\r\n");
    rig.signal("-TERM");
    // Those that rest end first; a request that crosses it is never read, so its client may send it again.
    assert_eq!((rest(resting), rest(used)), (String::new(), String::new()));
    assert_eq!(rig.up(), 503);
    rig.signal("-TERM");
    half.write_all(&asked.as_bytes()[40..]).expect("written");
    let mut late = rig.call(ATTEMPT);
    assert_eq!(late.trace(), "half");
    late.say(PREFILL_COMPLETE);
    rig.call(ATTEMPT).say(http_messages::streamed_response());
    waits.say(http_messages::streamed_response());
    reader.say(PREFILL_COMPLETE);
    rig.call(ATTEMPT).say(http_messages::streamed_response());
    for client in [between, read, half] {
        let answer = rest(client);
        assert!(
            answer.contains("connection: close") && decode_chunked(&answer) == (STREAM_EVENTS.concat(), true),
            "{answer}"
        );
    }
    assert!(rig.running.0.try_wait().expect("its state").is_none(), "a stream is open");
    writer.say(format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])));
    kept.push_str(&rest(streaming));
    assert_eq!(decode_chunked(&kept), (STREAM_EVENTS.concat(), true));
    assert_eq!(rig.ended().code(), Some(0));
}

#[test]
fn it_does_not_end_before_what_is_held_is_released() {
    let mut rig = Rig::new("owes", without_places);
    let (client, _, _writer) = rig.read("owes", "safe");
    rig.signal("-TERM");
    wait_for(|| (rig.up() == 503).then_some(()));
    drop(client);
    let mut release = rig.call(RELEASE);
    assert!(rig.running.0.try_wait().expect("its state").is_none());
    release.say(FREED);
    assert_eq!(rig.ended().code(), Some(0));
}

#[test]
fn two_endings_in_one_turn_bring_one_answer_in_either_order() {
    let mut rig = Rig::new("both", without_places);
    for n in 0..20 {
        let (client, _, mut writer) = rig.read(&format!("both-{n}"), "once");
        // The client goes and the stream comes, both before the router looks, in either order.
        if n % 2 == 0 {
            drop(client);
            let _ = writer.stream.write_all(http_messages::streamed_response().as_bytes());
        } else {
            writer.say(http_messages::streamed_response());
            drop(client);
        }
    }
    let (mut client, _, mut writer) = rig.read("after", "safe");
    writer.say(format!("{}HTTP/1.1 200 OK\r\n", http_messages::streamed_response()));
    let _ = writer.stream.shutdown(Shutdown::Both);
    assert!(answer(&mut client).ends_with("0\r\n\r\n"));
}

#[test]
fn refusals_and_breaks_are_followed_where_that_is_harmless_and_answered_where_not() {
    let mut rig = Rig::new("breaks", without_places);
    for (class, breaks, answered) in [("once", false, true), ("once", true, false), ("safe", true, true)] {
        let (mut client, _, mut writer) = rig.read(&format!("{class}-{breaks}"), class);
        if breaks {
            let _ = writer.stream.shutdown(Shutdown::Both);
        } else {
            writer.say(NEVER_RAN);
        }
        if answered {
            // The same state at another writer, or a new read.
            let mut next = rig.call(ATTEMPT);
            if WORKERS[next.at].kind == "reading" {
                next.say(PREFILL_COMPLETE);
                next = rig.call(ATTEMPT);
            }
            next.say(http_messages::streamed_response());
        }
        let status = answer(&mut client);
        assert_eq!(status.starts_with("HTTP/1.1 200"), answered, "{class} {breaks}: {status}");
        assert!(answered || status.starts_with("HTTP/1.1 502"), "it may have run: {status}");
    }
}

#[test]
fn a_full_table_of_descriptors_costs_no_processor_time_and_passes() {
    let mut rig = Rig::limited("full", "ulimit -n 24;", without_places);
    let idle: Vec<_> = (0..40).map(|_| rig.client()).collect();
    let used = |pid: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process is there");
        let fields: Vec<_> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
        fields[11].parse::<u64>().expect("ticks") + fields[12].parse::<u64>().expect("ticks")
    };
    let (pid, began) = (rig.running.0.id(), Instant::now());
    let before = used(pid);
    wait_for(|| (began.elapsed() > Duration::from_secs(1)).then_some(()));
    let ticks = used(pid) - before;
    assert!(ticks < 30, "{ticks} hundredths of a second of processor time in one");
    drop(idle);
    let (mut client, _, mut writer) = rig.read("after", "safe");
    writer.say(http_messages::streamed_response());
    assert!(answer(&mut client).contains("[DONE]"));
}
