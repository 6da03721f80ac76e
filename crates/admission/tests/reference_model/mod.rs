//! A slow model of admission control that keeps plain lists and scans all of them for each verdict.

use tideroute_admission::{
    AdmissionConfig, AdmissionRequest, ConcurrencyLimit, Limits, Micros, ResponseTiming, Tenant, Ticket,
    Verdict,
};

pub const CONFIG: AdmissionConfig =
    AdmissionConfig { max_wait: 800_000, max_waiting: 60, max_retry_after: 2_000_000 };

#[derive(Clone)]
struct TenantModel {
    tenant: Tenant,
    limits: Limits,
    /// Theoretical arrival times of the two rate limits: requests, then tokens.
    theoretical_arrivals: [f64; 2],
    finish_tag: f64,
    removed: bool,
}

impl TenantModel {
    fn conforms_at(&self, now: Micros, tokens: f64) -> Option<Micros> {
        let rates = [(self.limits.requests, 1.0), (self.limits.tokens, tokens)];
        let mut conforms_at = now;
        for ((rate, units), theoretical_arrival) in rates.into_iter().zip(self.theoretical_arrivals) {
            let Some(rate) = rate else { continue };
            if rate.per_second <= 0.0 {
                return None;
            }
            let tolerance = (rate.burst.max(units) - units) / rate.per_second * 1e6;
            conforms_at = conforms_at.max((theoretical_arrival - tolerance).max(now as f64).ceil() as Micros);
        }
        Some(conforms_at)
    }

    fn consume(&mut self, now: Micros, tokens: f64) {
        let rates = [(self.limits.requests, 1.0), (self.limits.tokens, tokens)];
        for ((rate, units), theoretical_arrival) in rates.into_iter().zip(&mut self.theoretical_arrivals) {
            if let Some(rate) = rate {
                *theoretical_arrival = theoretical_arrival.max(now as f64) + units / rate.per_second * 1e6;
            }
        }
    }

    fn set_limits(&mut self, now: Micros, limits: Limits) {
        let rates = [(self.limits.requests, limits.requests), (self.limits.tokens, limits.tokens)];
        for (theoretical_arrival, old_and_new) in self.theoretical_arrivals.iter_mut().zip(rates) {
            let (Some(old), Some(new)) = old_and_new else {
                *theoretical_arrival = 0.0;
                continue;
            };
            if new.per_second > 0.0 {
                let units = (*theoretical_arrival - now as f64).max(0.0) / 1e6 * old.per_second.max(0.0);
                let max_backlog = new.burst.max(1.0) / new.per_second * 1e6;
                *theoretical_arrival = now as f64 + (units / new.per_second * 1e6).min(max_backlog);
            }
        }
        self.limits = limits;
    }
}

#[derive(Clone)]
struct WaitingRequest {
    request: AdmissionRequest,
    sequence: u64,
    expires_at: Micros,
}

struct InFlightRequest {
    ticket: Ticket,
    tenant: Tenant,
    admitted_at: Micros,
}

#[derive(Default)]
pub struct ReferenceModel {
    tenants: Vec<TenantModel>,
    waiting: Vec<WaitingRequest>,
    in_flight: Vec<InFlightRequest>,
    concurrency_limit: ConcurrencyLimit,
    virtual_time: f64,
    received: u64,
    verdicts: Vec<Verdict>,
}

impl ReferenceModel {
    fn tenant_mut(&mut self, tenant: Tenant) -> Option<&mut TenantModel> {
        self.tenants.iter_mut().find(|model| model.tenant == tenant)
    }

    fn in_flight_of(&self, tenant: Tenant) -> usize {
        self.in_flight.iter().filter(|request| request.tenant == tenant).count()
    }

    pub fn is_waiting(&self, ticket: Ticket) -> bool {
        self.waiting.iter().any(|waiting| waiting.request.ticket == ticket)
    }

    /// Returns the waiting requests of a tenant in the order in which they are admitted.
    fn waiting_of(&self, tenant: Tenant) -> Vec<WaitingRequest> {
        let mut requests: Vec<_> =
            self.waiting.iter().filter(|waiting| waiting.request.tenant == tenant).cloned().collect();
        requests.sort_by(|a, b| {
            let by_priority = b.request.priority_weight.total_cmp(&a.request.priority_weight);
            by_priority.then(a.sequence.cmp(&b.sequence))
        });
        requests
    }

    fn reject(&mut self, now: Micros, waiting: &WaitingRequest) {
        let AdmissionRequest { ticket, tenant, tokens, .. } = waiting.request;
        self.waiting.retain(|waiting| waiting.request.ticket != ticket);
        let Some(tenant) = self.tenant_mut(tenant) else { return };
        let throttled_for = tenant.conforms_at(now, f64::from(tokens)).map(|at| at - now);
        let retry_after = throttled_for.filter(|time| *time > 0).unwrap_or(CONFIG.max_wait);
        self.verdicts.push(Verdict::Reject { ticket, retry_after: retry_after.min(CONFIG.max_retry_after) });
    }

