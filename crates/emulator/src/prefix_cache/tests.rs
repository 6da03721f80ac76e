use super::*;

#[test]
fn oldest_prefix_is_evicted_first() {
    let mut cache = PrefixCache::default();
    for prefix in [1, 2, 1, 3] {
        cache.insert(prefix, 2);
    }
    assert!(!cache.contains(1));
    assert!(cache.contains(2) && cache.contains(3));
}

#[test]
fn prompt_without_a_shared_prefix_is_not_cached() {
    let mut cache = PrefixCache::default();
    cache.insert(NO_PREFIX, 2);
    assert!(!cache.contains(NO_PREFIX));
}
