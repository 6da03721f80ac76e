//! The configuration file, read again on SIGHUP.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use bytes::Bytes;
use tideroute_wire::event_loop::{Effects, EventHandler};
use tideroute_wire::Micros;

use super::Reactor;
use crate::timer_key::TimerKey;

/// Microseconds until a file that could not be used is read again.
const RETRY_DELAY: Micros = 150_000;
/// How often it is read after one signal: three seconds in all, within the time in which a new configuration has to be
/// in force.
const MAX_READS: u32 = 20;
/// Bytes of the file that are read; a configuration is never larger.
const MAX_FILE_SIZE: u64 = 16 << 20;

impl Reactor {
    /// Reads the file if a signal came.
    pub(super) fn handle_reload_signals(&mut self, handler: &mut impl EventHandler, effects: &mut Effects) {
        let Some(reload) = &mut self.config_reload else { return };
        if reload.signals.take_count() > 0 {
            reload.retries_left = MAX_READS;
            self.reload_config(handler, effects);
        }
    }

    /// Reads the file again that could not be used. A signal that came meanwhile starts the attempts anew.
    pub(super) fn retry_config_reload(&mut self, handler: &mut impl EventHandler, effects: &mut Effects) {
        let Some(reload) = &mut self.config_reload else { return };
        if reload.signals.take_count() > 0 {
            reload.retries_left = MAX_READS;
        }
        self.reload_config(handler, effects);
    }

    /// Hands the file to the handler; one that cannot be read leaves the old configuration in force.
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
                tracing::error!(%error, %path, "configuration could not be read, the old one stays in force");
                false
            }
        };
        let Some(reload) = &mut self.config_reload else { return };
        // The file may be half written yet, or descriptors may be short: no other signal would follow.
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
