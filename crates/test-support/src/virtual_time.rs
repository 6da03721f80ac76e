//! Time and addresses of tests in virtual time.

use tideroute_wire::Micros;

/// The instant at which virtual time begins.
pub const EPOCH: Micros = 1_700_000_000_000_000;
/// Microseconds in a millisecond.
pub const MS: Micros = 1_000;
/// The address of discovery.
pub const DISCOVERY_ADDRESS: &str = "127.0.9.9:85";

/// The address of a worker, by its index in the deployment.
pub fn worker_address(worker: usize) -> String {
    format!("127.0.1.{}:80", worker + 1)
}
