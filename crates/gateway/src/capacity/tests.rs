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
    for memory_mb in [16, 32, 192, 4_096] {
        let capacity = Capacity::new(1_024, memory_mb);
        // A quarter is left for the program itself.
        let bytes = capacity.request_bytes + 2 * capacity.response_bytes;
        assert!(bytes <= (memory_mb << 20) * 3 / 4, "{capacity:?}");
        assert!(capacity.receiving_bytes < capacity.request_bytes, "{capacity:?}");
    }
    // A third of the descriptors may be held by requests.
    assert!(Capacity::new(256, 32).open_requests >= 256 / 3);
    assert!(Capacity::new(256, 32).receiving_bytes >= 8 << 20);
}
