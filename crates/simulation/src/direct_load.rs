//! The baseline without a router: a client that knows the workers and sends each request to a prefill worker, which a
//! [`PrefillPolicy`] chooses, and to a decode worker of the same cell. Compared with it, a measurement shows the latency
//! that a router adds, and how well simple policies balance the load.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tideroute_config_language::records::Load as LoadConfig;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::worker::{self, AttemptFailure};
use tideroute_wire::{say_router, Address, Malformed, Micros};

use crate::prefill_policies::{PrefillChooser, PrefillPolicy};
use crate::traffic::{plan_requests, PlannedRequest};

/// Microseconds after which connecting to a worker times out.
const CONNECT_TIMEOUT: Micros = 1_000_000;
/// Tokens that a decode worker may send without a further grant; large enough for a whole response.
const STREAM_WINDOW_TOKENS: u32 = 1 << 16;

/// What the direct client knows of a worker.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct KnownWorker {
    /// The address at which it listens.
    pub address: Address,
    /// Whether it is a prefill worker; otherwise it is a decode worker.
    #[serde(rename = "reader")]
    pub is_prefill: bool,
    /// Its cell.
    pub cell: u16,
    /// Its relative capacity.
    pub size: f64,
}

/// The workers and the client of a request in flight.
struct DirectRequest {
    prefill_worker: Address,
    decode_worker: Address,
    client: usize,
    is_prefilling: bool,
}

/// The direct requests of all clients, as an event handler.
pub struct DirectLoad {
    workers: Vec<KnownWorker>,
    chooser: PrefillChooser,
    planned: Vec<PlannedRequest>,
    next_request: usize,
    started_at: Micros,
    connections: BTreeMap<Address, ConnectionId>,
    in_flight: BTreeMap<u64, DirectRequest>,
    open_streams: BTreeMap<Address, u32>,
    /// Number of requests that have ended.
    pub ended: u64,
    /// Number of the ended requests that failed.
    pub failed: u64,
}

impl DirectLoad {
    /// Creates a load that begins when the event loop starts; the policy chooses prefill workers.
    pub fn new(config: &LoadConfig, workers: Vec<KnownWorker>, policy: PrefillPolicy) -> DirectLoad {
        DirectLoad {
            workers,
            chooser: PrefillChooser::new(policy, config.routers.len(), config.seed),
            planned: plan_requests(config),
            next_request: 0,
            started_at: 0,
            connections: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            open_streams: BTreeMap::new(),
            ended: 0,
            failed: 0,
        }
    }

    /// Sends the requests that are due. Each is a prefill, and a reservation at the decode worker with the fewest open
    /// streams in the cell of the prefill worker.
    fn send_due_requests(&mut self, now: Micros, effects: &mut Effects) {
        while let Some(planned) =
            self.planned.get(self.next_request).filter(|planned| self.started_at + planned.at <= now).cloned()
        {
            let id = self.next_request as u64 + 1;
            self.next_request += 1;
            let prefill_workers: Vec<_> = self.workers.iter().filter(|worker| worker.is_prefill).collect();
            let sizes: Vec<_> = prefill_workers.iter().map(|worker| (worker.address, worker.size)).collect();
            let Some(index) = self.chooser.choose(now, planned.client, planned.session, &sizes) else {
                continue;
            };
            let prefill_worker = prefill_workers[index];
            let in_same_cell =
                |worker: &&KnownWorker| !worker.is_prefill && worker.cell == prefill_worker.cell;
            let load = |worker: &&KnownWorker| self.open_streams.get(&worker.address).copied().unwrap_or(0);
            let Some(decode_worker) = self.workers.iter().filter(in_same_cell).min_by_key(load) else {
                continue;
            };
            let (prefill_worker, decode_worker) = (prefill_worker.address, decode_worker.address);
            *self.open_streams.entry(decode_worker).or_default() += 1;
            self.in_flight.insert(
                id,
                DirectRequest { prefill_worker, decode_worker, client: planned.client, is_prefilling: true },
            );
            self.chooser.record(now, planned.client, prefill_worker, true);
            let prefill = worker::prefill(
                id,
                0,
                planned.class,
                planned.session,
                planned.prefix,
                planned.prompt_tokens,
                planned.prefix_tokens,
                planned.timeout,
                planned.prompt,
            );
            effects.send(self.connections[&prefill_worker], prefill);
            effects.send(
                self.connections[&decode_worker],
                worker::reserve(id, planned.prompt_tokens, planned.max_tokens, prefill_worker),
            );
        }
        if let Some(planned) = self.planned.get(self.next_request) {
            effects.set_timer(self.started_at + planned.at, 0);
        }
    }

