//! Random choices.

use tideroute::rng::Rng;

/// Attempts for each wanted member: among few members most attempts repeat one.
const ATTEMPTS_PER_MEMBER: usize = 4;

/// A random number below `bound`, which must not be 0.
pub(crate) fn random_below(rng: &mut Rng, bound: usize) -> usize {
    ((rng.unit() * bound as f64) as usize).min(bound - 1)
}

/// Up to `count` different elements of `slots`, without `excluded`.
pub(crate) fn sample(slots: &[usize], rng: &mut Rng, count: usize, excluded: Option<usize>) -> Vec<usize> {
    let mut sampled = Vec::with_capacity(count);
    for _ in 0..count * ATTEMPTS_PER_MEMBER {
        if sampled.len() == count || slots.is_empty() {
            break;
        }
        let slot = slots[random_below(rng, slots.len())];
        if Some(slot) != excluded && !sampled.contains(&slot) {
            sampled.push(slot);
        }
    }
    sampled
}
