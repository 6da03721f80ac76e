//! How evenly routers that see little spread their load, as processes.

use std::path::Path;
use std::process::{Command, Stdio};

fn run(arguments: &[&str]) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tideroute"));
    let output = command.args(arguments).stdin(Stdio::null()).output().expect("it runs");
    let said = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    (output.status.success(), said.into_owned())
}

/// The part of reader seconds that passed idle while another reader had reads waiting, and what was found kept.
fn play(name: &str, text: &str) -> (f64, f64) {
    let folder = std::env::temp_dir().join(format!("tideroute-spread-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let day = folder.join("day.cue").display().to_string();
    std::fs::write(&day, text).expect("a day");
    let (well, said) = run(&["day", &day, "--out", &folder.display().to_string()]);
    assert!(well && said.contains("rules: all kept"), "{said}");
    let (well, said) = run(&["spread", &folder.join("day.record.zst").display().to_string(), "--json"]);
    assert!(well, "{said}");
    let spread: serde_json::Value = serde_json::from_str(&said).expect("JSON");
    let _ = std::fs::remove_dir_all(&folder);
    let figure = |of: &serde_json::Value| of.as_f64().expect("a figure");
    (figure(&spread["readers"]["idle_beside"]), figure(&spread["kept"]))
}

#[test]
fn prefill_workers_with_load_reports_do_not_idle_beside_queues() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/asks.cue");
    let text = std::fs::read_to_string(path).expect("the day");
    let (idle, kept) = play("asked", &text);
    let (idle_unasked, kept_unasked) = play("unasked", &text.replace("asks: true", "asks: false"));
    println!("idle {idle} asked, {idle_unasked} unasked; kept {kept} and {kept_unasked}");
    assert!(idle < 0.01, "{idle} asked, {idle_unasked} unasked");
    // The measure sees what it is there to see.
    assert!(idle_unasked > 0.008 && idle_unasked > 3.0 * idle, "{idle} asked, {idle_unasked} unasked");
    // A text is first read at more readers, which in a day this short counts for much.
    assert!(kept > kept_unasked - 0.12, "{kept} of {kept_unasked}");
}
