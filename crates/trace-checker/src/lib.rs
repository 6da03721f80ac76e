//! Checks from a traffic capture whether the routers kept their five rules. [`check`] reads the capture once, in order
//! of time. It knows only what the routers sent and received, and shares no code with the request lifecycle or the
//! scheduler.
//!
//! A capture with gaps cannot show that a rule was kept, so gaps are violations too: frames are numbered on each
//! connection, both ends of a connection are compared, and an answer to a message that was never sent is reported.

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
