//! Dissemination of rumors, in rounds of gossip and in every other message.

use tideroute_wire::gossip::{GossipMessage, MemberStatus};
use tideroute_wire::Micros;

use super::Membership;
use crate::member::Member;
use crate::message_authenticator::MessageAuthenticator;
use crate::rumor_queue::max_transmissions;
use crate::sampling::sample;
use crate::schedule::GOSSIP_INTERVAL;

/// Number of random members that are sent rumors in one round of gossip.
const GOSSIP_FANOUT: usize = 3;

impl Membership {
    pub(super) fn has_rumors(&self) -> bool {
        !self.members.rumors.is_empty() || self.own_rumor_transmissions.is_some()
    }

    pub(super) fn run_gossip(&mut self, now: Micros) {
        if now < self.schedule.gossip_at || !self.has_rumors() {
            return;
        }
        self.schedule.gossip_at = now + GOSSIP_INTERVAL;
        for slot in sample(self.members.active(), &mut self.rng, GOSSIP_FANOUT, None) {
            self.send_rumors(slot);
        }
    }

    /// Sends a member a datagram that holds only rumors.
    pub(super) fn send_rumors(&mut self, slot: usize) {
        let Some(address) = self.members.address(slot) else { return };
        let message = self.message_with_rumors(Some(slot));
        self.send(address, message.plain());
    }

    /// Returns a message that holds only its sender.
    pub(super) fn empty_message(&self) -> GossipMessage {
        let own = &self.own;
        let sender = (own.name.as_str(), own.address, own.incarnation, own.status);
        GossipMessage::new(Some(sender), MessageAuthenticator::OVERHEAD)
    }

    /// Returns a message with as many rumors as fit into it, and counts them as transmitted. If the recipient is not
    /// known as alive, the message begins with the claim about the recipient, so that it can refute the claim.
    pub(super) fn message_with_rumors(&mut self, recipient: Option<usize>) -> GossipMessage {
        let mut message = self.empty_message();
        let entry = recipient.and_then(|slot| self.members.get(slot));
        if let Some(entry) = entry.filter(|entry| entry.member.status != MemberStatus::Alive) {
            add_claim(&mut message, &entry.member, entry.last_suspecter);
        }
        let max_transmissions = max_transmissions(self.members.active().len() + 1);
        self.count_own_rumor(max_transmissions);
        let mut transmitted = Vec::new();
        for slot in self.members.rumors.iter() {
            if Some(slot) == recipient {
                continue;
            }
            let Some(entry) = self.members.get(slot) else { continue };
            if !add_claim(&mut message, &entry.member, entry.last_suspecter) {
                break;
            }
            transmitted.push(slot);
        }
        for slot in transmitted {
            self.members.rumors.record_transmission(slot, max_transmissions);
        }
        message
    }

    /// Counts a transmission of the rumor about this router itself, which is the sender field of each message.
    fn count_own_rumor(&mut self, max_transmissions: u32) {
        let transmissions = self.own_rumor_transmissions.map(|transmissions| transmissions + 1);
        self.own_rumor_transmissions =
            transmissions.filter(|transmissions| *transmissions < max_transmissions);
    }
}

/// Adds a claim about a member. Returns false, and adds nothing, if there is no space for it.
pub(super) fn add_claim(message: &mut GossipMessage, member: &Member, suspecter: u32) -> bool {
    message.claim(&member.name, member.address, member.incarnation, member.status, suspecter)
}
