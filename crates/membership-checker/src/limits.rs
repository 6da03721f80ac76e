//! The times by which a fleet is judged, in microseconds.

use tideroute_wire::Micros;

/// The time within which 99 of 100 of the others know of a kill.
pub const MAX_DETECTION_TIME: Micros = 5_000_000;

/// The time within which the last of the others knows of a kill.
pub(crate) const MAX_DETECTION_TIME_OF_ALL: Micros = 8_000_000;

/// The time after a start, or the end of a partition or of a long pause, within which all see all that are up.
pub const CONVERGENCE_TIME: Micros = 5_000_000;

/// The longest pause that no router may take for a death: a second, and what the clock and the signals of the player add.
pub(crate) const MAX_TOLERATED_PAUSE: Micros = 1_200_000;

/// The longest time from a router's goodbye to its exit.
pub(crate) const MAX_LEAVE_TIME: Micros = 2_000_000;

/// How long ago the excuse of a false death may be: the longest suspicion, and its dissemination.
pub(crate) const EXCUSE_WINDOW: Micros = 8_000_000;
