//! Handling of datagrams from other members.

use bytes::Bytes;
use tideroute_wire::gossip::{self, GossipHandler, MemberStatus};
use tideroute_wire::{Address, Malformed, Micros};

use super::anti_entropy::ReplyDigests;
use super::claims::{Claim, ClaimSource};
use super::dissemination::add_claim;
use super::Membership;
use crate::failure_detector::Peer;
use crate::member::Member;
use crate::schedule::SHORT_EXCHANGE_INTERVAL;

impl Membership {
    /// Handles the message of a verified datagram. `from` is the address that the datagram came from. A malformed
    /// message changes nothing.
    pub fn handle_datagram(&mut self, now: Micros, from: Address, message: &Bytes) -> Result<(), Malformed> {
        if self.has_left {
            return Ok(());
        }
        gossip::receive(message, &mut DatagramHandler { membership: self, now, from, sender: None })
    }
}

/// Handles the contents of one datagram.
struct DatagramHandler<'a> {
    membership: &'a mut Membership,
    now: Micros,
    from: Address,
    /// The sender, if it is a member.
    sender: Option<Peer>,
}

impl DatagramHandler<'_> {
    /// Returns the address to answer to: the one that the sender claims, or else the one that the datagram came from.
    fn reply_address(&self) -> Address {
        self.sender.as_ref().map_or(self.from, |sender| sender.address)
    }

    fn sender_slot(&self) -> Option<usize> {
        let sender = self.sender.as_ref()?;
        self.membership.members.find(&sender.name)
    }

    fn answer_digests(&mut self, number: u32, digests: &[u64], reply_digests: ReplyDigests) {
        let to = self.reply_address();
        let sender = self.sender_slot();
        self.membership.answer_digests(to, sender, number, digests, reply_digests);
    }

    /// Sends a sender whose incarnation is outdated the claim about its higher known incarnation. Until it refutes
    /// that, its claims about itself are ignored.
    fn correct_stale_sender(&mut self, name: &str, address: Address, incarnation: u64) {
        let membership = &mut *self.membership;
        let Some(entry) = membership.members.find(name).and_then(|slot| membership.members.get(slot)) else {
            return;
        };
        if entry.member.incarnation <= incarnation {
            return;
        }
        let mut message = membership.empty_message();
        add_claim(&mut message, &entry.member, entry.last_suspecter);
        membership.send(address, message.plain());
    }
}

impl GossipHandler for DatagramHandler<'_> {
    fn sender(&mut self, name: &str, address: Address, incarnation: u64, status: MemberStatus) {
        self.sender = Some(Peer { name: name.to_string(), address });
        let member = Member { name: name.to_string(), address, incarnation, status };
        self.membership.apply_claim(self.now, Claim { member, suspecter: 0, source: ClaimSource::Rumor });
        self.correct_stale_sender(name, address, incarnation);
    }

    fn claim(
        &mut self,
        name: &str,
        address: Address,
        incarnation: u64,
        status: MemberStatus,
        suspecter: u32,
        in_page: bool,
    ) {
        let member = Member { name: name.to_string(), address, incarnation, status };
        let source = if in_page { ClaimSource::FullExchange } else { ClaimSource::Rumor };
        self.membership.apply_claim(self.now, Claim { member, suspecter, source });
    }

    fn ping(&mut self, number: u32) {
        let to = self.reply_address();
        let message = self.membership.message_with_rumors(self.sender_slot());
        self.membership.send(to, message.ack(number));
    }

    fn ack(&mut self, number: u32) {
        let membership = &mut *self.membership;
        if let Some(probe) = membership.failure_detector.current_with_number(number) {
            probe.answered = true;
            probe.retry_at = None;
        } else if let Some(probe) = membership.failure_detector.take_answered_indirect_probe(number) {
            let message = membership.message_with_rumors(membership.members.find(&probe.requester.name));
            membership.send(probe.requester.address, message.ack(probe.number));
        }
    }

    fn nack(&mut self, number: u32) {
        if let Some(probe) = self.membership.failure_detector.current_with_number(number) {
            probe.helpers_without_nack = probe.helpers_without_nack.saturating_sub(1);
        }
    }

    fn ping_request(&mut self, number: u32, name: &str, address: Address) {
        let Some(requester) = self.sender.clone() else { return };
        let membership = &mut *self.membership;
        let own_number = membership.failure_detector.next_number();
        if membership.failure_detector.start_indirect_probe(own_number, requester, number, self.now) {
            let message = membership.message_with_rumors(membership.members.find(name));
            membership.send(address, message.ping(own_number));
        }
    }

    fn digest(&mut self, number: u32, digests: &[u64]) {
        self.answer_digests(number, digests, ReplyDigests::Include);
    }

    fn page(&mut self, number: u32, _page: u32, _pages: u32, digests: &[u64], _health: u32) {
        if digests.is_empty() {
            return;
        }
        self.answer_digests(number, digests, ReplyDigests::Omit);
        let schedule = &mut self.membership.schedule;
        schedule.exchange_at = schedule.exchange_at.min(self.now + SHORT_EXCHANGE_INTERVAL);
    }
}
