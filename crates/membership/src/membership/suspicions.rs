//! Suspicions, members that are declared dead when their suspicion times out, and removal of old entries.

use tideroute_wire::gossip::MemberStatus;
use tideroute_wire::{Address, Micros};

use super::Membership;
use crate::member::Precedence;
use crate::suspicion::{suspicion_timeout, MAX_CONFIRMATIONS};
use crate::units::MILLISECOND;

/// Time for which members that are dead or have left are remembered. After a longer network partition, its sides
/// reconnect through the seeds.
const FORGET_AFTER: Micros = 300_000 * MILLISECOND;

impl Membership {
    /// Suspects a member, or records one more member that suspects it. With `disseminate`, also starts a rumor.
    pub(super) fn suspect(&mut self, now: Micros, slot: usize, suspecter: u32, disseminate: bool) {
        let Some(entry) = self.members.get(slot) else { return };
        if !entry.member.status.is_in() {
            return;
        }
        let incarnation = entry.member.incarnation;
        if entry.member.status == MemberStatus::Alive {
            let suspected = Precedence { incarnation, status: MemberStatus::Suspected };
            self.members.update(slot, entry.member.address, suspected);
            self.members.set_suspected_since(slot, now);
            self.report_status(slot);
        } else if entry.suspecters.len() > MAX_CONFIRMATIONS {
            return;
        }
        if !self.members.add_suspecter(slot, suspecter) {
            return;
        }
        self.set_suspicion_timeout(slot);
        if disseminate {
            self.members.rumors.start(slot);
        }
    }

    fn set_suspicion_timeout(&mut self, slot: usize) {
        let Some(entry) = self.members.get(slot) else { return };
        let confirmations = entry.suspecters.len() - 1;
        let possible_confirmations = self.members.active().len().saturating_sub(1);
        let expires_at = entry.suspected_since + suspicion_timeout(confirmations, possible_confirmations);
        self.members.set_expiration(slot, Some(expires_at));
    }

    /// Declares members dead whose suspicion timed out, and forgets members that have been dead or gone for long
    /// enough.
    pub(super) fn run_expirations(&mut self, now: Micros) {
        while let Some((at, slot)) = self.members.next_expiration() {
            if at > now {
                return;
            }
            let Some(entry) = self.members.get(slot) else { return };
            if entry.member.status != MemberStatus::Suspected {
                self.members.remove(slot);
                continue;
            }
            let dead = Precedence { incarnation: entry.member.incarnation, status: MemberStatus::Dead };
            let address = entry.member.address;
            self.stats.declared_dead += 1;
            self.mark_dead_or_left(now, slot, address, dead);
        }
    }

    /// Records that a member is dead or has left.
    pub(super) fn mark_dead_or_left(
        &mut self,
        now: Micros,
        slot: usize,
        address: Address,
        precedence: Precedence,
    ) {
        self.members.update(slot, address, precedence);
        self.members.set_expiration(slot, Some(now + FORGET_AFTER));
        self.members.rumors.start(slot);
        self.report_status(slot);
    }
}
