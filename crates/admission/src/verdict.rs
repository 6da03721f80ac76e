//! The decisions of admission control.

use crate::request::Ticket;
use crate::units::Micros;

/// A decision that the caller has to carry out.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Verdict {
    /// Admit the request to the scheduler.
    Admit(Ticket),
    /// Reject the request.
    Reject {
        /// Identifies the rejected request.
        ticket: Ticket,
        /// Time after which the client may retry, in microseconds; 0 if none is given.
        retry_after: Micros,
    },
    /// Call [`next_verdict`](crate::AdmissionControl::next_verdict) again at this time. No earlier call is needed
    /// unless an event is reported.
    SetTimer {
        /// Time of that call.
        at: Micros,
    },
}
