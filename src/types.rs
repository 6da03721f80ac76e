//! The plain types at the edge of the decisions in `choice.rs`.

/// Tenths of a millisecond: a moment on the router's clock, or a length of time.
pub type TenthMillis = i64;

/// A worker's address and port, as the wire gives them.
pub type WorkerId = [u8; 6];

pub type RequestId = u64;

/// What a machine of one kind does: reads prompts, writes answers, or takes submissions whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Role {
    #[default]
    Prefill,
    Decode,
    Mixed,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum EndpointStatus {
    #[default]
    Serving,
    Draining,
    Removed,
}

/// The workers among which repeats of a referenced submission are dropped.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DeduplicationScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    Idempotent,
    IdempotentWithKey { scope: DeduplicationScope, window: TenthMillis },
    NonIdempotent,
}

impl Idempotency {
    /// Whether an attempt may follow so long after the first one that may have run.
    pub fn allows_retry_after(self, after: TenthMillis) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotentWithKey { window, .. } => after < window,
        }
    }

    /// Whether a worker knows a repeat of what may have run first, at a worker that was listed so when it was sent.
    pub fn deduplicates_at(self, first: Option<(TenthMillis, Endpoint)>, here: &Endpoint) -> bool {
        let Some((_, there)) = first else { return true };
        match self {
            Idempotency::IdempotentWithKey { scope: DeduplicationScope::Zone, .. } => there.zone == here.zone,
            Idempotency::IdempotentWithKey { scope: DeduplicationScope::Cell, .. } => there.cell == here.cell,
            _ => true,
        }
    }

    /// Whether a further attempt is harmless wherever it runs, so that a client may be told to come again.
    pub fn is_safe_anywhere(self) -> bool {
        matches!(
            self,
            Idempotency::Idempotent | Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, .. }
        )
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptOutcome {
    Completed,
    ServerError,
    Rejected,
    /// There was no read state to fetch.
    StateMissing,
    TimedOut,
    Unreachable,
    ConnectionReset,
    Cancelled,
    NotSent,
    /// The prompt was read; its state waits at the reader.
    PrefillComplete,
}

impl AttemptOutcome {
    /// It shows that no answer has begun, nor ever will.
    pub fn never_ran(self) -> bool {
        use AttemptOutcome::*;
        matches!(self, PrefillComplete | Rejected | StateMissing | Unreachable | NotSent)
    }
}

/// What holds for one track of submissions.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub idempotency: Idempotency,
    pub ttft_objective: TenthMillis,
    /// Contract time added for every 1,000 prompt tokens.
    pub ttft_objective_per_1000_tokens: TenthMillis,
    pub priority_weight: f64,
}

impl RequestClass {
    /// How long after it came the first token of a submission is wanted.
    pub fn ttft_objective_for(&self, prompt: f64) -> TenthMillis {
        let stretch = self.ttft_objective_per_1000_tokens as f64 * prompt.max(0.0) / 1000.0;
        self.ttft_objective + stretch as TenthMillis
    }
}

/// What a router is told when it starts and works under from then on.
#[derive(Clone, Debug, Default)]
pub struct SchedulerConfig {
    pub router_count: u32,
    pub classes: Vec<RequestClass>,
    pub role_by_kind: Vec<Role>,
    pub reservations_enabled: bool,
    pub decode_workers_prefill: bool,
    pub state_release_timeout: TenthMillis,
    pub cold_capacity_share: f64,
    pub warm_up_time: TenthMillis,
    pub overload_multiple: f64,
    pub overload_window: TenthMillis,
    pub max_attempts: u16,
    pub cancellation_enabled: bool,
    pub health_checks_enabled: bool,
    /// A worker that is probed says how much it has, and readers are asked before a read goes out.
    pub load_reports_enabled: bool,
    /// What it has is told in prompt tokens, else in shots.
    pub load_in_tokens: bool,
    /// Changes of the list come only once they are asked for.
    pub endpoint_watch_enabled: bool,
    pub retry_after_enabled: bool,
    pub max_retry_after: TenthMillis,
}

impl SchedulerConfig {
    /// What one shot adds to what a worker has, as that is told.
    pub fn load_of(&self, prompt: f64) -> f64 {
        if self.load_in_tokens {
            prompt
        } else {
            1.0
        }
    }
}

/// One worker as the list names it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    pub worker: WorkerId,
    pub kind: u16,
    pub size: f64,
    pub status: EndpointStatus,
    pub cell: u16,
    pub zone: u8,
    /// When its process last started; 0 for long ago.
    pub start_time: TenthMillis,
}

/// One submission as a client hands it over.
#[derive(Clone, Copy, Debug, Default)]
pub struct NewRequest {
    pub id: RequestId,
    pub class: u8,
    pub session: u64,
    pub prefix: u64,
    pub prompt_tokens: f64,
    pub remaining_time: TenthMillis,
}

impl NewRequest {
    /// What its reads are placed by: the prefix that it shares, or its session.
    pub fn placement_key(&self) -> u64 {
        if self.prefix != 0 {
            self.prefix
        } else {
            self.session
        }
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Action {
    Dispatch {
        id: RequestId,
        worker: WorkerId,
        timeout: TenthMillis,
    },
    ReserveDecode {
        id: RequestId,
        worker: WorkerId,
    },
    Release {
        id: RequestId,
    },
    CancelAttempt {
        id: RequestId,
        attempt: u16,
    },
    Reject {
        id: RequestId,
        retry_after: TenthMillis,
    },
    Fail {
        id: RequestId,
    },
    CheckHealth {
        worker: WorkerId,
    },
    /// Ask for the list's changes from now on.
    WatchEndpoints,
    SetTimer {
        delay: TenthMillis,
    },
}
