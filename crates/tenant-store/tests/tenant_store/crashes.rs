//! Changes that the store has confirmed survive a kill of its process.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Stdio};

use rand::{RngExt, SeedableRng};
use tideroute_tenant_store::{Precondition, TenantStore};

use crate::support::{tenant, weight};

/// Environment variable with the path of the store, set in the child process that the test kills.
const STORE_PATH_VARIABLE: &str = "TIDEROUTE_TEST_STORE";

/// Returns a path for a new store; a file left there is deleted.
fn store_path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("tideroute-store-{name}-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

/// Runs in the child process that the next test kills, and does nothing in a normal test run. It prints the version of
/// each change once the store has confirmed it.
#[test]
fn crash_child() {
    let Some(path) = std::env::var_os(STORE_PATH_VARIABLE) else { return };
    let store = TenantStore::open(&PathBuf::from(path)).expect("it opens");
    let mut version = store.get("harbour").expect("read").map(|revision| revision.version);
    loop {
        let precondition = version.map_or(Precondition::Absent, Precondition::Version);
        let next_weight = store.last_version().expect("read") as f64 + 1.0;
        let revision =
            store.change(1, "victim", "harbour", precondition, Some(tenant(next_weight))).expect("changed");
        version = Some(revision.version);
        println!("confirmed {}", revision.version);
    }
}

/// Kills a process that makes changes, and checks that each change that it had confirmed is stored completely.
#[test]
fn confirmed_changes_survive_a_kill_at_any_time() {
    let path = store_path("kill");
    let mut rng = rand_pcg::Pcg64::seed_from_u64(5);
    let mut confirmed = 0;
    let mut kills = 0;
    for _ in 0..12 {
        let program = std::env::current_exe().expect("this test");
        let mut child = Command::new(program)
            .args(["crashes::crash_child", "--exact", "--nocapture"])
            .env(STORE_PATH_VARIABLE, &path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        let kill_after = rng.random_range(1..40);
        let lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        // The child is killed while it makes the change after `kill_after` confirmed ones. The output that is read
        // decides when, not a clock.
        let confirmed_versions = lines.map_while(Result::ok).filter_map(|line| {
            line.rsplit_once("confirmed ").and_then(|(_, version)| version.trim().parse::<u64>().ok())
        });
        for (index, version) in confirmed_versions.enumerate() {
            confirmed = version;
            if index + 1 == kill_after {
                child.kill().expect("killed");
                kills += 1;
            }
        }
        child.wait().expect("it ended");
        let store = TenantStore::open(&path).expect("it opens after a kill");
        let last = store.last_version().expect("read");
        assert!(
            last >= confirmed,
            "version {confirmed} was confirmed, but the last stored version is {last}"
        );
        assert_eq!(weight(&store, "harbour"), last as f64, "a change is stored in part");
        let history = store.history("harbour", u64::MAX, 1_000).expect("read");
        assert!(
            history.windows(2).all(|pair| pair[0].version == pair[1].version + 1),
            "a change is missing from the history"
        );
        confirmed = last;
    }
    let _ = std::fs::remove_file(&path);
    assert!(kills == 12 && confirmed > 50, "{kills} kills, {confirmed} changes");
}
