//! What is heard on each kind of link, as calls on the host.

use bytes::Bytes;
use tideroute::types::{AttemptOutcome, Endpoint, EndpointStatus, TenthMillis};
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{client, endpoint_list, worker, Address, Malformed, Micros};

use crate::host::Host;
use crate::lifecycle::MICROS_PER_TENTH_MILLI;
use crate::request_table::RequestState;
use crate::wires::Said;

pub(crate) struct ClientLink<'a> {
    pub host: &'a mut Host,
    pub now: Micros,
    pub connection: ConnectionId,
    pub effects: &'a mut Effects,
}

impl client::Router for ClientLink<'_> {
    fn submit(
        &mut self,
        number: u64,
        class: u8,
        session: u64,
        prefix: u64,
        prompt_tokens: u32,
        prefix_tokens: u32,
        most_tokens: u32,
        left: Micros,
        mark: u64,
        prompt: Bytes,
    ) -> Result<(), Malformed> {
        if prefix_tokens > prompt_tokens {
            return Err(Malformed::Range("prefix_tokens"));
        }
        if most_tokens == 0 {
            return Err(Malformed::Range("most_tokens"));
        }
        // A day is longer than any client waits, and keeps sums of times far from their ends.
        let left =
            self.host.lifecycle.remaining_time(left.min(DAY)).saturating_sub(self.host.config.network_delay);
        let said = Said { client: self.connection, number, prefix_tokens, most_tokens, mark, prompt };
        let request =
            RequestState::new(said, class, (session, prefix), prompt_tokens).with_deadline(self.now, left);
        self.host.submitted(self.now, request, self.effects)
    }

    /// A number that is not open was answered a moment ago.
    fn cancel(&mut self, number: u64) -> Result<(), Malformed> {
        let client = self.host.clients.get_mut(self.connection).ok_or(Malformed::Hello)?;
        if let Some(id) = client.open.remove(&number) {
            self.host.dropped(self.now, id, self.effects);
        }
        Ok(())
    }
}

/// Microseconds.
const DAY: Micros = 86_400_000_000;

pub(crate) struct WorkerLink<'a> {
    pub host: &'a mut Host,
    pub now: Micros,
    pub connection: ConnectionId,
    pub effects: &'a mut Effects,
}

impl WorkerLink<'_> {
    fn worker(&self) -> Result<Address, Malformed> {
        self.host.lines.worker_of(self.connection).ok_or(Malformed::Hello)
    }

    fn is_out(&self, id: u64, attempt: u16) -> Result<bool, Malformed> {
        Ok(self.host.lifecycle.is_in_flight(id, attempt, self.worker()?))
    }
}

impl worker::Router for WorkerLink<'_> {
    fn reservation_answered(&mut self, id: u64, held: bool) -> Result<(), Malformed> {
        let worker = self.worker()?;
        let (lifecycle, mut wires) = self.host.parts(self.effects);
        lifecycle.reservation_answered(self.now, id, worker, held, &mut wires);
        Ok(())
    }

    fn prefill_completed(
        &mut self,
        id: u64,
        attempt: u16,
        _kept_tokens: u32,
        _state_bytes: u64,
    ) -> Result<(), Malformed> {
        if self.is_out(id, attempt)? {
            let reading = self
                .host
                .lifecycle
                .requests
                .get(id)
                .and_then(|s| s.attempt.as_ref())
                .is_some_and(|s| s.is_prefill);
            if !reading {
                return Err(Malformed::Order("a state from a shot that writes"));
            }
            self.host.settle(self.now, id, attempt, AttemptOutcome::PrefillComplete, self.effects);
        }
        Ok(())
    }

    fn token(&mut self, id: u64, attempt: u16, index: u32, text: Bytes) -> Result<(), Malformed> {
        if !self.is_out(id, attempt)? {
            return Ok(());
        }
        let Some(s) = self.host.lifecycle.requests.get_mut(id) else { return Ok(()) };
        let (client, number) = (s.context.client, s.context.number);
        let Some(attempt) = s.attempt.as_mut() else { return Ok(()) };
        if attempt.is_prefill || index != attempt.tokens {
            return Err(Malformed::Order("a token"));
        }
        (attempt.tokens, attempt.unacknowledged_tokens) =
            (attempt.tokens + 1, attempt.unacknowledged_tokens + 1);
        let (lifecycle, mut wires) = self.host.parts(self.effects);
        lifecycle.response_started(self.now, id, &mut wires);
        self.effects.send(client, client::token(number, index, text));
        let half = self.host.config.stream_window_tokens / 2;
        self.host.pay(id, half, self.effects);
        Ok(())
    }

    fn completed(&mut self, id: u64, attempt: u16, tokens: u32) -> Result<(), Malformed> {
        if self.is_out(id, attempt)? {
            let s = self.host.lifecycle.requests.get(id).and_then(|s| s.attempt.as_ref());
            if s.is_none_or(|s| s.tokens != tokens || tokens == 0) {
                return Err(Malformed::Order("the end of a stream"));
            }
            self.host.settle(self.now, id, attempt, AttemptOutcome::Completed, self.effects);
        }
        Ok(())
    }

    fn attempt_ended(&mut self, id: u64, attempt: u16, how: worker::AttemptFailure) -> Result<(), Malformed> {
        if self.is_out(id, attempt)? {
            let outcome = match how {
                worker::AttemptFailure::Rejected => AttemptOutcome::Rejected,
                worker::AttemptFailure::StateMissing => AttemptOutcome::StateMissing,
                worker::AttemptFailure::ServerError => AttemptOutcome::ServerError,
            };
            self.host.settle(self.now, id, attempt, outcome, self.effects);
        }
        Ok(())
    }

    fn health_reported(
        &mut self,
        nonce: u64,
        reads: u32,
        streams: u32,
        waiting: u32,
    ) -> Result<(), Malformed> {
        let worker = self.worker()?;
        if self.host.lines.at(worker).probe == Some(nonce) {
            let (lifecycle, mut wires) = self.host.parts(self.effects);
            let attempts = reads.saturating_add(streams).saturating_add(waiting);
            lifecycle.load_reported(self.now, nonce, f64::from(attempts));
            lifecycle.health_check_finished(self.now, nonce, true, &mut wires);
        }
        Ok(())
    }
}

pub(crate) struct ListLink<'a> {
    pub host: &'a mut Host,
    pub now: Micros,
}

impl endpoint_list::Router for ListLink<'_> {
    fn begin_update(&mut self, version: u64, whole: bool) -> Result<(), Malformed> {
        if !whole && version <= self.host.lifecycle.endpoint_list_version() {
            return Err(Malformed::Order("a page"));
        }
        self.host.lifecycle.begin_endpoint_update(self.now, version, whole);
        self.host.list_changed = true;
        Ok(())
    }

    fn endpoint(
        &mut self,
        worker: Address,
        kind: u16,
        size: f64,
        status: endpoint_list::EndpointStatus,
        cell: u16,
        zone: u8,
        started: Micros,
    ) -> Result<(), Malformed> {
        let status = match status {
            endpoint_list::EndpointStatus::Removed => EndpointStatus::Removed,
            endpoint_list::EndpointStatus::Serving => EndpointStatus::Serving,
            endpoint_list::EndpointStatus::Draining => EndpointStatus::Draining,
        };
        let started = (started / MICROS_PER_TENTH_MILLI) as TenthMillis;
        self.host.lifecycle.endpoint_updated(
            self.now,
            Endpoint { worker, kind, size, status, cell, zone, start_time: started },
        );
        Ok(())
    }
}
