//! Measures from a traffic capture how evenly the load of workers was balanced. It reads only what passed on the sockets
//! of workers and clients and knows nothing of how a router chooses, so that captures of any policy are measured alike.
//!
//! For each role and second: the work in flight at the fullest worker over the mean, both relative to capacity. For the
//! whole capture: the worker time spent idle while another worker of the role had work queued; arrivals at one worker
//! within a short window, against what independent choice would bring; the part of shared prefixes that was found cached;
//! and the time to first token by request class.

#![warn(missing_docs)]

mod client_side;
mod herd_detector;
mod measurement;
mod report;
mod role_load;
mod worker_side;

pub use measurement::{measure, MeasureError};
pub use report::{ClassLatency, LoadBalanceReport, RoleBalance, WindowPeak};
