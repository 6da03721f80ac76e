//! SIGTERM and SIGINT as bytes on a socket pair, which the loop polls like any other.

use std::io::Read;
use std::os::unix::net::UnixStream;

use signal_hook::consts::{SIGINT, SIGTERM};

pub struct Signals {
    pub heard: UnixStream,
}

impl Signals {
    pub fn catch() -> std::io::Result<Signals> {
        let (heard, said) = UnixStream::pair()?;
        heard.set_nonblocking(true)?;
        for signal in [SIGTERM, SIGINT] {
            signal_hook::low_level::pipe::register(signal, said.try_clone()?)?;
        }
        Ok(Signals { heard })
    }

    /// How many signals came since the last call.
    pub fn count(&mut self) -> usize {
        let (mut bytes, mut count) = ([0; 64], 0);
        while let Ok(got @ 1..) = self.heard.read(&mut bytes) {
            count += got;
        }
        count
    }
}
