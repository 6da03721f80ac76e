//! Events of worker connections.

use bytes::Bytes;
use tideroute::types::{AttemptOutcome, RequestId, WorkerId};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects};
use tideroute_wire::{client, worker, Malformed, Micros};

use super::state::RouterState;
use crate::request_state::Attempt;
use crate::worker_address::WorkerAddress;

/// A worker is granted further tokens once its client has been sent the stream's window divided by this number.
const GRANT_WINDOW_DIVISOR: u32 = 2;

/// Handles one event of one worker connection.
pub(super) struct WorkerEvents<'a> {
    pub state: &'a mut RouterState,
    pub now: Micros,
    pub connection: ConnectionId,
    pub effects: &'a mut Effects,
}

impl WorkerEvents<'_> {
    fn worker(&self) -> Result<WorkerId, Malformed> {
        self.state.workers.worker_of(self.connection).ok_or(Malformed::Hello)
    }

    /// Returns whether a message is about the attempt in flight; messages about other attempts are stale.
    fn is_in_flight(&self, id: RequestId, attempt: u16) -> Result<bool, Malformed> {
        Ok(self.state.lifecycle.is_in_flight(id, attempt, self.worker()?))
    }

    fn current_attempt(&self, id: RequestId) -> Option<&Attempt> {
        self.state.lifecycle.requests.get(id)?.attempt.as_ref()
    }

    fn finish_attempt(&mut self, id: RequestId, number: u16, outcome: AttemptOutcome) {
        self.state.finish_attempt(self.now, id, number, outcome, self.effects);
    }

    /// Handles a connection that has ended or was never established: everything in flight on it ends.
    pub fn disconnected(&mut self, reason: DisconnectReason) {
        let Some((worker, in_flight)) = self.state.workers.remove(self.connection) else { return };
        tracing::info!(
            worker = %WorkerAddress(worker),
            ?reason,
            attempts = in_flight.attempts.len(),
            "worker connection lost"
        );
        for id in in_flight.reservations {
            if let Some(request) = self.state.lifecycle.requests.get_mut(id) {
                request.reservations.retain(|&decode_worker| decode_worker != worker);
            }
        }
        let outcome = match reason {
            DisconnectReason::ConnectFailed => AttemptOutcome::Unreachable,
            DisconnectReason::LocalFailure => AttemptOutcome::NotSent,
            DisconnectReason::Reset => AttemptOutcome::ConnectionReset,
        };
        for id in in_flight.attempts {
            if let Some(number) = self.current_attempt(id).map(|attempt| attempt.number) {
                self.finish_attempt(id, number, outcome);
            }
        }
        if let Some(nonce) = in_flight.pending_health_check {
            let (lifecycle, mut transport) = self.state.split(self.effects);
            lifecycle.health_check_finished(self.now, nonce, false, &mut transport);
        }
    }
}

impl worker::Router for WorkerEvents<'_> {
    fn reservation_answered(&mut self, id: u64, granted: bool) -> Result<(), Malformed> {
        let worker = self.worker()?;
        let (lifecycle, mut transport) = self.state.split(self.effects);
        lifecycle.reservation_answered(self.now, id, worker, granted, &mut transport);
        Ok(())
    }

    fn prefill_completed(
        &mut self,
        id: u64,
        attempt: u16,
        _cached_tokens: u32,
        _state_bytes: u64,
    ) -> Result<(), Malformed> {
        if !self.is_in_flight(id, attempt)? {
            return Ok(());
        }
        if !self.current_attempt(id).is_some_and(|attempt| attempt.is_prefill) {
            return Err(Malformed::Order("KV state from an attempt that decodes"));
        }
        self.finish_attempt(id, attempt, AttemptOutcome::PrefillComplete);
        Ok(())
    }

    fn token(&mut self, id: u64, attempt: u16, index: u32, text: Bytes) -> Result<(), Malformed> {
        if !self.is_in_flight(id, attempt)? {
            return Ok(());
        }
        let Some(request) = self.state.lifecycle.requests.get_mut(id) else { return Ok(()) };
        let Some(attempt) = &mut request.attempt else { return Ok(()) };
        if attempt.is_prefill || index != attempt.tokens {
            return Err(Malformed::Order("a token"));
        }
        attempt.tokens += 1;
        attempt.unacknowledged_tokens += 1;
        let client = request.context.client;
        let number = request.context.number;
        let (lifecycle, mut transport) = self.state.split(self.effects);
        lifecycle.response_started(self.now, id, &mut transport);
        self.effects.send(client, client::token(number, index, text));
        let min_tokens = self.state.config.stream_window_tokens / GRANT_WINDOW_DIVISOR;
        self.state.grant_tokens(id, min_tokens, self.effects);
        Ok(())
    }

    fn completed(&mut self, id: u64, attempt: u16, tokens: u32) -> Result<(), Malformed> {
        if !self.is_in_flight(id, attempt)? {
            return Ok(());
        }
        let relayed_tokens = self.current_attempt(id).map(|attempt| attempt.tokens);
        if relayed_tokens != Some(tokens) || tokens == 0 {
            return Err(Malformed::Order("the end of a stream"));
        }
        self.finish_attempt(id, attempt, AttemptOutcome::Completed);
        Ok(())
    }

    fn attempt_ended(
        &mut self,
        id: u64,
        attempt: u16,
        failure: worker::AttemptFailure,
    ) -> Result<(), Malformed> {
        if !self.is_in_flight(id, attempt)? {
            return Ok(());
        }
        let outcome = match failure {
            worker::AttemptFailure::Rejected => AttemptOutcome::Rejected,
            worker::AttemptFailure::StateMissing => AttemptOutcome::StateMissing,
            worker::AttemptFailure::ServerError => AttemptOutcome::ServerError,
        };
        self.finish_attempt(id, attempt, outcome);
        Ok(())
    }

    fn health_reported(
        &mut self,
        nonce: u64,
        prefills: u32,
        streams: u32,
        waiting: u32,
    ) -> Result<(), Malformed> {
        let worker = self.worker()?;
        if self.state.workers.entry(worker).pending_health_check != Some(nonce) {
            return Ok(());
        }
        let attempts = prefills.saturating_add(streams).saturating_add(waiting);
        let (lifecycle, mut transport) = self.state.split(self.effects);
        lifecycle.load_reported(self.now, nonce, f64::from(attempts));
        lifecycle.health_check_finished(self.now, nonce, true, &mut transport);
        Ok(())
    }
}
