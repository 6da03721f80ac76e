//! Probing of other members, directly and through other members (helpers).

use tideroute_wire::Micros;

use super::Membership;
use crate::failure_detector::Probe;
use crate::sampling::sample;
use crate::schedule::PROBE_INTERVAL;
use crate::units::MILLISECOND;

/// Time after which an unanswered probe is retried. It is far longer than any round trip within a site, and longer than
/// most pauses of a busy event loop.
const ACK_TIMEOUT: Micros = 80 * MILLISECOND;

/// Number of retries of a probe, each of them directly and through helpers. If a tenth of all datagrams is lost, about
/// one in 80,000 probes of a live member fails. With a single retry it is one in 700, and 300 routers disseminated 1.7
/// false suspicions per second.
const MAX_RETRIES: u32 = 2;

/// Number of members that are asked for an indirect probe with each retry.
const HELPERS_PER_RETRY: usize = 3;

impl Membership {
    /// Sends a nack to the requester of each indirect probe that timed out.
    pub(super) fn expire_indirect_probes(&mut self, now: Micros) {
        while let Some(probe) = self.failure_detector.take_expired_indirect_probe(now) {
            let message = self.message_with_rumors(self.members.find(&probe.requester.name));
            self.send(probe.requester.address, message.nack(probe.number));
        }
    }

    /// Retries the current probe if that is due, and ends it and starts the next one if that is due.
    pub(super) fn run_probes(&mut self, now: Micros) {
        let retry_at = self.failure_detector.current.as_ref().and_then(|probe| probe.retry_at);
        if retry_at.is_some_and(|at| at <= now) {
            self.retry_probe(now);
        }
        if now >= self.schedule.probe_at {
            self.finish_probe(now);
            self.schedule.probe_at = now + self.local_health.stretch(PROBE_INTERVAL);
            self.start_probe(now);
        }
    }

    fn start_probe(&mut self, now: Micros) {
        let Some(slot) = self.failure_detector.next_target(&self.members, &mut self.rng) else { return };
        let Some(entry) = self.members.get(slot) else { return };
        let name = entry.member.name.clone();
        let address = entry.member.address;
        let number = self.failure_detector.next_number();
        self.stats.probes += 1;
        self.failure_detector.current = Some(Probe {
            slot,
            name,
            number,
            retry_at: Some(now + self.local_health.stretch(ACK_TIMEOUT)),
            retries: 0,
            helpers_without_nack: 0,
            answered: false,
        });
        let message = self.message_with_rumors(Some(slot));
        self.send(address, message.ping(number));
    }

    fn retry_probe(&mut self, now: Micros) {
        let Some(probe) = self.failure_detector.current.as_mut() else { return };
        let slot = probe.slot;
        let number = probe.number;
        let helpers = sample(self.members.active(), &mut self.rng, HELPERS_PER_RETRY, Some(slot));
        probe.retries += 1;
        probe.helpers_without_nack += helpers.len() as u32;
        probe.retry_at =
            (probe.retries < MAX_RETRIES).then_some(now + self.local_health.stretch(ACK_TIMEOUT));
        let Some(entry) = self.members.get(slot) else { return };
        let name = entry.member.name.clone();
        let address = entry.member.address;
        let message = self.message_with_rumors(Some(slot));
        self.send(address, message.ping(number));
        for helper in helpers {
            let Some(helper_address) = self.members.address(helper) else { continue };
            let message = self.message_with_rumors(Some(helper));
            self.send(helper_address, message.ping_request(number, &name, address));
        }
    }

    /// Ends the current probe. If the member did not answer, suspects it.
    fn finish_probe(&mut self, now: Micros) {
        let Some(probe) = self.failure_detector.current.take() else { return };
        if probe.answered {
            self.local_health.improve();
            return;
        }
        self.stats.unanswered_probes += 1;
        // Helpers that send no nack either are a sign that this router itself is cut off (Lifeguard).
        self.local_health.degrade(probe.helpers_without_nack.max(1));
        if self.members.find(&probe.name) == Some(probe.slot) {
            self.stats.suspicions += 1;
            self.suspect(now, probe.slot, self.own_name_hash, true);
        }
    }
}
