//! The store under races, kills, a full disk and damaged snapshots.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};

use rand::{RngExt, SeedableRng};
use redb::StorageBackend;
use tideroute_tenant_store::{Expected, Key, Rate, SnapshotError, Store, StoreError, Tenant};

/// Set in a process that this test starts to kill it: where its store is.
const VICTIM: &str = "TIDEROUTE_TEST_STORE";

fn tenant(weight: f64) -> Tenant {
    let key = Key { name: "first".into(), hash: "ab".repeat(32) };
    let rate = Rate { a_second: 10.0, once: 5.0 };
    Tenant { weight, submissions: Some(rate), tokens: None, in_flight: Some(3), waiting: 9, keys: vec![key] }
}

fn path(what: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("tideroute-store-{what}-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

fn memory() -> Store {
    Store::on(redb::backends::InMemoryBackend::new()).expect("it opens")
}

fn weight(store: &Store, name: &str) -> f64 {
    store.get(name).expect("read").expect("there").tenant.expect("not removed").weight
}

#[test]
fn a_change_must_name_the_present_version() {
    let store = memory();
    let first = store.change(1, "ann", "harbour", Expected::Absent, Some(tenant(1.0))).expect("new");
    let again = store.change(2, "bo", "harbour", Expected::Absent, Some(tenant(2.0)));
    assert!(matches!(&again, Err(StoreError::Conflict(Some(e))) if **e == first), "{again:?}");
    let second = store
        .change(3, "bo", "harbour", Expected::Version(first.version), Some(tenant(2.0)))
        .expect("changed");
    let late = store.change(4, "ann", "harbour", Expected::Version(first.version), None);
    assert!(matches!(&late, Err(StoreError::Conflict(Some(e))) if **e == second), "{late:?}");
    let gone = store.change(5, "ann", "harbour", Expected::Version(second.version), None).expect("removed");
    assert!(store.get("harbour").expect("read").is_none());
    let missing = store.change(6, "ann", "harbour", Expected::Version(gone.version), Some(tenant(1.0)));
    assert!(matches!(missing, Err(StoreError::Missing)));
    let back = store.change(7, "ann", "harbour", Expected::Absent, Some(tenant(4.0))).expect("new again");
    assert!(back.version > gone.version, "a version came twice");
    let history = store.history("harbour", u64::MAX, 10).expect("read");
    let who: Vec<_> = history.iter().map(|e| (e.at, e.by.as_str(), e.tenant.is_some())).collect();
    assert_eq!(who, [(7, "ann", true), (5, "ann", false), (3, "bo", true), (1, "ann", true)]);
    assert_eq!(store.changes(second.version, 10).expect("read"), [gone, back]);
}

#[test]
fn what_cannot_be_is_refused_by_field() {
    let store = memory();
    let mut bad: Vec<(&str, Tenant, &str)> = vec![
        ("", tenant(1.0), "name"),
        ("Harbour", tenant(1.0), "name"),
        ("a/b", tenant(1.0), "name"),
        ("ok", tenant(-1.0), "weight"),
        ("ok", tenant(f64::NAN), "weight"),
        ("ok", tenant(1e300), "weight"),
    ];
    let long = "x".repeat(64);
    bad.push((&long, tenant(1.0), "name"));
    let rate = Some(Rate { a_second: 1.0, once: 0.0 });
    bad.push(("ok", Tenant { tokens: rate, ..tenant(1.0) }, "tokens.once"));
    let hash = |hash: &str| vec![Key { name: "k".into(), hash: hash.into() }];
    bad.push(("ok", Tenant { keys: hash("xyz"), ..tenant(1.0) }, "keys[0].hash"));
    bad.push(("ok", Tenant { keys: hash(&"AB".repeat(32)), ..tenant(1.0) }, "keys[0].hash"));
    bad.push((
        "ok",
        Tenant { keys: [hash(&"ab".repeat(32)), hash(&"cd".repeat(32))].concat(), ..tenant(1.0) },
        "keys[1]",
    ));
    for (name, tenant, field) in bad {
        match store.change(1, "ann", name, Expected::Absent, Some(tenant)) {
            Err(StoreError::Fault(fault)) => assert_eq!(fault.field, field),
            other => panic!("{name:?} {field}: {other:?}"),
        }
    }
    assert_eq!(store.version().expect("read"), 0);
}

#[test]
fn no_update_is_lost_in_raced_edits() {
    let store = Arc::new(memory());
    store.change(0, "ann", "harbour", Expected::Absent, Some(tenant(0.0))).expect("new");
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
                        match store.change(1, &by, "harbour", Expected::Version(seen.version), Some(raised)) {
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
    assert_eq!(store.version().expect("read"), u64::from(1 + racers as u32 * edits as u32));
    assert!(conflicts > 0, "nobody raced");
    assert_eq!(store.history("harbour", u64::MAX, 5_000).expect("read").len(), 1_000, "history is bounded");
}

/// Not a test of its own: the process that the next one kills. It tells each change once it is confirmed.
#[test]
fn victim() {
    let Some(path) = std::env::var_os(VICTIM) else { return };
    let store = Store::open(&PathBuf::from(path)).expect("it opens");
    let mut version = store.get("harbour").expect("read").map(|e| e.version);
    loop {
        let expected = version.map_or(Expected::Absent, Expected::Version);
        let next = store.version().expect("read") as f64 + 1.0;
        let made = store.change(1, "victim", "harbour", expected, Some(tenant(next))).expect("changed");
        version = Some(made.version);
        println!("confirmed {}", made.version);
    }
}

#[test]
fn what_was_confirmed_is_there_after_a_kill_at_any_moment() {
    let path = path("kill");
    let mut chance = rand_pcg::Pcg64::seed_from_u64(5);
    let (mut confirmed, mut kills) = (0, 0);
    for _ in 0..12 {
        let program = std::env::current_exe().expect("this test");
        let mut child = Command::new(program)
            .args(["victim", "--exact", "--nocapture"])
            .env(VICTIM, &path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        let until = chance.random_range(1..40);
        let lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        // Killed in the middle of what comes after so many: the pipe tells when, not a clock.
        let told = lines.map_while(Result::ok).filter_map(|line| {
            line.rsplit_once("confirmed ").and_then(|(_, version)| version.trim().parse::<u64>().ok())
        });
        for (n, version) in told.enumerate() {
            confirmed = version;
            if n + 1 == until {
                child.kill().expect("killed");
                kills += 1;
            }
        }
        child.wait().expect("it ended");
        let store = Store::open(&path).expect("it opens after a kill");
        let last = store.version().expect("read");
        assert!(last >= confirmed, "{confirmed} was confirmed, {last} is there");
        assert_eq!(weight(&store, "harbour"), last as f64, "half a change is there");
        let history = store.history("harbour", u64::MAX, 1_000).expect("read");
        assert!(history.windows(2).all(|two| two[0].version == two[1].version + 1), "a change is missing");
        confirmed = last;
    }
    let _ = std::fs::remove_file(&path);
    assert!(kills == 12 && confirmed > 50, "{kills} kills, {confirmed} changes");
}

/// A disk that is full after so many bytes written.
#[derive(Debug, Clone)]
struct Disk {
    bytes: Arc<Mutex<Vec<u8>>>,
    left: Arc<Mutex<u64>>,
}

impl Disk {
    fn spend(&self, much: usize) -> std::io::Result<()> {
        let mut left = self.left.lock().expect("no panic");
        *left = left.checked_sub(much as u64).ok_or(std::io::ErrorKind::StorageFull)?;
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
        self.spend((len as usize).saturating_sub(bytes.len()))?;
        bytes.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> std::io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.spend(data.len())?;
        let mut bytes = self.bytes.lock().expect("no panic");
        bytes[offset as usize..offset as usize + data.len()].copy_from_slice(data);
        Ok(())
    }
}

#[test]
fn a_full_disk_refuses_changes_and_loses_none() {
    for room in (60_000..900_000).step_by(20_000) {
        let disk = Disk { bytes: Arc::default(), left: Arc::new(Mutex::new(1 << 30)) };
        let mut confirmed = BTreeMap::new();
        {
            let store = Store::on(disk.clone()).expect("it opens");
            *disk.left.lock().expect("no panic") = room;
            let refused = (0..2_000).find_map(|n| {
                let (name, tenant) = (format!("t{}", n % 20), tenant(f64::from(n)));
                let expected =
                    store.get(&name).ok()?.map_or(Expected::Absent, |e| Expected::Version(e.version));
                match store.change(1, "ann", &name, expected, Some(tenant)) {
                    Ok(made) => {
                        confirmed.insert(name, made);
                        None
                    }
                    Err(problem) => Some(problem),
                }
            });
            assert!(matches!(refused, Some(StoreError::Broken(_)) | None), "{refused:?}");
        }
        *disk.left.lock().expect("no panic") = 1 << 30;
        let store = Store::on(disk).expect("it opens when there is room again");
        for (name, made) in &confirmed {
            let there = store.get(name).expect("read").expect("confirmed, so there");
            assert!(there.version >= made.version, "{name}: {} was confirmed", made.version);
        }
        store.change(1, "ann", "after", Expected::Absent, Some(tenant(1.0))).expect("it goes on");
    }
}

/// A disk that was full, or failed, for a while: the same store goes on, with all that was confirmed.
#[test]
fn a_store_goes_on_once_its_disk_does() {
    for room in (0..200_000).step_by(10_000) {
        let disk = Disk { bytes: Arc::default(), left: Arc::new(Mutex::new(1 << 30)) };
        let at = disk.clone();
        let store = Store::on_each(move || at.clone()).expect("it opens");
        store.change(1, "ann", "before", Expected::Absent, Some(tenant(1.0))).expect("there is room");
        for again in 0..3 {
            *disk.left.lock().expect("no panic") = room;
            let refused = (0..400).find_map(|n| {
                let name = format!("t{again}-{n}");
                store.change(1, "ann", &name, Expected::Absent, Some(tenant(1.0))).err()
            });
            assert!(matches!(refused, Some(StoreError::Broken(_))), "room {room}: {refused:?}");
            *disk.left.lock().expect("no panic") = 1 << 30;
            assert_eq!(weight(&store, "before"), 1.0);
            let name = format!("after-{again}");
            store.change(1, "ann", &name, Expected::Absent, Some(tenant(2.0))).expect("it goes on");
        }
        let names = store.list("", 1_000).expect("read");
        assert!(names.iter().filter(|entry| entry.name.starts_with("after")).count() == 3);
    }
}

#[test]
fn a_snapshot_is_taken_back_whole_or_not_at_all() {
    let store = memory();
    for n in 0..60u32 {
        let name = format!("t{}", n % 7);
        let present = store.get(&name).expect("read");
        let expected = present.as_ref().map_or(Expected::Absent, |e| Expected::Version(e.version));
        let tenant = (n % 11 != 10 || present.is_none()).then(|| tenant(f64::from(n)));
        store.change(u64::from(n), "ann", &name, expected, tenant).expect("changed");
    }
    let mut snapshot = vec![];
    assert_eq!(store.snapshot(&mut snapshot).expect("written"), 60);
    let other = memory();
    other.change(1, "bo", "there-before", Expected::Absent, Some(tenant(1.0))).expect("changed");
    for cut in 0..snapshot.len() {
        assert!(other.restore(&snapshot[..cut]).is_err(), "cut at {cut} of {}", snapshot.len());
    }
    for place in 0..snapshot.len() {
        let mut changed = snapshot.clone();
        changed[place] ^= 0x10;
        if let Ok(_) | Err(SnapshotError::Store(_)) = other.restore(changed.as_slice()) {
            // Only what says nothing may be changed: a flag of the frame that is not read.
            assert_eq!(other.list("", 100).expect("read"), store.list("", 100).expect("read"), "at {place}");
        }
    }
    assert_eq!(other.restore(snapshot.as_slice()).expect("taken"), 60);
    assert_eq!(other.list("", 100).expect("read"), store.list("", 100).expect("read"));
    assert_eq!(
        other.history("t3", u64::MAX, 100).expect("read"),
        store.history("t3", u64::MAX, 100).expect("read")
    );
    let next = other.change(1, "ann", "new", Expected::Absent, Some(tenant(1.0))).expect("changed");
    assert_eq!(next.version, 61);
}
