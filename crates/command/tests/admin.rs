//! Tenants that are administered by the command line while a router with two cores runs, checked by clients that speak
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

/// A router with an administration API and a tenant store, in a folder of its own. Killed when dropped.
struct TestRouter {
    folder: PathBuf,
    child: Option<Child>,
    /// The address for clients.
    listen: String,
    /// The address of the administration API.
    admin: String,
}

impl TestRouter {
    fn start(name: &str) -> TestRouter {
        let folder = std::env::temp_dir().join(format!("tideroute-admin-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut router =
            TestRouter { folder, child: None, listen: unused_address(), admin: unused_address() };
        let hash = blake3::hash(KEY.as_bytes()).to_hex();
        let configuration = format!(
            r#"router: {{
	name: "r0", listen: "{}", list: "{}", cores: 2
	tracks: [{{name: "query", contract: 1s, cut_off: 4s}}]
	kinds: [{{name: "readers", role: "reader"}}, {{name: "writers", role: "writer"}}]
	terms: {{}}
	admin: {{listen: "{}", store: "{}", keys: [{{name: "ann", key: "{hash}", role: "own"}}]}}
}}"#,
            router.listen,
            unused_address(),
            router.admin,
            router.folder.join("tenants.redb").display()
        );
        std::fs::write(router.folder.join("router.cue"), configuration).expect("a file");
        router.start_process();
        router
    }

