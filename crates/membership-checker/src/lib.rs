//! Checks from the capture of a scenario whether the routers of a cluster saw each other's true status.
//!
//! The true status comes from the capture's process events (started, killed, paused) and from its header (network
//! partitions). What each router saw comes from the observations that it recorded in the capture. This package shares
//! no code with the membership protocol that it checks.
//!
//! [`check`] checks four things:
//! - The other routers detect a kill within [`MAX_DETECTION_TIME`], at the 99th percentile.
//! - No router that is up is considered dead, unless a restart, a long pause or a partition excuses it.
//! - Once nothing has changed for [`CONVERGENCE_TIME`], each router sees all routers that are up, and none that is
//!   down.
//! - The capture allows views to be compared: if it does not, that is a violation too.

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

pub use capture_header::{CaptureHeader, ClusterMembers, Partition};
pub use check::{check, CheckError};
pub use limits::{CONVERGENCE_TIME, MAX_DETECTION_TIME};
pub use report::{DetectionTimes, Report};
pub use violation::{Violation, ViolationKind};
