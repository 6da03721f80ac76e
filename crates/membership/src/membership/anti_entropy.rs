//! Full exchanges (anti-entropy): two routers compare digests of their member lists and send each other the parts that
//! differ. This also connects routers that do not know each other yet, or no longer do.

use tideroute_wire::gossip::{GossipMessage, MemberStatus, PARTS};
use tideroute_wire::{Address, Micros};

use super::dissemination::add_claim;
use super::Membership;
use crate::sampling::{random_below, sample};
use crate::schedule::{EXCHANGE_INTERVAL, REJOIN_INTERVAL, SHORT_EXCHANGE_INTERVAL};

/// Largest number of pages in one answer. Members that do not fit follow in later exchanges.
pub const MAX_PAGES: usize = 32;

/// Whether an answer includes this router's digests, to which the other side then answers in turn.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReplyDigests {
    Include,
    Omit,
}

impl Membership {
    /// Starts a full exchange with a random member of the cluster if one is due.
    pub(super) fn run_exchange(&mut self, now: Micros) {
        if now < self.schedule.exchange_at {
            return;
        }
        self.schedule.exchange_at = now + EXCHANGE_INTERVAL;
        for slot in sample(self.members.active(), &mut self.rng, 1, None) {
            self.send_digests_to_member(slot);
        }
    }

    /// Contacts routers that are not in the cluster, if that is due: a random dead member, and a random seed that is
    /// not known. While no other member is known, contacts all seeds.
    pub(super) fn run_rejoin(&mut self, now: Micros) {
        if now < self.schedule.rejoin_at {
            return;
        }
        self.schedule.rejoin_at = now + REJOIN_INTERVAL;
        let is_alone = self.members.active().is_empty();
        let dead = self.dead_members();
        if !dead.is_empty() {
            let index = random_below(&mut self.rng, dead.len());
            self.send_digests_to_member(dead[index]);
        }
        let mut seeds = self.unknown_seeds();
        if is_alone {
            self.schedule.rejoin_at = now + SHORT_EXCHANGE_INTERVAL;
        } else if !seeds.is_empty() {
            let index = random_below(&mut self.rng, seeds.len());
            seeds = vec![seeds[index]];
        }
        for seed in seeds {
            self.send_digests(seed, None);
        }
    }

    fn dead_members(&self) -> Vec<usize> {
        let dead = self.members.iter().filter(|(_, entry)| entry.member.status == MemberStatus::Dead);
        dead.map(|(slot, _)| slot).collect()
    }

    /// Returns the seeds that are not the address of a member of the cluster.
    fn unknown_seeds(&self) -> Vec<Address> {
        let is_active = |address: Address| {
            self.members.active().iter().any(|&slot| self.members.address(slot) == Some(address))
        };
        let is_unknown = |address: &Address| *address != self.own.address && !is_active(*address);
        self.seeds.iter().copied().filter(is_unknown).collect()
    }

    fn send_digests_to_member(&mut self, slot: usize) {
        if let Some(address) = self.members.address(slot) {
            self.send_digests(address, Some(slot));
        }
    }

    fn send_digests(&mut self, to: Address, recipient: Option<usize>) {
        let message = self.message_with_rumors(recipient);
        let digests = self.members.digests(&self.own);
        let number = self.failure_detector.next_number();
        self.send(to, message.digest(number, digests));
    }

    /// Answers a sender's digests with pages of all members in the parts that differ, or with rumors if no part
    /// differs.
    pub(super) fn answer_digests(
        &mut self,
        to: Address,
        sender: Option<usize>,
        number: u32,
        sender_digests: &[u64],
        reply_digests: ReplyDigests,
    ) {
        let digests = self.members.digests(&self.own);
        let differing: [bool; PARTS] =
            std::array::from_fn(|part| sender_digests.get(part) != Some(&digests[part]));
        let differs = differing.contains(&true);
        // The rumors count as transmitted even if pages are sent instead, because the pages hold everything that the
        // sender lacks.
        let rumors = self.message_with_rumors(sender.filter(|_| !differs));
        let pages = if differs { self.pages_of_parts(differing) } else { vec![rumors] };
        let page_count = pages.len() as u32;
        let health = self.local_health.score();
        for (index, page) in pages.into_iter().enumerate() {
            let include_digests = differs && index == 0 && reply_digests == ReplyDigests::Include;
            let page_digests = include_digests.then_some(digests);
            self.send(to, page.page(number, index as u32, page_count, page_digests, health));
        }
    }

    /// Returns pages with all members of the selected parts, up to [`MAX_PAGES`] and at least one. The first member is
    /// chosen at random, so that members that do not fit are sent in later exchanges.
    fn pages_of_parts(&mut self, selected: [bool; PARTS]) -> Vec<GossipMessage> {
        let entries: Vec<_> = self.members.entries_of_parts(selected).collect();
        let first = random_below(&mut self.rng, entries.len().max(1));
        let mut pages = Vec::new();
        // Each page names this router as its sender, so this router needs no claim of its own.
        let mut page = self.empty_message();
        for entry in entries.iter().cycle().skip(first).take(entries.len()) {
            if !add_claim(&mut page, &entry.member, entry.last_suspecter) {
                pages.push(std::mem::replace(&mut page, self.empty_message()));
                add_claim(&mut page, &entry.member, entry.last_suspecter);
            }
            if pages.len() == MAX_PAGES {
                return pages;
            }
        }
        if !page.is_empty() || pages.is_empty() {
            pages.push(page);
        }
        pages
    }
}