    pub fn upsert_tenant(&mut self, now: Micros, tenant: Tenant, limits: Limits) {
        if self.tenant_mut(tenant).is_none() {
            self.tenants.push(TenantModel {
                tenant,
                limits,
                theoretical_arrivals: [0.0; 2],
                finish_tag: 0.0,
                removed: false,
            });
        }
        let Some(model) = self.tenant_mut(tenant) else { return };
        model.set_limits(now, limits);
        model.removed = false;
        let mut waiting = self.waiting_of(tenant);
        let kept = (limits.waiting as usize).min(waiting.len());
        for excess in waiting.split_off(kept) {
            self.reject(now, &excess);
        }
    }

    pub fn remove_tenant(&mut self, now: Micros, tenant: Tenant) {
        let Some(model) = self.tenant_mut(tenant) else { return };
        model.removed = true;
        for waiting in self.waiting_of(tenant) {
            self.reject(now, &waiting);
        }
        self.forget_drained();
    }

    fn forget_drained(&mut self) {
        let in_flight = &self.in_flight;
        self.tenants
            .retain(|model| !model.removed || in_flight.iter().any(|request| request.tenant == model.tenant));
    }

    pub fn enqueue(&mut self, now: Micros, request: AdmissionRequest) {
        if !self.tenants.iter().any(|model| model.tenant == request.tenant && !model.removed) {
            return self.verdicts.push(Verdict::Reject { ticket: request.ticket, retry_after: 0 });
        }
        self.received += 1;
        let expires_at = now + CONFIG.max_wait.min(request.deadline.saturating_sub(now) / 4);
        self.waiting.push(WaitingRequest { request, sequence: self.received, expires_at });
        let of_tenant = self.waiting_of(request.tenant);
        let max_waiting = self.tenant_mut(request.tenant).map_or(0, |model| model.limits.waiting as usize);
        if of_tenant.len() > max_waiting || self.waiting.len() > CONFIG.max_waiting {
            of_tenant.last().into_iter().for_each(|last| self.reject(now, last));
        }
    }

    pub fn request_finished(&mut self, now: Micros, ticket: Ticket, timing: ResponseTiming) {
        let Some(index) = self.in_flight.iter().position(|request| request.ticket == ticket) else { return };
        let InFlightRequest { admitted_at, .. } = self.in_flight.remove(index);
        if timing != ResponseTiming::Unknown {
            let in_time = timing == ResponseTiming::InTime;
            self.concurrency_limit.record_response(now, admitted_at, in_time);
        }
        self.forget_drained();
    }

    pub fn client_disconnected(&mut self, now: Micros, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.request.ticket != ticket);
        self.request_finished(now, ticket, ResponseTiming::Unknown);
    }

    pub fn next_verdict(&mut self, now: Micros) -> Option<Verdict> {
        let mut expired: Vec<_> =
            self.waiting.iter().filter(|waiting| waiting.expires_at <= now).cloned().collect();
        expired.sort_by_key(|waiting| (waiting.expires_at, waiting.request.ticket));
        for waiting in expired {
            self.reject(now, &waiting);
        }
        if !self.verdicts.is_empty() {
            return Some(self.verdicts.remove(0));
        }
        let next = self.next_to_admit(now)?;
        if self.in_flight.len() as f64 >= self.concurrency_limit.limit() {
            self.concurrency_limit.limit_reached();
            return None;
        }
        self.admit(now, next.request)
    }

    fn next_to_admit(&self, now: Micros) -> Option<WaitingRequest> {
        let mut best: Option<((bool, f64, Tenant), WaitingRequest)> = None;
        for model in &self.tenants {
            let Some(first) = self.waiting_of(model.tenant).into_iter().next() else { continue };
            let in_flight_limit = model.limits.in_flight;
            let is_full =
                in_flight_limit.is_some_and(|limit| self.in_flight_of(model.tenant) >= limit as usize);
            let conforms_at = model.conforms_at(now, f64::from(first.request.tokens));
            let conforms = conforms_at.is_some_and(|at| at <= now);
            let start_tag = model.finish_tag.max(self.virtual_time);
            let order = (model.limits.weight <= 0.0, start_tag, model.tenant);
            if !is_full && conforms && best.as_ref().is_none_or(|(best_order, _)| order < *best_order) {
                best = Some((order, first));
            }
        }
        best.map(|(_, request)| request)
    }

    fn admit(&mut self, now: Micros, request: AdmissionRequest) -> Option<Verdict> {
        let AdmissionRequest { ticket, tenant, tokens, .. } = request;
        self.waiting.retain(|waiting| waiting.request.ticket != ticket);
        self.in_flight.push(InFlightRequest { ticket, tenant, admitted_at: now });
        let virtual_time = self.virtual_time;
        let model = self.tenant_mut(tenant)?;
        model.consume(now, f64::from(tokens));
        let weight = if model.limits.weight > 0.0 { model.limits.weight } else { 1.0 };
        let start_tag = virtual_time.max(model.finish_tag);
        model.finish_tag = start_tag + (f64::from(tokens) + 1.0) / weight;
        if model.limits.weight > 0.0 {
            self.virtual_time = start_tag;
        }
        Some(Verdict::Admit(ticket))
    }
}
