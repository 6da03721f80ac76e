//! The command line: valid and invalid files, a short scenario on real processes, signals and malformed client input.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use tideroute_test_support::process::{send_signal, wait_for, TEST_TIMEOUT};

fn tideroute() -> Command {
    Command::new(env!("CARGO_BIN_EXE_tideroute"))
}

fn run(arguments: &[&str]) -> Output {
    tideroute().args(arguments).stdin(Stdio::null()).output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Returns the path of a scenario file.
fn scenario_file(name: &str) -> String {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name).display().to_string()
}

/// A folder of a test, which is removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("tideroute-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the running processes whose command line contains the folder's path.
fn processes_of(folder: &Path) -> Vec<u32> {
    let named = folder.display().to_string();
    let entries = std::fs::read_dir("/proc").expect("/proc").flatten();
    let pids = entries.filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    let is_running_with_folder = |pid: &u32| {
        let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        let state = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        text(&line).contains(&named) && !state.contains(") Z ")
    };
    pids.filter(is_running_with_folder).collect()
}

#[test]
fn each_invalid_file_gives_one_clear_error_and_exit_code_2() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/bad");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the invalid files").flatten() {
        let path = entry.path().display().to_string();
        let first = std::fs::read_to_string(entry.path()).expect("text");
        let expected =
            first.lines().next().and_then(|l| l.strip_prefix("// expect: ")).expect("an expectation");
        let output = run(&["check", &path]);
        let output_text = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{path}: {output_text}");
        assert!(output_text.contains(&format!("{path}:{expected}")), "expected {expected} in\n{output_text}");
        let problems = output_text.lines().filter(|l| l.contains(".cue:") && !l.contains("[")).count();
        assert_eq!(problems, 1, "{output_text}");
        // No process starts with an invalid file either.
        assert_eq!(run(&["router", &path]).status.code(), Some(2));
        count += 1;
    }
    assert!(count >= 15);
}

#[test]
fn wrong_calls_give_exit_code_2_and_an_error() {
    let folder = Folder::new("calls");
    let list = folder.file("list.cue", "list: {listen: \"127.0.0.1:0\"}");
    for (arguments, expected) in [
        (vec!["router", "/nowhere/at/all.cue"], "/nowhere/at/all.cue: No such file"),
        (vec!["router", list.as_str()], "no section `router`"),
        (vec!["rules", list.as_str()], "list.cue"),
        (vec!["day", list.as_str()], "no section `day`"),
        (vec!["check"], "required"),
        (vec!["check", list.as_str(), "--log", "=nothing="], "--log"),
    ] {
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(text(&output.stderr).contains(expected), "{arguments:?}: {}", text(&output.stderr));
    }
    let valid = run(&[
        "check",
        &list,
        &scenario_file("bad-day.cue"),
        &scenario_file("short-day.cue"),
        &scenario_file("first.cue"),
    ]);
    assert!(valid.status.success(), "{}", text(&valid.stderr));
}

#[test]
fn a_short_scenario_on_real_processes_keeps_the_rules() {
    let folder = Folder::new("short-day");
    let out = folder.0.join("out").display().to_string();
    let output = run(&["day", &scenario_file("short-day.cue"), "--out", &out]);
    let output_text = text(&output.stdout);
    assert!(output.status.success(), "{output_text}\n{}", text(&output.stderr));
    assert!(output_text.contains("rules: all kept"), "{output_text}");
    let capture = format!("{out}/day.record.zst");
    let again = run(&["rules", &capture]);
    assert!(again.status.success() && text(&again.stdout).contains("rules: all kept"));
    // A truncated capture is reported as an error.
    let bytes = std::fs::read(&capture).expect("the capture");
    let truncated = folder.0.join("cut.zst");
    std::fs::write(&truncated, &bytes[..bytes.len() / 2]).expect("a truncated capture");
    let output = run(&["rules", &truncated.display().to_string()]);
    assert_ne!(output.status.code(), Some(0));
    assert!(processes_of(&folder.0).is_empty());
}

#[test]
fn a_scenario_in_virtual_time_is_deterministic() {
    let [first, second] = [0, 1].map(|_| run(&["day", &scenario_file("short-day.cue"), "--in-virtual-time"]));
    let table = |o: &Output| text(&o.stdout).lines().take(12).map(str::to_string).collect::<Vec<_>>();
    assert!(first.status.success(), "{}", text(&first.stdout));
    assert_eq!(table(&first), table(&second));
}

#[test]
fn no_process_outlives_an_interrupted_or_killed_scenario() {
    for signal in ["-INT", "-KILL"] {
        let folder = Folder::new(&format!("ends{signal}"));
        let out = folder.0.join("out").display().to_string();
        let mut scenario = tideroute()
            .args(["day", &scenario_file("short-day.cue"), "--out", &out])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        // The endpoint list, six workers, two routers, the load generator and the scenario command itself.
        wait_for(|| (processes_of(&folder.0).len() >= 11).then_some(()));
        send_signal(&scenario, signal);
        let status = wait_for(|| scenario.try_wait().expect("the process state"));
        assert!(!status.success());
        wait_for(|| processes_of(&folder.0).is_empty().then_some(()));
    }
}

