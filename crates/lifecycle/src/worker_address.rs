//! Worker ids in logs.

use std::fmt;

use tideroute::types::WorkerId;

/// Shows a worker id as the IPv4 address and port that it encodes.
pub(crate) struct WorkerAddress(pub WorkerId);

impl fmt::Display for WorkerAddress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [a, b, c, d, high, low] = self.0;
        let port = u16::from_be_bytes([high, low]);
        write!(formatter, "{a}.{b}.{c}.{d}:{port}")
    }
}
