//! Stores and tenants for the tests.

use tideroute_tenant_store::{Key, Rate, Tenant, TenantStore};

/// Returns a valid tenant with this weight.
pub fn tenant(weight: f64) -> Tenant {
    let key = Key { name: "first".into(), hash: "ab".repeat(32) };
    let rate = Rate { per_second: 10.0, burst: 5.0 };
    Tenant { weight, requests: Some(rate), tokens: None, in_flight: Some(3), waiting: 9, keys: vec![key] }
}

/// Returns an empty store in memory.
pub fn memory_store() -> TenantStore {
    TenantStore::with_backend(redb::backends::InMemoryBackend::new()).expect("it opens")
}

/// Returns the current weight of a tenant, which must exist.
pub fn weight(store: &TenantStore, name: &str) -> f64 {
    store.get(name).expect("read").expect("the tenant exists").tenant.expect("not removed").weight
}
