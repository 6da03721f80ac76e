//! The store under concurrent changes, kills, a full disk and damaged snapshots.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};

use rand::{RngExt, SeedableRng};
use redb::StorageBackend;
use tideroute_tenant_store::{Key, Precondition, Rate, SnapshotError, StoreError, Tenant, TenantStore};

/// Environment variable that holds the path of the store, in a process that a test starts in order to kill it.
const STORE_PATH_VARIABLE: &str = "TIDEROUTE_TEST_STORE";

fn tenant(weight: f64) -> Tenant {
    let key = Key { name: "first".into(), hash: "ab".repeat(32) };
    let rate = Rate { per_second: 10.0, burst: 5.0 };
    Tenant { weight, requests: Some(rate), tokens: None, in_flight: Some(3), waiting: 9, keys: vec![key] }
}

fn path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("tideroute-store-{name}-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

fn memory() -> TenantStore {
    TenantStore::with_backend(redb::backends::InMemoryBackend::new()).expect("it opens")
}

fn weight(store: &TenantStore, name: &str) -> f64 {
    store.get(name).expect("read").expect("there").tenant.expect("not removed").weight
}

#[test]
fn a_change_must_name_the_present_version() {
    let store = memory();
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
    let store = memory();
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
    let store = Arc::new(memory());
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

/// Not a test of its own: the process that the next test kills. It prints each change once it is confirmed.
#[test]
fn crash_child() {
    let Some(path) = std::env::var_os(STORE_PATH_VARIABLE) else { return };
    let store = TenantStore::open(&PathBuf::from(path)).expect("it opens");
    let mut version = store.get("harbour").expect("read").map(|e| e.version);
    loop {
        let expected = version.map_or(Precondition::Absent, Precondition::Version);
        let next = store.last_version().expect("read") as f64 + 1.0;
        let revision = store.change(1, "victim", "harbour", expected, Some(tenant(next))).expect("changed");
        version = Some(revision.version);
        println!("confirmed {}", revision.version);
    }
}

#[test]
fn confirmed_changes_survive_a_kill_at_any_moment() {
    let path = path("kill");
    let mut rng = rand_pcg::Pcg64::seed_from_u64(5);
    let (mut confirmed, mut kills) = (0, 0);
    for _ in 0..12 {
        let program = std::env::current_exe().expect("this test");
        let mut child = Command::new(program)
            .args(["crash_child", "--exact", "--nocapture"])
            .env(STORE_PATH_VARIABLE, &path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        let until = rng.random_range(1..40);
        let lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        // Killed during the change that follows so many confirmed ones: the pipe decides when, no clock.
        let confirmed_versions = lines.map_while(Result::ok).filter_map(|line| {
            line.rsplit_once("confirmed ").and_then(|(_, version)| version.trim().parse::<u64>().ok())
        });
        for (n, version) in confirmed_versions.enumerate() {
            confirmed = version;
            if n + 1 == until {
                child.kill().expect("killed");
                kills += 1;
            }
        }
        child.wait().expect("it ended");
        let store = TenantStore::open(&path).expect("it opens after a kill");
        let last = store.last_version().expect("read");
        assert!(last >= confirmed, "{confirmed} was confirmed, {last} is there");
        assert_eq!(weight(&store, "harbour"), last as f64, "half a change is there");
        let history = store.history("harbour", u64::MAX, 1_000).expect("read");
        assert!(history.windows(2).all(|two| two[0].version == two[1].version + 1), "a change is missing");
        confirmed = last;
    }
    let _ = std::fs::remove_file(&path);
    assert!(kills == 12 && confirmed > 50, "{kills} kills, {confirmed} changes");
}

/// A disk that is full after so many bytes.
#[derive(Debug, Clone)]
struct Disk {
    bytes: Arc<Mutex<Vec<u8>>>,
    bytes_left: Arc<Mutex<u64>>,
}

impl Disk {
    fn take_space(&self, length: usize) -> std::io::Result<()> {
        let mut bytes_left = self.bytes_left.lock().expect("no panic");
        *bytes_left = bytes_left.checked_sub(length as u64).ok_or(std::io::ErrorKind::StorageFull)?;
        Ok(())
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> std::io::Result<u64> {
        Ok(self.bytes.lock().expect("no panic").len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        let bytes = self.bytes.lock().expect("no panic");
        out.copy_from_slice(&bytes[offset as usize..offset as usize + out.len()]);
        Ok(())
    }

    fn set_len(&self, len: u64) -> std::io::Result<()> {
        let mut bytes = self.bytes.lock().expect("no panic");
        self.take_space((len as usize).saturating_sub(bytes.len()))?;
        bytes.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> std::io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.take_space(data.len())?;
        let mut bytes = self.bytes.lock().expect("no panic");
        bytes[offset as usize..offset as usize + data.len()].copy_from_slice(data);
        Ok(())
    }
}

#[test]
fn a_full_disk_refuses_changes_and_loses_none() {
    for capacity in (60_000..900_000).step_by(20_000) {
        let disk = Disk { bytes: Arc::default(), bytes_left: Arc::new(Mutex::new(1 << 30)) };
        let mut confirmed = BTreeMap::new();
        {
            let store = TenantStore::with_backend(disk.clone()).expect("it opens");
            *disk.bytes_left.lock().expect("no panic") = capacity;
            let error = (0..2_000).find_map(|n| {
                let (name, tenant) = (format!("t{}", n % 20), tenant(f64::from(n)));
                let expected =
                    store.get(&name).ok()?.map_or(Precondition::Absent, |e| Precondition::Version(e.version));
                match store.change(1, "ann", &name, expected, Some(tenant)) {
                    Ok(revision) => {
                        confirmed.insert(name, revision);
                        None
                    }
                    Err(problem) => Some(problem),
                }
            });
            assert!(matches!(error, Some(StoreError::Database(_)) | None), "{error:?}");
        }
        *disk.bytes_left.lock().expect("no panic") = 1 << 30;
        let store = TenantStore::with_backend(disk).expect("it opens when there is room again");
        for (name, revision) in &confirmed {
            let stored = store.get(name).expect("read").expect("confirmed, so there");
            assert!(stored.version >= revision.version, "{name}: {} was confirmed", revision.version);
        }
        store.change(1, "ann", "after", Precondition::Absent, Some(tenant(1.0))).expect("it goes on");
    }
}

/// After a time with a full disk the same store works again, with all that was confirmed.
#[test]
fn the_store_works_again_once_its_disk_does() {
    for capacity in (0..200_000).step_by(10_000) {
        let disk = Disk { bytes: Arc::default(), bytes_left: Arc::new(Mutex::new(1 << 30)) };
        let at = disk.clone();
        let store = TenantStore::with_reopenable_backend(move || at.clone()).expect("it opens");
        store.change(1, "ann", "before", Precondition::Absent, Some(tenant(1.0))).expect("there is room");
        for again in 0..3 {
            *disk.bytes_left.lock().expect("no panic") = capacity;
            let error = (0..400).find_map(|n| {
                let name = format!("t{again}-{n}");
                store.change(1, "ann", &name, Precondition::Absent, Some(tenant(1.0))).err()
            });
            assert!(matches!(error, Some(StoreError::Database(_))), "room {capacity}: {error:?}");
            *disk.bytes_left.lock().expect("no panic") = 1 << 30;
            assert_eq!(weight(&store, "before"), 1.0);
            let name = format!("after-{again}");
            store.change(1, "ann", &name, Precondition::Absent, Some(tenant(2.0))).expect("it goes on");
        }
        let names = store.list("", 1_000).expect("read");
        assert!(names.iter().filter(|entry| entry.name.starts_with("after")).count() == 3);
    }
}

#[test]
fn a_snapshot_is_restored_whole_or_not_at_all() {
    let store = memory();
    for n in 0..60u32 {
        let name = format!("t{}", n % 7);
        let present = store.get(&name).expect("read");
        let expected = present.as_ref().map_or(Precondition::Absent, |e| Precondition::Version(e.version));
        let tenant = (n % 11 != 10 || present.is_none()).then(|| tenant(f64::from(n)));
        store.change(u64::from(n), "ann", &name, expected, tenant).expect("changed");
    }
    let mut snapshot = vec![];
    assert_eq!(store.snapshot(&mut snapshot).expect("written"), 60);
    let other = memory();
    other.change(1, "bo", "there-before", Precondition::Absent, Some(tenant(1.0))).expect("changed");
    for cut in 0..snapshot.len() {
        assert!(other.restore(&snapshot[..cut]).is_err(), "cut at {cut} of {}", snapshot.len());
    }
    for place in 0..snapshot.len() {
        let mut changed = snapshot.clone();
        changed[place] ^= 0x10;
        if let Ok(_) | Err(SnapshotError::Store(_)) = other.restore(changed.as_slice()) {
            // Only a byte without meaning may be changed: a flag of the frame that is not read.
            assert_eq!(other.list("", 100).expect("read"), store.list("", 100).expect("read"), "at {place}");
        }
    }
    assert_eq!(other.restore(snapshot.as_slice()).expect("taken"), 60);
    assert_eq!(other.list("", 100).expect("read"), store.list("", 100).expect("read"));
    assert_eq!(
        other.history("t3", u64::MAX, 100).expect("read"),
        store.history("t3", u64::MAX, 100).expect("read")
    );
    let next = other.change(1, "ann", "new", Precondition::Absent, Some(tenant(1.0))).expect("changed");
    assert_eq!(next.version, 61);
}
