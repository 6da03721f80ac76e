//! Routers that know each other, as processes.

use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use tideroute_test_support::process;
use tideroute_test_support::process::{unused_address, wait_for, KillOnDrop};

/// Loss, a kill, halts, three that are back at once, and a cut in two: judged by the record alone.
#[test]
fn views_of_all_members_are_true_under_faults() {
    let day = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/members.cue");
    let played = Command::new(env!("CARGO_BIN_EXE_tideroute"))
        .args(["day", &day.display().to_string()])
        .stdin(Stdio::null())
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&played.stdout).into_owned();
    assert!(played.status.success(), "{text}{}", String::from_utf8_lossy(&played.stderr));
    assert!(text.contains("rules: all kept") && text.contains("views: all correct"), "{text}");
    assert!(text.contains("1 kills detected"), "{text}");
}

const KEY: &str = "0707070707070707070707070707070707070707070707070707070707070707";

/// A folder of records of one fleet, with a list that nobody serves: membership needs none.
struct Cluster {
    folder: PathBuf,
    doors: Vec<String>,
}

impl Cluster {
    fn new(name: &str, count: usize) -> Cluster {
        // Held all at once, so that no two are the same.
        let held: Vec<_> = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
        Cluster::with_addresses_of(name, &held)
    }

    /// A cluster whose members' membership addresses are those of the sockets.
    fn with_addresses_of(name: &str, sockets: &[UdpSocket]) -> Cluster {
        let folder = std::env::temp_dir().join(format!("tideroute-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let doors = sockets.iter().map(|s| s.local_addr().expect("an address").to_string()).collect();
        Cluster { folder, doors }
    }

    fn record(&self, n: usize, key: &str) -> PathBuf {
        let (listen, list, at, seed) = (unused_address(), unused_address(), &self.doors[n], &self.doors[0]);
        let text = format!(
            r#"router: {{
	name: "r{n}", listen: "{listen}", list: "{list}"
	fleet: {{name: "harbour", listen: "{at}", seeds: ["{seed}"], key: "{key}"}}
	tracks: [{{name: "quick", contract: 1s}}]
	kinds: [{{name: "readers", role: "reader"}}]
	terms: {{}}
}}"#
        );
        let path = self.folder.join(format!("r{n}.cue"));
        std::fs::write(&path, text).expect("a record");
        path
    }

    fn start(&self, path: &Path) -> KillOnDrop {
        let log = std::fs::File::create(path.with_extension("log")).expect("a log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
        command.arg("router").arg(path).stdin(Stdio::null()).stderr(log);
        KillOnDrop(command.spawn().expect("it starts"))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn status(path: &Path) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_tideroute"))
        .args(["fleet", "status", &path.display().to_string()])
        .output()
        .expect("it runs");
    let said = [output.stdout, output.stderr].map(|said| String::from_utf8_lossy(&said).into_owned());
    (output.status.code(), said.concat())
}

#[test]
fn fleet_status_shows_members_departures_and_strangers() {
    let cluster = Cluster::new("fleet-status", 4);
    let records: Vec<_> = (0..3).map(|n| cluster.record(n, KEY)).collect();
    let mut running: Vec<_> = records.iter().map(|r| cluster.start(r)).collect();
    let seen = |n: usize, word: &str, code: i32| {
        wait_for(|| {
            let (ended, said) = status(&records[n]);
            (ended == Some(code) && said.contains(word)).then_some(said)
        })
    };
    let all = seen(1, "3 alive, 0 suspected", 0);
    assert!(all.contains("other routers: 2 agree, 0 differ, 0 do not answer"), "{all}");
    assert!(cluster.doors[..3].iter().all(|door| all.contains(door)), "{all}");
    // Who is told to end says goodbye; who is killed is missed.
    process::send_signal(&running[2].0, "-TERM");
    assert!(running[2].0.wait().expect("it ends").success());
    seen(0, "2 alive, 0 suspected, 0 dead, 1 left", 0);
    drop(running.pop());
    drop(running.pop());
    let alone = seen(0, "1 dead, 1 left", 1);
    assert!(alone.contains("ALONE"), "{alone}");
    wait_for(|| {
        std::fs::read_to_string(records[0].with_extension("log"))
            .ok()?
            .contains("no other cluster member reachable")
            .then_some(())
    });
    // With another key it is of no fleet that it could see, says so, and hears no answer with the right one.
    let stranger = cluster.record(3, &KEY.replace('7', "8"));
    let _stranger = cluster.start(&stranger);
    wait_for(|| {
        std::fs::read_to_string(stranger.with_extension("log"))
            .ok()?
            .contains("no other cluster member reachable")
            .then_some(())
    });
    let wrong = cluster.record(3, KEY);
    let (code, said) = status(&wrong);
    assert!(code == Some(2) && said.contains("r3 does not answer"), "{said}");
}

#[test]
fn a_membership_address_in_use_ends_the_start() {
    // The socket stays bound from here on. If it were closed and bound again, a process that another test starts
    // meanwhile would hold a copy of it until its exec, and the second bind would fail now and then.
    let taken = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let cluster = Cluster::with_addresses_of("fleet-taken", std::slice::from_ref(&taken));
    let path = cluster.record(0, KEY);
    let mut running = cluster.start(&path);
    let ended = running.0.wait().expect("it ends");
    let said = std::fs::read_to_string(path.with_extension("log")).expect("a log");
    assert_eq!(ended.code(), Some(2), "{said}");
    assert!(said.contains("cluster harbour: cannot listen at"), "{said}");
    drop(taken);
}
