//! The program as a user meets it: good and bad files, a short day on real processes, signals, garbage.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use tideroute_test_support::process::{send_signal, wait_for, TEST_TIMEOUT};

fn tideroute() -> Command {
    Command::new(env!("CARGO_BIN_EXE_tideroute"))
}

fn run(arguments: &[&str]) -> Output {
    tideroute().args(arguments).stdin(Stdio::null()).output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn days(name: &str) -> String {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name).display().to_string()
}

/// A folder of its own that goes with the test.
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

/// Processes whose command line names the folder.
fn processes(folder: &Path) -> Vec<u32> {
    let named = folder.display().to_string();
    let entries = std::fs::read_dir("/proc").expect("/proc").flatten();
    let pids = entries.filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    let names = |pid: &u32| {
        let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        let state = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        text(&line).contains(&named) && !state.contains(") Z ")
    };
    pids.filter(names).collect()
}

#[test]
fn each_invalid_file_gives_one_clear_error_and_exit_code_2() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/bad");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("bad files").flatten() {
        let path = entry.path().display().to_string();
        let first = std::fs::read_to_string(entry.path()).expect("text");
        let expected =
            first.lines().next().and_then(|l| l.strip_prefix("// expect: ")).expect("an expectation");
        let output = run(&["check", &path]);
        let said = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{path}: {said}");
        assert!(said.contains(&format!("{path}:{expected}")), "{said}\nnot {expected}");
        let problems = said.lines().filter(|l| l.contains(".cue:") && !l.contains("[")).count();
        assert_eq!(problems, 1, "{said}");
        // Nothing starts on a bad file either.
        assert_eq!(run(&["router", &path]).status.code(), Some(2));
        count += 1;
    }
    assert!(count >= 15);
}

#[test]
fn wrong_calls_give_exit_code_2_and_say_why() {
    let folder = Folder::new("calls");
    let list = folder.file("list.cue", "list: {listen: \"127.0.0.1:0\"}");
    for (arguments, word) in [
        (vec!["router", "/nowhere/at/all.cue"], "/nowhere/at/all.cue: No such file"),
        (vec!["router", list.as_str()], "no section `router`"),
        (vec!["rules", list.as_str()], "list.cue"),
        (vec!["day", list.as_str()], "no section `day`"),
        (vec!["check"], "required"),
        (vec!["check", list.as_str(), "--log", "=nothing="], "--log"),
    ] {
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(text(&output.stderr).contains(word), "{arguments:?}: {}", text(&output.stderr));
    }
    let good = run(&["check", &list, &days("bad-day.cue"), &days("short-day.cue"), &days("first.cue")]);
    assert!(good.status.success(), "{}", text(&good.stderr));
}

#[test]
fn a_short_scenario_on_real_processes_keeps_the_rules() {
    let folder = Folder::new("short-day");
    let out = folder.0.join("out").display().to_string();
    let output = run(&["day", &days("short-day.cue"), "--out", &out]);
    let said = text(&output.stdout);
    assert!(output.status.success(), "{said}\n{}", text(&output.stderr));
    assert!(said.contains("rules: all kept"), "{said}");
    let record = format!("{out}/day.record.zst");
    let again = run(&["rules", &record]);
    assert!(again.status.success() && text(&again.stdout).contains("rules: all kept"));
    // A record that is cut off, or damaged, is told to be.
    let bytes = std::fs::read(&record).expect("the record");
    let cut = folder.0.join("cut.zst");
    std::fs::write(&cut, &bytes[..bytes.len() / 2]).expect("a cut record");
    let output = run(&["rules", &cut.display().to_string()]);
    assert_ne!(output.status.code(), Some(0));
    assert!(processes(&folder.0).is_empty());
}

#[test]
fn a_scenario_in_virtual_time_is_deterministic() {
    let [one, two] = [0, 1].map(|_| run(&["day", &days("short-day.cue"), "--in-virtual-time"]));
    let table = |o: &Output| text(&o.stdout).lines().take(12).map(str::to_string).collect::<Vec<_>>();
    assert!(one.status.success(), "{}", text(&one.stdout));
    assert_eq!(table(&one), table(&two));
}

#[test]
fn no_process_outlives_an_interrupted_or_killed_scenario() {
    for how in ["-INT", "-KILL"] {
        let folder = Folder::new(&format!("ends{how}"));
        let out = folder.0.join("out").display().to_string();
        let mut day = tideroute()
            .args(["day", &days("short-day.cue"), "--out", &out])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        // The list, six workers, two routers, the load and the day itself.
        wait_for(|| (processes(&folder.0).len() >= 11).then_some(()));
        send_signal(&day, how);
        let status = wait_for(|| day.try_wait().expect("a child"));
        assert!(!status.success());
        wait_for(|| processes(&folder.0).is_empty().then_some(()));
    }
}

