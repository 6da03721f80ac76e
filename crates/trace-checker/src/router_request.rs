//! One request as its router saw it, with rule 5: what workers keep for it.

use std::collections::BTreeSet;

use tideroute_wire::{Address, Micros};

use crate::address::display_address;
use crate::client_requests::RequestKey;

use crate::config::{CheckerConfig, DeduplicationScope, Idempotency};
use crate::event_context::EventContext;
use crate::process_pauses::ProcessPauses;
use crate::report::{Report, Rule};

/// A request as its router saw it.
pub struct RouterRequest {
    /// The client's number for it, at the router's end.
    pub key: RequestKey,
    pub class: u8,
    pub received_at: Micros,
    pub timeout: Micros,
    /// Attempts so far.
    pub attempts: u16,
    pub in_flight: Option<InFlightAttempt>,
    /// The first attempt that may have run on a decode worker.
    pub may_have_run: Option<AttemptStart>,
    /// Workers that keep KV state or a reservation for it, or were asked to.
    pub kept_at: BTreeSet<Address>,
    /// Since when what is kept may be idle: the last outcome, or the last reservation asked for.
    pub idle_since: Micros,
    /// When its first token went to the client.
    pub first_token_at: Option<Micros>,
    pub ended_at: Option<Micros>,
}

/// An attempt that was sent and has no outcome yet.
pub struct InFlightAttempt {
    pub number: u16,
    pub connection: u64,
    pub start: AttemptStart,
}

/// When and where an attempt was sent.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct AttemptStart {
    pub at: Micros,
    pub worker: Address,
}

/// An attempt that a router sends.
#[derive(Clone, Copy)]
pub struct NewAttempt {
    pub number: u16,
    pub worker: Address,
    pub is_prefill: bool,
    /// Tokens that it makes the worker process.
    pub tokens: f64,
}

impl RouterRequest {
    pub fn new(
        key: RequestKey,
        class: u8,
        received_at: Micros,
        timeout: Micros,
        admitted_at: Micros,
    ) -> Self {
        RouterRequest {
            key,
            class,
            received_at,
            timeout,
            attempts: 0,
            in_flight: None,
            may_have_run: None,
            kept_at: BTreeSet::new(),
            idle_since: admitted_at,
            first_token_at: None,
            ended_at: None,
        }
    }

    /// Rules 1 and 2: whether an attempt may be sent now.
    pub fn check_attempt(
        &self,
        context: &mut EventContext,
        id: u64,
        attempt: &NewAttempt,
        config: &CheckerConfig,
    ) {
        let number = attempt.number;
        if let Some(in_flight) = &self.in_flight {
            let description = format!("shot {number} goes out while shot {} still is", in_flight.number);
            context.violation(Rule::Duplicate, Some(id), description);
        }
        if number != self.attempts {
            let description = format!("shot {number} is the {}th that was sent", self.attempts + 1);
            context.violation(Rule::Duplicate, Some(id), description);
        }
        if number >= config.max_attempts {
            context.violation(Rule::Duplicate, Some(id), format!("shot {number} is one too many"));
        }
        if self.ended_at.is_some() {
            context.violation(Rule::Lost, Some(id), format!("shot {number} goes out after the end"));
        }
        if attempt.is_prefill {
            return;
        }
        if let Some(reason) = self.forbids_decode(context.captured.at, attempt.worker, config) {
            let class = &config.classes[usize::from(self.class)];
            let description = format!("of {}: shot {number} goes out {reason}", class.name);
            context.violation(Rule::Duplicate, Some(id), description);
        }
    }

    /// Why the request may not run on a decode worker once more.
    fn forbids_decode(&self, now: Micros, worker: Address, config: &CheckerConfig) -> Option<&'static str> {
        let first = self.may_have_run?;
        let class = &config.classes[usize::from(self.class)];
        match class.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent => Some("though an earlier one may have run"),
            Idempotency::IdempotentWithKey if now > first.at + class.deduplication_window => {
                Some("after the window")
            }
            Idempotency::IdempotentWithKey => {
                let is_deduplicated = share_keys(config, class.deduplication_scope, first.worker, worker);
                (!is_deduplicated).then_some("outside the group that drops its repeats")
            }
        }
    }

    /// Rule 2: a rejection tells the client that it may send the request again. Whether that would be harmless.
    pub fn may_be_rejected(&self, config: &CheckerConfig) -> bool {
        let class = &config.classes[usize::from(self.class)];
        self.may_have_run.is_none()
            || match class.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::NonIdempotent => false,
                Idempotency::IdempotentWithKey => class.deduplication_scope == DeduplicationScope::All,
            }
    }

    pub fn attempt_sent(&mut self, attempt: &NewAttempt, at: Micros, connection: u64) {
        let start = AttemptStart { at, worker: attempt.worker };
        self.attempts = attempt.number + 1;
        if !attempt.is_prefill {
            self.may_have_run.get_or_insert(start);
            self.kept_at.remove(&attempt.worker);
        }
        self.in_flight = Some(InFlightAttempt { number: attempt.number, connection, start });
    }

    /// The attempt in flight is over. `never_ran` says that it certainly had no effect.
    pub fn attempt_ended(&mut self, at: Micros, never_ran: bool) {
        let Some(attempt) = self.in_flight.take() else { return };
        if never_ran && self.may_have_run == Some(attempt.start) {
            self.may_have_run = None;
        }
        self.idle_since = at;
    }

    /// Rule 5: while no attempt is in flight, what is kept is used or released in time.
    pub fn check_kept_state(
        &mut self,
        id: u64,
        now: Micros,
        max_idle_state: Micros,
        pauses: &ProcessPauses,
        report: &mut Report,
    ) {
        if self.in_flight.is_some() {
            return;
        }
        let Some(&worker) = self.kept_at.first() else { return };
        let paused = pauses.paused_within(self.key.process, self.idle_since, now);
        let idle = now.saturating_sub(self.idle_since + paused);
        let longest = &mut report.counts.longest_idle_state;
        *longest = idle.max(*longest);
        if idle > max_idle_state {
            let worker = display_address(worker);
            let description = format!("{worker} held for it {} ms with no shot out", idle / 1000);
            report.add_violation(Rule::Pinned, now, Some(id), description);
            self.kept_at.clear();
        }
    }
}

/// Whether two workers share the keys by which they deduplicate.
fn share_keys(config: &CheckerConfig, scope: DeduplicationScope, one: Address, two: Address) -> bool {
    if scope == DeduplicationScope::All {
        return true;
    }
    let (Some(one), Some(two)) = (config.worker(one), config.worker(two)) else { return false };
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => one.zone == two.zone,
        DeduplicationScope::Cell => one.cell == two.cell,
    }
}
