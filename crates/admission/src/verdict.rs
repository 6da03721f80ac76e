//! What admission control decides.

use crate::request::Ticket;
use crate::units::Micros;

/// What the caller has to do.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Verdict {
    /// Admit the request to the scheduler.
    Admit(Ticket),
    /// Reject the request.
    Reject {
        /// The request.
        ticket: Ticket,
        /// The client's Retry-After; 0 for none.
        retry_after: Micros,
    },
    /// Ask for verdicts again at this time: nothing is due earlier unless an event is reported.
    SetTimer {
        /// When to ask.
        at: Micros,
    },
}
