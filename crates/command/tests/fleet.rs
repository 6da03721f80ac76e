//! Routers that know each other, as processes.

use std::path::Path;
use std::process::{Command, Stdio};

/// Loss, a kill, halts, three that are back at once, and a cut in two: judged by the record alone.
#[test]
fn routers_see_each_other_as_they_are() {
    let day = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/members.cue");
    let played = Command::new(env!("CARGO_BIN_EXE_tideroute"))
        .args(["day", &day.display().to_string()])
        .stdin(Stdio::null())
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&played.stdout).into_owned();
    assert!(played.status.success(), "{text}{}", String::from_utf8_lossy(&played.stderr));
    assert!(text.contains("rules: all kept") && text.contains("views: all true"), "{text}");
    assert!(text.contains("1 kills known"), "{text}");
}
