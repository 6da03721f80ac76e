//! Who talks to whom on a connection.

use tideroute_wire::{Address, Party};

/// Roles of processes, as the head of a capture names them.
pub mod role {
    pub const CLIENT: &str = "client";
    pub const ROUTER: &str = "router";
    pub const WORKER: &str = "worker";
    pub const DISCOVERY: &str = "list";
}

/// What a connection is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Purpose {
    /// Requests of a client.
    ClientToRouter,
    /// Attempts and health checks.
    RouterToWorker,
    /// A router's watch of the endpoint list.
    RouterToDiscovery,
    /// A worker's registration.
    WorkerToDiscovery,
    /// A decode worker fetches KV state.
    StateTransfer,
}

impl Purpose {
    /// What a process of one role wants of one of another.
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

/// The role of a process that introduces itself with a Hello.
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
    /// The process dialled.
    pub is_dialler: bool,
    /// The address that was dialled: the worker's, on a connection to one.
    pub dialled_address: Address,
    /// The frame is the Hello with which the connection begins.
    pub is_hello: bool,
}
