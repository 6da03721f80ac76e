//! What a stand-in's read state is made of: bytes that follow from the prompt alone, so that a client can tell
//! from an answer's tokens whether the state behind it was whole.

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The state of a prompt, so many bytes for each of its tokens.
pub fn make(prompt: &[u8], prompt_tokens: u32, bytes_a_token: u32) -> Bytes {
    let mut state = vec![0; prompt_tokens as usize * bytes_a_token as usize];
    Pcg64Mcg::seed_from_u64(u64::from(crc32fast::hash(prompt))).fill_bytes(&mut state);
    state.into()
}

/// How many tokens the answer to a state has, from 1 to `most`.
pub fn answer_tokens(state_crc: u32, most: u32) -> u32 {
    // Its low bits chose the text; the middle ones choose the length.
    1 + (state_crc >> 7) % most.max(1)
}

/// The text of one token of the answer.
pub fn text(state_crc: u32, index: u32) -> [u8; 8] {
    let word = u64::from(state_crc) << 32 | u64::from(index);
    word.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29).to_le_bytes()
}
