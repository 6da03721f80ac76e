//! Whose submissions come in. Where there are tenants, a client's Hello must show the key of one, and the module
//! hears of a submission only once [`tideroute_admission`] lets it in; the host carries out both verdicts.

use std::collections::HashMap;

use bytes::Bytes;
use tideroute_admission::{Figures, Limits, Rate, Shares, Tenant};
use tideroute_wire::{tenant, Malformed, Micros};

/// Tenants whose figures one letter tells.
const IN_A_LETTER: usize = 500;

/// One tenant, as the operator names it.
#[derive(Clone, Debug)]
pub struct TenantConfig {
    pub name: String,
    /// The change that made it so; an older one is not heeded. 0 where none is counted.
    pub version: u64,
    /// BLAKE3 of its keys; the keys themselves are nowhere.
    pub keys: Vec<[u8; 32]>,
    /// For all routers and cores together.
    pub limits: Limits,
}

struct Known {
    tenant: Tenant,
    /// As they were told last.
    told: Figures,
    version: u64,
    keys: Vec<[u8; 32]>,
}

pub(crate) struct TenantAdmission {
    pub shares: Shares,
    /// This instance's part of all limits: what all instances let in stays within them with no word between.
    part: f64,
    by_key: HashMap<[u8; 32], Tenant>,
    by_name: HashMap<String, Known>,
    numbers: u32,
}

impl TenantAdmission {
    pub fn new(
        tenants: &[TenantConfig],
        part: f64,
        config: tideroute_admission::Terms,
        now: Micros,
    ) -> TenantAdmission {
        let shares = Shares::new(config);
        let (by_key, by_name) = (HashMap::new(), HashMap::new());
        let mut tenant_admission = TenantAdmission { shares, part, by_key, by_name, numbers: 0 };
        tenants.iter().for_each(|t| tenant_admission.set(now, t.clone()));
        tenant_admission
    }

    /// A tenant is there, or is another than it was.
    pub fn set(&mut self, now: Micros, config: TenantConfig) {
        if self.by_name.get(&config.name).is_some_and(|known| known.version > config.version) {
            return;
        }
        let (tenant, told) = match self.by_name.get(&config.name) {
            Some(known) => (known.tenant, known.told),
            None => {
                self.numbers += 1;
                (Tenant(self.numbers), Figures::default())
            }
        };
        self.revoke(&config.name);
        self.by_key.extend(config.keys.iter().map(|key| (*key, tenant)));
        let part = |rate: Rate| Rate {
            a_second: rate.a_second * self.part,
            burst: (rate.burst * self.part).max(1.0),
        };
        let limits = Limits {
            requests: config.limits.requests.map(part),
            tokens: config.limits.tokens.map(part),
            in_flight: config.limits.in_flight.map(|most| (f64::from(most) * self.part).ceil() as u32),
            ..config.limits
        };
        self.shares.tenant(now, tenant, limits);
        self.by_name.insert(config.name, Known { tenant, told, version: config.version, keys: config.keys });
    }

    /// A tenant is removed: its keys are dead, what waits is turned back, what is in flight runs to its end.
    pub fn gone(&mut self, now: Micros, name: &str, version: u64) {
        if self.by_name.get(name).is_none_or(|known| known.version > version) {
            return;
        }
        self.revoke(name);
        if let Some(known) = self.by_name.remove(name) {
            self.shares.removed(now, known.tenant);
        }
    }

    /// Figures of tenants that changed since they were told last, in letters of so many.
    pub fn news(&mut self, core: &str) -> Vec<Bytes> {
        let mut changed = vec![];
        for (name, known) in &mut self.by_name {
            let now = self.shares.figures(known.tenant).unwrap_or_default();
            if now != std::mem::replace(&mut known.told, now) {
                let stats = tenant::TenantStats {
                    received: now.asked,
                    admitted: now.let_in,
                    rejected: now.rejected,
                    in_time: now.in_time,
                    late: now.late,
                    queue_time: now.waited,
                    waiting: now.waiting,
                    in_flight: now.in_flight,
                };
                changed.push((name.as_str(), stats));
            }
        }
        // By name, so that the same run tells the same.
        changed.sort_unstable_by_key(|(name, _)| *name);
        changed.chunks(IN_A_LETTER).map(|part| tenant::stats(core, part.iter().copied())).collect()
    }

    fn revoke(&mut self, name: &str) {
        let Some(known) = self.by_name.get(name) else { return };
        for key in &known.keys {
            self.by_key.remove(key);
        }
    }

    /// The tenant of a key's hash. Hashes are looked up, so that how long it takes tells nothing of a key.
    pub fn of(&self, hash: &[u8; 32]) -> Option<Tenant> {
        self.by_key.get(hash).copied()
    }
}

/// Takes a letter apart for the tenancy.
pub(crate) struct Ear<'a> {
    pub tenant_admission: &'a mut TenantAdmission,
    pub now: Micros,
}

impl tenant::Core for Ear<'_> {
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
        let rate = |rate: tenant::Rate| Rate { a_second: rate.per_second, burst: rate.burst };
        let (requests, tokens) = (requests.map(rate), tokens.map(rate));
        let limits = Limits { requests, tokens, in_flight, weight, waiting };
        self.tenant_admission.set(self.now, TenantConfig { name: name.to_string(), version, keys, limits });
        Ok(())
    }

    fn removed(&mut self, name: &str, version: u64) -> Result<(), Malformed> {
        self.tenant_admission.gone(self.now, name, version);
        Ok(())
    }
}
