//! The order in which tenants with waiting requests are served.

use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};

use foldhash::fast::FixedState;

use crate::request::Tenant;
use crate::units::Micros;

/// A virtual time of start-time fair queueing, ordered by `f64::total_cmp`.
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

/// The place of a ready tenant in the order of service: tenants with a weight come first, then those with the lowest
/// start tag. The derived order depends on the order of the fields.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceOrder {
    pub without_weight: bool,
    pub start_tag: VirtualTime,
    pub tenant: Tenant,
}

/// The tenants that have waiting requests, each either ready or throttled. Tenants that cannot be served until an event
/// occurs, such as those at their limit of requests in flight, are not scheduled.
#[derive(Default)]
pub(crate) struct TenantSchedule {
    ready: BTreeSet<ServiceOrder>,
    ready_by_tenant: HashMap<Tenant, ServiceOrder, FixedState>,
    /// Tenants whose rate limits hold back their next request, ordered by the time at which the limits allow it.
    throttled: BTreeSet<(Micros, Tenant)>,
    throttled_until: HashMap<Tenant, Micros, FixedState>,
}

impl TenantSchedule {
    /// Returns the ready tenant to serve next.
    pub fn next_ready(&self) -> Option<Tenant> {
        self.ready.first().map(|order| order.tenant)
    }

    /// Returns the throttled tenant whose rate limits allow a request first, and the time at which they do.
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

    /// Adds a tenant that may be served now. It must not be scheduled yet.
    pub fn insert_ready(&mut self, order: ServiceOrder) {
        self.ready_by_tenant.insert(order.tenant, order);
        self.ready.insert(order);
    }

    /// Adds a tenant whose rate limits allow the next request at `until`. It must not be scheduled yet.
    pub fn insert_throttled(&mut self, tenant: Tenant, until: Micros) {
        self.throttled_until.insert(tenant, until);
        self.throttled.insert((until, tenant));
    }
}
