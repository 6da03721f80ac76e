//! How the process divides the descriptors and the memory that the configuration allows it. What exceeds a part is
//! rejected; a reserve always allows one more connection to be accepted for that.

/// Descriptors for the event loop itself, logs, discovery and signals, with some to spare.
const PROCESS_DESCRIPTORS: usize = 20;
/// One in so many descriptors is reserved for connections that are only rejected or being closed.
const LINGERING_DIVISOR: usize = 16;
/// Descriptors reserved for that at least.
const MIN_LINGERING: usize = 4;
/// Descriptors divided between clients and workers at least.
const MIN_SHARED: usize = 8;
/// Percent of the descriptors divided that clients get: reservations, releases and health checks go out to workers
/// beside the attempts.
const CLIENT_PERCENT: usize = 48;
/// Bytes of a request's head at most. A connection that waits or lingers may hold as much beside its accounted buffers.
pub const MAX_HEAD_BYTES: usize = 8 << 10;
/// Bytes of a request's body at most, by the protocol.
pub const MAX_BODY_BYTES: usize = 256 << 10;

/// Capacity limits of the process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Capacity {
    /// Connections of clients.
    pub client_connections: usize,
    /// Connections to workers.
    pub worker_connections: usize,
    /// Connections that are being closed in two steps, and those accepted only to be rejected.
    pub lingering_connections: usize,
    /// Requests open at once: each needs a connection to a worker, and some calls are made beside them.
    pub open_requests: usize,
    /// Bytes of requests that are being received, or kept for a retry.
    pub buffered_bytes: usize,
}

impl Capacity {
    /// Divides the limits of the configuration: descriptors, and memory in mebibytes.
    pub fn new(descriptors: usize, memory_mb: usize) -> Capacity {
        let lingering_connections = (descriptors / LINGERING_DIVISOR).max(MIN_LINGERING);
        let shared = descriptors.saturating_sub(PROCESS_DESCRIPTORS + lingering_connections).max(MIN_SHARED);
        let client_connections = shared * CLIENT_PERCENT / 100;
        let worker_connections = shared - client_connections;
        Capacity {
            client_connections,
            worker_connections,
            lingering_connections,
            // A sixth of the connections is left for reservations, releases and health checks.
            open_requests: worker_connections * 5 / 6,
            // A quarter of memory: outbound buffers may take as much, the program itself some megabytes.
            buffered_bytes: (memory_mb << 20) / 4,
        }
    }
}

#[cfg(test)]
mod tests;
