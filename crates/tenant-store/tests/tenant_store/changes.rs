//! Preconditions, validation and concurrent changes.

use std::sync::Arc;

use tideroute_tenant_store::{Key, Precondition, Rate, StoreError, Tenant};

use crate::support::{memory_store, tenant, weight};

#[test]
fn a_change_must_name_the_present_version() {
    let store = memory_store();
    let first = store.change(1, "ann", "harbour", Precondition::Absent, Some(tenant(1.0))).expect("new");
    let again = store.change(2, "bo", "harbour", Precondition::Absent, Some(tenant(2.0)));
    assert!(matches!(&again, Err(StoreError::Conflict(Some(e))) if **e == first), "{again:?}");
    let second = store
        .change(3, "bo", "harbour", Precondition::Version(first.version), Some(tenant(2.0)))
        .expect("changed");
    let stale = store.change(4, "ann", "harbour", Precondition::Version(first.version), None);
    assert!(matches!(&stale, Err(StoreError::Conflict(Some(e))) if **e == second), "{stale:?}");
    let removed =
        store.change(5, "ann", "harbour", Precondition::Version(second.version), None).expect("removed");
    assert!(store.get("harbour").expect("read").is_none());
    let missing =
        store.change(6, "ann", "harbour", Precondition::Version(removed.version), Some(tenant(1.0)));
    assert!(matches!(missing, Err(StoreError::NotFound)));
    let added_again =
        store.change(7, "ann", "harbour", Precondition::Absent, Some(tenant(4.0))).expect("new again");
    assert!(added_again.version > removed.version, "a version came twice");
    let history = store.history("harbour", u64::MAX, 10).expect("read");
    let changes_made: Vec<_> =
        history.iter().map(|e| (e.changed_at, e.changed_by.as_str(), e.tenant.is_some())).collect();
    assert_eq!(changes_made, [(7, "ann", true), (5, "ann", false), (3, "bo", true), (1, "ann", true)]);
    assert_eq!(store.changes(second.version, 10).expect("read"), [removed, added_again]);
}

#[test]
fn invalid_values_are_refused_with_their_field() {
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

#[test]
fn no_update_is_lost_among_concurrent_changes() {
    let store = Arc::new(memory_store());
    store.change(0, "ann", "harbour", Precondition::Absent, Some(tenant(0.0))).expect("new");
    let (racers, edits) = (4, 2_500);
    let threads: Vec<_> = (0..racers)
        .map(|racer| {
            let store = store.clone();
            std::thread::spawn(move || {
                let mut conflicts = 0;
                for _ in 0..edits {
                    loop {
                        let seen = store.get("harbour").expect("read").expect("there");
                        let raised = tenant(seen.tenant.expect("not removed").weight + 1.0);
                        let by = format!("racer {racer}");
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
    let conflicts: u32 = threads.into_iter().map(|t| t.join().expect("it ends")).sum();
    assert_eq!(weight(&store, "harbour"), f64::from(racers * edits));
    assert_eq!(store.last_version().expect("read"), u64::from(1 + racers as u32 * edits as u32));
    assert!(conflicts > 0, "nobody raced");
    assert_eq!(store.history("harbour", u64::MAX, 5_000).expect("read").len(), 1_000, "history is bounded");
}
