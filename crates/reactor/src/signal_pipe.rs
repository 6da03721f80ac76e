//! Receives signals as bytes on socket pairs, which the loop polls like any other source.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// A socket on which one byte arrives for each signal.
pub(crate) struct SignalPipe {
    pub stream: UnixStream,
}

impl SignalPipe {
    /// Registers for SIGTERM and SIGINT, which ask the process to shut down.
    pub fn for_shutdown() -> io::Result<SignalPipe> {
        Self::register(&[SIGTERM, SIGINT])
    }

    /// Registers for SIGHUP, which asks the process to reload its configuration.
    pub fn for_reload() -> io::Result<SignalPipe> {
        Self::register(&[SIGHUP])
    }

    fn register(signals: &[i32]) -> io::Result<SignalPipe> {
        let (stream, signal_end) = UnixStream::pair()?;
        stream.set_nonblocking(true)?;
        for &signal in signals {
            signal_hook::low_level::pipe::register(signal, signal_end.try_clone()?)?;
        }
        Ok(SignalPipe { stream })
    }

    /// Returns the number of signals received since the last call.
    pub fn take_count(&mut self) -> usize {
        let mut bytes = [0; 64];
        let mut count = 0;
        while let Ok(length @ 1..) = self.stream.read(&mut bytes) {
            count += length;
        }
        count
    }
}
