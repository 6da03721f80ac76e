//! Units of time.

use tideroute_wire::Micros;

/// Microseconds in a millisecond.
pub(crate) const MILLISECOND: Micros = 1_000;
