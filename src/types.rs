//! What goes into the scheduler and comes out of it.

/// Tenths of a millisecond: a moment on the router's clock, or a length of time.
pub type TenthMillis = i64;

/// A worker's IPv4 address and port, as the wire gives them: the bytes of each in network order.
pub type WorkerId = [u8; 6];

/// A request's number, given by the scheduler's owner; unique among the open requests.
pub type RequestId = u64;

/// What workers of one kind do.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Role {
    /// They prefill prompts and keep the KV state for a decode worker.
    #[default]
    Prefill,
    /// They fetch KV states and decode answers.
    Decode,
    /// They do both for a request in one attempt.
    Mixed,
}

/// A worker's status in the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum EndpointStatus {
    /// It takes attempts.
    #[default]
    Serving,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no longer in the endpoint list.
    Removed,
}

/// The workers among which attempts with the same idempotency key are deduplicated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// Whether a request that may have run may run again.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    /// Anywhere, at any time.
    Idempotent,
    /// Where and while its key is recognized.
    IdempotentWithKey {
        /// The workers that recognize it.
        scope: DeduplicationScope,
        /// For how long after the first attempt that may have run.
        window: TenthMillis,
    },
    /// Never.
    NonIdempotent,
}

impl Idempotency {
    /// Whether a retry may follow so long after the first attempt that may have run.
    pub fn allows_retry_after(self, after: TenthMillis) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotentWithKey { window, .. } => after < window,
        }
    }

    /// Whether the worker `here` recognizes a retry of `first`: when the first attempt that may have run was sent, and
    /// its worker as it was listed then.
    pub fn deduplicates_at(self, first: Option<(TenthMillis, Endpoint)>, here: &Endpoint) -> bool {
        let Some((_, there)) = first else { return true };
        match self {
            Idempotency::IdempotentWithKey { scope: DeduplicationScope::Zone, .. } => there.zone == here.zone,
            Idempotency::IdempotentWithKey { scope: DeduplicationScope::Cell, .. } => there.cell == here.cell,
            _ => true,
        }
    }

    /// Whether a retry is harmless wherever it runs, so that the client may be told to send the request again.
    pub fn is_safe_anywhere(self) -> bool {
        matches!(
            self,
            Idempotency::Idempotent | Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, .. }
        )
    }
}

/// How an attempt finished.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptOutcome {
    /// The answer was delivered.
    Completed,
    /// The worker answered with an error.
    ServerError,
    /// The worker is full and has not run it.
    Rejected,
    /// There was no KV state to fetch.
    StateMissing,
    /// The client's deadline passed.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The connection broke.
    ConnectionReset,
    /// It was cancelled.
    Cancelled,
    /// It never left the router.
    NotSent,
    /// The prompt is prefilled; its KV state waits at the prefill worker.
    PrefillComplete,
}

impl AttemptOutcome {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AttemptOutcome::Completed => "completed",
            AttemptOutcome::ServerError => "server-error",
            AttemptOutcome::Rejected => "rejected",
            AttemptOutcome::StateMissing => "state-missing",
            AttemptOutcome::TimedOut => "timed-out",
            AttemptOutcome::Unreachable => "unreachable",
            AttemptOutcome::ConnectionReset => "connection-reset",
            AttemptOutcome::Cancelled => "cancelled",
            AttemptOutcome::NotSent => "not-sent",
            AttemptOutcome::PrefillComplete => "prefill-complete",
        }
    }

    /// Whether it proves that no answer has begun, nor ever will.
    pub fn never_ran(self) -> bool {
        use AttemptOutcome::*;
        matches!(self, PrefillComplete | Rejected | StateMissing | Unreachable | NotSent)
    }
}

/// What holds for one class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Whether they may run again.
    pub idempotency: Idempotency,
    /// The latency objective: how long after its arrival a request's first token is wanted.
    pub ttft_objective: TenthMillis,
    /// Added to the objective for every 1,000 prompt tokens.
    pub ttft_objective_per_1000_tokens: TenthMillis,
    /// What an answer within the objective is worth beside those of other classes.
    pub priority_weight: f64,
}

impl RequestClass {
    /// How long after its arrival the first token of a request with so many prompt tokens is wanted.
    pub fn ttft_objective_for(&self, prompt_tokens: f64) -> TenthMillis {
        let added = self.ttft_objective_per_1000_tokens as f64 * prompt_tokens.max(0.0) / 1000.0;
        self.ttft_objective + added as TenthMillis
    }
}

