//! Tenants administered while a router of two cores runs: the program's own command line, and clients that speak
//! the protocol.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tideroute_wire::{client, frame, say_hello_with, Malformed, Party};

use tideroute_test_support::process::{unused_address, wait_for, TEST_TIMEOUT};

const KEY: &str = "a-key-for-tests";

struct KillOnDrop {
    folder: PathBuf,
    child: Option<Child>,
    listen: String,
    admin: String,
}

impl KillOnDrop {
    fn start(what: &str) -> KillOnDrop {
        let folder = std::env::temp_dir().join(format!("tideroute-admin-{what}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut running =
            KillOnDrop { folder, child: None, listen: unused_address(), admin: unused_address() };
        let hash = blake3::hash(KEY.as_bytes()).to_hex();
        let record = format!(
            r#"router: {{
	name: "r0", listen: "{}", list: "{}", cores: 2
	tracks: [{{name: "query", contract: 1s, cut_off: 4s}}]
	kinds: [{{name: "readers", role: "reader"}}, {{name: "writers", role: "writer"}}]
	terms: {{}}
	admin: {{listen: "{}", store: "{}", keys: [{{name: "ann", key: "{hash}", role: "own"}}]}}
}}"#,
            running.listen,
            unused_address(),
            running.admin,
            running.folder.join("tenants.redb").display()
        );
        std::fs::write(running.folder.join("router.cue"), record).expect("a file");
        running.start_process();
        running
    }

