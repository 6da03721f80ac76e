//! How evenly routers balance their load with and without load reports, in a scenario on real processes.

use std::path::Path;
use std::process::{Command, Stdio};

fn run(arguments: &[&str]) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
    let process_output = command.args(arguments).stdin(Stdio::null()).output().expect("the program starts");
    let output =
        String::from_utf8_lossy(&process_output.stdout) + String::from_utf8_lossy(&process_output.stderr);
    (process_output.status.success(), output.into_owned())
}

/// Plays a scenario. Returns the fraction of time that prefill workers were idle while another one had work queued, and
/// the fraction of the prefilled tokens of shared prefixes that was found cached.
fn play(name: &str, text: &str) -> (f64, f64) {
    let folder = std::env::temp_dir().join(format!("tideroute-spread-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let scenario = folder.join("day.cue").display().to_string();
    std::fs::write(&scenario, text).expect("the scenario file is written");
    let (succeeded, output) = run(&["day", &scenario, "--out", &folder.display().to_string()]);
    assert!(succeeded && output.contains("rules: all kept"), "{output}");
    let (succeeded, output) =
        run(&["spread", &folder.join("day.record.zst").display().to_string(), "--json"]);
    assert!(succeeded, "{output}");
    let balance: serde_json::Value = serde_json::from_str(&output).expect("JSON");
    let _ = std::fs::remove_dir_all(&folder);
    let number = |value: &serde_json::Value| value.as_f64().expect("a number");
    (number(&balance["readers"]["idle_beside"]), number(&balance["kept"]))
}

#[test]
fn prefill_workers_with_load_reports_do_not_idle_beside_queues() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/asks.cue");
    let text = std::fs::read_to_string(path).expect("the scenario file");
    let (idle, kept) = play("asked", &text);
    let (idle_without_reports, kept_without_reports) =
        play("unasked", &text.replace("asks: true", "asks: false"));
    println!("idle: {idle} with load reports, {idle_without_reports} without; kept: {kept} and {kept_without_reports}");
    assert!(idle < 0.01, "idle: {idle} with load reports, {idle_without_reports} without");
    // Without load reports the measured idle time has to be visible, otherwise the check above proves nothing.
    assert!(
        idle_without_reports > 0.008 && idle_without_reports > 3.0 * idle,
        "idle: {idle} with load reports, {idle_without_reports} without"
    );
    // With load reports a shared prefix is first prefilled at more workers, which lowers the cached share noticeably in
    // a scenario this short.
    assert!(
        kept > kept_without_reports - 0.12,
        "kept: {kept} with load reports, {kept_without_reports} without"
    );
}
