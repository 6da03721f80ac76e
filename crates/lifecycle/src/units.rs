//! Conversion between microseconds, the unit of clocks and timers, and the scheduler's tenths of a millisecond.

use tideroute::types::TenthMillis;
use tideroute_wire::Micros;

/// Microseconds in one tenth of a millisecond.
pub(crate) const MICROS_PER_TENTH_MILLI: Micros = 100;

/// Converts microseconds to tenths of a millisecond, rounding down.
pub(crate) fn to_tenth_millis(at: Micros) -> TenthMillis {
    (at / MICROS_PER_TENTH_MILLI) as TenthMillis
}

/// Converts tenths of a millisecond to microseconds. A negative duration becomes zero.
pub(crate) fn to_micros(duration: TenthMillis) -> Micros {
    duration.max(0) as Micros * MICROS_PER_TENTH_MILLI
}

/// Converts microseconds to seconds, the unit of metrics.
pub(crate) fn to_seconds(duration: Micros) -> f64 {
    duration as f64 / 1e6
}
