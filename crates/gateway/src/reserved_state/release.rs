//! Releases: the calls that tell workers to free what is reserved for a request, until one of them has answered.

use std::collections::VecDeque;

use tideroute::types::{RequestId, WorkerId};
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

use super::entry::{release_order, Release, ReleaseClock, RELEASE_LEAD_TIME};
use super::workers::{Context, Workers};
use super::ReservedStateManager;

/// Microseconds after which a worker that has not answered is no longer waited for alone: some round trips and a
/// handshake, and short enough that several workers can be tried within any release timeout.
const ANSWER_TIMEOUT: Micros = 100_000;
/// Calls that are out at once for one request at most. Each time as many more are made as were made before, so that of
/// a fleet of which half can't be reached one worker is found within any release timeout.
const MAX_CALLS_IN_FLIGHT: usize = 16;
/// Microseconds that the protocol allows beyond the release timeout of the settings.
const GRACE_PERIOD: Micros = 300_000;

impl ReservedStateManager {
    /// Nobody wants what is reserved for a request: it is released now. Without an entry there is nothing to do.
    pub fn release_now<W: Workers>(&mut self, id: RequestId, context: &mut Context<W>) {
        self.cancel_unwritten_reservations(id, context);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.release.is_some() {
            return;
        }
        let since = entry.running_since().unwrap_or(context.now);
        entry.clock = ReleaseClock::Running { since };
        let lasts_until = (since + self.release_timeout).max(context.now + RELEASE_LEAD_TIME);
        tracing::debug!(id, worker = ?entry.location, reserved_for = context.now - since, "releases reserved state");
        entry.release = Some(Release {
            began_at: context.now,
            remaining: release_order(entry.location, context.workers),
            calls: 0,
            in_flight: VecDeque::new(),
            gives_up_at: lasts_until + GRACE_PERIOD,
        });
        self.send_release_calls(id, 1, context);
    }

    /// The same of what the lifecycle takes to be reserved, at that worker as far as it knows. Without an entry nothing
    /// ever came to be: a reservation that was wanted was never requested, or state has been released since.
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

    /// Makes so many calls more, and sets the timer for those after them.
    fn send_release_calls<W: Workers>(&mut self, id: RequestId, more: usize, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Some(release) = &mut entry.release else { return };
        if context.now >= release.gives_up_at {
            tracing::warn!(id, calls = release.calls, "no worker could be told to release reserved state");
            entry.forget_hung_workers(context);
            return self.mark_released(id, None, context);
        }
        for _ in 0..more.min(MAX_CALLS_IN_FLIGHT) {
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

    /// No worker has answered a release in time: as many more are told as were told before.
    pub(super) fn release_call_timed_out<W: Workers>(&mut self, id: RequestId, context: &mut Context<W>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Some(release) = &mut entry.release else { return };
        if release.remaining.is_empty() {
            release.remaining = release_order(entry.location, context.workers);
        }
        let more = release.calls.max(1);
        self.send_release_calls(id, more, context);
    }

    /// A connection with a release call on it came to nothing.
    pub fn release_call_failed<W: Workers>(
        &mut self,
        id: RequestId,
        connection: ConnectionId,
        context: &mut Context<W>,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Some(release) = &mut entry.release else { return };
        release.in_flight.retain(|call| *call != connection);
        // Beyond the first few, and where a round begins anew, it goes on by time alone, or failures would follow each
        // other without a pause, through all of a fleet that can't be reached.
        let goes_on = release.in_flight.is_empty() && !release.remaining.is_empty();
        if goes_on && release.calls < MAX_CALLS_IN_FLIGHT {
            self.send_release_calls(id, 1, context);
        }
    }
}

impl Release {
    /// Tells the next worker that can be reached.
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
