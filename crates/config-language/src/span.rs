//! Positions in a file.

use std::ops::Range;

/// A range of bytes in a file.
pub type Span = Range<usize>;
