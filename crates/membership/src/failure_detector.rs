//! The failure detector's state: whom to probe next, the current probe, and indirect probes for other members.

use std::collections::BTreeMap;

use tideroute::rng::Rng;
use tideroute_wire::{Address, Micros};

use crate::member_list::{MemberList, MAX_MEMBERS};
use crate::sampling::random_below;
use crate::units::MILLISECOND;

/// An indirect probe that is not answered within this time is reported as failed (a nack).
const INDIRECT_PROBE_TIMEOUT: Micros = 75 * MILLISECOND;

/// Indirect probes for other members at once.
const MAX_INDIRECT_PROBES: usize = 256;

/// A probe of one member by this router.
pub(crate) struct Probe {
    pub slot: usize,
    pub name: String,
    pub number: u32,
    /// When it is retried, directly and through helpers; `None` if it is answered or was retried often enough.
    pub retry_at: Option<Micros>,
    pub retries: u32,
    /// Members asked for an indirect probe that have not reported its failure.
    pub silent_helpers: u32,
    pub answered: bool,
}

/// A member that sent a datagram.
#[derive(Clone)]
pub(crate) struct Peer {
    pub name: String,
    pub address: Address,
}

/// A probe on behalf of another member.
pub(crate) struct IndirectProbe {
    pub requester: Peer,
    /// The requester's number of the probe.
    pub number: u32,
    expires_at: Micros,
}

/// Whom to probe next, the current probe, and indirect probes for other members.
#[derive(Default)]
pub(crate) struct FailureDetector {
    /// The rest of a round that probes each member once, in an order that is random anew in each round. It bounds the
    /// time until a member is probed (SWIM).
    round: Vec<usize>,
    pub current: Option<Probe>,
    /// By this router's number of the probe.
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    last_number: u32,
}

impl FailureDetector {
    /// A number for a new message.
    pub fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Inserts a new member somewhere into the current round.
    pub fn insert(&mut self, slot: usize, rng: &mut Rng) {
        if self.round.len() < 2 * MAX_MEMBERS {
            let index = random_below(rng, self.round.len() + 1);
            self.round.insert(index, slot);
        }
    }

    /// The next member to probe, one that is in the fleet.
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

    /// The current probe, if it has this number.
    pub fn current_with_number(&mut self, number: u32) -> Option<&mut Probe> {
        self.current.as_mut().filter(|probe| probe.number == number)
    }

    /// Records an indirect probe; returns false if there are too many.
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

    /// Ends the indirect probe that was answered.
    pub fn take_answered_indirect_probe(&mut self, own_number: u32) -> Option<IndirectProbe> {
        self.indirect_probes.remove(&own_number)
    }

    /// Ends the first indirect probe that timed out. All have the same timeout, so the lowest number expires first.
    pub fn take_expired_indirect_probe(&mut self, now: Micros) -> Option<IndirectProbe> {
        let first = self.indirect_probes.first_entry().filter(|probe| probe.get().expires_at <= now)?;
        Some(first.remove())
    }

    /// When the next indirect probe times out.
    pub fn next_indirect_timeout(&self) -> Option<Micros> {
        self.indirect_probes.first_key_value().map(|(_, probe)| probe.expires_at)
    }
}
