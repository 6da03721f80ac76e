//! Checks from a traffic capture whether the router kept its five rules. [`check`] reads the capture once, in order of
//! time. It knows of the router only what the router sent and received: it shares no code with the request lifecycle or
//! the scheduler.
//!
//! A capture that lacks something cannot show that a rule was kept, so gaps are violations too: frames are numbered on
//! each connection, both ends of a connection are compared, and a message that answers nothing is reported.

#![warn(missing_docs)]

mod address;
mod checker;
mod client_requests;
mod config;
mod connections;
mod drain_rule;
mod event_context;
mod message_handler;
mod process_pauses;
mod report;
mod response;
mod router_request;
mod router_requests;
mod rules;
mod slow_start_rule;

pub use checker::{check, CheckError};
pub use config::{CheckerConfig, ClassConfig, DeduplicationScope, Idempotency, WorkerConfig};
pub use report::{Counts, Report, Rule, Violation};