    /// Handles the end of the prefill of a request; has no effect if it has ended before.
    fn prefill_ended(&mut self, now: Micros, id: u64) {
        if let Some(in_flight) = self.in_flight.get_mut(&id).filter(|request| request.is_prefilling) {
            in_flight.is_prefilling = false;
            self.chooser.record(now, in_flight.client, in_flight.prefill_worker, false);
        }
    }

    fn finish(&mut self, now: Micros, id: u64, completed: bool) {
        self.prefill_ended(now, id);
        if let Some(in_flight) = self.in_flight.remove(&id) {
            *self.open_streams.entry(in_flight.decode_worker).or_default() -= 1;
            self.ended += 1;
            self.failed += u64::from(!completed);
        }
    }
}

struct MessageHandler<'a> {
    load: &'a mut DirectLoad,
    now: Micros,
    effects: &'a mut Effects,
}

impl worker::Router for MessageHandler<'_> {
    fn reservation_answered(&mut self, _id: u64, _reserved: bool) -> Result<(), Malformed> {
        Ok(())
    }

    fn prefill_completed(
        &mut self,
        id: u64,
        _attempt: u16,
        _kept_tokens: u32,
        _bytes: u64,
    ) -> Result<(), Malformed> {
        self.load.prefill_ended(self.now, id);
        let (load, effects) = (&self.load, &mut *self.effects);
        let (Some(in_flight), Some(planned)) = (load.in_flight.get(&id), load.planned.get(id as usize - 1))
        else {
            return Ok(());
        };
        let decode = worker::decode(
            id,
            1,
            planned.class,
            planned.prompt_tokens,
            planned.max_tokens,
            planned.timeout,
            planned.idempotency_key,
            Some(in_flight.prefill_worker),
            STREAM_WINDOW_TOKENS,
            planned.session,
            planned.prefix,
            planned.prefix_tokens,
            planned.prompt.clone(),
        );
        effects.send(load.connections[&in_flight.decode_worker], decode);
        Ok(())
    }

    fn token(&mut self, _id: u64, _attempt: u16, _index: u32, _text: Bytes) -> Result<(), Malformed> {
        Ok(())
    }

    fn completed(&mut self, id: u64, _attempt: u16, _tokens: u32) -> Result<(), Malformed> {
        self.load.finish(self.now, id, true);
        Ok(())
    }

    fn attempt_ended(&mut self, id: u64, _attempt: u16, _failure: AttemptFailure) -> Result<(), Malformed> {
        self.load.finish(self.now, id, false);
        Ok(())
    }

    fn health_reported(
        &mut self,
        _nonce: u64,
        _prefills: u32,
        _streams: u32,
        _waiting: u32,
    ) -> Result<(), Malformed> {
        Ok(())
    }
}

/// The origin of this client in the worker protocol; only one such client connects to the workers.
const ORIGIN: tideroute_wire::Origin = 1;

impl EventHandler for DirectLoad {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        self.started_at = now;
        for worker in &self.workers {
            let connection = effects.connect(worker.address, CONNECT_TIMEOUT);
            effects.send(connection, say_router("straight", ORIGIN));
            self.connections.insert(worker.address, connection);
        }
        self.send_due_requests(now, effects);
    }

    fn on_accepted(
        &mut self,
        _now: Micros,
        connection: ConnectionId,
        _listener: usize,
        effects: &mut Effects,
    ) {
        effects.close(connection, "client load accepts no connections");
    }

    fn on_connected(&mut self, _now: Micros, _connection: ConnectionId, _effects: &mut Effects) {}

    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects) {
        if let Err(problem) =
            worker::receive_from_worker(frame, &mut MessageHandler { load: self, now, effects })
        {
            tracing::error!(%problem, connection = connection.0, "worker violated the protocol");
        }
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        _reason: DisconnectReason,
        _effects: &mut Effects,
    ) {
        let lost =
            self.connections.iter().find(|(_, open)| **open == connection).map(|(address, _)| *address);
        let is_affected = |request: &DirectRequest| {
            Some(request.prefill_worker) == lost || Some(request.decode_worker) == lost
        };
        let ids: Vec<_> =
            self.in_flight.iter().filter(|(_, request)| is_affected(request)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.finish(now, id, false));
    }

    fn on_backpressure(
        &mut self,
        _now: Micros,
        _connection: ConnectionId,
        _congested: bool,
        _effects: &mut Effects,
    ) {
    }

    fn on_timer(&mut self, now: Micros, _key: u64, effects: &mut Effects) {
        self.send_due_requests(now, effects);
    }

    fn on_iteration(&mut self, _now: Micros, _effects: &mut Effects) {}

    fn on_shutdown(&mut self, _now: Micros, _effects: &mut Effects) {
        self.next_request = self.planned.len();
        self.in_flight.clear();
    }

    fn is_finished(&self) -> bool {
        self.next_request == self.planned.len() && self.in_flight.is_empty()
    }
}

#[cfg(test)]
mod tests;
