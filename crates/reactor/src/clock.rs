//! The time that programs see: microseconds since 1970, read once at the start and counted on by the
//! monotonic clock, so that it never goes back when the machine's clock is set.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use tideroute_wire::Micros;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
    epoch: Micros,
}

impl Clock {
    pub fn start() -> Clock {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        Clock { began: Instant::now(), epoch }
    }

    pub fn now(&self) -> Micros {
        self.epoch + self.began.elapsed().as_micros() as Micros
    }
}
