//! Random sampling of members.

use tideroute::rng::Rng;

/// Random draws for each member to be sampled. With few members, most draws repeat an earlier one.
const DRAWS_PER_MEMBER: usize = 4;

/// Returns a random number below `bound`, which must not be 0.
pub(crate) fn random_below(rng: &mut Rng, bound: usize) -> usize {
    ((rng.unit() * bound as f64) as usize).min(bound - 1)
}

/// Returns up to `count` distinct random elements of `slots`, without `excluded`.
pub(crate) fn sample(slots: &[usize], rng: &mut Rng, count: usize, excluded: Option<usize>) -> Vec<usize> {
    let mut sampled = Vec::with_capacity(count);
    for _ in 0..count * DRAWS_PER_MEMBER {
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
