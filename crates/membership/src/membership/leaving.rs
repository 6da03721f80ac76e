//! Leaving the cluster.

use tideroute_wire::gossip::MemberStatus;
use tideroute_wire::Micros;

use super::Membership;
use crate::sampling::sample;
use crate::units::MILLISECOND;

/// Number of random members to which a leaving router sends each of its two announcements.
const LEAVE_FANOUT: usize = 8;

/// Time between the two announcements.
const LEAVE_ANNOUNCEMENT_INTERVAL: Micros = 100 * MILLISECOND;

impl Membership {
    /// Leaves the cluster: announces it twice, and ignores all datagrams after that.
    pub fn leave(&mut self, now: Micros) {
        if self.own.status == MemberStatus::Left {
            return;
        }
        self.own.status = MemberStatus::Left;
        self.announce_leave();
        self.second_leave_at = Some(now + LEAVE_ANNOUNCEMENT_INTERVAL);
    }

    /// Sends rumors, with this router's status as left, to random members.
    pub(super) fn announce_leave(&mut self) {
        for slot in sample(self.members.active(), &mut self.rng, LEAVE_FANOUT, None) {
            self.send_rumors(slot);
        }
    }
}
