//! Violations: what a fleet did that it must not do.

use tideroute_wire::Micros;

/// Something that a fleet must not do.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// When it happened, on the capture's clock.
    pub at: Micros,
    /// What happened.
    pub kind: ViolationKind,
}

/// What a fleet must not do. Members are given by name.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ViolationKind {
    /// No router left in order, so that the end of the day is not known.
    #[error("no router ended in order: there is no end up to which to look")]
    NoOrderlyExit,
    /// There was no moment at which views could be compared with what was true.
    #[error("nothing was compared: all the time something had just happened")]
    NothingCompared,
    /// A router saw another leave that did not.
    #[error("{viewer} saw {member} leave, which it did not")]
    FalseLeave {
        /// Who saw it.
        viewer: String,
        /// Whom it saw leave.
        member: String,
    },
    /// A router took another for dead that was up.
    #[error("{viewer} took {member} for dead, which was up")]
    FalseDeath {
        /// Who did.
        viewer: String,
        /// Whom it took for dead.
        member: String,
    },
    /// A router did not notice that another was killed.
    #[error("{viewer} did not know {seconds:.1} s after that {member} was killed")]
    UndetectedKill {
        /// Who did not notice.
        viewer: String,
        /// Who was killed.
        member: String,
        /// The time that it had.
        seconds: f64,
    },
    /// Kills were noticed too late.
    #[error("kills were known after {p99_seconds:.1} s at the 99th percentile")]
    SlowDetection {
        /// The 99th percentile of the time until another router knew.
        p99_seconds: f64,
    },
    /// A router did not see another that was up.
    #[error("{viewer} does not see {member}, which is up")]
    MissingMember {
        /// Who did not see it.
        viewer: String,
        /// Whom it did not see.
        member: String,
    },
    /// A router saw another that was down.
    #[error("{viewer} still sees {member}, which is not")]
    StaleMember {
        /// Who saw it.
        viewer: String,
        /// Whom it saw.
        member: String,
    },
    /// An observation in the capture cannot be read.
    #[error("{viewer} says {text:?}, which is no sight")]
    MalformedObservation {
        /// Who noted it.
        viewer: String,
        /// Its text.
        text: String,
    },
    /// A router saw another that is no member of the fleet.
    #[error("{viewer} saw {member:?}, whom nobody started")]
    UnknownMember {
        /// Who saw it.
        viewer: String,
        /// The name that it saw.
        member: String,
    },
}
