//! One place that decides whether something may be sent, retried, answered or closed for a request now.
//!
//! Each request has a [`RequestRecord`], which is notified of what happens and is asked before anything is done. What
//! may be done is returned as a permit that nobody else can make and that is used up by doing it; what may not is
//! returned as a [`Violation`], whose rule and reason are closed lists. The record knows nothing of how a router
//! decides: the request lifecycle asks it as it carries decisions out, and it catches a decision, or a path around
//! one, that would break a rule.
//!
//! No I/O, no clock, no random numbers. Times are tenths of a millisecond on the caller's clock.

#![warn(missing_docs)]

mod permits;
mod request_record;
mod violation;

pub use permits::{AttemptPermit, ClosePermit, ReservationPermit, ResponsePermit};
pub use request_record::{FinalResponse, RequestRecord};
pub use violation::{Reason, Rule, Violation};
