//! What may be reserved for one request, and the clock by which it has to be released.

use std::collections::VecDeque;
use std::sync::Arc;

use tideroute::types::{RequestId, WorkerId};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

use super::workers::{Context, Workers};
use crate::timers::{Timeout, TimerKey};

/// Microseconds in which a running prefill worker answers a liveness check, and a running decode worker that knows of
/// the prefill a reservation call.
const LIVENESS_ANSWER_TIME: Micros = 150_000;
/// Microseconds for which a machine that vanishes is away at least: liveness is checked so often that one check falls
/// into that time.
const MIN_ABSENCE: Micros = 1_000_000;
/// Microseconds in which a worker sees that a connection to it was ended: a round trip between zones and a busy loop.
pub const CLOSE_SEEN_WITHIN: Micros = 50_000;
/// Microseconds before the end of the release timeout at which a release begins, whatever is out for the request.
pub const RELEASE_LEAD_TIME: Micros = 200_000;

/// The clock of the release timeout.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ReleaseClock {
    /// State may have been reserved since then, and the timeout runs.
    Running {
        /// When it began.
        since: Micros,
    },
    /// A prefill was known to be under way then: the timeout does not run.
    Suspended {
        /// When the prefill was last known to be under way.
        since: Micros,
        /// A liveness check has been requested since.
        is_check_requested: bool,
    },
}

/// Who ended the connection of an attempt that was out.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndedBy {
    /// This router.
    ThisSide,
    /// The worker or the network: both ends see it by themselves, at about the same time.
    Reset,
}

/// An attempt that this side has ended, or that was reset. Its worker may learn of that behind a release that was sent
/// later, or first complete what it was at, after a hang: what it then reserves outlives that release.
pub struct DisconnectedAttempt {
    /// Where it was out.
    pub worker: WorkerId,
    /// When its connection ended.
    pub ended_at: Micros,
    /// Who ended the connection.
    pub ended_by: EndedBy,
    /// Bytes have come from the worker since.
    pub is_worker_seen: bool,
}

impl DisconnectedAttempt {
    /// Whether something of it may be left after a release that began at `began_at` and has been answered.
    pub fn outlives_release<W: Workers>(&mut self, began_at: Micros, context: &Context<W>) -> bool {
        let seen_at = self.ended_at + CLOSE_SEEN_WITHIN;
        let began_after_seen = began_at >= seen_at;
        if began_after_seen && (self.is_worker_seen || self.ended_by == EndedBy::Reset) {
            return false;
        }
        // The worker runs, but one that has hung may take up the release before it sees the end: one more will do.
        self.is_worker_seen = began_after_seen && context.workers.seen_since(self.worker, seen_at);
        true
    }
}

/// A release under way.
pub struct Release {
    /// When it began.
    pub began_at: Micros,
    /// Workers yet to be tried in this round.
    pub remaining: VecDeque<WorkerId>,
    /// Calls made so far.
    pub calls: usize,
    /// Calls that are out, the oldest first.
    pub in_flight: VecDeque<ConnectionId>,
    /// When it is given up.
    pub gives_up_at: Micros,
}

/// What may be reserved for one request.
pub struct Entry {
    /// The name by which workers know the request.
    pub trace_id: Arc<str>,
    /// The worker that holds it, as far as is known.
    pub location: Option<WorkerId>,
    /// Since when the release timeout runs, if it does.
    pub clock: ReleaseClock,
    /// Nothing is reserved but what a reservation call may have brought.
    pub is_reservation_only: bool,
    /// Reservation calls that are out: what they reserve may outlive a release that has passed them.
    pub reservation_calls: Vec<ConnectionId>,
    /// Releases that were answered while such calls were out: from the third each waits twice as long as the one
    /// before.
    pub release_rounds: u32,
    /// Attempts whose workers may not have seen yet that they ended.
    pub disconnected_attempts: Vec<DisconnectedAttempt>,
    /// The request is closed: nobody will want the state again.
    pub is_request_closed: bool,
    /// When the entry is looked at next.
    pub timeout: Timeout,
    /// The release under way, if there is one.
    pub release: Option<Release>,
}

