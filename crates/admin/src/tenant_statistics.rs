//! Statistics of tenants, which each core reports on its own.

use std::collections::BTreeMap;

use serde::Serialize;
use tideroute_wire::tenant::Figures;

/// The last statistics of each tenant from each core.
#[derive(Default)]
pub(crate) struct TenantStatistics {
    by_tenant: BTreeMap<String, BTreeMap<String, Figures>>,
}

/// A tenant's statistics, summed over all cores. The names in JSON are those of the API.
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
    total_wait: u64,
    waiting: u64,
    in_flight: u64,
}

impl TenantStatistics {
    pub fn record(&mut self, core: &str, tenant: &str, figures: Figures) {
        self.by_tenant.entry(tenant.to_string()).or_default().insert(core.to_string(), figures);
    }

    pub fn remove(&mut self, tenant: &str) {
        self.by_tenant.remove(tenant);
    }

    /// The totals of up to `limit` tenants in the order of their names, those after the name `after`.
    pub fn totals(&self, after: &str, limit: usize) -> Vec<TenantTotals<'_>> {
        let tenants = self.by_tenant.iter().filter(|(name, _)| name.as_str() > after);
        tenants.take(limit).map(|(name, cores)| TenantTotals::sum(name, cores)).collect()
    }
}

impl<'a> TenantTotals<'a> {
    fn sum(name: &'a str, cores: &BTreeMap<String, Figures>) -> TenantTotals<'a> {
        let mut totals = TenantTotals { name, ..TenantTotals::default() };
        for (counters, gauges) in cores.values() {
            let [received, admitted, rejected, in_time, late, total_wait] = counters;
            let [waiting, in_flight] = gauges;
            totals.received += received;
            totals.admitted += admitted;
            totals.rejected += rejected;
            totals.in_time += in_time;
            totals.late += late;
            totals.total_wait += total_wait;
            totals.waiting += u64::from(*waiting);
            totals.in_flight += u64::from(*in_flight);
        }
        totals
    }
}
