//! Units of time.

/// Microseconds: a time on the caller's clock, or a duration.
pub type Micros = u64;
