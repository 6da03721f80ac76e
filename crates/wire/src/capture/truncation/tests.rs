//! Truncation of captured frames.

use super::{common, kept, MAX_WORKER_FRAME, TRUNCATED_LENGTH};
use crate::endpoint_list::{EndpointStatus, Page};
use crate::{state_transfer, GlobalRequestId};

/// The capture of a router once truncated an update of 100 endpoints, so that the trace checker could not decode it.
#[test]
fn updates_of_many_endpoints_are_kept_complete_and_chunks_of_kv_state_are_not() {
    let mut page = Page::new(1, true);
    (0..200u8).for_each(|host| {
        page.add([127, 0, 0, host, 1, 1], 0, 1.0, EndpointStatus::Serving, 0, 0, 1_700_000_000_000_000);
    });
    let frame = page.frame();
    assert!(frame.len() > MAX_WORKER_FRAME);
    for role in ["router", "list", "client"] {
        assert_eq!(kept(&frame, role), frame);
    }
    let chunk =
        state_transfer::chunk(GlobalRequestId { origin: 1, local_id: 2 }, 0, vec![7; 16 << 10].into(), 3);
    assert_eq!(kept(&chunk, "worker").len(), TRUNCATED_LENGTH);
    // A frame that one end truncated compares equal to the complete frame of the other end.
    assert_eq!(common(&kept(&frame, "worker")), common(&frame));
}
