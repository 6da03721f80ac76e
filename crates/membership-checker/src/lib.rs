//! Checks from the capture of a day whether the routers of a fleet saw each other as they were.
//!
//! What was true comes from the capture's events of processes (started, killed, paused) and from its header (network
//! partitions); what each router saw, from the observations that it noted in the capture. No code is shared with the
//! membership that is checked.
//!
//! [`check`] judges four things:
//! - The others know of a kill within [`MAX_DETECTION_TIME`], at the 99th percentile.
//! - No router is taken for dead that was up, unless a restart, a long pause or a partition excuses it.
//! - Once nothing has changed for [`CONVERGENCE_TIME`], each router sees all that are up, and none that is not.
//! - Something could be compared at all: a capture that shows nothing is a violation too.

#![warn(missing_docs)]

mod capture_header;
mod check;
mod false_deaths;
mod ground_truth;
mod kill_detection;
mod limits;
mod report;
mod view_convergence;
mod violation;

pub use capture_header::{CaptureHeader, FleetMembers, Partition};
pub use check::{check, CheckError};
pub use limits::{CONVERGENCE_TIME, MAX_DETECTION_TIME};
pub use report::{DetectionTimes, Report};
pub use violation::{Violation, ViolationKind};