    fn start_process(&mut self) {
        let child = Command::new(env!("CARGO_BIN_EXE_tideroute"))
            .arg("router")
            .arg(self.folder.join("router.cue"))
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        self.child = Some(child);
        wait_for(|| TcpStream::connect(&self.listen).and(TcpStream::connect(&self.admin)).ok());
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn admin(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
        command.arg("admin").args(arguments).args(["--at", &self.admin]).env("TIDEROUTE_KEY", KEY);
        command.stdin(Stdio::null()).output().expect("it runs")
    }

    /// What it printed, after it went well.
    fn succeeds(&self, arguments: &[&str]) -> String {
        let output = self.admin(arguments);
        let [out, problem] =
            [&output.stdout, &output.stderr].map(|b| String::from_utf8_lossy(b).into_owned());
        assert!(output.status.success(), "{arguments:?}: {problem}");
        out
    }

    fn put(&self, name: &str, key: &str, version: Option<&str>) -> Output {
        let file = self.folder.join(format!("{name}-{key}.json"));
        let hash = blake3::hash(key.as_bytes()).to_hex();
        let body = format!(r#"{{"weight": 2, "keys": [{{"name": "first", "hash": "{hash}"}}]}}"#);
        std::fs::write(&file, body).expect("a file");
        let file = file.display().to_string();
        let mut arguments = vec!["put", name, &file];
        version.into_iter().for_each(|version| arguments.extend(["--version", version]));
        self.admin(&arguments)
    }
}

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[derive(Default, Debug)]
struct Responses {
    taken: u32,
    turned_back: Vec<u64>,
    denied: Option<String>,
}

impl client::Client for Responses {
    fn accepted(&mut self, _number: u64, _id: u64) -> Result<(), Malformed> {
        self.taken += 1;
        Ok(())
    }
    fn token(&mut self, _number: u64, _index: u32, _text: Bytes) -> Result<(), Malformed> {
        Ok(())
    }
    fn completed(&mut self, _number: u64, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }
    fn rejected(&mut self, number: u64, _after: u64) -> Result<(), Malformed> {
        self.turned_back.push(number);
        Ok(())
    }
    fn failed(&mut self, _number: u64) -> Result<(), Malformed> {
        Ok(())
    }
    fn unauthorized(&mut self, why: &str) -> Result<(), Malformed> {
        self.denied = Some(why.to_string());
        Ok(())
    }
}

struct Client {
    stream: TcpStream,
    arrived: BytesMut,
    heard: Responses,
    number: u64,
}

impl Client {
    fn new(running: &KillOnDrop, key: &str) -> Client {
        let stream = TcpStream::connect(&running.listen).expect("it listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
        let mut client = Client { stream, arrived: BytesMut::new(), heard: Responses::default(), number: 0 };
        client.send(&say_hello_with(Party::Client, "test", key.as_bytes()));
        client
    }

    fn send(&mut self, body: &Bytes) {
        let mut framed = BytesMut::new();
        frame::put(&mut framed, body);
        let _ = self.stream.write_all(&framed);
    }

    /// Reads until the condition holds or the connection ends.
    fn receive_until(&mut self, enough: impl Fn(&Responses) -> bool) {
        let mut piece = [0; 4096];
        while !enough(&self.heard) {
            let got = self.stream.read(&mut piece).unwrap_or(0);
            if got == 0 {
                return;
            }
            self.arrived.extend_from_slice(&piece[..got]);
            while let Some(frame) = frame::next(&mut self.arrived).expect("frames") {
                client::receive_from_router(&frame, &mut self.heard).expect("a router's words");
            }
        }
    }

    /// Submits, and tells how long its answer took; there are no workers, so it is turned back.
    fn submit(&mut self, left: u64) -> Duration {
        self.number += 1;
        let number = self.number;
        let prompt = Bytes::from_static(b"prompt");
        self.send(&client::submit(number, 0, 1, 0, 10, 0, 5, left, 1, prompt));
        let began = Instant::now();
        self.receive_until(|heard| heard.turned_back.contains(&number));
        assert!(self.heard.turned_back.contains(&number), "no answer: {:?}", self.heard);
        began.elapsed()
    }
}

#[test]
fn tenants_are_added_changed_and_removed_while_the_router_runs() {
    let mut running = KillOnDrop::start("life");
    // Nobody is there yet: each core denies.
    for _ in 0..8 {
        let mut nobody = Client::new(&running, "harbour's key");
        nobody.receive_until(|heard| heard.denied.is_some());
        assert_eq!(nobody.heard.denied.as_deref(), Some("no tenant has this key"));
    }
    assert!(running.put("harbour", "one", None).status.success());
    // Once the answer is there each core takes the key.
    let mut clients: Vec<_> = (0..8).map(|_| Client::new(&running, "one")).collect();
    clients.iter_mut().for_each(|client| _ = client.submit(200_000));
    assert!(clients.iter().all(|client| client.heard.taken == 1 && client.heard.denied.is_none()));
    let began = Instant::now();
    let shown = loop {
        let shown = running.succeeds(&["top", "--once"]);
        if shown.lines().any(|line| line.starts_with("harbour") && line.contains(" 8 ")) {
            break shown;
        }
        assert!(began.elapsed() < TEST_TIMEOUT, "the figures never came: {shown}");
        std::thread::sleep(Duration::from_millis(50));
    };
    assert!(shown.starts_with("tenant"), "{shown}");
    // A new key in place of the old: the old is dead on all connections, those that are open too.
    assert!(running.put("harbour", "two", Some("1")).status.success());
    for client in &mut clients {
        let took = client.submit(3_000_000);
        assert!(took < Duration::from_millis(500), "a dead key was held for {took:?}");
    }
    let mut old = Client::new(&running, "one");
    old.receive_until(|heard| heard.denied.is_some());
    assert!(old.heard.denied.is_some());
    // What was confirmed is there after a kill.
    running.kill();
    running.start_process();
    let mut back: Vec<_> = (0..8).map(|_| Client::new(&running, "two")).collect();
    back.iter_mut().for_each(|client| _ = client.submit(200_000));
    assert!(running.succeeds(&["show", "harbour"]).contains("harbour"));
    assert!(running.succeeds(&["remove", "harbour", "--version", "2"]).contains("removed"));
    for client in &mut back {
        assert!(client.submit(3_000_000) < Duration::from_millis(500));
        assert_eq!(client.heard.taken, 2, "it is answered like any other, at once");
    }
    let mut gone = Client::new(&running, "two");
    gone.receive_until(|heard| heard.denied.is_some());
    assert!(gone.heard.denied.is_some());
    let history = running.succeeds(&["history", "harbour"]);
    assert!(history.lines().count() == 4 && history.contains("ann"), "{history}");
}

#[test]
fn the_command_line_reports_errors() {
    let running = KillOnDrop::start("wrong");
    assert!(running.put("market", "k", None).status.success());
    let problems = [
        (running.put("market", "k", None), "412"),
        (running.put("market", "k", Some("7")), "present version 1"),
        (running.put("Market", "k2", None), "name"),
        (running.admin(&["show", "nobody"]), "404"),
        (running.admin(&["show", "../../x"]), "is not a tenant name"),
        (running.admin(&["put", "x", "/no/such/file"]), "/no/such/file"),
        (running.admin(&["remove", "market", "--version", "9"]), "412"),
    ];
    for (output, expected) in problems {
        let problem = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.code() == Some(2) && problem.contains(expected), "{expected}: {problem}");
    }
    let mut wrong = Command::new(env!("CARGO_BIN_EXE_tideroute"));
    wrong.args(["admin", "list", "--at", &running.admin]).env("TIDEROUTE_KEY", "not-the-key");
    let output = wrong.output().expect("it runs");
    assert!(String::from_utf8_lossy(&output.stderr).contains("nobody has this key"));
    // A snapshot, and it taken back into a store of its own.
    let [file, store] = ["all.zst", "other.redb"].map(|name| running.folder.join(name).display().to_string());
    running.succeeds(&["snapshot", &file]);
    let restored = Command::new(env!("CARGO_BIN_EXE_tideroute"))
        .args(["admin", "restore", &store, &file])
        .output()
        .expect("it runs");
    assert!(String::from_utf8_lossy(&restored.stdout).contains("1 entries"));
}
