//! Divides the descriptors and the memory that the configuration allows the process. Connections and requests beyond
//! a limit are rejected; reserved descriptors always allow one more connection to be accepted and rejected.

/// Descriptors for the event loop itself, logs, signals and all calls to discovery.
const PROCESS_DESCRIPTORS: usize = 20;
/// The number of descriptors divided by this is reserved for connections that are being rejected or closed.
const LINGERING_DIVISOR: usize = 16;
/// Minimum number of descriptors reserved for connections that are being rejected or closed.
const MIN_LINGERING: usize = 4;
/// Minimum number of descriptors shared by clients and workers.
const MIN_SHARED: usize = 8;
/// Percentage of the shared descriptors for clients. Workers get more, because reservations, releases and health checks
/// need connections besides the attempts.
const CLIENT_PERCENT: usize = 48;
/// The memory divided by this is for all requests. What is left beside responses is for the endpoint list, the program
/// itself, and what the allocator cannot return.
const REQUEST_DIVISOR: usize = 2;
/// The memory divided by this is for requests that are being received, so that slow senders leave room for the others.
const RECEIVING_DIVISOR: usize = 4;
/// The memory divided by this is for responses that clients have not read yet, and as much for those that have not begun.
const RESPONSE_DIVISOR: usize = 8;
/// Bytes that an open request occupies besides its body: its head, and its state in the lifecycle and the scheduler.
pub const REQUEST_OVERHEAD: usize = 8 << 10;
/// Maximum size of a request's head in bytes. A waiting or lingering connection may hold as much besides its accounted
/// buffers.
pub const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum size of a request's body in bytes, as the protocol defines it.
pub const MAX_BODY_BYTES: usize = 256 << 10;

/// Capacity limits of the process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Capacity {
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Maximum number of connections to workers.
    pub worker_connections: usize,
    /// Maximum number of connections in a lingering close, and of those accepted only to be rejected.
    pub lingering_connections: usize,
    /// Maximum number of open requests: each needs a connection to a worker, and other calls need some more.
    pub open_requests: usize,
    /// Maximum number of bytes of requests that are being received, as part of [`request_bytes`](Self::request_bytes).
    pub receiving_bytes: usize,
    /// Maximum number of bytes of all requests: being received, waiting behind an open one, or open, until the body is
    /// no longer needed and no connection still sends it.
    pub request_bytes: usize,
    /// Maximum number of bytes of responses that wait until clients read them; and of those of which the first event is
    /// not complete yet.
    pub response_bytes: usize,
}

impl Capacity {
    /// Divides the limits of the configuration: descriptors, and memory in mebibytes.
    pub fn new(descriptors: usize, memory_mb: usize) -> Capacity {
        let lingering_connections = (descriptors / LINGERING_DIVISOR).max(MIN_LINGERING);
        let shared = descriptors.saturating_sub(PROCESS_DESCRIPTORS + lingering_connections).max(MIN_SHARED);
        let client_connections = shared * CLIENT_PERCENT / 100;
        let worker_connections = shared - client_connections;
        let memory = memory_mb << 20;
        Capacity {
            client_connections,
            worker_connections,
            lingering_connections,
            // A sixth of the connections is left for reservations, releases and health checks.
            open_requests: worker_connections * 5 / 6,
            receiving_bytes: memory / RECEIVING_DIVISOR,
            request_bytes: memory / REQUEST_DIVISOR,
            response_bytes: memory / RESPONSE_DIVISOR,
        }
    }
}

#[cfg(test)]
mod tests;
