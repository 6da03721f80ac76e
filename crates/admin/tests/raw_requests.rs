//! The API server on raw bytes: responses to valid requests, and errors for invalid requests, which must change
//! nothing.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use tideroute_admin::{AdminServer, Administrator, Api, Role};
use tideroute_tenant_store::TenantStore;
use tideroute_wire::event_loop::{ConnectionId, Effect, Effects, EventHandler};

const NOW: u64 = 1_000_000_000;

struct TestServer {
    server: AdminServer,
    store: Arc<TenantStore>,
    /// The changes that the server passed to its callback: the tenant's name, and whether the tenant remains.
    changes: Arc<Mutex<Vec<String>>>,
    effects: Effects,
    /// Number of connections opened so far.
    connections: u64,
}

/// What a client received on a connection: the status codes, the last response, and whether the connection was closed.
#[derive(Debug, Default)]
struct Received {
    statuses: Vec<u16>,
    last_response: String,
    closed: bool,
}

impl TestServer {
    fn new() -> TestServer {
        let store =
            Arc::new(TenantStore::with_backend(redb::backends::InMemoryBackend::new()).expect("it opens"));
        let roles = [("view", Role::View), ("operate", Role::Operate), ("own", Role::Own)];
        let administrators = roles.map(|(name, role)| {
            let key = *blake3::hash(format!("key-{name}").as_bytes()).as_bytes();
            Administrator { name: name.to_string(), key, role }
        });
        let changes = Arc::new(Mutex::new(vec![]));
        let reported_changes = changes.clone();
        let api = Api::new(store.clone(), administrators.to_vec());
        let server = AdminServer::new(api, move |revision| {
            reported_changes.lock().expect("no panic").push(format!(
                "{} {}",
                revision.name,
                revision.tenant.is_some()
            ));
        });
        TestServer { server, store, changes, effects: Effects::default(), connections: 0 }
    }

    fn connect(&mut self) -> ConnectionId {
        self.connections += 1;
        let connection = ConnectionId(self.connections);
        self.server.on_accepted(NOW, connection, 0, &mut self.effects);
        connection
    }

    /// Returns what the server has sent since the last call.
    fn received(&mut self) -> Received {
        let mut received = Received::default();
        for effect in self.effects.take() {
            match effect {
                Effect::Send { frame, .. } => {
                    let text = String::from_utf8_lossy(&frame).into_owned();
                    assert!(text.starts_with("HTTP/1.1 "), "{text}");
                    received.statuses.push(text[9..12].parse().expect("a status"));
                    received.last_response = text;
                }
                Effect::Close { .. } => received.closed = true,
                _ => {}
            }
        }
        received
    }

    /// Sends bytes in chunks on a new connection and returns what the client received.
    fn send(&mut self, bytes: &[u8], chunk_size: usize) -> Received {
        let connection = self.connect();
        for chunk in bytes.chunks(chunk_size.max(1)) {
            self.server.on_data(NOW, connection, &Bytes::copy_from_slice(chunk), &mut self.effects);
        }
        let received = self.received();
        self.server.on_disconnect(
            NOW,
            connection,
            tideroute_wire::event_loop::DisconnectReason::Reset,
            &mut self.effects,
        );
        received
    }

    fn request(&mut self, method: &str, path: &str, fields: &str, body: &str) -> Received {
        let text = request_text(method, path, fields, body);
        self.send(text.as_bytes(), usize::MAX)
    }

    /// Returns the version of the last change in the store and the number of changes passed to the callback.
    fn state(&self) -> (u64, usize) {
        (self.store.last_version().expect("read"), self.changes.lock().expect("no panic").len())
    }
}

fn request_text(method: &str, path: &str, fields: &str, body: &str) -> String {
    let json = if body.is_empty() { "" } else { "content-type: application/json\r\n" };
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\nhost: here\r\n{fields}{json}content-length: {length}\r\n\r\n{body}")
}

