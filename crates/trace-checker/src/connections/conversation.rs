//! Which processes talk on a connection, and for what purpose.

use tideroute_wire::{Address, Party};

/// Roles of processes, as the header of a capture names them.
pub mod role {
    pub const CLIENT: &str = "client";
    pub const ROUTER: &str = "router";
    pub const WORKER: &str = "worker";
    pub const DISCOVERY: &str = "list";
}

/// What a connection is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Purpose {
    /// A client sends requests.
    ClientToRouter,
    /// A router sends reservation requests, attempts and health checks.
    RouterToWorker,
    /// A router watches the endpoint list.
    RouterToDiscovery,
    /// A worker registers itself.
    WorkerToDiscovery,
    /// A decode worker fetches KV state.
    StateTransfer,
}

impl Purpose {
    /// Returns the purpose of a connection between processes of these roles; `None` if such a connection is not
    /// expected.
    pub fn between(dialler_role: &str, acceptor_role: &str) -> Option<Purpose> {
        match (dialler_role, acceptor_role) {
            (role::CLIENT, role::ROUTER) => Some(Purpose::ClientToRouter),
            (role::ROUTER, role::WORKER) => Some(Purpose::RouterToWorker),
            (role::ROUTER, role::DISCOVERY) => Some(Purpose::RouterToDiscovery),
            (role::WORKER, role::DISCOVERY) => Some(Purpose::WorkerToDiscovery),
            (role::WORKER, role::WORKER) => Some(Purpose::StateTransfer),
            _ => None,
        }
    }
}

/// Returns the role of a process that names this party in its Hello.
pub fn role_of(party: Party) -> &'static str {
    match party {
        Party::Client => role::CLIENT,
        Party::Router => role::ROUTER,
        Party::Worker => role::WORKER,
    }
}

/// The conversation that a captured event belongs to, seen from the process that captured it.
#[derive(Clone, Copy, Debug)]
pub struct Conversation {
    pub purpose: Purpose,
    /// Whether that process dialled.
    pub is_dialler: bool,
    /// The address that was dialled; on a connection to a worker, the worker's address.
    pub dialled_address: Address,
    /// Whether the event's frame is the Hello with which the connection begins.
    pub is_hello: bool,
}
