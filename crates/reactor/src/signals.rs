//! Signals as bytes on socket pairs, which the loop polls like any other.

use std::io::Read;
use std::os::unix::net::UnixStream;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

pub struct Signals {
    pub heard: UnixStream,
}

impl Signals {
    /// Those that ask for the end.
    pub fn ends() -> std::io::Result<Signals> {
        Self::catch(&[SIGTERM, SIGINT])
    }

    /// The one that asks to read the file again.
    pub fn rereads() -> std::io::Result<Signals> {
        Self::catch(&[SIGHUP])
    }

    fn catch(signals: &[i32]) -> std::io::Result<Signals> {
        let (heard, said) = UnixStream::pair()?;
        heard.set_nonblocking(true)?;
        for &signal in signals {
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
