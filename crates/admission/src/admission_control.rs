//! Admits requests by start-time fair queueing (Goyal, Vin and Cheng, 1996) among the tenants that have waiting
//! requests and are within their limits, up to the inferred concurrency limit.

use std::collections::{HashMap, VecDeque};

use foldhash::fast::FixedState;

use crate::concurrency_limit::ConcurrencyLimit;
use crate::config::AdmissionConfig;
use crate::request::{AdmissionRequest, ResponseTiming, Tenant, Ticket};
use crate::tenant::{Limits, QueuePosition, TenantState, TenantStats, WaitingRequest};
use crate::tenant_schedule::{ServiceOrder, TenantSchedule, VirtualTime};
use crate::units::Micros;
use crate::verdict::Verdict;
use crate::wait_queue::{QueueEntry, WaitQueue};

/// A request waits for admission for at most its remaining time divided by this. The rest is left for prefill, decode
/// and a retry.
const MAX_WAIT_DIVISOR: Micros = 4;

struct InFlightRequest {
    tenant: Tenant,
    admitted_at: Micros,
}

/// The admission control of one instance.
///
/// Each request passed to [`enqueue`](AdmissionControl::enqueue) gets exactly one verdict, [`Verdict::Admit`] or
/// [`Verdict::Reject`], unless its client disconnects first.
pub struct AdmissionControl {
    config: AdmissionConfig,
    tenants: HashMap<Tenant, TenantState, FixedState>,
    wait_queue: WaitQueue,
    in_flight: HashMap<Ticket, InFlightRequest, FixedState>,
    concurrency_limit: ConcurrencyLimit,
    /// Start tag of the last admitted request of a tenant with a weight.
    virtual_time: f64,
    schedule: TenantSchedule,
    /// Rejections that [`next_verdict`](AdmissionControl::next_verdict) has not returned yet.
    rejections: VecDeque<Verdict>,
    /// Number of requests received so far; orders requests of equal priority.
    received: u64,
    /// Time of the last timer that the caller was asked to set.
    timer_at: Option<Micros>,
}

impl AdmissionControl {
    /// Creates an admission control without tenants.
    pub fn new(config: AdmissionConfig) -> AdmissionControl {
        AdmissionControl {
            config,
            tenants: HashMap::default(),
            wait_queue: WaitQueue::default(),
            in_flight: HashMap::default(),
            concurrency_limit: ConcurrencyLimit::default(),
            virtual_time: 0.0,
            schedule: TenantSchedule::default(),
            rejections: VecDeque::new(),
            received: 0,
            timer_at: None,
        }
    }

    /// Adds a tenant or changes its limits. Requests in flight beyond a lowered limit stay in flight; waiting requests
    /// beyond a lowered limit are rejected.
    pub fn upsert_tenant(&mut self, now: Micros, tenant: Tenant, limits: Limits) {
        let limits = Limits { weight: limits.weight.max(0.0), ..limits };
        let state = self.tenants.entry(tenant).or_insert_with(|| TenantState::new(limits));
        state.removed = false;
        state.set_limits(now, limits);
        let excess: Vec<QueuePosition> =
            state.waiting.keys().skip(limits.waiting as usize).copied().collect();
        for position in excess {
            self.reject(now, tenant, position);
        }
        self.reschedule(now, tenant);
    }

    /// Removes a tenant. Its waiting requests are rejected; its requests in flight run to completion.
    pub fn remove_tenant(&mut self, now: Micros, tenant: Tenant) {
        let Some(state) = self.tenants.get_mut(&tenant) else { return };
        state.removed = true;
        let waiting: Vec<QueuePosition> = state.waiting.keys().copied().collect();
        for position in waiting {
            self.reject(now, tenant, position);
        }
        self.reschedule(now, tenant);
        self.forget_if_drained(tenant);
    }

