//! The parts of the capacity stay within the limits of the configuration.

use super::*;

#[test]
fn parts_stay_within_the_limits() {
    for descriptors in [64, 256, 1_024, 65_536] {
        let capacity = Capacity::new(descriptors, 32);
        let connections =
            capacity.client_connections + capacity.worker_connections + capacity.lingering_connections;
        assert!(connections + PROCESS_DESCRIPTORS <= descriptors, "{capacity:?}");
        assert!(capacity.open_requests < capacity.worker_connections, "{capacity:?}");
    }
    // A third of the descriptors may be held by requests.
    assert!(Capacity::new(256, 32).open_requests >= 256 / 3);
    assert!(Capacity::new(256, 32).buffered_bytes >= 8 << 20);
}
