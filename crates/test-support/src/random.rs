//! Samples from a random number generator.

use tideroute::rng::Rng;

/// Returns a random number from `min` to `max` whose logarithm is uniformly distributed, so that each order of
/// magnitude is equally probable.
pub fn log_uniform(rng: &mut Rng, min: f64, max: f64) -> f64 {
    scale_log_uniform(rng.unit(), min, max)
}

/// Returns the number to which [`log_uniform`] maps a sample from 0 to 1.
pub fn scale_log_uniform(unit: f64, min: f64, max: f64) -> f64 {
    min * (max / min).powf(unit)
}

/// Returns one of several values, each with the same probability.
pub fn choose<T: Copy>(rng: &mut Rng, values: &[T]) -> T {
    values[(rng.unit() * values.len() as f64) as usize]
}
