//! The member list: what one router knows about the other members.

use std::collections::{BTreeSet, HashMap};

use slab::Slab;
use tideroute_wire::gossip::{MemberStatus, PARTS};
use tideroute_wire::{Address, Micros};

use crate::member::{digest_part, Member, Precedence};
use crate::rumor_queue::RumorQueue;

/// Largest number of entries in the member list, including the members that are dead or have left and are still
/// remembered.
pub(crate) const MAX_MEMBERS: usize = 10_000;

/// What this router knows about one other member.
#[derive(Debug)]
pub(crate) struct MemberEntry {
    pub member: Member,
    /// Name hashes of the members that suspect it.
    pub suspecters: Vec<u32>,
    /// Name hash of the last member that was added to `suspecters`, which claims about this member name.
    pub last_suspecter: u32,
    pub suspected_since: Micros,
    /// The time at which its suspicion times out or at which it is forgotten, depending on its status.
    expires_at: Option<Micros>,
    /// Its index in `MemberList::active`.
    active_index: Option<usize>,
    digest: u64,
    digest_part: usize,
}

/// All other members. A slot identifies a member until the member is forgotten.
#[derive(Default)]
pub(crate) struct MemberList {
    entries: Slab<MemberEntry>,
    slots_by_name: HashMap<String, usize>,
    /// Slots of the members that are in the cluster, alive or suspected.
    active: Vec<usize>,
    /// The expirations of all entries, with their slots.
    expirations: BTreeSet<(Micros, usize)>,
    digests: [u64; PARTS],
    pub rumors: RumorQueue,
}

impl MemberList {
    pub fn get(&self, slot: usize) -> Option<&MemberEntry> {
        self.entries.get(slot)
    }

    /// Returns the slot of the member with this name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.slots_by_name.get(name).copied()
    }

    pub fn address(&self, slot: usize) -> Option<Address> {
        self.entries.get(slot).map(|entry| entry.member.address)
    }

    pub fn is_full(&self) -> bool {
        self.entries.len() >= MAX_MEMBERS
    }

    pub fn iter(&self) -> impl Iterator<Item = (usize, &MemberEntry)> {
        self.entries.iter()
    }

    /// Returns the slots of the members that are in the cluster.
    pub fn active(&self) -> &[usize] {
        &self.active
    }

    /// Returns the digests of all parts, including this router's own entry.
    pub fn digests(&self, own: &Member) -> [u64; PARTS] {
        let mut digests = self.digests;
        digests[digest_part(&own.name)] ^= own.digest();
        digests
    }

    /// Returns all entries of the selected parts.
    pub fn entries_of_parts(&self, selected: [bool; PARTS]) -> impl Iterator<Item = &MemberEntry> {
        self.entries.iter().map(|(_, entry)| entry).filter(move |entry| selected[entry.digest_part])
    }

    /// Adds a member, which must not be in the list yet, and returns its slot.
    pub fn insert(&mut self, member: Member) -> usize {
        let name = member.name.clone();
        let entry = MemberEntry {
            suspecters: vec![],
            last_suspecter: 0,
            suspected_since: 0,
            expires_at: None,
            active_index: None,
            digest: member.digest(),
            digest_part: digest_part(&name),
            member,
        };
        self.digests[entry.digest_part] ^= entry.digest;
        let slot = self.entries.insert(entry);
        self.slots_by_name.insert(name, slot);
        self.update_active(slot);
        slot
    }

    /// Sets the address, incarnation and status of a member. The caller sets its expiration.
    pub fn update(&mut self, slot: usize, address: Address, precedence: Precedence) {
        let Some(entry) = self.entries.get_mut(slot) else { return };
        entry.member.address = address;
        entry.member.incarnation = precedence.incarnation;
        entry.member.status = precedence.status;
        let digest = entry.member.digest();
        self.digests[entry.digest_part] ^= entry.digest ^ digest;
        entry.digest = digest;
        if precedence.status != MemberStatus::Suspected {
            entry.suspecters.clear();
        }
        self.update_active(slot);
    }

    fn update_active(&mut self, slot: usize) {
        let entry = &mut self.entries[slot];
        match (entry.member.status.is_in(), entry.active_index) {
            (true, None) => {
                entry.active_index = Some(self.active.len());
                self.active.push(slot);
            }
            (false, Some(index)) => {
                entry.active_index = None;
                self.remove_active(index);
            }
            _ => {}
        }
    }

    fn remove_active(&mut self, index: usize) {
        self.active.swap_remove(index);
        if let Some(&moved) = self.active.get(index) {
            self.entries[moved].active_index = Some(index);
        }
    }

    /// Sets the time at which a member's suspicion times out or at which the member is forgotten.
    pub fn set_expiration(&mut self, slot: usize, expires_at: Option<Micros>) {
        let Some(entry) = self.entries.get_mut(slot) else { return };
        if let Some(old) = std::mem::replace(&mut entry.expires_at, expires_at) {
            self.expirations.remove(&(old, slot));
        }
        if let Some(expires_at) = expires_at {
            self.expirations.insert((expires_at, slot));
        }
    }

    /// Returns the next expiration and the slot of its member.
    pub fn next_expiration(&self) -> Option<(Micros, usize)> {
        self.expirations.first().copied()
    }

    /// Returns the timeouts of all suspicions, with the slots of the suspected members.
    pub fn suspicion_timeouts(&self) -> Vec<(Micros, usize)> {
        let is_suspected =
            |slot: usize| self.get(slot).is_some_and(|entry| entry.member.status == MemberStatus::Suspected);
        self.expirations.iter().copied().filter(|(_, slot)| is_suspected(*slot)).collect()
    }

    /// Records the time at which a suspicion began.
    pub fn set_suspected_since(&mut self, slot: usize, now: Micros) {
        if let Some(entry) = self.entries.get_mut(slot) {
            entry.suspected_since = now;
        }
    }

    /// Records a member that suspects this one. Returns false if it was already recorded.
    pub fn add_suspecter(&mut self, slot: usize, suspecter: u32) -> bool {
        let Some(entry) = self.entries.get_mut(slot) else { return false };
        if entry.suspecters.contains(&suspecter) {
            return false;
        }
        entry.suspecters.push(suspecter);
        entry.last_suspecter = suspecter;
        true
    }

    /// Removes a member from the list.
    pub fn remove(&mut self, slot: usize) {
        self.set_expiration(slot, None);
        self.rumors.remove(slot);
        let Some(entry) = self.entries.try_remove(slot) else { return };
        self.digests[entry.digest_part] ^= entry.digest;
        self.slots_by_name.remove(&entry.member.name);
        if let Some(index) = entry.active_index {
            self.remove_active(index);
        }
    }
}
