//! Intervals and time constants that several decisions share.

use crate::types::TenthMillis;

/// The interval between scheduling passes while requests wait for a decision: 10 ms.
pub const PASS_INTERVAL: TenthMillis = 100;
/// The interval between scheduling passes while no request waits, only attempts, workers or the watch on the
/// endpoint list: 50 ms.
pub const WATCH_INTERVAL: TenthMillis = 500;
/// The time constant of mean waits, 5 s: long compared with one request and short compared with a fault.
pub const WAIT_TIME_CONSTANT: TenthMillis = 50_000;
/// The time constant of loss rates, slow-start flows and prefix popularity, 40 s: about 40 requests at one
/// request per second.
pub const RATE_TIME_CONSTANT: TenthMillis = 400_000;
