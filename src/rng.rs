//! Random numbers: Marsaglia's multiply with carry, started from a seed.

#[derive(Default)]
pub struct Rng {
    state: u64,
}

impl Rng {
    pub fn new(seed: u64) -> Self {
        // Neither half may be zero, or the sequence would stand still.
        let mut rng = Rng { state: (seed ^ (seed >> 29)) | 0x1_0000_0001 };
        for _ in 0..8 {
            rng.next();
        }
        rng
    }

    fn next(&mut self) -> u32 {
        let (low, carry) = (self.state & 0xffff_ffff, self.state >> 32);
        self.state = 4_294_957_665u64.wrapping_mul(low).wrapping_add(carry);
        self.state as u32
    }

    /// A number from 0 up to, but not including, 1.
    pub fn unit(&mut self) -> f64 {
        f64::from(self.next()) / 4_294_967_296.0
    }
}
