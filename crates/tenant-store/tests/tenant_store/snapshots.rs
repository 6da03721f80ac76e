//! Tests of valid, truncated and modified snapshots.

use tideroute_tenant_store::{Precondition, SnapshotError};

use crate::support::{memory_store, tenant};

/// Cuts a snapshot at each byte and modifies each byte. A restore that accepted such a snapshot would replace the
/// stored data by a part of it.
#[test]
fn a_snapshot_is_restored_completely_or_not_at_all() {
    let store = memory_store();
    for n in 0..60u32 {
        let name = format!("t{}", n % 7);
        let current = store.get(&name).expect("read");
        let precondition =
            current.as_ref().map_or(Precondition::Absent, |revision| Precondition::Version(revision.version));
        let tenant = (n % 11 != 10 || current.is_none()).then(|| tenant(f64::from(n)));
        store.change(u64::from(n), "ann", &name, precondition, tenant).expect("changed");
    }
    let mut snapshot = vec![];
    assert_eq!(store.snapshot(&mut snapshot).expect("written"), 60);
    let other = memory_store();
    other.change(1, "bo", "there-before", Precondition::Absent, Some(tenant(1.0))).expect("changed");
    for cut in 0..snapshot.len() {
        assert!(
            other.restore(&snapshot[..cut]).is_err(),
            "restored a snapshot that was cut at byte {cut} of {}",
            snapshot.len()
        );
    }
    for index in 0..snapshot.len() {
        let mut modified = snapshot.clone();
        modified[index] ^= 0x10;
        if let Ok(_) | Err(SnapshotError::Store(_)) = other.restore(modified.as_slice()) {
            // Only a byte that does not affect the contents can be modified: a flag of the zstd frame that is not read.
            assert_eq!(
                other.list("", 100).expect("read"),
                store.list("", 100).expect("read"),
                "byte {index} modified"
            );
        }
    }
    assert_eq!(other.restore(snapshot.as_slice()).expect("restored"), 60);
    assert_eq!(other.list("", 100).expect("read"), store.list("", 100).expect("read"));
    assert_eq!(
        other.history("t3", u64::MAX, 100).expect("read"),
        store.history("t3", u64::MAX, 100).expect("read")
    );
    let next = other.change(1, "ann", "new", Precondition::Absent, Some(tenant(1.0))).expect("changed");
    assert_eq!(next.version, 61);
}
