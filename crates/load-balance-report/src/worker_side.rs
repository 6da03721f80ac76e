//! Attempts in flight and cached prefixes, as workers saw them.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use tideroute_trace_checker::CheckerConfig;
use tideroute_wire::capture::{CaptureEvent, CapturedFrame, CapturedProcess};
use tideroute_wire::worker::AttemptFailure;
use tideroute_wire::{worker, Address, Malformed, Micros, Party};

use crate::report::RoleBalance;
use crate::role_load::RoleLoad;

/// What a worker does.
#[derive(Clone, Copy)]
enum Role {
    Prefill,
    Decode,
}

/// A worker: its role, and its index among the workers of the role.
#[derive(Clone, Copy)]
struct WorkerIndex {
    role: Role,
    index: usize,
}

/// A connection of a worker, by its process and the process's own number for it.
type ConnectionKey = (u32, u64);

/// An attempt by the worker's process, the connection that it came on, and the request's id.
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

/// Tokens of shared prefixes.
#[derive(Default)]
struct PrefixTokens {
    prefilled: f64,
    /// Those of them that were found cached.
    cached: f64,
}

/// The workers of both roles.
pub struct WorkerSide {
    /// By process.
    workers: HashMap<u32, WorkerIndex>,
    loads: [RoleLoad; 2],
    /// Whether a router is at the other end of a connection, once it sent its Hello.
    is_router: HashMap<ConnectionKey, bool>,
    /// Attempts in flight, with the tokens of their shared prefix.
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
        // A worker that is started again is another process at the same address.
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

    /// Follows an event of a worker's process.
    pub fn follow(&mut self, captured: &CapturedFrame) {
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
                self.follow_frame(captured);
            }
            _ => {}
        }
    }

    /// What cannot be decoded is left to the trace checker.
    fn follow_frame(&mut self, captured: &CapturedFrame) {
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

    fn attempt_arrived(&mut self, captured: &CapturedFrame, request_id: u64, shared_prefix_tokens: u32) {
        let Some(&WorkerIndex { role, index }) = self.workers.get(&captured.process) else { return };
        let attempt = AttemptKey::of(captured, request_id);
        if self.attempts.insert(attempt, shared_prefix_tokens).is_none() {
            self.loads[role as usize].attempt_arrived(captured.at, index);
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

    /// Of the tokens of shared prefixes that were prefilled, the part that was found cached.
    pub fn cached_share(&self) -> f64 {
        self.prefix_tokens.cached / self.prefix_tokens.prefilled.max(1.0)
    }

    /// Ends the measurement. Returns the balance of prefill and of decode workers.
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
        self.side.attempt_arrived(self.captured, id, shared);
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
        _mark: u64,
        _prefill_worker: Option<Address>,
        _window: u32,
        _session: u64,
        _prefix: u64,
        _prefix_tokens: u32,
        _prompt: Bytes,
    ) -> Result<(), Malformed> {
        self.side.attempt_arrived(self.captured, id, 0);
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
