//! Units of time.

/// Microseconds: a moment on the caller's clock, or a duration.
pub type Micros = u64;
