//! Whose submissions come in. Where the operator names tenants, a client's Hello must show the key of one, and the
//! module hears of a submission only once [`tideroute_shares`] lets it in; the host carries out both verdicts.

use std::collections::HashMap;

use tideroute_shares::{Limits, Shares, Tenant};

/// One tenant, as the operator names it.
#[derive(Clone, Debug)]
pub struct TenantTerms {
    pub name: String,
    /// The BLAKE3 of its key; the key itself is nowhere.
    pub key: [u8; 32],
    /// This instance's part of them.
    pub limits: Limits,
}

pub(crate) struct Tenancy {
    pub shares: Shares,
    by_key: HashMap<[u8; 32], Tenant>,
    names: Vec<String>,
}

impl Tenancy {
    /// None where the operator names no tenants.
    pub fn new(tenants: &[TenantTerms], terms: tideroute_shares::Terms, now: u64) -> Option<Tenancy> {
        let (mut shares, mut by_key) = (Shares::new(terms), HashMap::new());
        for (n, t) in (0..).zip(tenants) {
            shares.tenant(now, Tenant(n), t.limits);
            by_key.insert(t.key, Tenant(n));
        }
        let names = tenants.iter().map(|t| t.name.clone()).collect();
        (!tenants.is_empty()).then_some(Tenancy { shares, by_key, names })
    }

    /// The tenant that a key stands for. Hashes are looked up, so that how long it takes tells nothing of a key.
    pub fn of_key(&self, key: &[u8]) -> Option<Tenant> {
        self.by_key.get(blake3::hash(key).as_bytes()).copied()
    }

    pub fn name(&self, tenant: Tenant) -> String {
        self.names.get(tenant.0 as usize).cloned().unwrap_or_default()
    }
}
