//! A small, seeded random number generator: Marsaglia's multiply-with-carry.

/// The generator; the same seed always gives the same sequence.
#[derive(Default)]
pub struct Rng {
    state: u64,
}

impl Rng {
    /// Marsaglia's multiplier for a 32-bit lag-1 multiply-with-carry.
    const MULTIPLIER: u64 = 4_294_957_665;
    /// Number of values skipped at the start, so that similar seeds give unlike sequences.
    const WARM_UP_STEPS: usize = 8;

    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        // Neither half may be zero, or the generator would return the same number forever.
        let mut rng = Rng { state: (seed ^ (seed >> 29)) | 0x1_0000_0001 };
        for _ in 0..Self::WARM_UP_STEPS {
            rng.next();
        }
        rng
    }

    fn next(&mut self) -> u32 {
        let low = self.state & 0xffff_ffff;
        let carry = self.state >> 32;
        self.state = Self::MULTIPLIER.wrapping_mul(low).wrapping_add(carry);
        self.state as u32
    }

    /// Returns the next random number, at least 0 and less than 1.
    pub fn unit(&mut self) -> f64 {
        f64::from(self.next()) / 4_294_967_296.0
    }
}
