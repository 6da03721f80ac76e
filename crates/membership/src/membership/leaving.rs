//! Leaving the fleet in order.

use tideroute_wire::gossip::MemberStatus;
use tideroute_wire::Micros;

use super::Membership;
use crate::sampling::sample;
use crate::units::MILLISECOND;

/// Members that a leaving router says goodbye to, twice.
const GOODBYE_RECIPIENTS: usize = 8;

/// Time between the two goodbyes.
const GOODBYE_INTERVAL: Micros = 100 * MILLISECOND;

impl Membership {
    /// Leaves the fleet: says goodbye twice, and ignores all datagrams afterwards.
    pub fn leave(&mut self, now: Micros) {
        if self.own.status == MemberStatus::Left {
            return;
        }
        self.own.status = MemberStatus::Left;
        self.send_goodbyes();
        self.second_goodbye_at = Some(now + GOODBYE_INTERVAL);
    }

    pub(super) fn send_goodbyes(&mut self) {
        for slot in sample(self.members.active(), &mut self.rng, GOODBYE_RECIPIENTS, None) {
            self.send_rumors(slot);
        }
    }
}
