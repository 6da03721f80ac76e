//! The protocol's state machine: its state, its public face, and what is done when. Each submodule is one concern.

use std::collections::VecDeque;

use bytes::Bytes;
use tideroute::rng::Rng;
use tideroute_wire::gossip::MemberStatus;
use tideroute_wire::{Address, Micros};

use crate::config::MembershipConfig;
use crate::failure_detector::FailureDetector;
use crate::local_health::LocalHealth;
use crate::member::{name_hash, Member};
use crate::member_list::MemberList;
use crate::output::Output;
use crate::schedule::Schedule;
use crate::stats::MembershipStats;
use crate::units::MILLISECOND;

pub(crate) mod anti_entropy;
mod claims;
mod datagrams;
mod dissemination;
mod leaving;
mod probing;
mod suspicions;

/// A wake-up that is later than this means that the event loop or the machine stood still: what was not received
/// meanwhile is this router's own fault.
const MAX_WAKEUP_LAG: Micros = 60 * MILLISECOND;

/// The membership of one router.
///
/// Callers pass each datagram to [`handle_datagram`](Membership::handle_datagram), then pull
/// [`next_output`](Membership::next_output) until it returns `None`, and again at
/// [`wakeup_at`](Membership::wakeup_at).
pub struct Membership {
    own: Member,
    own_name_hash: u32,
    /// How often the rumor about this router itself was transmitted; `None` once that was often enough.
    own_rumor_transmissions: Option<u32>,
    seeds: Vec<Address>,
    members: MemberList,
    failure_detector: FailureDetector,
    local_health: LocalHealth,
    schedule: Schedule,
    rng: Rng,
    outputs: VecDeque<Output>,
    /// When a leaving router repeats its goodbye.
    second_goodbye_at: Option<Micros>,
    has_left: bool,
    /// Until then, no further name conflict is answered.
    name_conflict_muted_until: Micros,
    stats: MembershipStats,
}

impl Membership {
    /// A router that starts now.
    ///
    /// Its first incarnation is the time in milliseconds, so that a router that restarts under its name counts as new. If
    /// its clock was set back, it hears of its former incarnation and refutes that.
    pub fn new(config: MembershipConfig, now: Micros) -> Membership {
        let own = Member {
            name: config.name,
            address: config.address,
            incarnation: now / MILLISECOND,
            status: MemberStatus::Alive,
        };
        let mut rng = Rng::new(config.rng_seed);
        Membership {
            own_name_hash: name_hash(&own.name),
            own,
            own_rumor_transmissions: Some(0),
            seeds: config.seeds,
            members: MemberList::default(),
            failure_detector: FailureDetector::default(),
            local_health: LocalHealth::default(),
            schedule: Schedule::new(now, &mut rng),
            rng,
            outputs: VecDeque::new(),
            second_goodbye_at: None,
            has_left: false,
            name_conflict_muted_until: 0,
            stats: MembershipStats::default(),
        }
    }

    /// All other members that are known, the dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().map(|(_, entry)| &entry.member)
    }

    /// This router itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Number of other members that are in the fleet, alive or suspected.
    pub fn active_count(&self) -> usize {
        self.members.active().len()
    }

    /// Counters.
    pub fn stats(&self) -> MembershipStats {
        self.stats
    }

    /// How far this router distrusts its own observations: from 0, not at all, to 8.
    pub fn local_health(&self) -> u32 {
        self.local_health.score()
    }

    /// It has left the fleet and said goodbye.
    pub fn has_left(&self) -> bool {
        self.has_left
    }

    /// The next output; `None` until the next wake-up. All datagrams that have arrived must be handled before.
    pub fn next_output(&mut self, now: Micros) -> Option<Output> {
        if self.outputs.is_empty() && !self.has_left {
            self.run_due(now);
        }
        self.outputs.pop_front()
    }

    /// When [`next_output`](Membership::next_output) must be called again.
    pub fn wakeup_at(&self) -> Micros {
        if !self.outputs.is_empty() {
            return 0;
        }
        if self.has_left {
            return Micros::MAX;
        }
        if let Some(at) = self.second_goodbye_at {
            return at;
        }
        let probe_retry = self.failure_detector.current.as_ref().and_then(|probe| probe.retry_at);
        let expiration = self.members.next_expiration().map(|(at, _)| at);
        let gossip = self.has_rumors().then_some(self.schedule.gossip_at);
        let indirect_timeout = self.failure_detector.next_indirect_timeout();
        let optional = [probe_retry, expiration, gossip, indirect_timeout];
        let periodic = [self.schedule.probe_at, self.schedule.exchange_at, self.schedule.rejoin_at];
        let first_periodic = periodic.into_iter().fold(Micros::MAX, Micros::min);
        optional.into_iter().flatten().fold(first_periodic, Micros::min)
    }

    /// Does all that is due.
    fn run_due(&mut self, now: Micros) {
        if self.wakeup_at() > now {
            return;
        }
        if self.second_goodbye_at.take().is_some() {
            self.send_goodbyes();
            self.has_left = true;
            return;
        }
        self.allow_for_lag(now);
        self.expire_indirect_probes(now);
        self.run_probes(now);
        self.run_expirations(now);
        self.run_exchange(now);
        self.run_rejoin(now);
        self.run_gossip(now);
    }

    /// After a late wake-up it was this router that stood still: the current probe proves nothing, and suspicions are
    /// extended by the time in which it could not hear their refutations.
    fn allow_for_lag(&mut self, now: Micros) {
        let lag = now.saturating_sub(self.wakeup_at());
        if lag < MAX_WAKEUP_LAG {
            return;
        }
        self.stats.late_wakeups += 1;
        self.local_health.degrade(1);
        self.failure_detector.current = None;
        for (timeout, slot) in self.members.suspicion_timeouts() {
            self.members.set_expiration(slot, Some(timeout + lag));
        }
    }

    fn send(&mut self, to: Address, message: Bytes) {
        self.outputs.push_back(Output::Send { to, message });
    }

    fn report_status(&mut self, slot: usize) {
        if let Some(entry) = self.members.get(slot) {
            self.outputs.push_back(Output::StatusChanged(entry.member.clone()));
        }
    }
}
