//! The state of one tenant: limits, waiting requests and statistics.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::rate_limit::{RateLimit, RateLimiter};
use crate::request::Ticket;
use crate::units::Micros;

/// The limits of a tenant. `None` means no limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Limit on requests per second.
    pub requests: Option<RateLimit>,
    /// Limit on prompt tokens per second.
    pub tokens: Option<RateLimit>,
    /// Maximum number of requests in flight.
    pub in_flight: Option<u32>,
    /// Share of the capacity, relative to the weights of the other tenants that have waiting requests. A tenant with
    /// weight 0 only uses capacity that the others leave.
    pub weight: f64,
    /// Maximum number of waiting requests. Beyond it, the last request in the tenant's queue is rejected.
    pub waiting: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { requests: None, tokens: None, in_flight: None, weight: 1.0, waiting: 100 }
    }
}

/// Statistics of a tenant's requests since the tenant was added.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantStats {
    /// Requests received.
    pub received: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests that admission control rejected, without rejections by the scheduler.
    pub rejected: u64,
    /// Admitted requests whose response was in time.
    pub in_time: u64,
    /// Admitted requests whose response was late.
    pub late: u64,
    /// Total time that the admitted requests waited, in microseconds.
    pub queue_time: u64,
    /// Requests that wait now.
    pub waiting: u32,
    /// Requests in flight now.
    pub in_flight: u32,
}

/// Position in a tenant's queue: ordered by descending priority weight, then by arrival.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    /// Bits of the priority weight. The bits of non-negative floats have the same order as the floats.
    priority: Reverse<u64>,
    /// Number of the request in the order of arrival.
    sequence: u64,
}

impl QueuePosition {
    pub fn new(priority_weight: f64, sequence: u64) -> QueuePosition {
        QueuePosition { priority: Reverse(priority_weight.max(0.0).to_bits()), sequence }
    }
}

#[derive(Clone, Copy)]
pub(crate) struct WaitingRequest {
    pub ticket: Ticket,
    pub tokens: f64,
    pub received_at: Micros,
}

pub(crate) struct TenantState {
    pub limits: Limits,
    request_limiter: RateLimiter,
    token_limiter: RateLimiter,
    pub waiting: BTreeMap<QueuePosition, WaitingRequest>,
    /// Finish tag of the last admitted request (start-time fair queueing): the virtual time from which the tenant's
    /// next request is due.
    pub finish_tag: f64,
    /// Whether the tenant was removed and only its requests in flight are left.
    pub removed: bool,
    pub stats: TenantStats,
}

impl TenantState {
    pub fn new(limits: Limits) -> TenantState {
        TenantState {
            limits,
            request_limiter: RateLimiter::default(),
            token_limiter: RateLimiter::default(),
            waiting: BTreeMap::new(),
            finish_tag: 0.0,
            removed: false,
            stats: TenantStats::default(),
        }
    }

    /// Returns the time from which the rate limits allow a request with `tokens` prompt tokens, or `None` for never.
    pub fn conforms_at(&self, now: Micros, tokens: f64) -> Option<Micros> {
        let mut conforms_at = now;
        if let Some(rate) = self.limits.requests {
            conforms_at = conforms_at.max(self.request_limiter.conforms_at(rate, now, 1.0)?);
        }
        if let Some(rate) = self.limits.tokens {
            conforms_at = conforms_at.max(self.token_limiter.conforms_at(rate, now, tokens)?);
        }
        Some(conforms_at)
    }

    /// Counts one request with `tokens` prompt tokens against the rate limits.
    pub fn consume(&mut self, now: Micros, tokens: f64) {
        if let Some(rate) = self.limits.requests {
            self.request_limiter.consume(rate, now, 1.0);
        }
        if let Some(rate) = self.limits.tokens {
            self.token_limiter.consume(rate, now, tokens);
        }
    }

    pub fn set_limits(&mut self, now: Micros, limits: Limits) {
        change_rate(&mut self.request_limiter, self.limits.requests, limits.requests, now);
        change_rate(&mut self.token_limiter, self.limits.tokens, limits.tokens, now);
        self.limits = limits;
    }

    /// Returns whether the limit on requests in flight is reached.
    pub fn is_at_in_flight_limit(&self) -> bool {
        self.limits.in_flight.is_some_and(|limit| self.stats.in_flight >= limit)
    }

    pub fn has_weight(&self) -> bool {
        self.limits.weight > 0.0
    }
}

fn change_rate(limiter: &mut RateLimiter, old: Option<RateLimit>, new: Option<RateLimit>, now: Micros) {
    match (old, new) {
        (Some(old), Some(new)) => limiter.rescale(old, new, now),
        _ => *limiter = RateLimiter::default(),
    }
}
