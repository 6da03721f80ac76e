//! The types of the scheduler's input and output.

/// A point in time on the router's clock, or a duration, in tenths of a millisecond.
pub type TenthMillis = i64;

/// A worker's IPv4 address and port, each in network byte order.
pub type WorkerId = [u8; 6];

/// The identifier of a request, assigned by the scheduler's owner; unique among the open requests.
pub type RequestId = u64;

/// The stages that workers of one kind run.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Role {
    /// Prefills prompts and keeps their KV state until a decode worker fetches it.
    #[default]
    Prefill,
    /// Fetches KV states and decodes responses.
    Decode,
    /// Prefills and decodes a request in one attempt.
    Mixed,
}

/// A worker's status in the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum EndpointStatus {
    /// The worker takes attempts.
    #[default]
    Serving,
    /// The worker finishes its attempts and takes no new ones.
    Draining,
    /// The worker is no longer in the endpoint list.
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

/// Where and for how long a request may run again after an attempt that may have run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    /// The request may run again at any worker and at any time.
    Idempotent,
    /// The request may run again at workers that recognize its idempotency key, within a time window.
    IdempotentWithKey {
        /// The workers that recognize the key.
        scope: DeduplicationScope,
        /// How long after the first attempt that may have run the key is recognized.
        window: TenthMillis,
    },
    /// The request never runs again.
    NonIdempotent,
}

impl Idempotency {
    /// Returns whether a retry may be sent `after` this time since the first attempt that may have run.
    pub fn allows_retry_after(self, after: TenthMillis) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotentWithKey { window, .. } => after < window,
        }
    }

    /// Returns whether the worker at `endpoint` recognizes a retry. `first_attempt` describes the first attempt
    /// that may have run: when it was sent, and its worker as it was listed then.
    pub fn deduplicates_at(
        self,
        first_attempt: Option<(TenthMillis, Endpoint)>,
        endpoint: &Endpoint,
    ) -> bool {
        let Some((_, first_endpoint)) = first_attempt else { return true };
        match self {
            Idempotency::IdempotentWithKey { scope: DeduplicationScope::Zone, .. } => {
                first_endpoint.zone == endpoint.zone
            }
            Idempotency::IdempotentWithKey { scope: DeduplicationScope::Cell, .. } => {
                first_endpoint.cell == endpoint.cell
            }
            _ => true,
        }
    }

    /// Returns whether a retry is harmless at every worker, so that the client may be told to send the request
    /// again.
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
    /// The response was delivered.
    Completed,
    /// The worker returned an error.
    ServerError,
    /// The worker was full and did not run the attempt.
    Rejected,
    /// The prefill worker had no KV state to fetch.
    StateMissing,
    /// The client's deadline passed.
    TimedOut,
    /// No connection to the worker could be made.
    Unreachable,
    /// The connection to the worker broke.
    ConnectionReset,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt never left the router.
    NotSent,
    /// The prefill succeeded; the KV state waits at the prefill worker.
    PrefillComplete,
}

impl AttemptOutcome {
    /// Returns the outcome's name in logs and metrics.
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

    /// Returns whether the outcome proves that the attempt has not begun to respond and never will.
    pub fn never_ran(self) -> bool {
        use AttemptOutcome::*;
        matches!(self, PrefillComplete | Rejected | StateMissing | Unreachable | NotSent)
    }
}

/// The settings of one request class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Whether requests of the class may run again.
    pub idempotency: Idempotency,
    /// The latency objective: the wanted time from a request's arrival to its first token.
    pub ttft_objective: TenthMillis,
    /// The time added to the objective for every 1,000 prompt tokens.
    pub ttft_objective_per_1000_tokens: TenthMillis,
    /// The value of a response within the objective, relative to that of other classes.
    pub priority_weight: f64,
}

impl RequestClass {
    /// Returns the latency objective of a request with `prompt_tokens` prompt tokens.
    pub fn ttft_objective_for_prompt(&self, prompt_tokens: f64) -> TenthMillis {
        let added = self.ttft_objective_per_1000_tokens as f64 * prompt_tokens.max(0.0) / 1000.0;
        self.ttft_objective + added as TenthMillis
    }
}

