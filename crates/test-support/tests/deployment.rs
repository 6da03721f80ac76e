//! Tests that a seed always generates the same deployment.

use tideroute::rng::Rng;
use tideroute_test_support::deployment::GeneratedDeployment;

const SEEDS: u64 = 64;
/// FNV-1a hash of the deployments of the first seeds. If it changes, seeds that were recorded for failed runs no longer
/// generate the deployments of those runs.
const HASH_OF_FIRST_SEEDS: u64 = 0xc394_289e_5cb2_d6c2;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

fn fnv1a(hash: u64, text: &str) -> u64 {
    text.bytes().fold(hash, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

#[test]
fn seeds_generate_the_same_deployments_as_before() {
    let mut hash = FNV_OFFSET;
    for seed in 1..=SEEDS {
        let mut rng = Rng::new(2 * seed);
        let deployment = GeneratedDeployment::generate(&mut rng);
        let GeneratedDeployment { max_hold, drain_grace, connect_timeout, .. } = deployment;
        hash = fnv1a(hash, &deployment.config.to_string());
        hash = fnv1a(hash, &format!("{max_hold} {drain_grace} {connect_timeout}"));
        hash = fnv1a(hash, &format!("{} {}", deployment.decode_workers_prefill, rng.unit()));
    }
    assert_eq!(hash, HASH_OF_FIRST_SEEDS, "{hash:#x}");
}
