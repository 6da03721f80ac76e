//! Measures from a traffic capture how evenly the load of workers was balanced. It reads only what passed on the
//! sockets of workers and clients and does not know how a router chooses workers, so captures of all policies are
//! measured alike.
//!
//! For each role and second, it measures the ratio of the work in flight at the fullest worker to the mean, both
//! relative to capacity. For the whole capture, it measures the worker time spent idle while another worker of the role
//! had work queued; the arrivals at one worker within a short window, compared with independent random choices; the
//! fraction of shared prefix tokens that was found cached; and the time to first token by request class.

#![warn(missing_docs)]

mod client_side;
mod herd_detector;
mod measurement;
mod report;
mod role_load;
mod worker_side;

pub use measurement::{measure, MeasureError};
pub use report::{ClassLatency, LoadBalanceReport, RoleBalance, WindowPeak};
