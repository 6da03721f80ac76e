//! How the process shares out what it may use. Memory and descriptors are budgets of the configuration; what
//! comes beyond a part is told no, and a reserve always lets one more be accepted for that.

/// Descriptors that the loop itself, the logs, discovery and signals take, with some to spare.
const OWN: usize = 20;
/// The reserve for connections that are only told no, as a part of all.
const RESERVE: usize = 16;
/// Bytes a connection that lingers or waits may hold beside its counted buffers; and heads that wait to be whole.
pub const HEAD: usize = 8 << 10;
/// Bytes of a body that the protocol allows.
pub const BODY: usize = 256 << 10;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Rooms {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to workers.
    pub workers: usize,
    /// Connections that end in two steps, and those accepted only to be told no.
    pub lingering: usize,
    /// Submissions open at once: each needs a connection to a worker, and some calls are made beside them.
    pub open: usize,
    /// Bytes of requests that are being read or kept for another shot.
    pub held: usize,
}

impl Rooms {
    /// From the limits of the configuration, descriptors and megabytes. The clients' part is the smaller one:
    /// places, releases and probes go out beside the shots.
    pub fn new(sockets: usize, memory_mb: usize) -> Rooms {
        let lingering = (sockets / RESERVE).max(4);
        let rest = sockets.saturating_sub(OWN + lingering).max(8);
        let clients = rest * 48 / 100;
        let workers = rest - clients;
        // A quarter of memory: buffers on their way out may take as much, the program itself some megabytes.
        Rooms { clients, workers, lingering, open: workers * 5 / 6, held: (memory_mb << 20) / 4 }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parts_stay_within_the_limits() {
        for sockets in [64, 256, 1_024, 65_536] {
            let rooms = Rooms::new(sockets, 32);
            assert!(rooms.clients + rooms.workers + rooms.lingering + OWN <= sockets, "{rooms:?}");
            assert!(rooms.open < rooms.workers, "{rooms:?}");
        }
        // A third of the descriptors may be held by requests.
        assert!(Rooms::new(256, 32).open >= 256 / 3);
        assert!(Rooms::new(256, 32).held >= 8 << 20);
    }
}
