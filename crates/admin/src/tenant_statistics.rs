//! Statistics of tenants, which each core reports separately.

use std::collections::BTreeMap;

use serde::Serialize;
use tideroute_wire::tenant::TenantStats;

/// The latest statistics of each tenant from each core.
#[derive(Default)]
pub(crate) struct TenantStatistics {
    /// Statistics by name of the tenant, then by name of the core.
    by_tenant: BTreeMap<String, BTreeMap<String, TenantStats>>,
}

/// A tenant's statistics, summed over all cores. The JSON names are part of the API.
#[derive(Default, Serialize)]
pub(crate) struct TenantTotals<'a> {
    pub name: &'a str,
    #[serde(rename = "asked")]
    received: u64,
    #[serde(rename = "let_in")]
    admitted: u64,
    #[serde(rename = "turned_back")]
    rejected: u64,
    in_time: u64,
    late: u64,
    #[serde(rename = "waited_us")]
    queue_time: u64,
    waiting: u64,
    in_flight: u64,
}

impl TenantStatistics {
    pub fn record(&mut self, core: &str, tenant: &str, stats: TenantStats) {
        self.by_tenant.entry(tenant.to_string()).or_default().insert(core.to_string(), stats);
    }

    pub fn remove(&mut self, tenant: &str) {
        self.by_tenant.remove(tenant);
    }

    /// Returns the totals of up to `limit` tenants whose names come after `after`, ordered by name.
    pub fn totals(&self, after: &str, limit: usize) -> Vec<TenantTotals<'_>> {
        let tenants = self.by_tenant.iter().filter(|(name, _)| name.as_str() > after);
        tenants.take(limit).map(|(name, cores)| TenantTotals::sum(name, cores)).collect()
    }
}

impl<'a> TenantTotals<'a> {
    fn sum(name: &'a str, cores: &BTreeMap<String, TenantStats>) -> TenantTotals<'a> {
        let mut totals = TenantTotals { name, ..TenantTotals::default() };
        for stats in cores.values() {
            totals.received += stats.received;
            totals.admitted += stats.admitted;
            totals.rejected += stats.rejected;
            totals.in_time += stats.in_time;
            totals.late += stats.late;
            totals.queue_time += stats.queue_time;
            totals.waiting += u64::from(stats.waiting);
            totals.in_flight += u64::from(stats.in_flight);
        }
        totals
    }
}
