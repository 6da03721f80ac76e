//! The protocol's words: fields, paths and how values are written.

use tideroute_wire::Address;

pub const TRACE: &str = "x-trace-id";
pub const CLASS: &str = "x-qos";
pub const SESSION: &str = "x-object";
pub const LEFT: &str = "x-expires-in-ms";
pub const SIZES: &str = "x-props";
pub const NEVER_RAN: &str = "x-never-ran";

pub const CHAT: &str = "/v1/chat/completions";
pub const UP: &str = "/up";
pub const ALIVE: &str = "/alive";
pub const LOAD: &str = "/metrics/load";
pub const PLACES: &str = "/internal/reservations/";
pub const WATCH: &str = "/discovery/hosts?watch=1&after=";

/// Letters of a trace id: so many, of the kind that a path can hold too.
const LONGEST_TRACE: usize = 128;

/// Whether a trace id can be passed on, also as part of a path.
pub fn is_trace(text: &str) -> bool {
    let fits = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !text.is_empty() && text.len() <= LONGEST_TRACE && text.bytes().all(fits)
}

/// The value of a column in a load report: pairs of name=value, behind a word that says so.
pub fn reported(report: &[u8], column: &str) -> Option<f64> {
    let report = std::str::from_utf8(report).ok()?;
    let pairs = report.split([',', ' ', '\r', '\n']).filter_map(|pair| pair.split_once('='));
    pairs.filter(|(name, _)| *name == column).find_map(|(_, value)| value.parse().ok())
}

/// A name as a number that is the same at every router and every start.
pub fn number_of(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// An IPv4 address with its port.
pub fn address(text: &str) -> Option<Address> {
    let socket: std::net::SocketAddrV4 = text.parse().ok()?;
    let ([a, b, c, d], [high, low]) = (socket.ip().octets(), socket.port().to_be_bytes());
    Some([a, b, c, d, high, low])
}