/// Writes the configuration of a router whose endpoint list is not served, and returns its path.
fn router_file(folder: &Folder, port: u16) -> String {
    let text = format!(
        r#"router: {{
	name: "r", listen: "127.0.0.1:{port}", list: "127.0.0.1:1"
	tracks: [{{name: "quick", contract: 300ms, cut_off: 1s}}]
	kinds: [{{name: "readers", role: "reader"}}]
	terms: {{unheard: 300ms}}
}}"#
    );
    folder.file("router.cue", &text)
}

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port").port()
}

fn connect(port: u16) -> TcpStream {
    let stream = wait_for(|| TcpStream::connect(("127.0.0.1", port)).ok());
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    stream
}

/// Returns one frame: a length below 128, then the bytes.
fn frame(body: &[u8]) -> Vec<u8> {
    [&[body.len() as u8], body].concat()
}

#[test]
fn a_router_closes_on_malformed_input_and_shuts_down_gracefully() {
    let folder = Folder::new("garbage");
    let port = free_port();
    let file = router_file(&folder, port);
    // With this option the router ends with its standard input, so it does not outlive a test that fails.
    let mut router = tideroute()
        .args(["router", &file, "--tethered"])
        .stdin(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let hello = frame(&[10, 7, 8, 1, 18, 1, b'c', 24, 2]);
    let submit = |class: u8| frame(&[18, 16, 8, 1, 16, class, 24, 1, 40, 9, 56, 5, 64, 192, 132, 61, 72, 1]);
    for malformed in [
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        vec![0xff; 64],
        vec![0xff, 0xff, 0xff, 0x7f],
        frame(&[10, 7, 8, 2, 18, 1, b'r', 24, 2]),
        frame(&[18, 2, 8, 1]),
        [hello.clone(), hello.clone()].concat(),
        [hello.clone(), frame(b"\x12\x03ab")].concat(),
        // An unknown request class, and a request number that is used twice.
        [hello.clone(), submit(9)].concat(),
        [hello.clone(), submit(0), submit(0)].concat(),
    ] {
        let mut stream = connect(port);
        stream.write_all(&malformed).expect("the bytes are sent");
        let mut rest = Vec::new();
        // The router closes the connection, regularly or by a reset.
        let _ = stream.read_to_end(&mut rest);
    }
    // A connection on which nothing is sent is closed, too.
    let mut silent = connect(port);
    let _ = silent.read(&mut [0; 1]);
    // A well-behaved client still gets its response: a rejection, because there are no prefill workers.
    let mut client = connect(port);
    client.write_all(&[hello, submit(0)].concat()).expect("the bytes are sent");
    let mut response = [0; 64];
    let mut length = 0;
    while !response[..length].windows(2).any(|w| w[0] == 34) {
        let read = match client.read(&mut response[length..]) {
            // A read with a timeout is interrupted when its process is stopped and continued (signal(7)).
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
            read => read.expect("a response"),
        };
        assert!(read > 0, "closed without a response: {:?}", &response[..length]);
        length += read;
    }
    let in_use = TcpListener::bind(("127.0.0.1", port)).is_err();
    assert!(in_use);
    let second = run(&["router", &file]);
    assert_eq!(second.status.code(), Some(2));
    assert!(text(&second.stderr).contains("cannot listen"), "{}", text(&second.stderr));
    send_signal(&router, "-TERM");
    assert!(wait_for(|| router.try_wait().expect("the process state")).success());
}

#[test]
fn a_core_that_panics_loses_only_its_own_requests() {
    let folder = Folder::new("core");
    let port = free_port();
    let file = router_file(&folder, port);
    let configuration = std::fs::read_to_string(&file).expect("the file");
    std::fs::write(&file, configuration.replace("name: \"r\",", "name: \"r\", cores: 3,")).expect("the file");
    let mut router = tideroute()
        .args(["router", &file, "--fail-core-after", "1500", "--log", "error"])
        .stdin(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    // There are enough connections that each core has some. Those of the core that panics end, the others stay open.
    let hello = frame(&[10, 7, 8, 1, 18, 1, b'c', 24, 2]);
    let mut clients: Vec<_> = (0..48).map(|_| connect(port)).collect();
    clients.iter_mut().for_each(|c| c.write_all(&hello).expect("the bytes are sent"));
    // A second router can't listen at the same address.
    assert_eq!(run(&["router", &file]).status.code(), Some(2));
    let has_ended = |stream: &mut TcpStream| {
        stream.set_nonblocking(true).expect("a mode");
        let read = stream.read(&mut [0; 8]);
        !matches!(&read, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    };
    let ended = wait_for(|| {
        let ended = clients.iter_mut().filter_map(|stream| has_ended(stream).then_some(())).count();
        (ended > 0).then_some(ended)
    });
    assert!(ended < clients.len(), "all {ended} connections ended with one core");
    let mut log_lines = BufReader::new(router.stderr.take().expect("the log")).lines();
    assert!(log_lines.any(|line| line.expect("text").contains("core panicked and lost its requests")));
    // The restarted core accepts connections again, like the others.
    for _ in 0..24 {
        connect(port).write_all(&hello).expect("the bytes are sent");
    }
    send_signal(&router, "-TERM");
    assert!(wait_for(|| router.try_wait().expect("the process state")).success());
}
