//! Intervals and time constants that several decisions share.

use crate::types::TenthMillis;

/// How often undecided requests are looked at: 10 ms.
pub const PASS_INTERVAL: TenthMillis = 100;
/// How often the scheduler wakes where it only watches workers: 50 ms.
pub const WATCH_INTERVAL: TenthMillis = 500;
/// The time constant of mean waits, 5 s: long against one request and short against a fault.
pub const WAIT_TIME_CONSTANT: TenthMillis = 50_000;
/// The time constant of loss rates, of flows and of the popularity of prefixes, 40 s: some forty requests at one a
/// second.
pub const RATE_TIME_CONSTANT: TenthMillis = 400_000;
