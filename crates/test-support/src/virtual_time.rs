//! Times and addresses for tests in virtual time.

use tideroute_wire::Micros;

/// The time at which virtual time starts.
pub const EPOCH: Micros = 1_700_000_000_000_000;
/// Microseconds in a millisecond.
pub const MS: Micros = 1_000;
/// The address of discovery.
pub const DISCOVERY_ADDRESS: &str = "127.0.9.9:85";

/// Returns the address of a worker with this index in the deployment.
pub fn worker_address(worker: usize) -> String {
    format!("127.0.1.{}:80", worker + 1)
}
