//! Waiting for processes, and signals to them.

use std::net::TcpListener;
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

/// A process that does not outlive its test, however that ends.
pub struct Running(pub Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An address whose port was free a moment ago.
pub fn free() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").to_string()
}
