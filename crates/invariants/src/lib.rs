//! Checks, independently of the scheduler, whether the router may take a step for a request: send or retry an attempt,
//! respond to the client, or close the request.
//!
//! Each request has a [`RequestRecord`]. The request lifecycle notifies it of events and asks it before each step. For
//! a permitted step the record returns a permit, which only this package can create and which taking the step consumes.
//! For a forbidden step it returns a [`Violation`], whose rule and reason are enums. The record does not depend on how
//! the scheduler decides, so it also catches a wrong decision, and a code path that takes a step without a decision.
//!
//! The package does no I/O and uses neither a clock nor random numbers. Times are tenths of a millisecond on the
//! caller's clock.

#![warn(missing_docs)]

mod permits;
mod request_record;
mod violation;

pub use permits::{AttemptPermit, ClosePermit, ReservationPermit, ResponsePermit};
pub use request_record::{FinalResponse, RequestRecord};
pub use violation::{Reason, Rule, Violation};
