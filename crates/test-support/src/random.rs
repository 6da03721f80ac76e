//! Samples from a random number generator.

use tideroute::rng::Rng;

/// A number from `least` to `most`, evenly distributed by its logarithm: small ones are as probable as large ones.
pub fn log_uniform(rng: &mut Rng, least: f64, most: f64) -> f64 {
    scale_log_uniform(rng.unit(), least, most)
}

/// The number that [`log_uniform`] makes of a sample from 0 to 1.
pub fn scale_log_uniform(unit: f64, least: f64, most: f64) -> f64 {
    least * (most / least).powf(unit)
}

/// One of several values, each as probable as the others.
pub fn choose<T: Copy>(rng: &mut Rng, values: &[T]) -> T {
    values[(rng.unit() * values.len() as f64) as usize]
}
