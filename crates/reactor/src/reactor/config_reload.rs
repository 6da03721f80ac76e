//! Reloads the configuration file on SIGHUP.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use bytes::Bytes;
use tideroute_wire::event_loop::{Effects, EventHandler};
use tideroute_wire::Micros;

use super::Reactor;
use crate::timer_key::TimerKey;

/// Microseconds between attempts to read a file that could not be used.
const RETRY_DELAY: Micros = 150_000;
/// Maximum number of attempts to read the file after one signal. They take three seconds in all, which is within the
/// time in which a new configuration has to be in force.
const MAX_READS: u32 = 20;
/// Maximum number of bytes read from the file; a configuration is never larger.
const MAX_FILE_SIZE: u64 = 16 << 20;

impl Reactor {
    /// Reloads the file if a signal was received.
    pub(super) fn handle_reload_signals(&mut self, handler: &mut impl EventHandler, effects: &mut Effects) {
        let Some(reload) = &mut self.config_reload else { return };
        if reload.signals.take_count() > 0 {
            reload.retries_left = MAX_READS;
            self.reload_config(handler, effects);
        }
    }

    /// Reads a file again that could not be used before. A signal received in the meantime restores the full number of
    /// attempts.
    pub(super) fn retry_config_reload(&mut self, handler: &mut impl EventHandler, effects: &mut Effects) {
        let Some(reload) = &mut self.config_reload else { return };
        if reload.signals.take_count() > 0 {
            reload.retries_left = MAX_READS;
        }
        self.reload_config(handler, effects);
    }

    /// Reads the file and passes it to the handler, and sets a timer for another attempt if it could not be used. The
    /// old configuration stays in force if the file cannot be read.
    fn reload_config(&mut self, handler: &mut impl EventHandler, effects: &mut Effects) {
        let Some(reload) = &self.config_reload else { return };
        let used = match read_file(&reload.path) {
            Ok(file) => {
                let used = handler.on_config_reload(self.clock.now(), &file, effects);
                self.execute(effects);
                used
            }
            Err(error) => {
                let path = reload.path.display();
                tracing::error!(%error, %path, "reading the configuration failed; keeping the old one in force");
                false
            }
        };
        let Some(reload) = &mut self.config_reload else { return };
        // The file may be only partly written, or the process may be short of file descriptors. Reading is retried,
        // because no other signal would follow.
        reload.retries_left = if used { 0 } else { reload.retries_left.saturating_sub(1) };
        if reload.retries_left > 0 {
            self.set_retry_timer(RETRY_DELAY, TimerKey::RetryConfigReload);
        }
    }
}

fn read_file(path: &Path) -> io::Result<Bytes> {
    let mut bytes = Vec::new();
    File::open(path)?.take(MAX_FILE_SIZE).read_to_end(&mut bytes)?;
    Ok(bytes.into())
}