/// The configuration of a [`Scheduler`](crate::scheduler::Scheduler), fixed for its life.
#[derive(Clone, Debug, Default)]
pub struct SchedulerConfig {
    /// The number of routers that share the workers.
    pub router_count: u32,
    /// The request classes, indexed by their number.
    pub classes: Vec<RequestClass>,
    /// The role of each worker kind, indexed by its number.
    pub role_by_kind: Vec<Role>,
    /// Whether reservations may be requested at decode workers during the prefill.
    pub reservations_enabled: bool,
    /// Whether decode workers take whole requests while no prefill or mixed worker is serving.
    pub decode_workers_prefill: bool,
    /// The time within which a KV state that no decode worker fetches has to be released.
    pub state_release_timeout: TenthMillis,
    /// The part of its full capacity that a worker has when it starts.
    pub cold_capacity_share: f64,
    /// How long after its start a worker reaches its full capacity.
    pub warm_up_time: TenthMillis,
    /// A warming worker is overloaded when it gets more than this multiple of the work that it can do in the
    /// overload window.
    pub overload_multiple: f64,
    /// The time window in which the load of a warming worker is counted.
    pub overload_window: TenthMillis,
    /// The largest number of attempts for each request, counted over both stages.
    pub max_attempts: u16,
    /// Whether attempts may be cancelled.
    pub cancellation_enabled: bool,
    /// Whether the health of workers may be checked.
    pub health_checks_enabled: bool,
    /// Whether workers report their load in health checks, and prefill workers are asked for it before a prefill
    /// is sent.
    pub load_reports_enabled: bool,
    /// Whether loads are reported in prompt tokens; otherwise in attempts.
    pub load_in_tokens: bool,
    /// Whether the scheduler has to open a watch to receive changes of the endpoint list.
    pub endpoint_watch_enabled: bool,
    /// Whether rejections carry a Retry-After.
    pub retry_after_enabled: bool,
    /// The longest Retry-After.
    pub max_retry_after: TenthMillis,
}

impl SchedulerConfig {
    /// Returns what one attempt adds to a worker's load, in the unit of load reports.
    pub fn load_of(&self, prompt_tokens: f64) -> f64 {
        if self.load_in_tokens {
            prompt_tokens
        } else {
            1.0
        }
    }
}

/// The entry of one worker in the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The worker's address.
    pub worker: WorkerId,
    /// The worker's kind, which determines its role.
    pub kind: u16,
    /// The worker's capacity, relative to that of other workers.
    pub size: f64,
    /// Whether the worker takes attempts.
    pub status: EndpointStatus,
    /// The worker's cell, a group of workers with fast links between them.
    pub cell: u16,
    /// The worker's zone, a group of cells.
    pub zone: u8,
    /// When the worker's process last started; 0 for long ago.
    pub start_time: TenthMillis,
}

/// A request as it arrives.
#[derive(Clone, Copy, Debug, Default)]
pub struct NewRequest {
    /// The request's identifier.
    pub id: RequestId,
    /// The number of the request's class.
    pub class: u8,
    /// The session that the request belongs to.
    pub session: u64,
    /// The prompt prefix that the request shares with others; 0 for none.
    pub prefix: u64,
    /// The length of the prompt in tokens.
    pub prompt_tokens: f64,
    /// The time from the request's arrival to its deadline.
    pub remaining_time: TenthMillis,
}

impl NewRequest {
    /// Returns the key by which prefills of the request are placed: its shared prefix, or its session if it has
    /// none.
    pub fn placement_key(&self) -> u64 {
        if self.prefix != 0 {
            self.prefix
        } else {
            self.session
        }
    }
}

/// An action for the scheduler's owner to carry out.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Action {
    /// Send the request's next attempt.
    Dispatch {
        /// The request.
        id: RequestId,
        /// The worker that the attempt is sent to.
        worker: WorkerId,
        /// The attempt's own timeout; 0 if only the request's deadline limits it.
        timeout: TenthMillis,
    },
    /// Request a reservation at a decode worker while the prompt is being prefilled.
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
    /// Cancel an attempt of the request.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Respond to the client that the request was rejected and may be sent again.
    Reject {
        /// The request.
        id: RequestId,
        /// The time after which the client may send it again; 0 for no Retry-After.
        retry_after: TenthMillis,
    },
    /// Respond to the client that the request failed: it may have run and must not run again.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Check a worker's health; where load reports are enabled, the worker also reports its load.
    CheckHealth {
        /// The worker.
        worker: WorkerId,
    },
    /// Open a watch on the endpoint list.
    WatchEndpoints,
    /// Call [`timer_fired`](crate::scheduler::Scheduler::timer_fired) after a delay.
    SetTimer {
        /// The delay from now.
        delay: TenthMillis,
    },
}
