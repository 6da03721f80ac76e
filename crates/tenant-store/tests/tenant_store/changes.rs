//! Tests of preconditions, of validation and of concurrent changes.

use std::sync::Arc;

use tideroute_tenant_store::{Key, Precondition, Rate, StoreError, Tenant};

use crate::support::{memory_store, tenant, weight};

#[test]
fn a_change_must_name_the_current_version() {
    let store = memory_store();
    let first = store.change(1, "ann", "harbour", Precondition::Absent, Some(tenant(1.0))).expect("new");
    let existing = store.change(2, "bo", "harbour", Precondition::Absent, Some(tenant(2.0)));
    assert!(
        matches!(&existing, Err(StoreError::Conflict(Some(revision))) if **revision == first),
        "{existing:?}"
    );
    let second = store
        .change(3, "bo", "harbour", Precondition::Version(first.version), Some(tenant(2.0)))
        .expect("changed");
    let stale = store.change(4, "ann", "harbour", Precondition::Version(first.version), None);
    assert!(matches!(&stale, Err(StoreError::Conflict(Some(revision))) if **revision == second), "{stale:?}");
    let removed =
        store.change(5, "ann", "harbour", Precondition::Version(second.version), None).expect("removed");
    assert!(store.get("harbour").expect("read").is_none());
    let missing =
        store.change(6, "ann", "harbour", Precondition::Version(removed.version), Some(tenant(1.0)));
    assert!(matches!(missing, Err(StoreError::NotFound)));
    let added_again =
        store.change(7, "ann", "harbour", Precondition::Absent, Some(tenant(4.0))).expect("new again");
    assert!(added_again.version > removed.version, "a version was used twice");
    let history = store.history("harbour", u64::MAX, 10).expect("read");
    let changes_made: Vec<_> = history
        .iter()
        .map(|revision| (revision.changed_at, revision.changed_by.as_str(), revision.tenant.is_some()))
        .collect();
    assert_eq!(changes_made, [(7, "ann", true), (5, "ann", false), (3, "bo", true), (1, "ann", true)]);
    assert_eq!(store.changes(second.version, 10).expect("read"), [removed, added_again]);
}

#[test]
fn a_change_with_an_invalid_value_fails_and_names_the_field() {
    let store = memory_store();
    let mut cases: Vec<(&str, Tenant, &str)> = vec![
        ("", tenant(1.0), "name"),
        ("Harbour", tenant(1.0), "name"),
        ("a/b", tenant(1.0), "name"),
        ("ok", tenant(-1.0), "weight"),
        ("ok", tenant(f64::NAN), "weight"),
        ("ok", tenant(1e300), "weight"),
    ];
    let long = "x".repeat(64);
    cases.push((&long, tenant(1.0), "name"));
    let rate = Some(Rate { per_second: 1.0, burst: 0.0 });
    cases.push(("ok", Tenant { tokens: rate, ..tenant(1.0) }, "tokens.once"));
    let hash = |hash: &str| vec![Key { name: "k".into(), hash: hash.into() }];
    cases.push(("ok", Tenant { keys: hash("xyz"), ..tenant(1.0) }, "keys[0].hash"));
    cases.push(("ok", Tenant { keys: hash(&"AB".repeat(32)), ..tenant(1.0) }, "keys[0].hash"));
    cases.push((
        "ok",
        Tenant { keys: [hash(&"ab".repeat(32)), hash(&"cd".repeat(32))].concat(), ..tenant(1.0) },
        "keys[1]",
    ));
    for (name, tenant, field) in cases {
        match store.change(1, "ann", name, Precondition::Absent, Some(tenant)) {
            Err(StoreError::InvalidField(error)) => assert_eq!(error.field, field),
            other => panic!("{name:?} {field}: {other:?}"),
        }
    }
    assert_eq!(store.last_version().expect("read"), 0);
}

/// Each writer reads the tenant, raises its weight by 1 and writes it back. If a change were made although its
/// precondition no longer holds, it would overwrite a concurrent change and the final weight would be too low.
#[test]
fn concurrent_changes_with_preconditions_lose_no_update() {
    let store = Arc::new(memory_store());
    store.change(0, "ann", "harbour", Precondition::Absent, Some(tenant(0.0))).expect("new");
    let (writers, edits) = (4, 2_500);
    let threads: Vec<_> = (0..writers)
        .map(|writer| {
            let store = store.clone();
            std::thread::spawn(move || {
                let mut conflicts = 0;
                for _ in 0..edits {
                    loop {
                        let seen = store.get("harbour").expect("read").expect("there");
                        let raised = tenant(seen.tenant.expect("not removed").weight + 1.0);
                        let by = format!("writer {writer}");
                        match store.change(
                            1,
                            &by,
                            "harbour",
                            Precondition::Version(seen.version),
                            Some(raised),
                        ) {
                            Ok(_) => break,
                            Err(StoreError::Conflict(_)) => conflicts += 1,
                            Err(other) => panic!("{other}"),
                        }
                    }
                }
                conflicts
            })
        })
        .collect();
    let conflicts: u32 = threads.into_iter().map(|thread| thread.join().expect("the thread ends")).sum();
    assert_eq!(weight(&store, "harbour"), f64::from(writers * edits));
    assert_eq!(store.last_version().expect("read"), u64::from(1 + writers as u32 * edits as u32));
    assert!(conflicts > 0, "no change met a concurrent one");
    assert_eq!(
        store.history("harbour", u64::MAX, 5_000).expect("read").len(),
        1_000,
        "the history is not bounded"
    );
}
