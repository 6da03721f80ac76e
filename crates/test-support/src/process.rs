//! Child processes of tests: ending them with their test, sending signals to them, and waiting for conditions.

use std::net::TcpListener;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Time for which a test waits for a condition. It is much longer than any condition takes that is met at all.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls until `poll` returns a value, and returns the value. Panics after [`TEST_TIMEOUT`].
pub fn wait_for<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "condition not met within the test timeout");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Sends a signal to a process. `option` is the option of kill(1) that names the signal, such as `-TERM` or `-HUP`.
/// Panics if the signal cannot be sent.
pub fn send_signal(child: &Child, option: &str) {
    let status =
        Command::new("kill").args([option, &child.id().to_string()]).status().expect("kill is started");
    assert!(status.success());
}

/// A child process that is killed when this value is dropped, so that it does not outlive its test even if the test
/// panics.
pub struct KillOnDrop(pub Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns a loopback address whose port was unused at the time of the call.
pub fn unused_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener is bound");
    listener.local_addr().expect("listener has an address").to_string()
}
