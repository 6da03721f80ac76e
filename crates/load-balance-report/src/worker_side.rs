//! Measures attempts in flight and cached prefixes as workers saw them.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use tideroute_trace_checker::CheckerConfig;
use tideroute_wire::capture::{CaptureEvent, CapturedFrame, CapturedProcess};
use tideroute_wire::worker::AttemptFailure;
use tideroute_wire::{worker, Address, Malformed, Micros, Party};

use crate::report::RoleBalance;
use crate::role_load::RoleLoad;

/// The role of a worker.
#[derive(Clone, Copy)]
enum Role {
    Prefill,
    Decode,
}

/// Identifies a worker by its role and its index among the workers of that role.
#[derive(Clone, Copy)]
struct WorkerIndex {
    role: Role,
    index: usize,
}

/// Identifies a connection of a worker by the process and the process's own number for the connection.
type ConnectionKey = (u32, u64);

/// Identifies an attempt by the worker's process, the connection on which it arrived, and the request's id.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    process: u32,
    connection: u64,
    request_id: u64,
}

impl AttemptKey {
    fn of(captured: &CapturedFrame, request_id: u64) -> AttemptKey {
        AttemptKey { process: captured.process, connection: captured.connection, request_id }
    }
}

/// Token counts of shared prefixes.
#[derive(Default)]
struct PrefixTokens {
    /// Tokens of shared prefixes in completed prefills.
    prefilled: f64,
    /// The part of `prefilled` that was found cached.
    cached: f64,
}

/// The workers of both roles.
pub struct WorkerSide {
    /// The worker that runs in each process.
    workers: HashMap<u32, WorkerIndex>,
    loads: [RoleLoad; 2],
    /// Whether the other end of a connection is a router; known once the first frame was received.
    is_router: HashMap<ConnectionKey, bool>,
    /// Attempts in flight, with the number of tokens of their shared prefix.
    attempts: BTreeMap<AttemptKey, u32>,
    prefix_tokens: PrefixTokens,
}

impl WorkerSide {
    pub fn new(processes: &[CapturedProcess], config: &CheckerConfig) -> WorkerSide {
        let mut side = WorkerSide {
            workers: HashMap::new(),
            loads: Default::default(),
            is_router: HashMap::new(),
            attempts: BTreeMap::new(),
            prefix_tokens: PrefixTokens::default(),
        };
        // A worker that is restarted is a new process at the same address.
        let mut by_address: HashMap<Address, WorkerIndex> = HashMap::new();
        for process in processes.iter().filter(|process| process.role == "worker") {
            let Some(address) = process.address else { continue };
            let Some(worker) = config.worker(address) else { continue };
            let role = if worker.is_prefill { Role::Prefill } else { Role::Decode };
            let load = &mut side.loads[role as usize];
            let index = *by_address.entry(address).or_insert_with(|| WorkerIndex {
                role,
                index: load.add_worker(worker.tokens_per_second, worker.slots),
            });
            side.workers.insert(process.number, index);
        }
        side
    }

    pub fn is_worker(&self, process: u32) -> bool {
        self.workers.contains_key(&process)
    }

    /// Processes an event of a worker's process.
    pub fn handle_event(&mut self, captured: &CapturedFrame) {
        let connection: ConnectionKey = (captured.process, captured.connection);
        match captured.event {
            CaptureEvent::ProcessStarted => self.set_running(captured, true),
            CaptureEvent::ProcessExited | CaptureEvent::ProcessKilled => {
                self.set_running(captured, false);
                self.attempts.retain(|attempt, _| attempt.process != captured.process);
            }
            CaptureEvent::Closed => {
                self.connection_closed(captured);
                self.is_router.remove(&connection);
            }
            CaptureEvent::Received if captured.position == 0 => {
                let first = tideroute_wire::first(&captured.frame);
                let is_router = first.is_ok_and(|(party, ..)| party == Party::Router);
                self.is_router.insert(connection, is_router);
            }
            CaptureEvent::Received | CaptureEvent::Sent if self.is_router.get(&connection) == Some(&true) => {
                self.handle_frame(captured);
            }
            _ => {}
        }
    }

    /// Processes a frame between a router and a worker. Frames that cannot be decoded are ignored; the trace checker
    /// reports them.
    fn handle_frame(&mut self, captured: &CapturedFrame) {
        let mut handler = MessageHandler { side: self, captured };
        let _ = match captured.event {
            CaptureEvent::Received => worker::receive_from_router(&captured.frame, &mut handler),
            _ => worker::receive_from_worker(&captured.frame, &mut handler),
        };
    }

    fn set_running(&mut self, captured: &CapturedFrame, is_running: bool) {
        let Some(&WorkerIndex { role, index }) = self.workers.get(&captured.process) else { return };
        self.loads[role as usize].set_running(captured.at, index, is_running);
    }

