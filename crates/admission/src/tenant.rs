//! One tenant: its limits, its waiting requests and its statistics.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::rate_limit::{RateLimit, RateLimiter};
use crate::request::Ticket;
use crate::units::Micros;

/// The limits of a tenant. A limit that is `None` does not bind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Limit on requests per second.
    pub requests: Option<RateLimit>,
    /// Limit on prompt tokens per second.
    pub tokens: Option<RateLimit>,
    /// Requests that may be in flight.
    pub in_flight: Option<u32>,
    /// Its part of the capacity, relative to the weights of other tenants that have work; 0 for only what others leave.
    pub weight: f64,
    /// Requests that may wait. Beyond that, the one with the lowest priority is rejected.
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
    /// Requests that admission control rejected; rejections by the scheduler are not among them.
    pub rejected: u64,
    /// Admitted requests whose response was in time.
    pub in_time: u64,
    /// Admitted requests whose response was late.
    pub late: u64,
    /// Microseconds that the admitted requests waited, summed up.
    pub queue_time: u64,
    /// Requests that wait at present.
    pub waiting: u32,
    /// Requests in flight at present.
    pub in_flight: u32,
}

/// Position in a tenant's queue: a higher priority weight goes first, then what came first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    /// Bits of the priority weight: floats that are not negative order as their bits do.
    priority: Reverse<u64>,
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
    /// Finish tag of the last admitted request (start-time fair queueing): the virtual time at which the tenant has used
    /// up the service that it got.
    pub finish_tag: f64,
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

    /// When the rate limits allow a request of so many prompt tokens; `None` for never.
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

    /// Consumes one request of so many prompt tokens from the rate limits.
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

    /// The limit on requests in flight is reached.
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
