//! Admission of new requests: capacity limits, tenant admission, and the hand-over to the scheduler.

use metrics::counter;
use tideroute::types::{Idempotency, NewRequest, RequestId};
use tideroute_admission::{AdmissionConfig, AdmissionRequest, Tenant, TenantStats, Ticket, Verdict};
use tideroute_invariants::RequestRecord;
use tideroute_wire::Micros;

use super::RequestLifecycle;
use crate::config::LifecycleConfig;
use crate::request_state::RequestState;
use crate::response::Response;
use crate::tenant_admission::{TenantAdmission, TenantConfig};
use crate::transport::{Timer, Transport};
use crate::units::{to_micros, to_tenth_millis};

/// The maximum number of open requests divided by this may wait for tenant admission.
const MAX_WAITING_DIVISOR: usize = 4;

/// Creates tenant admission from the configuration; `None` where no tenants are configured.
pub(super) fn tenant_admission(config: &LifecycleConfig, now: Micros) -> Option<TenantAdmission> {
    let tenants = config.tenants.as_ref()?;
    let admission_config = AdmissionConfig {
        max_wait: config.max_admission_wait,
        max_waiting: (config.max_open_requests / MAX_WAITING_DIVISOR).max(1),
        max_retry_after: to_micros(config.scheduler.max_retry_after),
    };
    Some(TenantAdmission::new(tenants, config.limits_share, admission_config, now))
}

/// Why a request is not accepted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RejectionReason {
    /// As many requests are open as the configuration allows.
    AtCapacity,
    /// The router is shutting down.
    ShuttingDown,
}

impl RejectionReason {
    /// Returns the reason as it is sent to the client.
    pub fn text(self) -> &'static str {
        match self {
            RejectionReason::AtCapacity => "full",
            RejectionReason::ShuttingDown => "stopping",
        }
    }

    fn metric_label(self) -> &'static str {
        match self {
            RejectionReason::AtCapacity => "capacity",
            RejectionReason::ShuttingDown => "shutdown",
        }
    }
}

/// A request that is not accepted, and may be sent again.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AdmissionRejection {
    /// Why the request is not accepted.
    pub reason: RejectionReason,
    /// Microseconds after which the client may retry; 0 if the response names no time.
    pub retry_after: Micros,
}

impl<Context> RequestLifecycle<Context> {
    /// Returns why no further request can be accepted; `None` if one can. `full_client` says that the client has
    /// reached its own limit.
    pub fn check_capacity(&self, full_client: bool) -> Option<AdmissionRejection> {
        let is_full = full_client || self.requests.len() >= self.config.max_open_requests;
        if !is_full && !self.shutting_down {
            return None;
        }
        let reason = if is_full { RejectionReason::AtCapacity } else { RejectionReason::ShuttingDown };
        counter!("tideroute_requests_not_admitted_total", "reason" => reason.metric_label()).increment(1);
        let retry_after = if is_full { self.retry_after() } else { 0 };
        Some(AdmissionRejection { reason, retry_after })
    }

    /// Returns the Retry-After, in microseconds, of a client that is rejected for lack of capacity; 0 where the
    /// configuration allows none.
    pub fn retry_after(&self) -> Micros {
        if self.config.scheduler.retry_after_enabled {
            to_micros(self.config.scheduler.max_retry_after)
        } else {
            0
        }
    }

    /// Accepts a new request under the table's next id, and returns the id. Where tenants are configured, the request
    /// may wait until tenant admission admits it, and is rejected at once if it has no tenant.
    pub fn accept(
        &mut self,
        now: Micros,
        request: RequestState<Context>,
        tenant: Option<Tenant>,
        transport: &mut impl Transport<Context = Context>,
    ) -> RequestId {
        let class = self.config.scheduler.classes.get(usize::from(request.class));
        let idempotency = class.map_or(Idempotency::NonIdempotent, |class| class.idempotency);
        let priority_weight = class.map_or(0.0, |class| class.priority_weight);
        let deadline = request.deadline;
        let tokens = request.prompt_tokens;
        let record = RequestRecord::new(idempotency, to_tenth_millis(deadline));
        let id = self.requests.insert(RequestState { record, ..request });
        counter!("tideroute_requests_accepted_total").increment(1);
        transport.set_timer(deadline, Timer::Deadline(id));
        self.scheduling_needed = true;
        let Some(tenant_admission) = &mut self.tenant_admission else {
            self.admit_to_scheduler(now, id);
            return id;
        };
        match tenant {
            Some(tenant) => {
                let admission_request =
                    AdmissionRequest { ticket: Ticket(id), tenant, tokens, priority_weight, deadline };
                tenant_admission.admission_control.enqueue(now, admission_request);
            }
            None => self.respond(now, id, Response::Rejected(0), transport),
        }
        id
    }

    /// Passes the request to the scheduler, unless it is finished.
    fn admit_to_scheduler(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get(id).filter(|request| !request.finished) else { return };
        let new_request = NewRequest {
            id,
            class: request.class,
            session: request.session,
            prefix: request.prefix,
            prompt_tokens: f64::from(request.prompt_tokens),
            remaining_time: to_tenth_millis(request.deadline.saturating_sub(now)),
        };
        self.scheduler.request_arrived(to_tenth_millis(now), new_request);
        self.scheduling_needed = true;
    }

    /// Executes the verdicts of tenant admission.
    pub(super) fn run_admission(&mut self, now: Micros, transport: &mut impl Transport<Context = Context>) {
        while let Some(verdict) = self.next_verdict(now) {
            match verdict {
                Verdict::Admit(Ticket(id)) => self.admit_to_scheduler(now, id),
                Verdict::Reject { ticket: Ticket(id), retry_after } => {
                    counter!("tideroute_requests_not_admitted_total", "reason" => "quota").increment(1);
                    let retry_after = if self.config.scheduler.retry_after_enabled { retry_after } else { 0 };
                    self.respond(now, id, Response::Rejected(retry_after), transport);
                }
                Verdict::SetTimer { at } => transport.set_timer(at, Timer::Admission),
            }
        }
    }

    fn next_verdict(&mut self, now: Micros) -> Option<Verdict> {
        self.tenant_admission.as_mut()?.admission_control.next_verdict(now)
    }

    /// Returns whether clients must present a tenant's key.
    pub(crate) fn has_tenants(&self) -> bool {
        self.tenant_admission.is_some()
    }

    /// Returns the tenant of a key, by the key's BLAKE3 hash.
    pub(crate) fn tenant_for_key(&self, key_hash: &[u8; 32]) -> Option<Tenant> {
        self.tenant_admission.as_ref()?.tenant_for_key(key_hash)
    }

    /// Adds or changes a tenant, where tenants are configured.
    pub(crate) fn upsert_tenant(&mut self, now: Micros, config: TenantConfig) {
        if let Some(tenant_admission) = &mut self.tenant_admission {
            tenant_admission.upsert(now, config);
        }
    }

    /// Removes a tenant, where tenants are configured.
    pub(crate) fn remove_tenant(&mut self, now: Micros, name: &str, version: u64) {
        if let Some(tenant_admission) = &mut self.tenant_admission {
            tenant_admission.remove(now, name, version);
        }
    }

    /// Returns the tenants' statistics that changed since the last call, sorted by name; `None` without tenants.
    pub(crate) fn take_changed_tenant_stats(&mut self) -> Option<Vec<(&str, TenantStats)>> {
        let tenant_admission = self.tenant_admission.as_mut()?;
        Some(tenant_admission.take_changed_stats())
    }
}
