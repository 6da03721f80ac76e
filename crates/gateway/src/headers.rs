//! Names on the wire: header fields, paths, and how single values are written.

use tideroute_wire::Address;

/// The trace id by which a client names its request.
pub const TRACE_ID: &str = "x-trace-id";
/// The request class, by its name in the settings.
pub const CLASS: &str = "x-qos";
/// The session that a request belongs to.
pub const SESSION: &str = "x-object";
/// How long the client still waits, in milliseconds.
pub const EXPIRES_IN_MS: &str = "x-expires-in-ms";
/// Pairs of name=value that describe the prompt.
pub const PROPERTIES: &str = "x-props";
/// `1` in a response of a worker that has not run the request.
pub const NEVER_RAN: &str = "x-never-ran";

/// Where clients send their requests, and the router sends attempts.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Whether the router is ready.
pub const READY_PATH: &str = "/up";
/// A worker's health check.
pub const HEALTH_PATH: &str = "/alive";
/// A worker's health check that is answered with a load report.
pub const LOAD_REPORT_PATH: &str = "/metrics/load";
/// Reservations and releases at workers; the trace id follows.
pub const RESERVATION_PATH: &str = "/internal/reservations/";
/// The watch at discovery; the version of the list that is known follows.
pub const WATCH_PATH: &str = "/discovery/hosts?watch=1&after=";

/// Characters that a trace id may have.
const MAX_TRACE_ID_LENGTH: usize = 128;

/// Whether a trace id can be forwarded, also as a part of a path.
pub fn is_valid_trace_id(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !text.is_empty() && text.len() <= MAX_TRACE_ID_LENGTH && text.bytes().all(is_allowed)
}

/// The value of a column in a load report: pairs of name=value, behind a word that says so.
pub fn reported_value(report: &[u8], column: &str) -> Option<f64> {
    let report = std::str::from_utf8(report).ok()?;
    report
        .split([',', ' ', '\r', '\n'])
        .filter_map(|pair| pair.split_once('='))
        .filter(|(name, _)| *name == column)
        .find_map(|(_, value)| value.parse().ok())
}

/// A name as a number that is the same at every router and after every start.
pub fn hash_name(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// An IPv4 address with its port, in textual form.
pub fn parse_address(text: &str) -> Option<Address> {
    let socket: std::net::SocketAddrV4 = text.parse().ok()?;
    let [a, b, c, d] = socket.ip().octets();
    let [high, low] = socket.port().to_be_bytes();
    Some([a, b, c, d, high, low])
}

/// An address as one that can be printed.
pub fn socket_address([a, b, c, d, high, low]: Address) -> std::net::SocketAddrV4 {
    std::net::SocketAddrV4::new([a, b, c, d].into(), u16::from_be_bytes([high, low]))
}
