//! Handling of claims about members, from rumors and full exchanges, and refutation of claims about this router itself.

use std::net::SocketAddrV4;

use tideroute_wire::gossip::MemberStatus;
use tideroute_wire::{Address, Micros};

use super::Membership;
use crate::member::{Member, Precedence};
use crate::units::MILLISECOND;

/// Largest lead, in milliseconds, of an incarnation over this router's clock. No valid clock gives a higher
/// incarnation, and a claim about the highest incarnation could never be refuted.
const MAX_INCARNATION_LEAD: u64 = 24 * 60 * 60 * 1_000;

/// Minimum interval between two refutations sent to another process that uses this router's name.
const NAME_CONFLICT_INTERVAL: Micros = 1_000 * MILLISECOND;

/// The way in which a claim arrived.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimSource {
    /// As a rumor, which is about a recent change.
    Rumor,
    /// In a page of a full exchange. The claim may be old.
    FullExchange,
}

impl ClaimSource {
    /// Returns whether claims from this source are disseminated as rumors. Claims from a full exchange are not: when a
    /// thousand routers discover each other at once, their dissemination would take half a minute.
    fn disseminates(self) -> bool {
        self == ClaimSource::Rumor
    }
}

/// A claim of one member about another.
pub(super) struct Claim {
    pub member: Member,
    /// Name hash of the member that suspects it, if it is suspected.
    pub suspecter: u32,
    pub source: ClaimSource,
}

impl Membership {
    pub(super) fn apply_claim(&mut self, now: Micros, claim: Claim) {
        if claim.member.incarnation > now / MILLISECOND + MAX_INCARNATION_LEAD {
            self.stats.future_incarnations += 1;
            return;
        }
        if claim.member.name == self.own.name {
            self.apply_own_claim(now, &claim.member);
            return;
        }
        match self.members.find(&claim.member.name) {
            Some(slot) => self.apply_known_claim(now, slot, &claim),
            None => self.add_member(now, claim),
        }
    }

    /// Applies a claim about a member that is in the member list.
    fn apply_known_claim(&mut self, now: Micros, slot: usize, claim: &Claim) {
        let Some(entry) = self.members.get(slot) else { return };
        let known = entry.member.precedence();
        let claimed = claim.member.precedence();
        if claimed < known {
            return;
        }
        let address = claim.member.address;
        match claimed.status {
            MemberStatus::Suspected => {
                if self.adopt_incarnation(slot, address, known, claimed) {
                    self.report_status(slot);
                }
                self.suspect(now, slot, claim.suspecter, claim.source.disseminates());
            }
            _ if claimed == known => {}
            // A death in a full exchange may date from before a network partition healed. The member is only suspected,
            // and is sent the claim so that it can refute it.
            MemberStatus::Dead if claim.source == ClaimSource::FullExchange && known.status.is_in() => {
                self.adopt_incarnation(slot, address, known, claimed);
                self.suspect(now, slot, claim.suspecter, false);
                self.send_rumors(slot);
            }
            MemberStatus::Dead | MemberStatus::Left => self.mark_dead_or_left(now, slot, address, claimed),
            MemberStatus::Alive => self.mark_alive(slot, known.status, claim),
        }
    }

    /// If the claimed incarnation is higher than the known one, records the member as alive in it. Returns whether it
    /// is higher.
    fn adopt_incarnation(
        &mut self,
        slot: usize,
        address: Address,
        known: Precedence,
        claimed: Precedence,
    ) -> bool {
        let is_higher = claimed.incarnation > known.incarnation;
        if is_higher {
            let alive = Precedence { status: MemberStatus::Alive, ..claimed };
            self.members.update(slot, address, alive);
        }
        is_higher
    }

    fn mark_alive(&mut self, slot: usize, known_status: MemberStatus, claim: &Claim) {
        self.members.update(slot, claim.member.address, claim.member.precedence());
        if !known_status.is_in() {
            self.failure_detector.insert(slot, &mut self.rng);
        }
        self.members.set_expiration(slot, None);
        if claim.source.disseminates() {
            self.members.rumors.start(slot);
        }
        self.report_status(slot);
    }

    /// Adds a member that is not in the member list yet. Claims about members that are dead or have left are ignored.
    fn add_member(&mut self, now: Micros, claim: Claim) {
        let status = claim.member.status;
        if !status.is_in() {
            return;
        }
        if self.members.is_full() {
            self.stats.list_full += 1;
            return;
        }
        let slot = self.members.insert(Member { status: MemberStatus::Alive, ..claim.member });
        self.failure_detector.insert(slot, &mut self.rng);
        if claim.source.disseminates() {
            self.members.rumors.start(slot);
        }
        self.report_status(slot);
        if status == MemberStatus::Suspected {
            self.suspect(now, slot, claim.suspecter, claim.source.disseminates());
        }
    }

    /// Refutes a claim about this router itself, unless the claim agrees with this router's own state.
    fn apply_own_claim(&mut self, now: Micros, claimed: &Member) {
        if claimed.incarnation < self.own.incarnation || self.own.status == MemberStatus::Left {
            return;
        }
        let is_name_conflict = claimed.address != self.own.address;
        let is_alive = claimed.status == MemberStatus::Alive;
        if claimed.incarnation == self.own.incarnation && is_alive && !is_name_conflict {
            return;
        }
        if is_name_conflict {
            self.stats.name_conflicts += 1;
            if now < self.name_conflict_muted_until {
                return;
            }
            self.name_conflict_muted_until = now + NAME_CONFLICT_INTERVAL;
            let other = socket_address(claimed.address);
            tracing::warn!(name = self.own.name, %other, "claim received for this router's name at another address");
        }
        if !is_alive {
            self.stats.refutations += 1;
            self.local_health.degrade(1);
        }
        self.own.incarnation = claimed.incarnation + 1;
        self.own_rumor_transmissions = Some(0);
    }
}

fn socket_address(address: Address) -> SocketAddrV4 {
    let [a, b, c, d, port_high, port_low] = address;
    SocketAddrV4::new([a, b, c, d].into(), u16::from_be_bytes([port_high, port_low]))
}
