//! The result of a check.

use tideroute_wire::Micros;

use crate::violation::{Violation, ViolationKind};

/// The highest number of violations that are listed; further ones are only counted.
const MAX_LISTED: usize = 100;

/// The time from a kill until another router detected it, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DetectionTimes {
    /// Median.
    pub median: Micros,
    /// 99th percentile.
    pub p99: Micros,
    /// The longest.
    pub max: Micros,
}

/// The result of a check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Number of members of the cluster.
    pub members: usize,
    /// Number of observations in the capture.
    pub observations: u64,
    /// Number of kills whose detection was checked.
    pub kills: u64,
    /// How fast the other routers detected kills.
    pub detection_times: DetectionTimes,
    /// Number of times at which all views were compared with the true status.
    pub compared_moments: u64,
    /// Number of views of one member by another that were compared.
    pub compared_views: u64,
    /// Number of deaths that were observed.
    pub deaths: u64,
    /// Number of observed deaths of routers that were up, but which were excused.
    pub excused_deaths: u64,
    /// The first violations, sorted by time and text.
    pub violations: Vec<Violation>,
    /// Number of violations beyond the listed ones.
    pub unlisted_violations: u64,
}

impl Report {
    /// Returns whether there was no violation.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    /// Returns the number of all violations.
    pub fn violation_count(&self) -> u64 {
        self.violations.len() as u64 + self.unlisted_violations
    }

    pub(crate) fn add_violation(&mut self, at: Micros, kind: ViolationKind) {
        if self.violations.len() < MAX_LISTED {
            self.violations.push(Violation { at, kind });
        } else {
            self.unlisted_violations += 1;
        }
    }

    pub(crate) fn sort_violations(&mut self) {
        self.violations.sort_by_cached_key(|violation| (violation.at, violation.kind.to_string()));
    }
}
