//! A request as its router saw it, with the checks of its attempts (rules 1 and 2) and of the state that workers keep
//! for it (rule 5).

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
    /// Identifies the request at the router's end of the client's connection.
    pub key: RequestKey,
    pub class: u8,
    pub received_at: Micros,
    pub timeout: Micros,
    /// Number of attempts so far.
    pub attempts: u16,
    pub in_flight: Option<InFlightAttempt>,
    /// The first attempt that may have run on a decode worker.
    pub may_have_run: Option<AttemptStart>,
    /// Workers that keep KV state or a reservation for the request, or were asked for a reservation.
    pub kept_at: BTreeSet<Address>,
    /// Start of the time in which kept state may be idle: the admission, the last end of an attempt or the last
    /// reservation request.
    pub idle_since: Micros,
    /// When the router sent the first token to the client.
    pub first_token_at: Option<Micros>,
    pub ended_at: Option<Micros>,
}

/// An attempt that was sent and has not ended yet.
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
    /// Number of tokens that the worker has to process for the attempt.
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

    /// Checks rules 1 and 2: whether an attempt may be sent now.
    pub fn check_attempt(
        &self,
        context: &mut EventContext,
        id: u64,
        attempt: &NewAttempt,
        config: &CheckerConfig,
    ) {
        let number = attempt.number;
        if let Some(in_flight) = &self.in_flight {
            let description =
                format!("attempt {number} was sent while attempt {} was in flight", in_flight.number);
            context.violation(Rule::Duplicate, Some(id), description);
        }
        if number != self.attempts {
            let description =
                format!("attempt {number} is the {}th attempt that was sent", self.attempts + 1);
            context.violation(Rule::Duplicate, Some(id), description);
        }
        if number >= config.max_attempts {
            context.violation(
                Rule::Duplicate,
                Some(id),
                format!("attempt {number} exceeds the limit of attempts"),
            );
        }
        if self.ended_at.is_some() {
            context.violation(
                Rule::Lost,
                Some(id),
                format!("attempt {number} was sent after the request ended"),
            );
        }
        if attempt.is_prefill {
            return;
        }
        if let Some(reason) = self.reason_against_decode(context.captured.at, attempt.worker, config) {
            let class = &config.classes[usize::from(self.class)];
            let description = format!("class {}: attempt {number} was sent {reason}", class.name);
            context.violation(Rule::Duplicate, Some(id), description);
        }
    }

    /// Returns why the request must not run on a decode worker once more; `None` if it may.
    fn reason_against_decode(
        &self,
        now: Micros,
        worker: Address,
        config: &CheckerConfig,
    ) -> Option<&'static str> {
        let first = self.may_have_run?;
        let class = &config.classes[usize::from(self.class)];
        match class.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent => Some("although an earlier attempt may have run"),
            Idempotency::IdempotentWithKey if now > first.at + class.deduplication_window => {
                Some("after the deduplication window")
            }
            Idempotency::IdempotentWithKey => {
                let is_deduplicated = share_keys(config, class.deduplication_scope, first.worker, worker);
                (!is_deduplicated)
                    .then_some("to a worker outside the deduplication scope of the first attempt")
            }
        }
    }

    /// Returns whether rule 2 allows a rejection. A rejection tells the client that it may send the request again, so
    /// the request must not have run, or running it again must be harmless.
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

    /// Records the end of the attempt in flight. `never_ran` says that the attempt certainly had no effect.
    pub fn attempt_ended(&mut self, at: Micros, never_ran: bool) {
        let Some(attempt) = self.in_flight.take() else { return };
        if never_ran && self.may_have_run == Some(attempt.start) {
            self.may_have_run = None;
        }
        self.idle_since = at;
    }

    /// Checks rule 5: while no attempt is in flight, kept state must be used or released in time.
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
            let description =
                format!("{worker} kept state for {} ms without an attempt in flight", idle / 1000);
            report.add_violation(Rule::Pinned, now, Some(id), description);
            self.kept_at.clear();
        }
    }
}

/// Returns whether two workers share the keys by which they deduplicate requests.
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