/// Header field with the key of an administrator with the role `Operate`.
const OPERATE: &str = "authorization: Bearer key-operate\r\n";
/// Header fields with which `Operate` adds a tenant.
const NEW: &str = "authorization: Bearer key-operate\r\nif-none-match: *\r\n";

/// Returns header fields with which `Operate` changes a tenant that is at `version`.
fn matching(version: u64) -> String {
    format!("{OPERATE}if-match: \"{version}\"\r\n")
}

#[test]
fn a_tenant_is_added_changed_read_and_removed() {
    let mut test_server = TestServer::new();
    let added = test_server.request("PUT", "/v1/tenants/harbour", NEW, r#"{"weight": 2}"#);
    assert_eq!(added.statuses, [201]);
    assert!(added.last_response.contains("etag: \"1\""), "{}", added.last_response);
    let changed =
        test_server.request("PUT", "/v1/tenants/harbour", &matching(1), r#"{"weight": 3, "in_flight": 7}"#);
    assert_eq!(changed.statuses, [200]);
    let read = test_server.request("GET", "/v1/tenants/harbour", "authorization: Bearer key-view\r\n", "");
    assert!(
        read.statuses == [200] && read.last_response.contains(r#""in_flight":7"#),
        "{}",
        read.last_response
    );
    let stale = test_server.request("PUT", "/v1/tenants/harbour", &matching(1), r#"{"weight": 9}"#);
    assert!(
        stale.statuses == [412] && stale.last_response.contains(r#""weight":3.0"#),
        "{}",
        stale.last_response
    );
    let existing = test_server.request("PUT", "/v1/tenants/harbour", NEW, "{}");
    assert!(
        existing.statuses == [412] && existing.last_response.contains("\"version\":2"),
        "{}",
        existing.last_response
    );
    let history = test_server.request("GET", "/v1/tenants/harbour/history", OPERATE, "");
    assert!(
        history.statuses == [200] && history.last_response.contains("\"by\":\"operate\""),
        "{}",
        history.last_response
    );
    assert_eq!(test_server.request("DELETE", "/v1/tenants/harbour", &matching(2), "").statuses, [204]);
    assert_eq!(test_server.request("GET", "/v1/tenants/harbour", OPERATE, "").statuses, [404]);
    assert_eq!(
        *test_server.changes.lock().expect("no panic"),
        ["harbour true", "harbour true", "harbour false"]
    );
    let snapshot = test_server.request("GET", "/v1/snapshot", "authorization: Bearer key-own\r\n", "");
    assert_eq!(snapshot.statuses, [200]);
}

#[test]
fn list_pages_contain_each_tenant_once_in_order() {
    let mut test_server = TestServer::new();
    for n in 0..25 {
        assert_eq!(test_server.request("PUT", &format!("/v1/tenants/t{n:02}"), NEW, "{}").statuses, [201]);
    }
    let (mut after, mut names) = (String::new(), vec![]);
    loop {
        let page = test_server.request("GET", &format!("/v1/tenants?most=10&after={after}"), OPERATE, "");
        let body = page.last_response.split_once("\r\n\r\n").expect("a body").1;
        let body: serde_json::Value = serde_json::from_str(body).expect("JSON");
        names.extend(
            body["entries"].as_array().expect("entries").iter().map(|entry| entry["name"].to_string()),
        );
        match body["next"].as_str() {
            Some(next) => after = next.to_string(),
            None => break,
        }
    }
    assert_eq!(names.len(), 25);
    assert!(names.windows(2).all(|pair| pair[0] < pair[1]));
}

/// Returns invalid requests, each with the status code of its response. The function is long because it is a table.
fn invalid_requests() -> Vec<(u16, String)> {
    let own = "authorization: Bearer key-own\r\n";
    let at = "/v1/tenants/t";
    let plain = |head: &str| format!("{head}\r\n\r\n");
    let put = |fields: &str, body: &str| request_text("PUT", at, fields, body);
    let hash = "ab".repeat(32);
    let duplicate_keys =
        format!(r#"{{"keys": [{{"name":"a","hash":"{hash}"}},{{"name":"b","hash":"{hash}"}}]}}"#);
    let too_many_keys: Vec<_> = (0..17).map(|n| format!(r#"{{"name":"k{n}","hash":"{n:064x}"}}"#)).collect();
    let too_many_keys = format!(r#"{{"keys": [{}]}}"#, too_many_keys.join(","));
    let fields = "x: y\r\n".repeat(80);
    let view = "authorization: Bearer key-view\r\nif-none-match: *\r\n";
    vec![
        (401, request_text("GET", "/v1/tenants", "", "")),
        (401, request_text("GET", "/v1/tenants", "authorization: Bearer\r\n", "")),
        (401, request_text("GET", "/v1/tenants", "authorization: Bearer wrong\r\n", "")),
        (401, request_text("GET", "/v1/tenants", "authorization: Basic a2V5\r\n", "")),
        (401, request_text("GET", "/v1/tenants", &format!("{OPERATE}{OPERATE}"), "")),
        (401, request_text("DELETE", "/v1/tenants/there", "if-match: \"1\"\r\n", "")),
        (403, put(view, "{}")),
        (403, request_text("DELETE", "/v1/tenants/there", "authorization: Bearer key-view\r\nif-match: \"1\"\r\n", "")),
        (403, request_text("GET", "/v1/snapshot", OPERATE, "")),
        (404, request_text("GET", "/", OPERATE, "")),
        (404, request_text("GET", "/v1", OPERATE, "")),
        (404, request_text("GET", "/v1/tenants/", OPERATE, "")),
        (404, request_text("GET", "/v1/tenants/nobody", OPERATE, "")),
        (404, request_text("GET", "/v1/tenants/nobody/history", OPERATE, "")),
        (404, request_text("GET", "/v1/tenants/there/secrets", OPERATE, "")),
        (404, request_text("GET", "/v2/tenants", OPERATE, "")),
        (404, request_text("GET", "/v1/tenants/..%2f..%2fetc", OPERATE, "")),
        (404, request_text("PUT", at, &matching(1), "{}")),
        (405, request_text("POST", "/v1/tenants", OPERATE, "{}")),
        (405, request_text("PATCH", "/v1/tenants/there", OPERATE, "{}")),
        (405, request_text("DELETE", "/v1/tenants", OPERATE, "")),
        (405, request_text("PUT", "/v1/changes", OPERATE, "{}")),
        (405, request_text("POST", "/v1/snapshot", own, "{}")),
        (412, request_text("PUT", "/v1/tenants/there", &matching(7), "{}")),
        (412, request_text("PUT", "/v1/tenants/there", NEW, "{}")),
        (412, request_text("DELETE", "/v1/tenants/there", &matching(0), "")),
        (400, request_text("PUT", "/v1/tenants/there", &format!("{OPERATE}if-match: 1\r\n"), "{}")),
        (400, request_text("PUT", "/v1/tenants/there", &format!("{OPERATE}if-match: \"-1\"\r\n"), "{}")),
        (400, request_text("PUT", "/v1/tenants/there", &format!("{OPERATE}if-match: W/\"1\"\r\n"), "{}")),
        (400, request_text("PUT", "/v1/tenants/there", &format!("{NEW}if-match: \"1\"\r\n"), "{}")),
        (428, put(OPERATE, "{}")),
        (428, request_text("DELETE", "/v1/tenants/there", OPERATE, "")),
        (415, format!("PUT {at} HTTP/1.1\r\nhost: h\r\n{NEW}content-length: 2\r\n\r\n{{}}")),
        (415, format!("PUT {at} HTTP/1.1\r\nhost: h\r\n{NEW}content-type: text/json\r\ncontent-length: 2\r\n\r\n{{}}")),
        (400, put(NEW, "{")),
        (400, put(NEW, "weight: 2")),
        (400, put(NEW, r#"{"weight": 1} {}"#)),
        (422, put(NEW, &"[".repeat(500))),
        (422, put(NEW, "[2, null, null, null, 5, []]")),
        (422, put(NEW, "[3, 4, 5, 6, 7, 8, 9]")),
        (422, put(NEW, "null")),
        (422, put(NEW, r#"{"weight": "heavy"}"#)),
        (422, put(NEW, r#"{"weight": -1}"#)),
        (400, put(NEW, r#"{"weight": 1e999}"#)),
        (422, put(NEW, r#"{"weight": 1e10}"#)),
        (422, put(NEW, r#"{"wait": 3}"#)),
        (422, put(NEW, r#"{"weight": 1, "weight": 2}"#)),
        (422, put(NEW, r#"{"in_flight": -3}"#)),
        (422, put(NEW, r#"{"in_flight": 1.5}"#)),
        (422, put(NEW, r#"{"in_flight": 4294967296}"#)),
        (422, put(NEW, r#"{"submissions": 5}"#)),
        (422, put(NEW, r#"{"submissions": {"a_second": 5}}"#)),
        (422, put(NEW, r#"{"submissions": {"a_second": 5, "once": 0}}"#)),
        (422, put(NEW, r#"{"tokens": {"a_second": -5, "once": 1}}"#)),
        (422, put(NEW, r#"{"keys": [{"name": "a", "hash": "short"}]}"#)),
        (422, put(NEW, &format!(r#"{{"keys": [{{"name": "A b", "hash": "{hash}"}}]}}"#))),
        (422, put(NEW, &duplicate_keys)),
        (422, put(NEW, &too_many_keys)),
        (422, request_text("PUT", "/v1/tenants/Upper", NEW, "{}")),
        (422, request_text("PUT", "/v1/tenants/a%20b", NEW, "{}")),
        (422, request_text("PUT", &format!("/v1/tenants/{}", "x".repeat(64)), NEW, "{}")),
        (400, request_text("GET", "/v1/tenants?most=0", OPERATE, "")),
        (400, request_text("GET", "/v1/tenants?most=1001", OPERATE, "")),
        (400, request_text("GET", "/v1/tenants?most=ten", OPERATE, "")),
        (400, request_text("GET", "/v1/changes?after=-1", OPERATE, "")),
        (400, request_text("GET", "/v1/tenants/there/history?before=x", OPERATE, "")),
        (400, request_text("GET", "/v1/tenants/%ff", OPERATE, "")),
        (400, request_text("GET", "v1/tenants", OPERATE, "")),
        (400, plain("GET /v1/tenants HTTP/1.1")),
        (400, plain("GET /v1/tenants HTTP/1.1\r\nhost: a\r\nhost: b")),
        (400, plain("GET /v1/tenants HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2")),
        (400, plain("GET /v1/tenants HTTP/1.1\r\nhost: a\r\ncontent-length: +2")),
        (400, plain("GET /v1/tenants HTTP/1.1\r\nhost: a\r\nno colon")),
        (400, plain("GET  /v1/tenants HTTP/1.1\r\nhost: a")),
        (400, plain("\u{16}\u{3}\u{1} not HTTP at all")),
        (413, plain("PUT /v1/tenants/t HTTP/1.1\r\nhost: a\r\ncontent-length: 65537")),
        (413, plain("PUT /v1/tenants/t HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999999999999999")),
        (431, plain(&format!("GET /v1/tenants HTTP/1.1\r\nhost: a\r\n{fields}z: z"))),
        (431, plain(&format!("GET /{} HTTP/1.1\r\nhost: a", "x".repeat(20_000)))),
        (501, plain("PUT /v1/tenants/t HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked")),
        (505, plain("GET /v1/tenants HTTP/1.0\r\nhost: a")),
    ]
}

#[test]
fn invalid_requests_get_problem_details_and_change_nothing() {
    let mut test_server = TestServer::new();
    assert_eq!(test_server.request("PUT", "/v1/tenants/there", NEW, "{}").statuses, [201]);
    let cases = invalid_requests();
    assert!(cases.len() >= 80);
    let before = test_server.state();
    for (status, text) in &cases {
        for chunk_size in [usize::MAX, 1, 7] {
            let received = test_server.send(text.as_bytes(), chunk_size);
            let excerpt = &text[..text.len().min(200)];
            assert_eq!(received.statuses, [*status], "{excerpt:?}: {}", received.last_response);
            let body = received.last_response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
            let problem_details: serde_json::Value = serde_json::from_str(body).expect("problem details");
            assert!(
                problem_details["status"] == *status
                    && problem_details["detail"].as_str().is_some_and(|detail| detail.len() > 5)
            );
        }
    }
    assert_eq!(test_server.state(), before, "an invalid request changed the store");
    assert_eq!(test_server.store.list("", 10).expect("read").len(), 1);
}

/// The request after `connection: close` must not be handled.
#[test]
fn pipelined_requests_are_answered_until_the_last_one() {
    let mut test_server = TestServer::new();
    let first = request_text("GET", "/v1/tenants", OPERATE, "");
    let last = request_text("GET", "/v1/tenants", &format!("{OPERATE}connection: close\r\n"), "");
    let received = test_server.send(format!("{first}{first}{last}{first}").as_bytes(), 13);
    assert_eq!((received.statuses.as_slice(), received.closed), ([200, 200, 200].as_slice(), true));
}

/// A client that sends single bytes must not keep a connection open: further bytes do not extend a request's deadline.
#[test]
fn a_slow_request_times_out_with_408_and_an_idle_connection_is_closed() {
    let mut test_server = TestServer::new();
    let (slow, idle) = (test_server.connect(), test_server.connect());
    let text = request_text("GET", "/v1/tenants", OPERATE, "");
    for (n, byte) in text.bytes().take(20).enumerate() {
        let now = NOW + n as u64 * 240_000;
        test_server.server.on_data(now, slow, &Bytes::copy_from_slice(&[byte]), &mut test_server.effects);
    }
    test_server.received();
    test_server.server.on_timer(NOW + 5_000_000, slow.0, &mut test_server.effects);
    let received = test_server.received();
    assert_eq!((received.statuses.as_slice(), received.closed), ([408].as_slice(), true));
    test_server.server.on_timer(NOW + 59_000_000, idle.0, &mut test_server.effects);
    assert!(!test_server.received().closed);
    test_server.server.on_timer(NOW + 60_000_000, idle.0, &mut test_server.effects);
    assert!(test_server.received().closed);
}

/// Mutates requests that are not allowed to change anything, and sends them in chunks of random size.
#[test]
fn random_bytes_neither_panic_nor_change_anything() {
    let mut test_server = TestServer::new();
    let before = test_server.state();
    let mut rng = rand_pcg::Pcg64::seed_from_u64(11);
    let seeds = [
        request_text(
            "PUT",
            "/v1/tenants/t",
            "authorization: Bearer key-view\r\nif-none-match: *\r\n",
            r#"{"weight": 2}"#,
        ),
        request_text("GET", "/v1/tenants?most=3&after=%41", OPERATE, ""),
    ];
    for round in 0..20_000 {
        let mut bytes = seeds[round % 2].clone().into_bytes();
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..bytes.len());
            match rng.random_range(0..4) {
                0 => bytes[at] = rng.random(),
                1 => bytes.truncate(at.max(1)),
                2 => bytes.insert(at, rng.random()),
                _ => {
                    let from = rng.random_range(0..bytes.len());
                    let chunk = bytes[from.min(at)..from.max(at)].to_vec();
                    bytes.splice(at..at, chunk);
                }
            }
        }
        test_server.send(&bytes, rng.random_range(1..400));
    }
    assert_eq!(test_server.state(), before);
}
