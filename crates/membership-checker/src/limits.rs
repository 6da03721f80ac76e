//! The time limits that a cluster must keep, in microseconds.

use tideroute_wire::Micros;

/// The time within which 99 of 100 other routers must detect a kill.
pub const MAX_DETECTION_TIME: Micros = 5_000_000;

/// The time within which all other routers must detect a kill.
pub(crate) const MAX_DETECTION_TIME_OF_ALL: Micros = 8_000_000;

/// The time after a start, or after the end of a partition or of a long pause, within which all routers must see all
/// routers that are up.
pub const CONVERGENCE_TIME: Micros = 5_000_000;

/// The longest pause that must not be taken for a death: one second, plus what the clock and the signals of the process
/// that runs the scenario add.
pub(crate) const MAX_TOLERATED_PAUSE: Micros = 1_200_000;

/// The longest time from a router's announcement that it leaves to its exit.
pub(crate) const MAX_LEAVE_TIME: Micros = 2_000_000;

/// How long before a false death the event that excuses it may have been: the longest suspicion plus its dissemination.
pub(crate) const EXCUSE_WINDOW: Micros = 8_000_000;