    /// Queues a request. [`next_verdict`](AdmissionControl::next_verdict) returns its verdict, now or later. A request
    /// of an unknown tenant is rejected.
    pub fn enqueue(&mut self, now: Micros, request: AdmissionRequest) {
        let AdmissionRequest { ticket, tenant, tokens, priority_weight, deadline } = request;
        let Some(state) = self.tenants.get_mut(&tenant).filter(|state| !state.removed) else {
            self.rejections.push_back(Verdict::Reject { ticket, retry_after: 0 });
            return;
        };
        state.stats.received += 1;
        self.received += 1;
        let position = QueuePosition::new(priority_weight, self.received);
        state
            .waiting
            .insert(position, WaitingRequest { ticket, tokens: f64::from(tokens), received_at: now });
        let max_wait = self.config.max_wait.min(deadline.saturating_sub(now) / MAX_WAIT_DIVISOR);
        self.wait_queue.insert(ticket, QueueEntry { tenant, position, expires_at: now + max_wait });
        let last = state.waiting.last_key_value().map(|(position, _)| *position);
        let is_tenant_full = state.waiting.len() > state.limits.waiting as usize;
        if is_tenant_full || self.wait_queue.len() > self.config.max_waiting {
            if let Some(last) = last {
                self.reject(now, tenant, last);
            }
        }
        self.reschedule(now, tenant);
    }

    /// Records the response to an admitted request. Ignores tickets that are not in flight.
    pub fn request_finished(&mut self, now: Micros, ticket: Ticket, timing: ResponseTiming) {
        let Some(request) = self.in_flight.remove(&ticket) else { return };
        if timing != ResponseTiming::Unknown {
            let in_time = timing == ResponseTiming::InTime;
            self.concurrency_limit.record_response(now, request.admitted_at, in_time);
        }
        if let Some(state) = self.tenants.get_mut(&request.tenant) {
            state.stats.in_flight -= 1;
            match timing {
                ResponseTiming::InTime => state.stats.in_time += 1,
                ResponseTiming::Late => state.stats.late += 1,
                ResponseTiming::Unknown => {}
            }
        }
        self.reschedule(now, request.tenant);
        self.forget_if_drained(request.tenant);
    }

    /// Drops a waiting or in-flight request whose client disconnected.
    pub fn client_disconnected(&mut self, now: Micros, ticket: Ticket) {
        if let Some(entry) = self.wait_queue.get(ticket) {
            self.remove_waiting(entry.tenant, entry.position);
            self.reschedule(now, entry.tenant);
        }
        self.request_finished(now, ticket, ResponseTiming::Unknown);
    }

    /// Returns the next verdict, or `None` if nothing is to be decided at `now`.
    pub fn next_verdict(&mut self, now: Micros) -> Option<Verdict> {
        self.wake_throttled(now);
        self.expire_waiting(now);
        if let Some(rejection) = self.rejections.pop_front() {
            return Some(rejection);
        }
        if let Some(tenant) = self.schedule.next_ready() {
            if (self.in_flight.len() as f64) < self.concurrency_limit.limit() {
                return self.admit(now, tenant).map(Verdict::Admit);
            }
            self.concurrency_limit.limit_reached();
        }
        self.next_timer(now)
    }

    /// Returns a tenant's statistics, or `None` for an unknown tenant.
    pub fn tenant_stats(&self, tenant: Tenant) -> Option<TenantStats> {
        let state = self.tenants.get(&tenant)?;
        Some(TenantStats { waiting: state.waiting.len() as u32, ..state.stats })
    }

