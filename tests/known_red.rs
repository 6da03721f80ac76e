//! Checks how `.ci/tests.sh` judges a test run in which tests that are known to fail may fail.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Runs the script on a simulated test run that prints `test_output` and exits with `status`. `known_red` is the list of
/// tests that are known to fail. Returns whether the script succeeds, and what it prints.
fn run_script(case: &str, known_red: &str, test_output: &str, status: i32) -> (bool, String) {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(case);
    std::fs::create_dir_all(&directory).expect("the directory of the case should be created");
    let (known_red_file, output_file, test_command) =
        (directory.join("known"), directory.join("said"), directory.join("tests"));
    std::fs::write(&known_red_file, known_red).expect("the list of known failures should be written");
    std::fs::write(&output_file, test_output).expect("the test output should be written");
    std::fs::write(&test_command, format!("cat {}\nexit {status}\n", output_file.display()))
        .expect("the test command should be written");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/tests.sh");
    let output = Command::new("sh")
        .arg(script)
        .env("KNOWN_RED", known_red_file)
        .env("TESTS", format!("sh {}", test_command.display()))
        .output()
        .expect("the shell should start");
    (output.status.success(), String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned())
}

/// A test run in which one of three tests fails.
const TEST_OUTPUT: &str = "test a ... ok\ntest m::b ... FAILED\ntest c ... ok\n";
/// The line that names the failing test of `TEST_OUTPUT`.
const KNOWN_RED_LINE: &str = "m::b | a cause | 31\n";

#[test]
fn only_tests_known_to_fail_may_fail_and_they_are_printed() {
    let (passes, printed) = run_script("exact", KNOWN_RED_LINE, TEST_OUTPUT, 101);
    assert!(passes && printed.contains("known red: m::b | a cause | 31"), "{printed}");
    let (passes, printed) =
        run_script("other", KNOWN_RED_LINE, &format!("{TEST_OUTPUT}test d ... FAILED\n"), 101);
    assert!(!passes && printed.contains("not known to: d"), "{printed}");
    let (passes, printed) =
        run_script("nameless", &format!("{KNOWN_RED_LINE}x | a cause | 31\n"), TEST_OUTPUT, 101);
    assert!(!passes && printed.contains("names no test: x"), "{printed}");
    let (passes, printed) = run_script("mended", "a | a cause | 31\n", "test a ... ok\n", 0);
    assert!(passes && printed.contains("passes now, take its line out: a"), "{printed}");
    let crashed = format!("{TEST_OUTPUT}test result: FAILED. 2 passed; 1 failed\nerror: 2 targets failed:\n");
    let (passes, printed) = run_script("crashed", KNOWN_RED_LINE, &crashed, 101);
    assert!(!passes && printed.contains("without saying"), "{printed}");
    let (passes, printed) = run_script("build", KNOWN_RED_LINE, "error: could not compile\n", 101);
    assert!(!passes && printed.contains("names no test"), "{printed}");
}

#[test]
fn a_list_with_a_fourth_or_malformed_line_is_rejected_and_an_empty_list_has_no_effect() {
    let four_lines: String = ["a", "c", "m::b", "e"].map(|name| format!("{name} | a cause | 31\n")).concat();
    assert!(!run_script("four", &four_lines, TEST_OUTPUT, 101).0);
    assert!(!run_script("causeless", "m::b\n", TEST_OUTPUT, 101).0);
    assert!(!run_script("empty-and-failing", "", TEST_OUTPUT, 101).0, "an empty list excuses no failure");
    assert!(run_script("empty-and-passing", "", "test a ... ok\n", 0).0);
}
