//! What the operators' standing test asks of `build` and `run` in the deploy file: one process that the shell is
//! replaced by, linked dynamically against the C library, with no other program, no Unix door and no busy thread.

use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::time::Duration;

use serde_json::json;

use tideroute_test_support::fixture;
use tideroute_test_support::process::{unused_address, wait_for, KillOnDrop};

/// A value of the deploy file, which has one assignment a line.
fn line(key: &str) -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let text = std::fs::read_to_string(path).unwrap();
    let assigned = text.lines().find_map(|l| l.strip_prefix(key)?.strip_prefix(" = \"")?.strip_suffix('"'));
    assigned.unwrap_or_else(|| panic!("no {key} in {path}")).to_string()
}

/// `run`, but with the binary under test in place of the release build.
fn started(config: &std::path::Path) -> KillOnDrop {
    let program = env!("CARGO_BIN_EXE_tideroute");
    let run = line("run").replace("target/release/tideroute", program);
    assert!(run.contains(program), "{run}");
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(run).env("EDGE_CONFIG", config);
    KillOnDrop(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap())
}

fn read(pid: u32, file: &str) -> String {
    std::fs::read_to_string(format!("/proc/{pid}/{file}")).unwrap()
}

/// Processor time that the process has used, in clock ticks.
fn used(pid: u32) -> u64 {
    let stat = read(pid, "stat");
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

#[test]
fn build_and_run_are_plain_commands() {
    assert_eq!(line("build"), "cargo build --release --locked");
    assert_eq!(line("run"), "exec target/release/tideroute platform");
}

#[test]
fn the_program_asks_for_the_c_librarys_loader() {
    let program = std::fs::read(env!("CARGO_BIN_EXE_tideroute")).unwrap();
    let u = |at: usize, bytes: usize| {
        program[at..at + bytes].iter().rev().fold(0, |sum, byte| sum << 8 | usize::from(*byte))
    };
    assert_eq!(&program[..5], b"\x7fELF\x02", "64 bits");
    let (headers, size, count) = (u(32, 8), u(54, 2), u(56, 2));
    // A program header of type 3 names the loader; a static program has none and can't be led.
    assert!((0..count).any(|i| u(headers + i * size, 4) == 3), "linked statically");
}

#[test]
fn run_is_one_process_that_waits_without_spinning() {
    let (listen, mut file) = (unused_address(), fixture::router_config());
    // Nobody is at discovery: it has nothing to do but to ask again.
    (file["listen"], file["discovery"]) = (json!(listen), json!(unused_address()));
    let path = std::env::temp_dir().join(format!("deployed-{}.json", std::process::id()));
    std::fs::write(&path, file.to_string()).unwrap();
    let mut running = started(&path);
    let pid = running.0.id();
    wait_for(|| {
        assert!(running.0.try_wait().unwrap().is_none(), "it ended");
        TcpStream::connect(&listen).ok()
    });
    let first = used(pid);
    std::thread::sleep(Duration::from_millis(1_500));
    let spent = used(pid) - first;
    let name = read(pid, "comm");
    let children = read(pid, &format!("task/{pid}/children"));
    let (unix, udp) = (read(pid, "net/unix"), read(pid, "net/udp") + &read(pid, "net/udp6"));
    let inodes: Vec<String> = std::fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .filter_map(|fd| Some(std::fs::read_link(fd.ok()?.path()).ok()?.to_string_lossy().into_owned()))
        .filter_map(|link| Some(link.strip_prefix("socket:[")?.strip_suffix(']')?.to_string()))
        .collect();
    drop(running);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(name.trim(), "tideroute", "the shell is replaced");
    assert_eq!(children.trim(), "");
    // A listening Unix socket has flag 10000; those here are the pairs that signals are told on.
    let listens = |l: &&str| l.split_whitespace().nth(3) == Some("00010000");
    let doors = unix
        .lines()
        .filter(listens)
        .filter(|l| inodes.iter().any(|i| l.split_whitespace().nth(6) == Some(i)));
    assert_eq!(doors.count(), 0);
    // Nor does it take part in a fleet: it has no door for datagrams.
    let datagrams = udp.lines().filter(|l| inodes.iter().any(|i| l.split_whitespace().nth(9) == Some(i)));
    assert_eq!(datagrams.count(), 0);
    assert!(spent <= 15, "{spent} ticks of 150 in a second and a half");
}
