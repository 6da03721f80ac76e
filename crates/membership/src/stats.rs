//! Event counters of the protocol.

/// Counts of events since the start. No counter ever decreases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipStats {
    /// Probes sent.
    pub probes: u64,
    /// Probes that were answered neither directly nor indirectly.
    pub unanswered_probes: u64,
    /// Suspicions that this router's own probes raised.
    pub suspicions: u64,
    /// Members that this router declared dead because their suspicion timed out.
    pub declared_dead: u64,
    /// Claims that this router is suspected, is dead or has left, which it refuted.
    pub refutations: u64,
    /// Claims that were ignored because their incarnation is too far ahead of this router's clock.
    pub future_incarnations: u64,
    /// New members that were ignored because the member list was full.
    pub list_full: u64,
    /// Claims about a process at another address that uses this router's name.
    pub name_conflicts: u64,
    /// Wake-ups that came so late that missing answers may be this router's own fault.
    pub late_wakeups: u64,
}
