//! Counters of the protocol.

/// What has happened so far. All counters only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipStats {
    /// Probes sent.
    pub probes: u64,
    /// Probes that nobody answered, directly or indirectly.
    pub unanswered_probes: u64,
    /// Suspicions from this router's own probes.
    pub suspicions: u64,
    /// Members that this router itself declared dead.
    pub declared_dead: u64,
    /// Claims that this router is suspected, dead or has left, which it refuted.
    pub refutations: u64,
    /// Claims with an incarnation that no clock can have given, which were ignored.
    pub future_incarnations: u64,
    /// New members that were ignored because the member list is full.
    pub list_full: u64,
    /// Claims of another process that uses this router's name.
    pub name_conflicts: u64,
    /// Times that the caller came so late that missing answers prove nothing.
    pub late_wakeups: u64,
}
