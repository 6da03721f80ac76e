//! Dissemination of rumors: in rounds of gossip, and within every other message.

use tideroute_wire::gossip::{GossipMessage, MemberStatus};
use tideroute_wire::Micros;

use super::Membership;
use crate::member::Member;
use crate::message_authenticator::MessageAuthenticator;
use crate::rumor_queue::max_transmissions;
use crate::sampling::sample;
use crate::schedule::GOSSIP_INTERVAL;

/// Members that get the rumors in one round of gossip.
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

    /// Sends a member a message that holds rumors only.
    pub(super) fn send_rumors(&mut self, slot: usize) {
        let Some(address) = self.members.address(slot) else { return };
        let message = self.message_with_rumors(Some(slot));
        self.send(address, message.plain());
    }

    /// A message that names its sender and nothing else.
    pub(super) fn empty_message(&self) -> GossipMessage {
        let own = &self.own;
        let sender = (own.name.as_str(), own.address, own.incarnation, own.status);
        GossipMessage::new(Some(sender), MessageAuthenticator::OVERHEAD)
    }

    /// A message with as many rumors as it holds, which count as transmitted. A recipient that is not seen as alive gets
    /// first what is claimed of it, so that it can refute that.
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
            self.members.rumors.transmitted(slot, max_transmissions);
        }
        message
    }

    /// The sender of each message is the rumor about this router itself.
    fn count_own_rumor(&mut self, max_transmissions: u32) {
        let transmissions = self.own_rumor_transmissions.map(|transmissions| transmissions + 1);
        self.own_rumor_transmissions =
            transmissions.filter(|transmissions| *transmissions < max_transmissions);
    }
}

/// Adds a claim about a member; returns whether there was room for it.
pub(super) fn add_claim(message: &mut GossipMessage, member: &Member, suspecter: u32) -> bool {
    message.claim(&member.name, member.address, member.incarnation, member.status, suspecter)
}