/// A router's file, with a list that is not there.
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

/// One frame: a length below 128, then the bytes.
fn frame(body: &[u8]) -> Vec<u8> {
    [&[body.len() as u8], body].concat()
}

#[test]
fn a_router_closes_on_malformed_input_and_shuts_down_gracefully() {
    let folder = Folder::new("garbage");
    let port = free_port();
    let file = router_file(&folder, port);
    // Tethered, so that it does not outlive a test that fails.
    let mut router =
        tideroute().args(["router", &file, "--tethered"]).stdin(Stdio::piped()).spawn().expect("it starts");
    let hello = frame(&[10, 7, 8, 1, 18, 1, b'c', 24, 2]);
    let submit = |track: u8| frame(&[18, 16, 8, 1, 16, track, 24, 1, 40, 9, 56, 5, 64, 192, 132, 61, 72, 1]);
    for garbage in [
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        vec![0xff; 64],
        vec![0xff, 0xff, 0xff, 0x7f],
        frame(&[10, 7, 8, 2, 18, 1, b'r', 24, 2]),
        frame(&[18, 2, 8, 1]),
        [hello.clone(), hello.clone()].concat(),
        [hello.clone(), frame(b"\x12\x03ab")].concat(),
        // A track that there is not, and a number used twice.
        [hello.clone(), submit(9)].concat(),
        [hello.clone(), submit(0), submit(0)].concat(),
    ] {
        let mut stream = connect(port);
        stream.write_all(&garbage).expect("it is sent");
        let mut rest = Vec::new();
        // The end comes as an end or as a reset; either way it comes.
        let _ = stream.read_to_end(&mut rest);
    }
    // One that says nothing at all is closed too.
    let mut silent = connect(port);
    let _ = silent.read(&mut [0; 1]);
    // And a good client still gets its answer: nobody is there to read, so it is turned back.
    let mut client = connect(port);
    client.write_all(&[hello, submit(0)].concat()).expect("it is sent");
    let mut answer = [0; 64];
    let mut got = 0;
    while !answer[..got].windows(2).any(|w| w[0] == 34) {
        let read = match client.read(&mut answer[got..]) {
            // A receive that has a timeout is interrupted when its process is stopped and goes on (signal(7)).
            Err(problem) if problem.kind() == std::io::ErrorKind::Interrupted => continue,
            read => read.expect("an answer"),
        };
        assert!(read > 0, "closed without an answer: {:?}", &answer[..got]);
        got += read;
    }
    let taken = TcpListener::bind(("127.0.0.1", port)).is_err();
    assert!(taken);
    let second = run(&["router", &file]);
    assert_eq!(second.status.code(), Some(2));
    assert!(text(&second.stderr).contains("cannot listen"), "{}", text(&second.stderr));
    send_signal(&router, "-TERM");
    assert!(wait_for(|| router.try_wait().expect("a child")).success());
}

#[test]
fn a_core_that_panics_loses_only_its_own_requests() {
    let folder = Folder::new("core");
    let port = free_port();
    let file = router_file(&folder, port);
    let text_of = std::fs::read_to_string(&file).expect("the file");
    std::fs::write(&file, text_of.replace("name: \"r\",", "name: \"r\", cores: 3,")).expect("the file");
    let mut router = tideroute()
        .args(["router", &file, "--fail-core-after", "1500", "--log", "error"])
        .stdin(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    // So many connections that each core has some; those of the core that dies end, the others stay.
    let hello = frame(&[10, 7, 8, 1, 18, 1, b'c', 24, 2]);
    let mut clients: Vec<_> = (0..48).map(|_| connect(port)).collect();
    clients.iter_mut().for_each(|c| c.write_all(&hello).expect("it is sent"));
    // A second router is not let in beside it.
    assert_eq!(run(&["router", &file]).status.code(), Some(2));
    let ended = |c: &mut TcpStream| {
        c.set_nonblocking(true).expect("a mode");
        let read = c.read(&mut [0; 8]);
        !matches!(&read, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    };
    let gone = wait_for(|| {
        let gone = clients.iter_mut().filter_map(|c| ended(c).then_some(())).count();
        (gone > 0).then_some(gone)
    });
    assert!(gone < clients.len(), "all {gone} connections ended with one core");
    let mut said = BufReader::new(router.stderr.take().expect("its words")).lines();
    assert!(said.any(|line| line.expect("text").contains("core panicked and lost its requests")));
    // The core that starts anew takes connections again, as do the others.
    for _ in 0..24 {
        connect(port).write_all(&hello).expect("it is sent");
    }
    send_signal(&router, "-TERM");
    assert!(wait_for(|| router.try_wait().expect("a child")).success());
}
