//! Names of header fields, paths, and the formats of single values.

use tideroute_wire::Address;

/// The trace id by which a client names its request.
pub const TRACE_ID: &str = "x-trace-id";
/// The request class, by its name in the settings.
pub const CLASS: &str = "x-qos";
/// The session that a request belongs to.
pub const SESSION: &str = "x-object";
/// The remaining time until the client's deadline, in milliseconds.
pub const EXPIRES_IN_MS: &str = "x-expires-in-ms";
/// Pairs of name=value that describe the prompt.
pub const PROPERTIES: &str = "x-props";
/// `1` in a response of a worker that has not run the request.
pub const NEVER_RAN: &str = "x-never-ran";

/// The path of clients' requests, and of attempts at workers.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// The router's readiness check.
pub const READY_PATH: &str = "/up";
/// A worker's health check.
pub const HEALTH_PATH: &str = "/alive";
/// A worker's health check that is answered with a load report.
pub const LOAD_REPORT_PATH: &str = "/metrics/load";
/// The path prefix of reservation and release calls to workers; the trace id follows.
pub const RESERVATION_PATH: &str = "/internal/reservations/";
/// The path prefix of the discovery watch; the version of the known endpoint list follows.
pub const WATCH_PATH: &str = "/discovery/hosts?watch=1&after=";

/// Maximum number of characters of a trace id.
const MAX_TRACE_ID_LENGTH: usize = 128;

/// Returns whether a trace id can be forwarded in a header field and as a part of a path.
pub fn is_valid_trace_id(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !text.is_empty() && text.len() <= MAX_TRACE_ID_LENGTH && text.bytes().all(is_allowed)
}

/// Returns the value of a column in a load report, which has name=value pairs after a leading word.
pub fn reported_value(report: &[u8], column: &str) -> Option<f64> {
    let report = std::str::from_utf8(report).ok()?;
    report
        .split([',', ' ', '\r', '\n'])
        .filter_map(|pair| pair.split_once('='))
        .filter(|(name, _)| *name == column)
        .find_map(|(_, value)| value.parse().ok())
}

/// Hashes a name to a number that is the same at every router and after every start.
pub fn hash_name(name: &[u8]) -> u64 {
    let hash = blake3::hash(name);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Parses an IPv4 address with a port.
pub fn parse_address(text: &str) -> Option<Address> {
    let socket: std::net::SocketAddrV4 = text.parse().ok()?;
    let [a, b, c, d] = socket.ip().octets();
    let [high, low] = socket.port().to_be_bytes();
    Some([a, b, c, d, high, low])
}

/// Converts an address to a socket address, which can be printed.
pub fn socket_address([a, b, c, d, high, low]: Address) -> std::net::SocketAddrV4 {
    std::net::SocketAddrV4::new([a, b, c, d].into(), u16::from_be_bytes([high, low]))
}
