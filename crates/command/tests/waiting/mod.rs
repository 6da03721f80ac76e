//! Waiting for processes, and signals to them.

use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Long past what anything here takes; a test that waits so long has failed.
pub const PATIENCE: Duration = Duration::from_secs(60);

pub fn until<T>(mut look: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(began.elapsed() < PATIENCE, "waited too long");
        std::thread::sleep(Duration::from_millis(10));
    }
}

pub fn signal(child: &Child, name: &str) {
    let sent = Command::new("kill").args([name, &child.id().to_string()]).status().expect("kill runs");
    assert!(sent.success());
}
