use super::*;

const TIME_CONSTANT: TenthMillis = 400_000;
const FORGET_AT: f64 = 0.01;

/// Guards against memory that grows without end while clients name ever new prefixes, and against popular prefixes that are
/// forgotten because of them.
#[test]
fn ever_new_prefixes_are_forgotten_and_popular_ones_are_not() {
    let mut prefixes = PrefixPopularity::default();
    let popular: u64 = 1;
    for new in 0..200_000_u64 {
        let now = (new / 100) as TenthMillis;
        prefixes.add(now, TIME_CONSTANT, popular + 1 + new, FORGET_AT);
        if new % 10 == 0 {
            prefixes.add(now, TIME_CONSTANT, popular, FORGET_AT);
        }
        assert!(prefixes.by_prefix.len() <= MAX_PREFIXES + 1);
    }
    let count = prefixes.read(2_000, TIME_CONSTANT, popular).prefix_count;
    assert!(count > 19_000.0, "the popular prefix came 20,000 times, and {count} are counted");
}

/// Guards against a sweep at each request while all prefixes are popular.
#[test]
fn many_popular_prefixes_are_limited() {
    let mut prefixes = PrefixPopularity::default();
    for round in 0..10 {
        for prefix in 1..=30_000 {
            prefixes.add(round, TIME_CONSTANT, prefix, FORGET_AT);
            assert!(prefixes.by_prefix.len() <= MAX_PREFIXES + 1);
        }
    }
    assert!(prefixes.by_prefix.len() > 100, "{} prefixes are known", prefixes.by_prefix.len());
}