impl Entry {
    /// An entry whose timeout runs since then.
    pub fn new(trace_id: Arc<str>, since: Micros) -> Entry {
        Entry {
            trace_id,
            location: None,
            clock: ReleaseClock::Running { since },
            is_reservation_only: false,
            reservation_calls: vec![],
            release_rounds: 0,
            disconnected_attempts: vec![],
            is_request_closed: false,
            timeout: Timeout::NEVER,
            release: None,
        }
    }

    /// Since when the release timeout runs, if it does.
    pub fn running_since(&self) -> Option<Micros> {
        match self.clock {
            ReleaseClock::Running { since } => Some(since),
            ReleaseClock::Suspended { .. } => None,
        }
    }

    /// A prefill has left state at a worker, which takes the place of all that was known before.
    pub fn located_at(&mut self, worker: WorkerId) {
        self.location = Some(worker);
        self.is_reservation_only = false;
        self.release_rounds = 0;
    }

    /// Nothing is reserved, nor may anything come to be.
    pub fn holds_nothing(&self) -> bool {
        self.is_reservation_only && self.reservation_calls.is_empty() && self.disconnected_attempts.is_empty()
    }

    /// Forgets attempts at workers that have hung for so long that they are taken for gone.
    pub fn forget_hung_workers<W: Workers>(&mut self, context: &Context<W>) {
        let hang_timeout = context.workers.hang_timeout();
        self.disconnected_attempts.retain(|attempt| context.now < attempt.ended_at + hang_timeout);
    }

    /// Moves the entry's timer.
    pub fn set_timeout(&mut self, id: RequestId, at: Micros, effects: &mut Effects) {
        self.timeout.set(at, TimerKey::ReservedState(id.into()), effects);
    }

    /// A prefill is known to be under way now: the clock is suspended, until the next liveness check.
    pub fn suspend_clock<W>(&mut self, id: RequestId, release_timeout: Micros, context: &mut Context<W>) {
        self.clock = ReleaseClock::Suspended { since: context.now, is_check_requested: false };
        self.set_timeout(id, liveness_check_at(context.now, release_timeout), context.effects);
    }

    /// When a release has to begin, if the clock runs since then.
    pub fn release_due_at(&self, since: Micros, release_timeout: Micros) -> Micros {
        let wait = release_timeout - RELEASE_LEAD_TIME.min(release_timeout / 4);
        since + (wait << self.release_rounds.saturating_sub(1))
    }

    /// Ends the release under way and its calls that are out, but for the one that was answered.
    pub fn stop_release<W: Workers>(&mut self, answered: Option<ConnectionId>, context: &mut Context<W>) {
        let Some(release) = self.release.take() else { return };
        for connection in release.in_flight {
            if Some(connection) != answered {
                context.workers.abort(connection, context.effects);
            }
        }
    }

    /// Ends reservation calls that have not been written.
    pub fn cancel_unwritten_reservations<W: Workers>(&mut self, context: &mut Context<W>) {
        self.reservation_calls.retain(|connection| {
            let is_written = context.workers.is_written(*connection);
            if !is_written {
                context.workers.abort(*connection, context.effects);
            }
            is_written
        });
    }
}

/// When to check whether a prefill that was under way then still is, so that the answer is there in time.
pub fn liveness_check_at(since: Micros, release_timeout: Micros) -> Micros {
    let answer_time = LIVENESS_ANSWER_TIME.min(release_timeout / 2);
    liveness_lost_at(since, release_timeout) - answer_time
}

/// When a prefill that was under way then, and of which no sign came since, counts as lost. What the protocol
/// allows beyond the release timeout is left for the release.
pub fn liveness_lost_at(since: Micros, release_timeout: Micros) -> Micros {
    since + release_timeout.min(MIN_ABSENCE)
}

/// Who is told to release, in order: the worker that holds the state, then whoever was seen last, for one call to any
/// worker that runs will do.
pub fn release_order<W: Workers>(location: Option<WorkerId>, workers: &W) -> VecDeque<WorkerId> {
    let first = location.filter(|worker| workers.is_listed(*worker));
    let mut order: VecDeque<_> = first.into_iter().collect();
    order.extend(workers.workers_by_last_seen().into_iter().filter(|worker| Some(*worker) != first));
    order
}