    /// Returns the number of requests that may be in flight, as inferred from response times.
    pub fn concurrency_limit(&self) -> f64 {
        self.concurrency_limit.limit()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of requests that wait for a verdict.
    pub fn waiting(&self) -> usize {
        self.wait_queue.len()
    }

    /// Reschedules the throttled tenants whose rate limits allow a request again.
    fn wake_throttled(&mut self, now: Micros) {
        while let Some((until, tenant)) = self.schedule.next_throttled() {
            if until > now {
                return;
            }
            self.reschedule(now, tenant);
        }
    }

    /// Rejects the requests whose longest waiting time has passed.
    fn expire_waiting(&mut self, now: Micros) {
        while let Some(entry) = self.wait_queue.first_expired(now) {
            self.reject(now, entry.tenant, entry.position);
            self.reschedule(now, entry.tenant);
        }
    }

    /// Returns a timer for the next expiration or the end of the next throttling, unless the caller's timer fires early
    /// enough.
    fn next_timer(&mut self, now: Micros) -> Option<Verdict> {
        let throttled_until = self.schedule.next_throttled().map(|(until, _)| until);
        let expires_at = self.wait_queue.next_expiration();
        let at = expires_at.into_iter().chain(throttled_until).min()?;
        if self.timer_at.is_some_and(|timer_at| timer_at > now && timer_at <= at) {
            return None;
        }
        self.timer_at = Some(at);
        Some(Verdict::SetTimer { at })
    }

    /// Admits the first waiting request of a tenant and returns its ticket.
    fn admit(&mut self, now: Micros, tenant: Tenant) -> Option<Ticket> {
        let state = self.tenants.get_mut(&tenant)?;
        let (&position, &request) = state.waiting.first_key_value()?;
        state.consume(now, request.tokens);
        let weight = if state.has_weight() { state.limits.weight } else { 1.0 };
        let start_tag = self.virtual_time.max(state.finish_tag);
        state.finish_tag = start_tag + (request.tokens + 1.0) / weight;
        // A tenant with weight 0 only uses capacity that the others leave, so it must not advance their virtual time.
        if state.has_weight() {
            self.virtual_time = start_tag;
        }
        state.stats.admitted += 1;
        state.stats.in_flight += 1;
        state.stats.queue_time += now - request.received_at;
        self.in_flight.insert(request.ticket, InFlightRequest { tenant, admitted_at: now });
        self.remove_waiting(tenant, position);
        self.reschedule(now, tenant);
        Some(request.ticket)
    }

    /// Rejects a waiting request. `retry_after` is the time until the tenant's rate limits would allow the request, or
    /// `max_wait` if no rate limit holds it back.
    fn reject(&mut self, now: Micros, tenant: Tenant, position: QueuePosition) {
        let Some(request) = self.remove_waiting(tenant, position) else { return };
        let Some(state) = self.tenants.get_mut(&tenant) else { return };
        state.stats.rejected += 1;
        let throttled_for = state.conforms_at(now, request.tokens).map(|at| at - now);
        // If no rate limit holds the request back, the capacity is exhausted. After `max_wait` each request that waits
        // now has had its verdict.
        let retry_after = throttled_for.filter(|time| *time > 0).unwrap_or(self.config.max_wait);
        self.rejections.push_back(Verdict::Reject {
            ticket: request.ticket,
            retry_after: retry_after.min(self.config.max_retry_after),
        });
    }

    /// Removes a request from its tenant's queue and from the wait queue.
    fn remove_waiting(&mut self, tenant: Tenant, position: QueuePosition) -> Option<WaitingRequest> {
        let request = self.tenants.get_mut(&tenant)?.waiting.remove(&position)?;
        self.wait_queue.remove(request.ticket);
        Some(request)
    }

    /// Updates a tenant's place in the schedule after a change: ready, throttled, or not scheduled if it has no waiting
    /// request, is at its limit of requests in flight, or has a rate limit of 0.
    fn reschedule(&mut self, now: Micros, tenant: Tenant) {
        self.schedule.remove(tenant);
        let Some(state) = self.tenants.get(&tenant) else { return };
        if state.is_at_in_flight_limit() {
            return;
        }
        let Some((_, first)) = state.waiting.first_key_value() else { return };
        match state.conforms_at(now, first.tokens) {
            Some(at) if at > now => self.schedule.insert_throttled(tenant, at),
            Some(_) => self.schedule.insert_ready(ServiceOrder {
                without_weight: state.limits.weight <= 0.0,
                start_tag: VirtualTime(state.finish_tag.max(self.virtual_time)),
                tenant,
            }),
            None => {}
        }
    }

    /// Drops the state of a removed tenant once none of its requests is in flight.
    fn forget_if_drained(&mut self, tenant: Tenant) {
        let Some(state) = self.tenants.get(&tenant) else { return };
        if state.removed && state.stats.in_flight == 0 {
            self.tenants.remove(&tenant);
        }
    }
}
