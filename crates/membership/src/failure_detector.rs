//! The state of the failure detector: the order of probes, the current probe, and indirect probes for other members.

use std::collections::BTreeMap;

use tideroute::rng::Rng;
use tideroute_wire::{Address, Micros};

use crate::member_list::{MemberList, MAX_MEMBERS};
use crate::sampling::random_below;
use crate::units::MILLISECOND;

/// If the target of an indirect probe does not answer within this time, the requester is sent a nack.
const INDIRECT_PROBE_TIMEOUT: Micros = 75 * MILLISECOND;

/// Largest number of concurrent indirect probes for other members.
const MAX_INDIRECT_PROBES: usize = 256;

/// A probe of one member by this router.
pub(crate) struct Probe {
    /// The target's slot in the member list.
    pub slot: usize,
    /// The target's name. The slot may be reused by another member.
    pub name: String,
    pub number: u32,
    /// The time of the next retry, directly and through helpers; `None` if the probe was answered or has no retries
    /// left.
    pub retry_at: Option<Micros>,
    pub retries: u32,
    /// Number of members that were asked for an indirect probe and have not sent a nack.
    pub helpers_without_nack: u32,
    pub answered: bool,
}

/// The sender of a datagram, if it is a member.
#[derive(Clone)]
pub(crate) struct Peer {
    pub name: String,
    pub address: Address,
}

/// A probe that this router sends on behalf of another member.
pub(crate) struct IndirectProbe {
    pub requester: Peer,
    /// The number of the probe at the requester.
    pub number: u32,
    expires_at: Micros,
}

/// The order of probes, the current probe, and indirect probes for other members.
#[derive(Default)]
pub(crate) struct FailureDetector {
    /// The members that remain to be probed in this round. A round probes each member once, in a new random order,
    /// which bounds the time until a member is probed (SWIM).
    round: Vec<usize>,
    pub current: Option<Probe>,
    /// Indirect probes for other members, by this router's number of the probe.
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    last_number: u32,
}

impl FailureDetector {
    /// Returns a number for a new message.
    pub fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Inserts a new member into the current round at a random position.
    pub fn insert(&mut self, slot: usize, rng: &mut Rng) {
        if self.round.len() < 2 * MAX_MEMBERS {
            let index = random_below(rng, self.round.len() + 1);
            self.round.insert(index, slot);
        }
    }

    /// Returns the slot of the next member to probe; `None` if no other member is in the cluster.
    pub fn next_target(&mut self, members: &MemberList, rng: &mut Rng) -> Option<usize> {
        loop {
            while let Some(slot) = self.round.pop() {
                if members.get(slot).is_some_and(|entry| entry.member.status.is_in()) {
                    return Some(slot);
                }
            }
            if members.active().is_empty() {
                return None;
            }
            self.start_round(members, rng);
        }
    }

    fn start_round(&mut self, members: &MemberList, rng: &mut Rng) {
        self.round.clear();
        self.round.extend_from_slice(members.active());
        for last in (1..self.round.len()).rev() {
            self.round.swap(last, random_below(rng, last + 1));
        }
    }

    /// Returns the current probe, if it has this number.
    pub fn current_with_number(&mut self, number: u32) -> Option<&mut Probe> {
        self.current.as_mut().filter(|probe| probe.number == number)
    }

    /// Records an indirect probe. Returns false, and records nothing, if there are too many.
    pub fn start_indirect_probe(
        &mut self,
        own_number: u32,
        requester: Peer,
        requester_number: u32,
        now: Micros,
    ) -> bool {
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return false;
        }
        let expires_at = now + INDIRECT_PROBE_TIMEOUT;
        let probe = IndirectProbe { requester, number: requester_number, expires_at };
        self.indirect_probes.insert(own_number, probe);
        true
    }

    /// Removes and returns the indirect probe that was answered.
    pub fn take_answered_indirect_probe(&mut self, own_number: u32) -> Option<IndirectProbe> {
        self.indirect_probes.remove(&own_number)
    }

    /// Removes and returns the oldest indirect probe if it has timed out. All have the same timeout, so the lowest
    /// number expires first.
    pub fn take_expired_indirect_probe(&mut self, now: Micros) -> Option<IndirectProbe> {
        let first = self.indirect_probes.first_entry().filter(|probe| probe.get().expires_at <= now)?;
        Some(first.remove())
    }

    /// Returns the time at which the next indirect probe times out.
    pub fn next_indirect_timeout(&self) -> Option<Micros> {
        self.indirect_probes.first_key_value().map(|(_, probe)| probe.expires_at)
    }
}