/// The configuration of a [`Scheduler`](crate::scheduler::Scheduler), fixed for its life.
#[derive(Clone, Debug, Default)]
pub struct SchedulerConfig {
    /// How many routers share the fleet.
    pub router_count: u32,
    /// The request classes, by their number.
    pub classes: Vec<RequestClass>,
    /// The role of each worker kind, by its number.
    pub role_by_kind: Vec<Role>,
    /// Decode workers may be asked for a reservation during the prefill.
    pub reservations_enabled: bool,
    /// Decode and mixed workers take whole requests where there is no prefill worker.
    pub decode_workers_prefill: bool,
    /// Within which a KV state that nobody fetches has to be released.
    pub state_release_timeout: TenthMillis,
    /// The part of its capacity that a worker has at its start.
    pub cold_capacity_share: f64,
    /// How long after its start a worker has all its capacity.
    pub warm_up_time: TenthMillis,
    /// More than so many times what it can do in the overload window pushes a warming worker over.
    pub overload_multiple: f64,
    /// The span in which that is counted.
    pub overload_window: TenthMillis,
    /// Attempts at most for each request, of both stages.
    pub max_attempts: u16,
    /// Attempts may be cancelled.
    pub cancellation_enabled: bool,
    /// Workers may be checked.
    pub health_checks_enabled: bool,
    /// A worker that is checked reports its load, and prefill workers are asked before a prefill goes out.
    pub load_reports_enabled: bool,
    /// Loads are reported in prompt tokens, else in attempts.
    pub load_in_tokens: bool,
    /// Changes of the endpoint list come only once they are asked for.
    pub endpoint_watch_enabled: bool,
    /// Rejections carry a Retry-After.
    pub retry_after_enabled: bool,
    /// The longest Retry-After.
    pub max_retry_after: TenthMillis,
}

impl SchedulerConfig {
    /// What one attempt adds to a worker's load, in the unit in which that is reported.
    pub fn load_of(&self, prompt_tokens: f64) -> f64 {
        if self.load_in_tokens {
            prompt_tokens
        } else {
            1.0
        }
    }
}

/// One worker as the endpoint list names it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// Its address.
    pub worker: WorkerId,
    /// Its kind, which gives its role.
    pub kind: u16,
    /// Its capacity beside that of other workers.
    pub size: f64,
    /// Whether it takes attempts.
    pub status: EndpointStatus,
    /// Its cell: the group of workers with fast links among them.
    pub cell: u16,
    /// Its zone, a group of cells.
    pub zone: u8,
    /// When its process last started; 0 for long ago.
    pub start_time: TenthMillis,
}

/// One request as it arrives.
#[derive(Clone, Copy, Debug, Default)]
pub struct NewRequest {
    /// Its number.
    pub id: RequestId,
    /// The number of its class.
    pub class: u8,
    /// The session that it belongs to.
    pub session: u64,
    /// The prompt prefix that it shares with other requests; 0 for none.
    pub prefix: u64,
    /// The length of its prompt.
    pub prompt_tokens: f64,
    /// The time from now to its deadline.
    pub remaining_time: TenthMillis,
}

impl NewRequest {
    /// What its prefills are placed by: the prefix that it shares, or its session.
    pub fn placement_key(&self) -> u64 {
        if self.prefix != 0 {
            self.prefix
        } else {
            self.session
        }
    }
}

/// What the scheduler wants done.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Action {
    /// Send the request's next attempt.
    Dispatch {
        /// The request.
        id: RequestId,
        /// The worker that it goes to.
        worker: WorkerId,
        /// The attempt's own timeout; 0 for none but the request's deadline.
        timeout: TenthMillis,
    },
    /// Ask a decode worker for a reservation while the prompt is prefilled.
    ReserveDecode {
        /// The request.
        id: RequestId,
        /// The decode worker.
        worker: WorkerId,
    },
    /// Release the request's KV state and its reservation.
    Release {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Answer that the request was shed and may be sent again.
    Reject {
        /// The request.
        id: RequestId,
        /// After how long it may be sent again; 0 for no Retry-After.
        retry_after: TenthMillis,
    },
    /// Answer that the request failed: it may have run and cannot run again.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Check a worker's health, and have it report its load where workers do.
    CheckHealth {
        /// The worker.
        worker: WorkerId,
    },
    /// Ask for the changes of the endpoint list from now on.
    WatchEndpoints,
    /// Call [`timer_fired`](crate::scheduler::Scheduler::timer_fired) after a delay.
    SetTimer {
        /// From now.
        delay: TenthMillis,
    },
}
