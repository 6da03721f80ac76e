//! Keys of the operators' settings, as paths from the root of the JSON object, and the values that they accept.

/// Number of routers that share the workers.
pub const ROUTERS: &str = "balancers";
/// The way in which the router receives changes of the endpoint list.
pub const DISCOVERY: &str = "discovery";
/// Names of the worker kinds.
pub const KINDS: &str = "kinds";
/// The request classes.
pub const CLASSES: &str = "classes";

/// Values of [`DISCOVERY`].
pub mod discovery {
    pub const AUTOMATIC: &str = "automatic";
    pub const SUBSCRIBE: &str = "subscribe";
}

/// Keys of a request class.
pub mod class {
    pub const NAME: &str = "name";
    pub const IDEMPOTENCY: &str = "idempotency";
    pub const DEDUPLICATION_SCOPE: &str = "dedup_scope";
    pub const KEY_TTL_MS: &str = "key_ttl_ms";
    pub const HARD_LIMIT_MS: &str = "hard_limit_ms";
    pub const TTFT_OBJECTIVE_MS: &str = "on_time_ms";
    pub const PRIORITY_WEIGHT: &str = "worth";
}

/// Values of [`class::IDEMPOTENCY`].
pub mod idempotency {
    pub const IDEMPOTENT: &str = "pure";
    pub const WITH_KEY: &str = "token";
    pub const NON_IDEMPOTENT: &str = "side_effect";
}

/// Values of [`class::DEDUPLICATION_SCOPE`].
pub mod deduplication_scope {
    pub const ALL: &str = "all";
    pub const ZONE: &str = "zone";
    pub const CELL: &str = "cell";
}

/// Keys of the router's capabilities.
pub mod capabilities {
    pub const CANCELLATION: &str = "caps.cancel";
    pub const CONNECT_TIMEOUT_MS: &str = "caps.dial_timeout_ms";
    pub const HEALTH_CHECKS: &str = "caps.probing";
    pub const MAX_ATTEMPTS: &str = "caps.max_attempts";
    pub const MAX_RETRY_AFTER_MS: &str = "caps.max_retry_after_ms";
    pub const RETRY_AFTER: &str = "caps.retry_after";
}

/// Keys of the properties that all workers share.
pub mod family {
    pub const ROOT: &str = "family_info";
    pub const DECODE_WORKERS_PREFILL: &str = "family_info.writers_read";
    pub const KIND_ROLES: &str = "family_info.kind_role";
    pub const RESERVATIONS: &str = "family_info.ahead";
    pub const STATE_RELEASE_TIMEOUT_MS: &str = "family_info.pin_limit_ms";
    pub const TTFT_OBJECTIVE_US_PER_1000_TOKENS: &str = "family_info.aim_us_per_1000_prompt_tokens";
    /// Prefix of the keys below [`ROOT`] that describe the columns of load reports; the column's name follows it.
    pub const REPORT_MEANING_PREFIX: &str = "report_";
}

/// Values of [`family::KIND_ROLES`].
pub mod role {
    pub const PREFILL: &str = "read";
    pub const DECODE: &str = "write";
    pub const MIXED: &str = "both";
}

/// Keys of the limits that the operators check.
pub mod invariants {
    pub const COLD_CAPACITY_SHARE: &str = "invariants.cold_share";
    pub const OVERLOAD_MULTIPLE: &str = "invariants.fall_multiple";
    pub const OVERLOAD_WINDOW_MS: &str = "invariants.fall_ms";
    pub const WARM_UP_TIME_MS: &str = "invariants.ramp_time_ms";
}

/// Keys of the load reports of workers.
pub mod report {
    pub const COLUMNS: &str = "report.columns";
    pub const SOURCE: &str = "report.how";
    /// Value of [`SOURCE`] if load reports arrive with health checks.
    pub const BY_HEALTH_CHECK: &str = "probe";
    /// Name of the column that counts the attempts in flight at a worker.
    pub const ATTEMPTS_COLUMN: &str = "outstanding";
    /// Beginning of the description of a column that counts waiting prompt tokens.
    pub const TOKENS_MEANING: &str = "thousands of prompt tokens waiting";
}
