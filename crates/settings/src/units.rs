//! Converts times between units.

use tideroute::types::TenthMillis;

/// Tenths of a millisecond in a millisecond.
const TENTH_MILLIS_PER_MILLI: f64 = 10.0;

/// Maximum magnitude of a converted time, in tenths of a millisecond: some 3,000 years, far from overflow in sums.
const MAX_TENTH_MILLIS: f64 = 1e15;

/// Converts milliseconds to tenths of a millisecond, rounded down; times beyond some 3,000 years are clamped.
pub fn to_tenth_millis(ms: f64) -> TenthMillis {
    let tenth_millis = (ms * TENTH_MILLIS_PER_MILLI).floor();
    tenth_millis.clamp(-MAX_TENTH_MILLIS, MAX_TENTH_MILLIS) as TenthMillis
}
