//! The order in which tenants that have work are served.

use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};

use foldhash::fast::FixedState;

use crate::request::Tenant;
use crate::units::Micros;

/// A virtual time of start-time fair queueing, with the total order of floats.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct VirtualTime(pub f64);

impl Eq for VirtualTime {}

impl Ord for VirtualTime {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for VirtualTime {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Where a tenant stands that may be served now: tenants with a weight first, then the lowest start tag. The order of the
/// fields is the order of service.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceOrder {
    pub without_weight: bool,
    pub start_tag: VirtualTime,
    pub tenant: Tenant,
}

/// The tenants that have work, each either ready or throttled. Tenants that may not be served whatever the time, as at
/// their limit of requests in flight, are not in it.
#[derive(Default)]
pub(crate) struct TenantSchedule {
    ready: BTreeSet<ServiceOrder>,
    ready_by_tenant: HashMap<Tenant, ServiceOrder, FixedState>,
    /// Tenants that wait for their rate limits, by the time at which these allow the next request.
    throttled: BTreeSet<(Micros, Tenant)>,
    throttled_until: HashMap<Tenant, Micros, FixedState>,
}

impl TenantSchedule {
    /// The ready tenant that is served next.
    pub fn next_ready(&self) -> Option<Tenant> {
        self.ready.first().map(|order| order.tenant)
    }

    /// The throttled tenant whose rate limits allow a request first, and when.
    pub fn next_throttled(&self) -> Option<(Micros, Tenant)> {
        self.throttled.first().copied()
    }

    pub fn remove(&mut self, tenant: Tenant) {
        if let Some(order) = self.ready_by_tenant.remove(&tenant) {
            self.ready.remove(&order);
        }
        if let Some(until) = self.throttled_until.remove(&tenant) {
            self.throttled.remove(&(until, tenant));
        }
    }

    /// Adds a tenant, which must not be scheduled yet.
    pub fn insert_ready(&mut self, order: ServiceOrder) {
        self.ready_by_tenant.insert(order.tenant, order);
        self.ready.insert(order);
    }

    /// Adds a tenant, which must not be scheduled yet.
    pub fn insert_throttled(&mut self, tenant: Tenant, until: Micros) {
        self.throttled_until.insert(tenant, until);
        self.throttled.insert((until, tenant));
    }
}
