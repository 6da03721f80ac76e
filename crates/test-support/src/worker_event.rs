//! The events that workers and their proxies report to the monitor.

use serde::{Deserialize, Serialize};
use tideroute_wire::event_loop::ConnectionId;

use crate::checker::Connection;

/// A connection to a worker, with a number that is unique among the open connections of that worker.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct WorkerConnection {
    /// The worker's index in the deployment.
    pub worker: usize,
    /// The connection's number.
    pub number: u64,
}

impl WorkerConnection {
    /// Returns the connection in the form that the checker uses.
    pub fn id(self) -> Connection {
        (self.worker, ConnectionId(self.number))
    }
}

/// An event at a worker, or a question that an emulated worker asks the monitor.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WorkerEvent {
    /// The last byte of a call has arrived.
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
    /// A decode attempt has failed before its response started.
    DecodeFailed {
        /// The connection.
        on: WorkerConnection,
        /// The request's number.
        request: usize,
        /// Whether the worker notifies the router that the attempt never ran.
        never_ran: bool,
    },
    /// The worker starts to send the events of a response.
    StreamStarted {
        /// The request's number.
        request: usize,
    },
    /// A response is complete.
    ResponseComplete {
        /// The connection.
        on: WorkerConnection,
    },
    /// The connection has ended, or its worker has noticed its end.
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
    /// The worker releases the KV state and the decode reservation of a request.
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