    /// Starts the process and waits until it listens.
    fn start_process(&mut self) {
        let child = Command::new(env!("CARGO_BIN_EXE_tideroute"))
            .arg("router")
            .arg(self.folder.join("router.cue"))
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        self.child = Some(child);
        wait_for(|| TcpStream::connect(&self.listen).and(TcpStream::connect(&self.admin)).ok());
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Runs an administration command.
    fn admin(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
        command.arg("admin").args(arguments).args(["--at", &self.admin]).env("TIDEROUTE_KEY", KEY);
        command.stdin(Stdio::null()).output().expect("the program starts")
    }

    /// Runs an administration command that must succeed, and returns what it printed.
    fn admin_succeeds(&self, arguments: &[&str]) -> String {
        let output = self.admin(arguments);
        let [stdout, stderr] =
            [&output.stdout, &output.stderr].map(|b| String::from_utf8_lossy(b).into_owned());
        assert!(output.status.success(), "{arguments:?}: {stderr}");
        stdout
    }

    /// Writes a tenant with one key, in place of the given version if there is one.
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

impl Drop for TestRouter {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What a client has received.
#[derive(Default, Debug)]
struct Responses {
    /// The number of accepted requests.
    accepted: u32,
    /// The numbers of the rejected requests.
    rejected: Vec<u64>,
    /// Why the client's key was refused, if it was.
    unauthorized: Option<String>,
}

impl client::Client for Responses {
    fn accepted(&mut self, _number: u64, _id: u64) -> Result<(), Malformed> {
        self.accepted += 1;
        Ok(())
    }
    fn token(&mut self, _number: u64, _index: u32, _text: Bytes) -> Result<(), Malformed> {
        Ok(())
    }
    fn completed(&mut self, _number: u64, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }
    fn rejected(&mut self, number: u64, _retry_after: u64) -> Result<(), Malformed> {
        self.rejected.push(number);
        Ok(())
    }
    fn failed(&mut self, _number: u64) -> Result<(), Malformed> {
        Ok(())
    }
    fn unauthorized(&mut self, reason: &str) -> Result<(), Malformed> {
        self.unauthorized = Some(reason.to_string());
        Ok(())
    }
}

/// A client connection.
struct Client {
    stream: TcpStream,
    received: BytesMut,
    responses: Responses,
    /// The number of the last request.
    number: u64,
}

impl Client {
    fn new(router: &TestRouter, key: &str) -> Client {
        let stream = TcpStream::connect(&router.listen).expect("the router listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
        let mut client =
            Client { stream, received: BytesMut::new(), responses: Responses::default(), number: 0 };
        client.send(&say_hello_with(Party::Client, "test", key.as_bytes()));
        client
    }

    fn send(&mut self, body: &Bytes) {
        let mut framed = BytesMut::new();
        frame::put(&mut framed, body);
        let _ = self.stream.write_all(&framed);
    }

    /// Reads until the condition holds or the connection ends.
    fn receive_until(&mut self, is_enough: impl Fn(&Responses) -> bool) {
        let mut piece = [0; 4096];
        while !is_enough(&self.responses) {
            let length = self.stream.read(&mut piece).unwrap_or(0);
            if length == 0 {
                return;
            }
            self.received.extend_from_slice(&piece[..length]);
            while let Some(frame) = frame::next(&mut self.received).expect("frames") {
                client::receive_from_router(&frame, &mut self.responses).expect("messages of a router");
            }
        }
    }

    /// Sends a request with `remaining` microseconds until its deadline, and returns how long its rejection took. It is
    /// rejected because there are no workers.
    fn submit(&mut self, remaining: u64) -> Duration {
        self.number += 1;
        let number = self.number;
        let prompt = Bytes::from_static(b"prompt");
        self.send(&client::submit(number, 0, 1, 0, 10, 0, 5, remaining, 1, prompt));
        let began = Instant::now();
        self.receive_until(|responses| responses.rejected.contains(&number));
        assert!(self.responses.rejected.contains(&number), "no rejection arrived: {:?}", self.responses);
        began.elapsed()
    }
}

#[test]
fn tenants_are_added_changed_and_removed_while_the_router_runs() {
    let mut router = TestRouter::start("life");
    // There are no tenants yet, so each core refuses every key.
    for _ in 0..8 {
        let mut unknown = Client::new(&router, "harbour's key");
        unknown.receive_until(|responses| responses.unauthorized.is_some());
        assert_eq!(unknown.responses.unauthorized.as_deref(), Some("no tenant has this key"));
    }
    assert!(router.put("harbour", "one", None).status.success());
    // After the response to the change, each core accepts the new key.
    let mut clients: Vec<_> = (0..8).map(|_| Client::new(&router, "one")).collect();
    clients.iter_mut().for_each(|client| _ = client.submit(200_000));
    assert!(clients
        .iter()
        .all(|client| client.responses.accepted == 1 && client.responses.unauthorized.is_none()));
    let began = Instant::now();
    let shown = loop {
        let shown = router.admin_succeeds(&["top", "--once"]);
        if shown.lines().any(|line| line.starts_with("harbour") && line.contains(" 8 ")) {
            break shown;
        }
        assert!(began.elapsed() < TEST_TIMEOUT, "the tenant's statistics did not arrive: {shown}");
        std::thread::sleep(Duration::from_millis(50));
    };
    assert!(shown.starts_with("tenant"), "{shown}");
    // A new key replaces the old one, which is then refused on all connections, including the open ones.
    assert!(router.put("harbour", "two", Some("1")).status.success());
    for client in &mut clients {
        let elapsed = client.submit(3_000_000);
        assert!(elapsed < Duration::from_millis(500), "the rejection of a replaced key took {elapsed:?}");
    }
    let mut old = Client::new(&router, "one");
    old.receive_until(|responses| responses.unauthorized.is_some());
    assert!(old.responses.unauthorized.is_some());
    // A confirmed change survives a kill.
    router.kill();
    router.start_process();
    let mut clients_after_restart: Vec<_> = (0..8).map(|_| Client::new(&router, "two")).collect();
    clients_after_restart.iter_mut().for_each(|client| _ = client.submit(200_000));
    assert!(router.admin_succeeds(&["show", "harbour"]).contains("harbour"));
    assert!(router.admin_succeeds(&["remove", "harbour", "--version", "2"]).contains("removed"));
    for client in &mut clients_after_restart {
        assert!(client.submit(3_000_000) < Duration::from_millis(500));
        assert_eq!(
            client.responses.accepted, 2,
            "the request of a removed tenant is accepted and rejected at once like any other"
        );
    }
    let mut removed = Client::new(&router, "two");
    removed.receive_until(|responses| responses.unauthorized.is_some());
    assert!(removed.responses.unauthorized.is_some());
    let history = router.admin_succeeds(&["history", "harbour"]);
    assert!(history.lines().count() == 4 && history.contains("ann"), "{history}");
}

#[test]
fn the_command_line_reports_errors() {
    let router = TestRouter::start("wrong");
    assert!(router.put("market", "k", None).status.success());
    let failures = [
        (router.put("market", "k", None), "412"),
        (router.put("market", "k", Some("7")), "present version 1"),
        (router.put("Market", "k2", None), "name"),
        (router.admin(&["show", "nobody"]), "404"),
        (router.admin(&["show", "../../x"]), "is not a tenant name"),
        (router.admin(&["put", "x", "/no/such/file"]), "/no/such/file"),
        (router.admin(&["remove", "market", "--version", "9"]), "412"),
    ];
    for (output, expected) in failures {
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.code() == Some(2) && stderr.contains(expected), "{expected}: {stderr}");
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
    command.args(["admin", "list", "--at", &router.admin]).env("TIDEROUTE_KEY", "not-the-key");
    let output = command.output().expect("the program starts");
    assert!(String::from_utf8_lossy(&output.stderr).contains("nobody has this key"));
    // A snapshot is restored into a new store.
    let [file, store] = ["all.zst", "other.redb"].map(|name| router.folder.join(name).display().to_string());
    router.admin_succeeds(&["snapshot", &file]);
    let restored = Command::new(env!("CARGO_BIN_EXE_tideroute"))
        .args(["admin", "restore", &store, &file])
        .output()
        .expect("the program starts");
    assert!(String::from_utf8_lossy(&restored.stdout).contains("1 entries"));
}
