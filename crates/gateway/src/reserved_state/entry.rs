//! What workers may hold for one request, and the clock that decides when it has to be released.

use std::collections::VecDeque;
use std::sync::Arc;

use tideroute::types::{RequestId, WorkerId};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

use super::workers::{Context, Workers};
use crate::timers::{Timeout, TimerKey};

/// Microseconds in which a running prefill worker answers a liveness check, and in which a running decode worker that
/// knows of the prefill answers a reservation call.
const LIVENESS_ANSWER_TIME: Micros = 150_000;
/// Minimum number of microseconds for which a machine that disappears stays away. Liveness is checked often enough for
/// one check to fall into that time.
const MIN_ABSENCE: Micros = 1_000_000;
/// Microseconds in which a worker sees that a connection to it was ended: a round trip between zones, and the delay of
/// a busy event loop.
pub const CLOSE_SEEN_WITHIN: Micros = 50_000;
/// Microseconds before the end of the release timeout at which a release begins, whatever is in flight for the request.
pub const RELEASE_LEAD_TIME: Micros = 200_000;

/// The clock of the release timeout.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ReleaseClock {
    /// State may have been held since `since`, and the timeout runs.
    Running {
        /// When the clock began to run.
        since: Micros,
    },
    /// A prefill was known to be in progress at `since`, and the timeout does not run.
    Suspended {
        /// When the prefill was last known to be in progress.
        since: Micros,
        /// Whether a liveness check has been requested since.
        is_check_requested: bool,
    },
}

/// Who ended the connection of an attempt in flight.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndedBy {
    /// This router.
    ThisSide,
    /// The worker or the network: each end of the connection notices it by itself, at about the same time.
    Reset,
}

/// An attempt whose connection this router has ended, or that was reset. Its worker may notice the end only after it
/// has handled a release call that was sent later, or may first complete its work after a hang. What it reserves then
/// outlives that release.
pub struct DisconnectedAttempt {
    /// The worker that the attempt was sent to.
    pub worker: WorkerId,
    /// When its connection ended.
    pub ended_at: Micros,
    /// Who ended the connection.
    pub ended_by: EndedBy,
    /// Whether bytes have arrived from the worker since.
    pub is_worker_seen: bool,
}

impl DisconnectedAttempt {
    /// Returns whether the worker may still hold something for the attempt after a release that began at `began_at`
    /// and has been answered.
    pub fn outlives_release<W: Workers>(&mut self, began_at: Micros, context: &Context<W>) -> bool {
        let seen_at = self.ended_at + CLOSE_SEEN_WITHIN;
        let began_after_seen = began_at >= seen_at;
        if began_after_seen && (self.is_worker_seen || self.ended_by == EndedBy::Reset) {
            return false;
        }
        // Bytes that arrived from the worker show that it is running. A worker that has hung may still have handled
        // this release before it saw the end of the connection: one more release is needed, and is enough.
        self.is_worker_seen = began_after_seen && context.workers.seen_since(self.worker, seen_at);
        true
    }
}

/// A release in progress.
pub struct Release {
    /// When it began.
    pub began_at: Micros,
    /// Workers not yet called in this round.
    pub remaining: VecDeque<WorkerId>,
    /// Number of calls made so far.
    pub calls: usize,
    /// Calls without an answer yet, the oldest first.
    pub in_flight: VecDeque<ConnectionId>,
    /// When the release is abandoned.
    pub gives_up_at: Micros,
}

/// What workers may hold for one request.
pub struct Entry {
    /// The name by which workers know the request.
    pub trace_id: Arc<str>,
    /// The worker that holds the state, if one is known.
    pub location: Option<WorkerId>,
    /// Whether the release timeout is running, and since when.
    pub clock: ReleaseClock,
    /// Whether nothing is held except what a reservation call may have reserved.
    pub is_reservation_only: bool,
    /// Reservation calls in flight: what they reserve may outlive a release call that has overtaken them.
    pub reservation_calls: Vec<ConnectionId>,
    /// Number of releases answered while such calls were in flight: from the third on, each waits twice as long as
    /// the one before.
    pub release_rounds: u32,
    /// Attempts whose workers may not have seen yet that they ended.
    pub disconnected_attempts: Vec<DisconnectedAttempt>,
    /// Whether the request is closed and will not need the state again.
    pub is_request_closed: bool,
    /// When the entry's timer fires next.
    pub timeout: Timeout,
    /// The release in progress, if there is one.
    pub release: Option<Release>,
}

