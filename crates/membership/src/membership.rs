//! The protocol's state machine: its state, its public interface, and the scheduling of its tasks. Each submodule
//! implements one aspect of the protocol.

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

/// A wake-up that is later than this means that the event loop or the machine was stalled. Missing answers are then
/// this router's own fault.
const MAX_WAKEUP_LAG: Micros = 60 * MILLISECOND;

/// The membership protocol of one router.
///
/// The caller passes each datagram to [`handle_datagram`](Membership::handle_datagram), then calls
/// [`next_output`](Membership::next_output) until it returns `None`, and does so again at
/// [`wakeup_at`](Membership::wakeup_at).
pub struct Membership {
    own: Member,
    own_name_hash: u32,
    /// Transmissions of the rumor about this router itself; `None` after the last one.
    own_rumor_transmissions: Option<u32>,
    seeds: Vec<Address>,
    members: MemberList,
    failure_detector: FailureDetector,
    local_health: LocalHealth,
    schedule: Schedule,
    rng: Rng,
    outputs: VecDeque<Output>,
    /// The time at which this router, if it is leaving, announces that a second time.
    second_leave_at: Option<Micros>,
    has_left: bool,
    /// No further name conflict is answered before this time.
    name_conflict_muted_until: Micros,
    stats: MembershipStats,
}

impl Membership {
    /// Creates the membership of a router that starts at `now`.
    ///
    /// Its first incarnation is the time in milliseconds, so that a router that restarts under the same name gets a
    /// higher incarnation. If its clock was set back, it receives claims about its former incarnation and refutes them.
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
            second_leave_at: None,
            has_left: false,
            name_conflict_muted_until: 0,
            stats: MembershipStats::default(),
        }
    }

    /// Returns all other members that are known, including those that are dead or have left.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().map(|(_, entry)| &entry.member)
    }

    /// Returns this router's own entry.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the number of other members that are in the cluster, alive or suspected.
    pub fn active_count(&self) -> usize {
        self.members.active().len()
    }

    /// Returns the event counters.
    pub fn stats(&self) -> MembershipStats {
        self.stats
    }

    /// Returns the local health score, from 0 (healthy) to 8: how far this router distrusts its own observations.
    pub fn local_health(&self) -> u32 {
        self.local_health.score()
    }

    /// Returns whether this router has left the cluster and announced it.
    pub fn has_left(&self) -> bool {
        self.has_left
    }

    /// Returns the next output; `None` if there is none until the next wake-up. All datagrams that have arrived must be
    /// handled before the call.
    pub fn next_output(&mut self, now: Micros) -> Option<Output> {
        if self.outputs.is_empty() && !self.has_left {
            self.run_due(now);
        }
        self.outputs.pop_front()
    }

    /// Returns the time at which [`next_output`](Membership::next_output) must be called again.
    pub fn wakeup_at(&self) -> Micros {
        if !self.outputs.is_empty() {
            return 0;
        }
        if self.has_left {
            return Micros::MAX;
        }
        if let Some(at) = self.second_leave_at {
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

    /// Runs all tasks that are due.
    fn run_due(&mut self, now: Micros) {
        if self.wakeup_at() > now {
            return;
        }
        if self.second_leave_at.take().is_some() {
            self.announce_leave();
            self.has_left = true;
            return;
        }
        self.compensate_for_lag(now);
        self.expire_indirect_probes(now);
        self.run_probes(now);
        self.run_expirations(now);
        self.run_exchange(now);
        self.run_rejoin(now);
        self.run_gossip(now);
    }

    /// Compensates for a late wake-up, during which this router was stalled. The current probe is dropped, as it proves
    /// nothing, and suspicions are extended by the time in which their refutations could not be received.
    fn compensate_for_lag(&mut self, now: Micros) {
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
