//! Child processes of tests: started ones that end with their test, signals to them, and waiting.

use std::net::TcpListener;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// How long a test waits for a condition: long past what anything here takes, so that it has failed by then.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls until there is a value, and returns it. Panics after [`TEST_TIMEOUT`].
pub fn wait_for<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "waited too long");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Sends a signal to a process, named as an option of kill(1): `-TERM`, `-HUP`. Panics if it can't be sent.
pub fn send_signal(child: &Child, option: &str) {
    let status = Command::new("kill").args([option, &child.id().to_string()]).status().expect("kill runs");
    assert!(status.success());
}

/// A process that is killed when this is dropped, so that it does not outlive its test, however that ends.
pub struct KillOnDrop(pub Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An address on loopback whose port was free a moment ago.
pub fn unused_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").to_string()
}
