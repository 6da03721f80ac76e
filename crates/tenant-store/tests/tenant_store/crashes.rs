//! Confirmed changes survive a kill.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Stdio};

use rand::{RngExt, SeedableRng};
use tideroute_tenant_store::{Precondition, TenantStore};

use crate::support::{tenant, weight};

/// Environment variable that holds the path of the store, in a process that a test starts in order to kill it.
const STORE_PATH_VARIABLE: &str = "TIDEROUTE_TEST_STORE";

/// A path for a store that does not exist yet.
fn store_path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("tideroute-store-{name}-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

/// Not a test of its own: the process that the next test kills. It prints each change once it is confirmed.
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

#[test]
fn confirmed_changes_survive_a_kill_at_any_moment() {
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
        // Killed during the change that follows so many confirmed ones: the pipe decides when, no clock.
        let confirmed_versions = lines.map_while(Result::ok).filter_map(|line| {
            line.rsplit_once("confirmed ").and_then(|(_, version)| version.trim().parse::<u64>().ok())
        });
        for (n, version) in confirmed_versions.enumerate() {
            confirmed = version;
            if n + 1 == kill_after {
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
        assert!(history.windows(2).all(|pair| pair[0].version == pair[1].version + 1), "a change is missing");
        confirmed = last;
    }
    let _ = std::fs::remove_file(&path);
    assert!(kills == 12 && confirmed > 50, "{kills} kills, {confirmed} changes");
}
