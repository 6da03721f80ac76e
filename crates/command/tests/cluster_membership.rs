//! The membership of a cluster of routers, as real processes.

use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use tideroute_test_support::process;
use tideroute_test_support::process::{unused_address, wait_for, KillOnDrop};

/// The scenario has datagram loss, a kill, pauses, three routers that come back at the same time, and a partition into
/// two halves. The views are checked on the capture alone.
#[test]
fn views_of_all_members_are_true_under_faults() {
    let scenario = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/members.cue");
    let output = Command::new(env!("CARGO_BIN_EXE_tideroute"))
        .args(["day", &scenario.display().to_string()])
        .stdin(Stdio::null())
        .output()
        .expect("the program starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    assert!(text.contains("rules: all kept") && text.contains("views: all correct"), "{text}");
    assert!(text.contains("1 kills detected"), "{text}");
}

const KEY: &str = "0707070707070707070707070707070707070707070707070707070707070707";

/// The configurations of the routers of one cluster, in a folder of their own. No endpoint list is served: membership
/// needs none.
struct Cluster {
    folder: PathBuf,
    /// The routers' membership addresses.
    addresses: Vec<String>,
}

impl Cluster {
    fn new(name: &str, count: usize) -> Cluster {
        // All sockets are bound at the same time, so that no two addresses are the same.
        let sockets: Vec<_> = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
        Cluster::with_addresses_of(name, &sockets)
    }

    /// A cluster whose members' membership addresses are those of the sockets.
    fn with_addresses_of(name: &str, sockets: &[UdpSocket]) -> Cluster {
        let folder = std::env::temp_dir().join(format!("tideroute-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let addresses = sockets.iter().map(|s| s.local_addr().expect("an address").to_string()).collect();
        Cluster { folder, addresses }
    }

    /// Writes the configuration of router `n` with the given cluster key, and returns its path.
    fn write_configuration(&self, n: usize, key: &str) -> PathBuf {
        let (listen, list, address, seed_address) =
            (unused_address(), unused_address(), &self.addresses[n], &self.addresses[0]);
        let text = format!(
            r#"router: {{
	name: "r{n}", listen: "{listen}", list: "{list}"
	fleet: {{name: "harbour", listen: "{address}", seeds: ["{seed_address}"], key: "{key}"}}
	tracks: [{{name: "quick", contract: 1s}}]
	kinds: [{{name: "readers", role: "reader"}}]
	terms: {{}}
}}"#
        );
        let path = self.folder.join(format!("r{n}.cue"));
        std::fs::write(&path, text).expect("a file");
        path
    }

    fn start(&self, path: &Path) -> KillOnDrop {
        let log = std::fs::File::create(path.with_extension("log")).expect("a log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
        command.arg("router").arg(path).stdin(Stdio::null()).stderr(log);
        KillOnDrop(command.spawn().expect("the program starts"))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Runs `fleet status` with a configuration, and returns its exit code and what it printed.
fn status(path: &Path) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_tideroute"))
        .args(["fleet", "status", &path.display().to_string()])
        .output()
        .expect("the program starts");
    let texts = [output.stdout, output.stderr].map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
    (output.status.code(), texts.concat())
}

#[test]
fn fleet_status_shows_members_departures_and_strangers() {
    let cluster = Cluster::new("fleet-status", 4);
    let configurations: Vec<_> = (0..3).map(|n| cluster.write_configuration(n, KEY)).collect();
    let mut running: Vec<_> = configurations.iter().map(|r| cluster.start(r)).collect();
    let wait_for_status = |n: usize, expected: &str, code: i32| {
        wait_for(|| {
            let (exit_code, output) = status(&configurations[n]);
            (exit_code == Some(code) && output.contains(expected)).then_some(output)
        })
    };
    let full_status = wait_for_status(1, "3 alive, 0 suspected", 0);
    assert!(full_status.contains("other routers: 2 agree, 0 differ, 0 do not answer"), "{full_status}");
    assert!(cluster.addresses[..3].iter().all(|address| full_status.contains(address)), "{full_status}");
    // A router that shuts down announces its departure; killed routers are detected as dead.
    process::send_signal(&running[2].0, "-TERM");
    assert!(running[2].0.wait().expect("the exit status").success());
    wait_for_status(0, "2 alive, 0 suspected, 0 dead, 1 left", 0);
    drop(running.pop());
    drop(running.pop());
    let status_alone = wait_for_status(0, "1 dead, 1 left", 1);
    assert!(status_alone.contains("ALONE"), "{status_alone}");
    wait_for(|| {
        std::fs::read_to_string(configurations[0].with_extension("log"))
            .ok()?
            .contains("no other cluster member reachable")
            .then_some(())
    });
    // A router with another key sees no member of the cluster and logs that. It does not answer a status query with the
    // cluster's key.
    let stranger = cluster.write_configuration(3, &KEY.replace('7', "8"));
    let _stranger = cluster.start(&stranger);
    wait_for(|| {
        std::fs::read_to_string(stranger.with_extension("log"))
            .ok()?
            .contains("no other cluster member reachable")
            .then_some(())
    });
    let configuration_with_cluster_key = cluster.write_configuration(3, KEY);
    let (code, output) = status(&configuration_with_cluster_key);
    assert!(code == Some(2) && output.contains("r3 does not answer"), "{output}");
}

#[test]
fn a_membership_address_in_use_ends_the_start() {
    // This socket stays bound until the test ends. If it were closed and bound again, a process that another test
    // starts in between could hold a copy of it until its exec, and the second bind would fail now and then.
    let occupied = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let cluster = Cluster::with_addresses_of("fleet-taken", std::slice::from_ref(&occupied));
    let path = cluster.write_configuration(0, KEY);
    let mut running = cluster.start(&path);
    let exit_status = running.0.wait().expect("the exit status");
    let output = std::fs::read_to_string(path.with_extension("log")).expect("a log");
    assert_eq!(exit_status.code(), Some(2), "{output}");
    assert!(output.contains("cluster harbour: cannot listen at"), "{output}");
    drop(occupied);
}
