//! The capacity limits add up to no more than the configuration allows.

use super::*;

#[test]
fn capacity_limits_stay_within_the_configured_limits() {
    for descriptors in [64, 256, 1_024, 65_536] {
        let capacity = Capacity::new(descriptors, 32);
        let connections =
            capacity.client_connections + capacity.worker_connections + capacity.lingering_connections;
        assert!(connections + PROCESS_DESCRIPTORS <= descriptors, "{capacity:?}");
        assert!(capacity.open_requests < capacity.worker_connections, "{capacity:?}");
    }
    // A third of the descriptors may be held by requests.
    assert!(Capacity::new(256, 32).open_requests >= 256 / 3);
    assert!(Capacity::new(256, 32).receiving_bytes >= 8 << 20);
}
