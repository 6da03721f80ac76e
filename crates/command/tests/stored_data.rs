//! Stored data of earlier versions stays readable: a capture of a scenario, a tenant store and its snapshot, and the
//! files of `days/`. The files under `tests/stored` were written by version 0.2.0 before its packages were renamed.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use tideroute_tenant_store::{Key, Rate, Revision, Tenant, TenantStore};

fn stored(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored").join(name)
}

fn tideroute(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tideroute")).args(arguments).output().expect("the program starts")
}

fn path_text(path: &Path) -> &str {
    path.to_str().expect("a path in UTF-8")
}

fn key(number: usize) -> Key {
    Key { name: format!("key-{number}"), hash: number.to_string().repeat(64) }
}

/// Returns what the stored files contain: two tenants, of which one was changed and the other removed.
fn expected_history() -> Vec<Revision> {
    let rate = Some(Rate { per_second: 10.5, burst: 5.0 });
    let harbour = Tenant {
        weight: 1.5,
        requests: rate,
        tokens: None,
        in_flight: Some(3),
        waiting: 9,
        keys: vec![key(0), key(1)],
    };
    let lagoon = Tenant { weight: 0.25, keys: vec![], ..harbour.clone() };
    let changed = Tenant {
        weight: 2.0,
        requests: None,
        tokens: Some(Rate { per_second: 1_000.0, burst: 2_000.0 }),
        in_flight: None,
        keys: vec![key(0)],
        ..harbour.clone()
    };
    let entry = |name: &str, version: u64, by: &str, tenant: Option<Tenant>| Revision {
        name: name.to_string(),
        version,
        changed_at: version,
        changed_by: by.to_string(),
        tenant,
    };
    vec![
        entry("harbour", 1, "ann", Some(harbour)),
        entry("lagoon", 2, "bo", Some(lagoon)),
        entry("harbour", 3, "ann", Some(changed)),
        entry("lagoon", 4, "cy", None),
    ]
}

#[test]
fn checking_a_stored_capture_gives_the_stored_result() {
    let capture = stored("day.record.zst");
    let checked = tideroute(&["rules", path_text(&capture)]);
    assert!(checked.status.success(), "{checked:?}");
    let expected = std::fs::read_to_string(stored("rules.txt")).expect("the stored result of the check");
    assert_eq!(String::from_utf8_lossy(&checked.stdout), expected);
    let measured = tideroute(&["spread", path_text(&capture), "--json"]);
    assert!(measured.status.success(), "{measured:?}");
    let expected = std::fs::read_to_string(stored("spread.json")).expect("the stored measurement");
    assert_eq!(String::from_utf8_lossy(&measured.stdout), expected);
}

#[test]
fn a_stored_tenant_store_contains_every_change() {
    let path = std::env::temp_dir().join(format!("tideroute-stored-tenants-{}.db", std::process::id()));
    let compressed = File::open(stored("tenants.db.zst")).expect("the stored store");
    let bytes = zstd::decode_all(compressed).expect("the stored store is complete");
    std::fs::write(&path, bytes).expect("a file");
    let store = TenantStore::open(&path).expect("the store opens");
    assert_eq!(store.changes(0, 10).expect("the store is readable"), expected_history());
    drop(store);
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_stored_tenant_snapshot_is_restored() {
    let path = std::env::temp_dir().join(format!("tideroute-stored-snapshot-{}.db", std::process::id()));
    let store = TenantStore::open(&path).expect("the store opens");
    let snapshot = File::open(stored("tenants.snapshot")).expect("the stored snapshot");
    assert_eq!(store.restore(snapshot).expect("the snapshot is restored"), expected_history().len());
    assert_eq!(store.changes(0, 10).expect("the store is readable"), expected_history());
    let harbour = store.get("harbour").expect("the store is readable").expect("the tenant exists");
    assert_eq!(harbour.tenant, expected_history()[2].tenant);
    assert!(store.get("lagoon").expect("the store is readable").is_none());
    drop(store);
    let _ = std::fs::remove_file(&path);
}

#[test]
fn every_scenario_file_is_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days");
    let entries = std::fs::read_dir(folder).expect("a folder");
    let mut files: Vec<_> = entries.map(|entry| entry.expect("an entry").path()).collect();
    files.sort();
    assert!(files.len() >= 18, "{files:?}");
    for file in files {
        let checked = tideroute(&["check", path_text(&file)]);
        assert!(checked.status.success(), "{}: {checked:?}", file.display());
    }
}

#[test]
fn renamed_commands_keep_their_old_names_as_aliases() {
    for (name, old_name) in [("scenario", "day"), ("check-trace", "rules"), ("load-balance", "spread")] {
        let help = tideroute(&[name, "--help"]);
        assert!(help.status.success(), "{help:?}");
        let old_help = tideroute(&[old_name, "--help"]);
        assert_eq!(help.stdout, old_help.stdout, "{name} and {old_name}");
    }
}
