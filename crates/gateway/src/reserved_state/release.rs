//! Release calls, which tell workers to free what is held for a request, until one worker has answered.

use std::collections::VecDeque;

use tideroute::types::{RequestId, WorkerId};
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

use super::entry::{release_order, Release, ReleaseClock, RELEASE_LEAD_TIME};
use super::workers::{Context, Workers};
use super::ReservedStateManager;

/// Microseconds without an answer after which further workers are called: enough for some round trips and a handshake,
/// and short enough that several workers can be tried within any release timeout.
const ANSWER_TIMEOUT: Micros = 100_000;
/// Maximum number of release calls in flight at once for one request. Each timeout makes as many further calls
/// as were made before, so that one reachable worker is found within any release timeout even if half of the workers
/// can't be reached.
const MAX_CALLS_IN_FLIGHT: usize = 16;
/// Microseconds that the protocol allows beyond the release timeout of the settings.
const GRACE_PERIOD: Micros = 300_000;

impl ReservedStateManager {
    /// Starts the release of what is held for a request, unless one is in progress. Does nothing without an entry.
    pub fn release_now<W: Workers>(&mut self, id: RequestId, context: &mut Context<W>) {
        self.cancel_unwritten_reservations(id, context);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.release.is_some() {
            return;
        }
        let since = entry.running_since().unwrap_or(context.now);
        entry.clock = ReleaseClock::Running { since };
        let timeout_at = (since + self.release_timeout).max(context.now + RELEASE_LEAD_TIME);
        tracing::debug!(id, worker = ?entry.location, reserved_for = context.now - since, "release of reserved state started");
        entry.release = Some(Release {
            began_at: context.now,
            remaining: release_order(entry.location, context.workers),
            calls: 0,
            in_flight: VecDeque::new(),
            gives_up_at: timeout_at + GRACE_PERIOD,
        });
        self.send_release_calls(id, 1, context);
    }

    /// Like [`release_now`](Self::release_now), for what the lifecycle believes to be held at `worker`, if it knows the
    /// worker. Without an entry nothing is held: a planned reservation was never requested, or the state has been
    /// released since.
    pub fn release_at<W: Workers>(
        &mut self,
        id: RequestId,
        worker: Option<WorkerId>,
        context: &mut Context<W>,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.location = worker.or(entry.location);
        self.release_now(id, context);
    }

    /// Makes `call_count` further release calls, and sets the timer for the calls after them.
    fn send_release_calls<W: Workers>(&mut self, id: RequestId, call_count: usize, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Some(release) = &mut entry.release else { return };
        if context.now >= release.gives_up_at {
            tracing::warn!(
                id,
                calls = release.calls,
                "release of reserved state not answered by any worker; giving up"
            );
            entry.forget_hung_workers(context);
            return self.mark_released(id, None, context);
        }
        for _ in 0..call_count.min(MAX_CALLS_IN_FLIGHT) {
            let Some(connection) = release.send_call(id, &entry.trace_id, context) else { break };
            release.calls += 1;
            release.in_flight.push_back(connection);
            if release.in_flight.len() <= MAX_CALLS_IN_FLIGHT {
                continue;
            }
            if let Some(oldest) = release.in_flight.pop_front() {
                context.workers.abort(oldest, context.effects);
            }
        }
        entry.set_timeout(id, context.now + ANSWER_TIMEOUT, context.effects);
    }

    /// Handles a release that no worker has answered in time: makes as many more calls as were made before.
    pub(super) fn release_call_timed_out<W: Workers>(&mut self, id: RequestId, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Some(release) = &mut entry.release else { return };
        if release.remaining.is_empty() {
            release.remaining = release_order(entry.location, context.workers);
        }
        let call_count = release.calls.max(1);
        self.send_release_calls(id, call_count, context);
    }

    /// Records that the connection of a release call has failed.
    pub fn release_call_failed<W: Workers>(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        context: &mut Context<W>,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Some(release) = &mut entry.release else { return };
        release.in_flight.retain(|call| *call != connection);
        // After the first `MAX_CALLS_IN_FLIGHT` calls, and at the start of a round, only the timer makes further calls.
        // Otherwise calls would fail one after another without a pause while no worker can be reached.
        let continues = release.in_flight.is_empty() && !release.remaining.is_empty();
        if continues && release.calls < MAX_CALLS_IN_FLIGHT {
            self.send_release_calls(id, 1, context);
        }
    }
}

impl Release {
    /// Sends a release call to the next worker that can be reached; `None` if no worker is left in this round.
    fn send_call<W: Workers>(
        &mut self,
        id: RequestId,
        trace_id: &str,
        context: &mut Context<W>,
    ) -> Option<ConnectionId> {
        while let Some(worker) = self.remaining.pop_front() {
            let call = context.workers.send_release(context.now, worker, id, trace_id, context.effects);
            if call.is_some() {
                return call;
            }
        }
        None
    }
}
