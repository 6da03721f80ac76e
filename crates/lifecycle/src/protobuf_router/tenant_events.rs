//! Changes of tenants, which the administration sends, and the tenants' statistics, which it receives.

use tideroute_admission::{Limits, RateLimit, TenantStats};
use tideroute_wire::event_loop::Effects;
use tideroute_wire::{tenant, Malformed, Micros};

use super::request_context::RequestContext;
use super::state::RouterState;
use super::timers::RouterTimer;
use crate::lifecycle::RequestLifecycle;
use crate::tenant_admission::TenantConfig;

/// Microseconds between two publications of tenants' statistics: short enough for an operator who watches them live.
const STATS_INTERVAL: Micros = 1_000_000;

/// Maximum number of tenants whose statistics one message holds.
const TENANTS_PER_MESSAGE: usize = 500;

/// Handles one message of the administration.
pub(super) struct TenantEvents<'a> {
    pub lifecycle: &'a mut RequestLifecycle<RequestContext>,
    pub now: Micros,
}

impl tenant::Core for TenantEvents<'_> {
    fn set(
        &mut self,
        name: &str,
        version: u64,
        keys: Vec<[u8; 32]>,
        weight: f64,
        requests: Option<tenant::Rate>,
        tokens: Option<tenant::Rate>,
        in_flight: Option<u32>,
        waiting: u32,
    ) -> Result<(), Malformed> {
        let limits =
            Limits { requests: requests.map(rate), tokens: tokens.map(rate), in_flight, weight, waiting };
        let config = TenantConfig { name: name.to_string(), version, keys, limits };
        self.lifecycle.upsert_tenant(self.now, config);
        Ok(())
    }

    fn removed(&mut self, name: &str, version: u64) -> Result<(), Malformed> {
        self.lifecycle.remove_tenant(self.now, name, version);
        Ok(())
    }
}

fn rate(rate: tenant::Rate) -> RateLimit {
    RateLimit { per_second: rate.per_second, burst: rate.burst }
}

/// Publishes the statistics that changed, and sets the timer of the next publication. Does nothing without tenants.
pub(super) fn publish_tenant_stats(state: &mut RouterState, now: Micros, effects: &mut Effects) {
    let Some(changed) = state.lifecycle.take_changed_tenant_stats() else { return };
    for chunk in changed.chunks(TENANTS_PER_MESSAGE) {
        let stats = chunk.iter().map(|(name, stats)| (*name, wire_stats(stats)));
        effects.publish(tenant::stats(&state.config.lifecycle.name, stats));
    }
    effects.set_timer(now + STATS_INTERVAL, RouterTimer::TenantStats.encode());
}

fn wire_stats(stats: &TenantStats) -> tenant::TenantStats {
    tenant::TenantStats {
        received: stats.received,
        admitted: stats.admitted,
        rejected: stats.rejected,
        in_time: stats.in_time,
        late: stats.late,
        queue_time: stats.queue_time,
        waiting: stats.waiting,
        in_flight: stats.in_flight,
    }
}
