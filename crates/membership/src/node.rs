//! Runs the membership protocol on an event loop: authenticates datagrams, and logs and counts changes.

use bytes::Bytes;
use metrics::{counter, gauge};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::gossip::{MemberStatus, LARGEST};
use tideroute_wire::{Address, Micros};

use crate::config::MembershipConfig;
use crate::member::Member;
use crate::membership::Membership;
use crate::message_authenticator::MessageAuthenticator;
use crate::output::Output;
use crate::stats::MembershipStats;

/// Interval in microseconds between two warnings while no other member is known.
const ALONE_WARNING_INTERVAL: Micros = 2_000_000;

/// Index of the datagram socket; a member has only one.
const SOCKET: usize = 0;

/// Key of the only timer.
const TIMER_KEY: u64 = 0;

/// A member of a cluster that runs on an event loop. It leaves the cluster when the loop shuts it down or when another
/// thread sends it any message.
pub struct MembershipNode {
    membership: Membership,
    authenticator: MessageAuthenticator,
    /// The time at which the event loop's timer fires next.
    timer_at: Micros,
    /// The time since which no other member is known, or of the last warning about that.
    alone_since: Option<Micros>,
    /// The counters at the time of the last report to the metrics.
    reported: MembershipStats,
}

impl MembershipNode {
    /// Creates a member that starts at `now`.
    pub fn new(config: MembershipConfig, authenticator: MessageAuthenticator, now: Micros) -> MembershipNode {
        MembershipNode {
            membership: Membership::new(config, now),
            authenticator,
            timer_at: 0,
            alone_since: Some(now),
            reported: MembershipStats::default(),
        }
    }

    fn report_metrics(&mut self) {
        let stats = self.membership.stats();
        report_counters(&stats, &self.reported);
        self.reported = stats;
        let others = self.membership.active_count();
        gauge!("tideroute_membership_peers").set(others as f64);
        gauge!("tideroute_membership_health_penalty").set(f64::from(self.membership.local_health()));
        gauge!("tideroute_membership_isolated").set(f64::from(u8::from(others == 0)));
    }

    /// Logs a warning at intervals while no other member is known.
    fn warn_if_alone(&mut self, now: Micros) {
        if self.membership.active_count() > 0 {
            self.alone_since = None;
            return;
        }
        let since = *self.alone_since.get_or_insert(now);
        if now >= since + ALONE_WARNING_INTERVAL {
            self.alone_since = Some(now);
            tracing::warn!("no other cluster member reachable; retrying the seeds");
        }
    }

    fn run_outputs(&mut self, now: Micros, effects: &mut Effects) {
        while let Some(output) = self.membership.next_output(now) {
            match output {
                Output::Send { to, message } => {
                    let datagram = self.authenticator.sign(&message);
                    counter!("tideroute_membership_bytes_total", "direction" => "out")
                        .increment(datagram.len() as u64);
                    effects.send_datagram(SOCKET, to, datagram);
                }
                Output::StatusChanged(member) => report_status(&member, effects),
            }
        }
    }

    fn set_timer(&mut self, now: Micros, effects: &mut Effects) {
        let at = self.membership.wakeup_at();
        let needs_timer = at < self.timer_at || self.timer_at <= now;
        if at < Micros::MAX && needs_timer {
            self.timer_at = at;
            effects.set_timer(at, TIMER_KEY);
        }
    }

    /// Handles a datagram. If the datagram is dropped, returns the reason, as the value of the metric's label.
    fn receive(&mut self, now: Micros, from: Address, datagram: &Bytes) -> Result<(), &'static str> {
        if datagram.len() > LARGEST {
            return Err("oversized");
        }
        let message = self.authenticator.verify(datagram).map_err(|error| error.metric_label())?;
        self.membership.handle_datagram(now, from, &message).map_err(|_| "unreadable")
    }
}

impl EventHandler for MembershipNode {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        self.on_iteration(now, effects);
    }

    fn on_accepted(
        &mut self,
        _now: Micros,
        connection: ConnectionId,
        _listener: usize,
        effects: &mut Effects,
    ) {
        effects.abort(connection);
    }

    fn on_connected(&mut self, _now: Micros, _connection: ConnectionId, _effects: &mut Effects) {}

    fn on_data(&mut self, _now: Micros, _connection: ConnectionId, _frame: &Bytes, _effects: &mut Effects) {}

    fn on_disconnect(
        &mut self,
        _now: Micros,
        _connection: ConnectionId,
        _reason: DisconnectReason,
        _effects: &mut Effects,
    ) {
    }

    fn on_backpressure(
        &mut self,
        _now: Micros,
        _connection: ConnectionId,
        _backpressure: bool,
        _effects: &mut Effects,
    ) {
    }

    fn on_datagram(
        &mut self,
        now: Micros,
        _socket: usize,
        from: Address,
        datagram: &Bytes,
        _effects: &mut Effects,
    ) {
        counter!("tideroute_membership_bytes_total", "direction" => "in").increment(datagram.len() as u64);
        // A datagram that is malformed or not authentic is dropped and counted, and never answered.
        if let Err(why) = self.receive(now, from, datagram) {
            counter!("tideroute_membership_datagrams_dropped_total", "reason" => why).increment(1);
            tracing::debug!(why, "datagram dropped");
        }
    }

    fn on_timer(&mut self, _now: Micros, _key: u64, _effects: &mut Effects) {}

    fn on_iteration(&mut self, now: Micros, effects: &mut Effects) {
        self.run_outputs(now, effects);
        self.report_metrics();
        self.warn_if_alone(now);
        self.set_timer(now, effects);
    }

    fn on_message(&mut self, now: Micros, _message: &Bytes, effects: &mut Effects) {
        self.on_shutdown(now, effects);
    }

    fn on_shutdown(&mut self, now: Micros, _effects: &mut Effects) {
        self.membership.leave(now);
    }

    fn is_finished(&self) -> bool {
        self.membership.has_left()
    }
}

/// Adds the increase of each counter since the last report to its metric.
fn report_counters(stats: &MembershipStats, reported: &MembershipStats) {
    let counters = [
        ("probes", stats.probes, reported.probes),
        ("unanswered", stats.unanswered_probes, reported.unanswered_probes),
        ("suspected", stats.suspicions, reported.suspicions),
        ("declared-dead", stats.declared_dead, reported.declared_dead),
        ("refuted", stats.refutations, reported.refutations),
        ("future-incarnation", stats.future_incarnations, reported.future_incarnations),
        ("list-full", stats.list_full, reported.list_full),
        ("name-conflict", stats.name_conflicts, reported.name_conflicts),
        ("late-wakeup", stats.late_wakeups, reported.late_wakeups),
    ];
    for (event, current, last_reported) in counters {
        if current > last_reported {
            counter!("tideroute_membership_events_total", "event" => event)
                .increment(current - last_reported);
        }
    }
}

/// Logs and counts a status change, and records it in the capture for the membership checker.
fn report_status(member: &Member, effects: &mut Effects) {
    let status = match member.status {
        MemberStatus::Alive => "there",
        MemberStatus::Suspected => "suspected",
        MemberStatus::Dead => "dead",
        MemberStatus::Left => "left",
    };
    tracing::info!(name = member.name, incarnation = member.incarnation, status, "member status changed");
    counter!("tideroute_membership_status_changes_total", "status" => status).increment(1);
    effects.annotate_capture(format!("{status} {} {}", member.incarnation, member.name));
}
