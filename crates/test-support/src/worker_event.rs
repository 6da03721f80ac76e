//! What workers and their proxies report to the monitor.

use serde::{Deserialize, Serialize};
use tideroute_wire::event_loop::ConnectionId;

use crate::checker::Connection;

/// A connection to a worker, by a number that no other connection of that worker has meanwhile.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct WorkerConnection {
    /// The worker's index in the deployment.
    pub worker: usize,
    /// The connection's number.
    pub number: u64,
}

impl WorkerConnection {
    /// The connection in the checker's terms.
    pub fn id(self) -> Connection {
        (self.worker, ConnectionId(self.number))
    }
}

/// What passes at a worker, or a question of an emulated worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WorkerEvent {
    /// The last byte of a call has come.
    CallReceived {
        /// The connection.
        on: WorkerConnection,
        /// The call's request line and headers.
        head: String,
    },
    /// A prefill has ended.
    PrefillEnded {
        /// The connection.
        on: WorkerConnection,
        /// The request's number.
        request: usize,
        /// Whether the worker holds the request's KV state now.
        left_state: bool,
    },
    /// A decode attempt has failed before its response began.
    DecodeFailed {
        /// The connection.
        on: WorkerConnection,
        /// The request's number.
        request: usize,
        /// Whether the router is told that it never ran.
        never_ran: bool,
    },
    /// The events of a response have begun.
    StreamStarted {
        /// The request's number.
        request: usize,
    },
    /// A response is complete.
    ResponseComplete {
        /// The connection.
        on: WorkerConnection,
    },
    /// The connection has ended, or its worker has seen that.
    ConnectionClosed {
        /// The connection.
        on: WorkerConnection,
    },
    /// The worker has made a decode reservation.
    Reserved {
        /// The connection.
        on: WorkerConnection,
        /// The request's number.
        request: usize,
    },
    /// The worker has released all that it held for a request.
    Released {
        /// The request's number.
        request: usize,
    },
    /// Asks whether a prefill of the request is in flight.
    IsPrefillInFlight {
        /// The request's number.
        request: usize,
    },
    /// Asks whether a worker holds the request's KV state.
    HasState {
        /// The request's number.
        request: usize,
    },
}
