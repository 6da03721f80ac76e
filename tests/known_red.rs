//! What `.ci/tests.sh` makes of tests that are known to fail.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Plays the script over what tests are made to say; whether it passes, and what it prints.
fn played(case: &str, known: &str, says: &str, status: i32) -> (bool, String) {
    let at = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(case);
    std::fs::create_dir_all(&at).expect("a folder");
    let (list, said, tests) = (at.join("known"), at.join("said"), at.join("tests"));
    std::fs::write(&list, known).expect("written");
    std::fs::write(&said, says).expect("written");
    std::fs::write(&tests, format!("cat {}\nexit {status}\n", said.display())).expect("written");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/tests.sh");
    let out = Command::new("sh")
        .arg(script)
        .env("KNOWN_RED", list)
        .env("TESTS", format!("sh {}", tests.display()))
        .output()
        .expect("a shell");
    (out.status.success(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
}

const SAID: &str = "test a ... ok\ntest m::b ... FAILED\ntest c ... ok\n";
const LINE: &str = "m::b | a cause | 31\n";

#[test]
fn tests_known_to_fail_may_fail_and_are_printed_and_no_others_may() {
    let (passes, says) = played("exact", LINE, SAID, 101);
    assert!(passes && says.contains("known red: m::b | a cause | 31"), "{says}");
    let (passes, says) = played("other", LINE, &format!("{SAID}test d ... FAILED\n"), 101);
    assert!(!passes && says.contains("not known to: d"), "{says}");
    let (passes, says) = played("nameless", &format!("{LINE}x | a cause | 31\n"), SAID, 101);
    assert!(!passes && says.contains("names no test: x"), "{says}");
    let (passes, says) = played("mended", "a | a cause | 31\n", "test a ... ok\n", 0);
    assert!(passes && says.contains("passes now, take its line out: a"), "{says}");
    let crashed = format!("{SAID}test result: FAILED. 2 passed; 1 failed\nerror: 2 targets failed:\n");
    let (passes, says) = played("crashed", LINE, &crashed, 101);
    assert!(!passes && says.contains("without saying"), "{says}");
    let (passes, says) = played("build", LINE, "error: could not compile\n", 101);
    assert!(!passes && says.contains("names no test"), "{says}");
}

#[test]
fn three_lines_at_most_and_each_can_be_read() {
    let four: String = ["a", "c", "m::b", "e"].map(|name| format!("{name} | a cause | 31\n")).concat();
    assert!(!played("four", &four, SAID, 101).0);
    assert!(!played("causeless", "m::b\n", SAID, 101).0);
    assert!(!played("empty-and-failing", "", SAID, 101).0, "an empty list changes nothing");
    assert!(played("empty-and-passing", "", "test a ... ok\n", 0).0);
}
