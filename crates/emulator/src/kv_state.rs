//! The KV state that emulated workers transfer. The prompt alone determines the state, and the state determines the
//! response, so that a client can tell from the tokens of a response whether the decode worker had the complete state.

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The response length is computed from the bits of the checksum above this one.
const LENGTH_SHIFT: u32 = 7;
/// Multiplier that spreads the bits of a checksum and a token index over the token text: 2^64 divided by the golden
/// ratio.
const MIXING_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
const MIXING_ROTATION: u32 = 29;

/// Generates the KV state of a prompt.
pub fn generate(prompt: &[u8], prompt_tokens: u32, bytes_per_token: u32) -> Bytes {
    let mut state = vec![0; prompt_tokens as usize * bytes_per_token as usize];
    let seed = u64::from(crc32fast::hash(prompt));
    Pcg64Mcg::seed_from_u64(seed).fill_bytes(&mut state);
    state.into()
}

/// Returns the number of tokens of the response to a KV state with this checksum, from 1 to `max_tokens`.
pub fn response_tokens(state_crc: u32, max_tokens: u32) -> u32 {
    1 + (state_crc >> LENGTH_SHIFT) % max_tokens.max(1)
}

/// Returns the text of the token at `index` of the response.
pub fn token_text(state_crc: u32, index: u32) -> [u8; 8] {
    let mixed = u64::from(state_crc) << 32 | u64::from(index);
    mixed.wrapping_mul(MIXING_FACTOR).rotate_left(MIXING_ROTATION).to_le_bytes()
}
