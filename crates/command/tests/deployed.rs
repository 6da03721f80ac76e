//! The operators' requirements on `build` and `run` in the deploy file: the shell is replaced by one process, which is
//! linked dynamically against the C library, starts no other program, opens no listening Unix socket and keeps no
//! thread busy.

use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::time::Duration;

use serde_json::json;

use tideroute_test_support::fixture;
use tideroute_test_support::process::{unused_address, wait_for, KillOnDrop};

/// Returns a value of the deploy file, which has one assignment per line.
fn deploy_value(key: &str) -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let text = std::fs::read_to_string(path).unwrap();
    let assigned = text.lines().find_map(|l| l.strip_prefix(key)?.strip_prefix(" = \"")?.strip_suffix('"'));
    assigned.unwrap_or_else(|| panic!("no {key} in {path}")).to_string()
}

/// Starts the command `run` of the deploy file with the binary under test in place of the release build.
fn start_deployed(config: &std::path::Path) -> KillOnDrop {
    let program = env!("CARGO_BIN_EXE_tideroute");
    let run = deploy_value("run").replace("target/release/tideroute", program);
    assert!(run.contains(program), "{run}");
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(run).env("EDGE_CONFIG", config);
    KillOnDrop(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap())
}

/// Reads a file of the process in `/proc`.
fn read_proc(pid: u32, file: &str) -> String {
    std::fs::read_to_string(format!("/proc/{pid}/{file}")).unwrap()
}

/// Returns the CPU time that the process has used, in clock ticks.
fn cpu_ticks(pid: u32) -> u64 {
    let stat = read_proc(pid, "stat");
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

#[test]
fn build_and_run_are_plain_commands() {
    assert_eq!(deploy_value("build"), "cargo build --release --locked");
    assert_eq!(deploy_value("run"), "exec target/release/tideroute platform");
}

#[test]
fn the_program_is_linked_dynamically() {
    let program = std::fs::read(env!("CARGO_BIN_EXE_tideroute")).unwrap();
    // Reads a little-endian number.
    let number_at = |at: usize, bytes: usize| {
        program[at..at + bytes].iter().rev().fold(0, |sum, byte| sum << 8 | usize::from(*byte))
    };
    assert_eq!(&program[..5], b"\x7fELF\x02", "a 64-bit ELF file");
    let (headers, size, count) = (number_at(32, 8), number_at(54, 2), number_at(56, 2));
    // A program header of type 3 names the dynamic loader. A statically linked program has none and ignores LD_PRELOAD.
    assert!((0..count).any(|i| number_at(headers + i * size, 4) == 3), "the program is linked statically");
}

#[test]
fn run_is_one_process_that_waits_without_spinning() {
    let (listen, mut file) = (unused_address(), fixture::router_config());
    // Nothing listens at discovery's address, so the router's only work is to retry the watch.
    (file["listen"], file["discovery"]) = (json!(listen), json!(unused_address()));
    let path = std::env::temp_dir().join(format!("deployed-{}.json", std::process::id()));
    std::fs::write(&path, file.to_string()).unwrap();
    let mut running = start_deployed(&path);
    let pid = running.0.id();
    wait_for(|| {
        assert!(running.0.try_wait().unwrap().is_none(), "the process ended");
        TcpStream::connect(&listen).ok()
    });
    let ticks_before = cpu_ticks(pid);
    std::thread::sleep(Duration::from_millis(1_500));
    let spent = cpu_ticks(pid) - ticks_before;
    let name = read_proc(pid, "comm");
    let children = read_proc(pid, &format!("task/{pid}/children"));
    let (unix, udp) = (read_proc(pid, "net/unix"), read_proc(pid, "net/udp") + &read_proc(pid, "net/udp6"));
    let inodes: Vec<String> = std::fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .filter_map(|fd| Some(std::fs::read_link(fd.ok()?.path()).ok()?.to_string_lossy().into_owned()))
        .filter_map(|link| Some(link.strip_prefix("socket:[")?.strip_suffix(']')?.to_string()))
        .collect();
    drop(running);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(name.trim(), "tideroute", "the program replaces the shell");
    assert_eq!(children.trim(), "");
    // A listening Unix socket has flag 10000. The process may have unnamed socket pairs, over which signals are
    // reported.
    let listens = |l: &&str| l.split_whitespace().nth(3) == Some("00010000");
    let unix_listeners = unix
        .lines()
        .filter(listens)
        .filter(|l| inodes.iter().any(|i| l.split_whitespace().nth(6) == Some(i)));
    assert_eq!(unix_listeners.count(), 0);
    // The process is no member of a cluster, so it has no UDP socket.
    let udp_sockets = udp.lines().filter(|l| inodes.iter().any(|i| l.split_whitespace().nth(9) == Some(i)));
    assert_eq!(udp_sockets.count(), 0);
    assert!(spent <= 15, "{spent} of 150 clock ticks used in 1.5 seconds");
}
