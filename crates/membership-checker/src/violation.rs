//! Violations of the membership rules.

use tideroute_wire::Micros;

/// A violation that a cluster committed.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// When it happened, by the clock of the capture.
    pub at: Micros,
    /// What happened.
    pub kind: ViolationKind,
}

/// The kinds of violations. Members are given by name.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ViolationKind {
    /// No router exited gracefully, so the end of the scenario is not known.
    #[error("no router exited gracefully, so the end of the scenario is not known")]
    NoOrderlyExit,
    /// There was no time at which views could be compared with the true status.
    #[error("no views were compared, because changes followed each other too quickly")]
    NothingCompared,
    /// A router saw another leave that did not leave.
    #[error("{viewer} saw {member} leave, which did not leave")]
    FalseLeave {
        /// The router that saw it.
        viewer: String,
        /// The router that it saw leave.
        member: String,
    },
    /// A router considered another dead that was up.
    #[error("{viewer} considered {member} dead, which was up")]
    FalseDeath {
        /// The router that considered it dead.
        viewer: String,
        /// The router that it considered dead.
        member: String,
    },
    /// A router did not detect that another was killed.
    #[error("{viewer} did not detect within {seconds:.1} s that {member} was killed")]
    UndetectedKill {
        /// The router that did not detect it.
        viewer: String,
        /// The router that was killed.
        member: String,
        /// The time in seconds that the router had to detect it.
        seconds: f64,
    },
    /// Kills were detected too late.
    #[error("kills were detected after {p99_seconds:.1} s at the 99th percentile")]
    SlowDetection {
        /// The 99th percentile of the time in seconds until another router detected a kill.
        p99_seconds: f64,
    },
    /// A router did not see another that was up.
    #[error("{viewer} does not see {member}, which is up")]
    MissingMember {
        /// The router that did not see it.
        viewer: String,
        /// The router that it did not see.
        member: String,
    },
    /// A router saw another that was down.
    #[error("{viewer} still sees {member}, which is down")]
    StaleMember {
        /// The router that saw it.
        viewer: String,
        /// The router that it saw.
        member: String,
    },
    /// An observation in the capture cannot be read.
    #[error("{viewer} recorded {text:?}, which is not a valid observation")]
    MalformedObservation {
        /// The router that recorded it.
        viewer: String,
        /// Its text.
        text: String,
    },
    /// A router saw a name that is not a member of the cluster.
    #[error("{viewer} saw {member:?}, which is not a member of the cluster")]
    UnknownMember {
        /// The router that saw it.
        viewer: String,
        /// The name that it saw.
        member: String,
    },
}