impl Entry {
    /// Creates an entry whose release timeout runs from `since`.
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

    /// Returns since when the release timeout runs; `None` while it is suspended.
    pub fn running_since(&self) -> Option<Micros> {
        match self.clock {
            ReleaseClock::Running { since } => Some(since),
            ReleaseClock::Suspended { .. } => None,
        }
    }

    /// Records that a prefill has left state at `worker`, which replaces all that was known before.
    pub fn record_state_at(&mut self, worker: WorkerId) {
        self.location = Some(worker);
        self.is_reservation_only = false;
        self.release_rounds = 0;
    }

    /// Returns whether nothing is held and no call in flight can change that.
    pub fn holds_nothing(&self) -> bool {
        self.is_reservation_only && self.reservation_calls.is_empty() && self.disconnected_attempts.is_empty()
    }

    /// Forgets disconnected attempts whose workers have hung for so long that they count as gone.
    pub fn forget_hung_workers<W: Workers>(&mut self, context: &Context<W>) {
        let hang_timeout = context.workers.hang_timeout();
        self.disconnected_attempts.retain(|attempt| context.now < attempt.ended_at + hang_timeout);
    }

    /// Sets the entry's timeout to expire at `expires_at`.
    pub fn set_timeout(&mut self, id: RequestId, expires_at: Micros, effects: &mut Effects) {
        self.timeout.set(expires_at, TimerKey::ReservedState(id.into()), effects);
    }

    /// Suspends the release clock until the next liveness check, because a prefill is known to be in progress now.
    pub fn suspend_clock<W>(&mut self, id: RequestId, release_timeout: Micros, context: &mut Context<W>) {
        self.clock = ReleaseClock::Suspended { since: context.now, is_check_requested: false };
        self.set_timeout(id, liveness_check_at(context.now, release_timeout), context.effects);
    }

    /// Returns when a release has to begin if the release clock runs from `since`.
    pub fn release_due_at(&self, since: Micros, release_timeout: Micros) -> Micros {
        let wait = release_timeout - RELEASE_LEAD_TIME.min(release_timeout / 4);
        since + (wait << self.release_rounds.saturating_sub(1))
    }

    /// Ends the release in progress and aborts its calls in flight, except the one that was answered.
    pub fn stop_release<W: Workers>(&mut self, answered: Option<ConnectionId>, context: &mut Context<W>) {
        let Some(release) = self.release.take() else { return };
        for connection in release.in_flight {
            if Some(connection) != answered {
                context.workers.abort(connection, context.effects);
            }
        }
    }

    /// Aborts the reservation calls that have not been written.
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

/// Returns when to check whether a prefill that was in progress at `since` still is, so that the answer arrives in
/// time.
pub fn liveness_check_at(since: Micros, release_timeout: Micros) -> Micros {
    let answer_time = LIVENESS_ANSWER_TIME.min(release_timeout / 2);
    liveness_lost_at(since, release_timeout) - answer_time
}

/// Returns when a prefill that was in progress at `since`, and gave no sign of life after that, counts as lost. The
/// time that the protocol allows beyond the release timeout is left for the release.
pub fn liveness_lost_at(since: Micros, release_timeout: Micros) -> Micros {
    since + release_timeout.min(MIN_ABSENCE)
}

/// Returns the workers to send release calls to, in order: the worker that holds the state, then the others by when
/// they were last seen. One call to any running worker is enough.
pub fn release_order<W: Workers>(location: Option<WorkerId>, workers: &W) -> VecDeque<WorkerId> {
    let first = location.filter(|worker| workers.is_listed(*worker));
    let mut order: VecDeque<_> = first.into_iter().collect();
    order.extend(workers.workers_by_last_seen().into_iter().filter(|worker| Some(*worker) != first));
    order
}