    fn connection_closed(&mut self, captured: &CapturedFrame) {
        let first = AttemptKey::of(captured, 0);
        let last = AttemptKey::of(captured, u64::MAX);
        let attempts: Vec<AttemptKey> = self.attempts.range(first..=last).map(|(key, _)| *key).collect();
        for attempt in attempts {
            self.attempt_ended(captured.at, attempt);
        }
    }

    fn attempt_received(&mut self, captured: &CapturedFrame, request_id: u64, shared_prefix_tokens: u32) {
        let Some(&WorkerIndex { role, index }) = self.workers.get(&captured.process) else { return };
        let attempt = AttemptKey::of(captured, request_id);
        if self.attempts.insert(attempt, shared_prefix_tokens).is_none() {
            self.loads[role as usize].attempt_received(captured.at, index);
        }
    }

    fn attempt_ended(&mut self, at: Micros, attempt: AttemptKey) {
        let Some(&WorkerIndex { role, index }) = self.workers.get(&attempt.process) else { return };
        if self.attempts.remove(&attempt).is_some() {
            self.loads[role as usize].attempt_ended(at, index);
        }
    }

    fn prefill_completed(&mut self, captured: &CapturedFrame, request_id: u64, cached_tokens: u32) {
        let attempt = AttemptKey::of(captured, request_id);
        if let Some(&shared) = self.attempts.get(&attempt) {
            self.prefix_tokens.prefilled += f64::from(shared);
            self.prefix_tokens.cached += f64::from(cached_tokens.min(shared));
        }
        self.attempt_ended(captured.at, attempt);
    }

    /// Returns the fraction of the prefilled tokens of shared prefixes that was found cached.
    pub fn cached_share(&self) -> f64 {
        self.prefix_tokens.cached / self.prefix_tokens.prefilled.max(1.0)
    }

    /// Ends the measurement. Returns the balance of the prefill workers and that of the decode workers.
    pub fn finish(&mut self, at: Micros) -> [RoleBalance; 2] {
        for load in &mut self.loads {
            load.finish(at);
        }
        [Role::Prefill, Role::Decode].map(|role| self.loads[role as usize].balance())
    }
}

struct MessageHandler<'a> {
    side: &'a mut WorkerSide,
    captured: &'a CapturedFrame,
}

impl MessageHandler<'_> {
    fn attempt_ended(&mut self, id: u64) -> Result<(), Malformed> {
        self.side.attempt_ended(self.captured.at, AttemptKey::of(self.captured, id));
        Ok(())
    }
}

impl worker::Worker for MessageHandler<'_> {
    fn prefill(
        &mut self,
        id: u64,
        _attempt: u16,
        _class: u8,
        _session: u64,
        prefix: u64,
        _prompt_tokens: u32,
        prefix_tokens: u32,
        _timeout: Micros,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        let shared = if prefix != 0 { prefix_tokens } else { 0 };
        self.side.attempt_received(self.captured, id, shared);
        Ok(())
    }

    fn reserve(
        &mut self,
        _id: u64,
        _prompt_tokens: u32,
        _max_tokens: u32,
        _prefill_worker: Address,
    ) -> Result<(), Malformed> {
        Ok(())
    }

    fn decode(
        &mut self,
        id: u64,
        _attempt: u16,
        _class: u8,
        _prompt_tokens: u32,
        _max_tokens: u32,
        _timeout: Micros,
        _idempotency_key: u64,
        _prefill_worker: Option<Address>,
        _window: u32,
        _session: u64,
        _prefix: u64,
        _prefix_tokens: u32,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        self.side.attempt_received(self.captured, id, 0);
        Ok(())
    }

    fn release(&mut self, _id: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn cancel(&mut self, id: u64, _attempt: u16) -> Result<(), Malformed> {
        self.attempt_ended(id)
    }

    fn check_health(&mut self, _nonce: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn grant_tokens(&mut self, _id: u64, _attempt: u16, _tokens: u32) -> Result<(), Malformed> {
        Ok(())
    }
}

impl worker::Router for MessageHandler<'_> {
    fn reservation_answered(&mut self, _id: u64, _is_reserved: bool) -> Result<(), Malformed> {
        Ok(())
    }

    fn prefill_completed(
        &mut self,
        id: u64,
        _attempt: u16,
        cached_tokens: u32,
        _state_bytes: u64,
    ) -> Result<(), Malformed> {
        self.side.prefill_completed(self.captured, id, cached_tokens);
        Ok(())
    }

    fn token(&mut self, _id: u64, _attempt: u16, _index: u32, _text: Bytes) -> Result<(), Malformed> {
        Ok(())
    }

    fn completed(&mut self, id: u64, _attempt: u16, _tokens: u32) -> Result<(), Malformed> {
        self.attempt_ended(id)
    }

    fn attempt_ended(&mut self, id: u64, _attempt: u16, _failure: AttemptFailure) -> Result<(), Malformed> {
        MessageHandler::attempt_ended(self, id)
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
