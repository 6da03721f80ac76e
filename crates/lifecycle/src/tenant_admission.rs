//! Tenants and their limits. Where tenants are configured, a client must present a key of one of them, and the
//! scheduler sees a request only once [`tideroute_admission`] admits it.

use std::collections::HashMap;

use tideroute_admission::{AdmissionConfig, AdmissionControl, Limits, RateLimit, Tenant, TenantStats};
use tideroute_wire::Micros;

/// One tenant, as the operator configures it.
#[derive(Clone, Debug)]
pub struct TenantConfig {
    /// Unique name of the tenant.
    pub name: String,
    /// Version of this configuration; an older one is ignored. 0 where versions are not counted.
    pub version: u64,
    /// BLAKE3 hashes of the tenant's keys; the keys themselves are stored nowhere.
    pub keys: Vec<[u8; 32]>,
    /// Limits over all routers and cores together.
    pub limits: Limits,
}

struct TenantEntry {
    tenant: Tenant,
    /// The statistics as they were last reported.
    reported: TenantStats,
    version: u64,
    keys: Vec<[u8; 32]>,
}

/// The known tenants and the admission queue.
pub(crate) struct TenantAdmission {
    pub admission_control: AdmissionControl,
    /// This instance's fraction of all limits, so that all instances together stay within them without coordination.
    limits_share: f64,
    by_key_hash: HashMap<[u8; 32], Tenant>,
    by_name: HashMap<String, TenantEntry>,
    last_tenant_number: u32,
}

impl TenantAdmission {
    pub fn new(
        tenants: &[TenantConfig],
        limits_share: f64,
        config: AdmissionConfig,
        now: Micros,
    ) -> TenantAdmission {
        let mut tenant_admission = TenantAdmission {
            admission_control: AdmissionControl::new(config),
            limits_share,
            by_key_hash: HashMap::new(),
            by_name: HashMap::new(),
            last_tenant_number: 0,
        };
        for tenant in tenants {
            tenant_admission.upsert(now, tenant.clone());
        }
        tenant_admission
    }

    /// Adds a tenant or replaces its configuration, unless the known version is newer.
    pub fn upsert(&mut self, now: Micros, config: TenantConfig) {
        let known = self.by_name.get(&config.name);
        if known.is_some_and(|known| known.version > config.version) {
            return;
        }
        let (tenant, reported) = match known {
            Some(known) => (known.tenant, known.reported),
            None => {
                self.last_tenant_number += 1;
                (Tenant(self.last_tenant_number), TenantStats::default())
            }
        };
        self.revoke_keys(&config.name);
        self.by_key_hash.extend(config.keys.iter().map(|key| (*key, tenant)));
        self.admission_control.upsert_tenant(now, tenant, self.share_of(config.limits));
        let entry = TenantEntry { tenant, reported, version: config.version, keys: config.keys };
        self.by_name.insert(config.name, entry);
    }

    /// Returns this instance's share of a tenant's limits.
    fn share_of(&self, limits: Limits) -> Limits {
        let share_of_rate = |rate: RateLimit| RateLimit {
            per_second: rate.per_second * self.limits_share,
            burst: (rate.burst * self.limits_share).max(1.0),
        };
        let share_of_count = |count: u32| (f64::from(count) * self.limits_share).ceil() as u32;
        Limits {
            requests: limits.requests.map(share_of_rate),
            tokens: limits.tokens.map(share_of_rate),
            in_flight: limits.in_flight.map(share_of_count),
            ..limits
        }
    }

    /// Removes a tenant, unless the known version is newer: its keys are revoked, its waiting requests are rejected, and
    /// its requests in flight complete.
    pub fn remove(&mut self, now: Micros, name: &str, version: u64) {
        if self.by_name.get(name).is_none_or(|known| known.version > version) {
            return;
        }
        self.revoke_keys(name);
        if let Some(known) = self.by_name.remove(name) {
            self.admission_control.remove_tenant(now, known.tenant);
        }
    }

    /// Returns the statistics that changed since the last call, sorted by tenant name so that equal runs report
    /// equally.
    pub fn take_changed_stats(&mut self) -> Vec<(&str, TenantStats)> {
        let mut changed = vec![];
        for (name, known) in &mut self.by_name {
            let stats = self.admission_control.tenant_stats(known.tenant).unwrap_or_default();
            if stats != known.reported {
                known.reported = stats;
                changed.push((name.as_str(), stats));
            }
        }
        changed.sort_unstable_by_key(|(name, _)| *name);
        changed
    }

    fn revoke_keys(&mut self, name: &str) {
        let Some(known) = self.by_name.get(name) else { return };
        for key in &known.keys {
            self.by_key_hash.remove(key);
        }
    }

    /// Returns the tenant of a key, by the key's hash. The duration of a lookup by hash reveals nothing about the key.
    pub fn tenant_for_key(&self, key_hash: &[u8; 32]) -> Option<Tenant> {
        self.by_key_hash.get(key_hash).copied()
    }
}
