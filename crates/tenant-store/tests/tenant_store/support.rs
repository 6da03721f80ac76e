//! Stores and tenants under test.

use tideroute_tenant_store::{Key, Rate, Tenant, TenantStore};

/// A valid tenant.
pub fn tenant(weight: f64) -> Tenant {
    let key = Key { name: "first".into(), hash: "ab".repeat(32) };
    let rate = Rate { per_second: 10.0, burst: 5.0 };
    Tenant { weight, requests: Some(rate), tokens: None, in_flight: Some(3), waiting: 9, keys: vec![key] }
}

/// An empty store in memory.
pub fn memory_store() -> TenantStore {
    TenantStore::with_backend(redb::backends::InMemoryBackend::new()).expect("it opens")
}

/// The present weight of a tenant that exists.
pub fn weight(store: &TenantStore, name: &str) -> f64 {
    store.get(name).expect("read").expect("there").tenant.expect("not removed").weight
}
