//! Tests that the same prompt always gives the same KV state and response. Clients check responses against KV state
//! that they generate themselves, including responses in captures of earlier versions.

use tideroute_emulator::kv_state;

const PROMPT: &[u8] = b"a prompt";
const PROMPT_TOKENS: u32 = 100;
const BYTES_PER_TOKEN: u32 = 16;

#[test]
fn state_of_a_prompt_has_known_bytes() {
    let state = kv_state::generate(PROMPT, PROMPT_TOKENS, BYTES_PER_TOKEN);
    assert_eq!(state.len(), 1600);
    assert_eq!(crc32fast::hash(&state), 0xf8b6_a2c8);
    assert_eq!(state[..8], [85, 17, 19, 16, 110, 73, 28, 12]);
    assert_ne!(state, kv_state::generate(b"another prompt", PROMPT_TOKENS, BYTES_PER_TOKEN));
}

#[test]
fn response_to_a_state_has_known_length_and_text() {
    assert_eq!(kv_state::response_tokens(0x1234_5678, 100), 93);
    assert_eq!(kv_state::token_text(0x1234_5678, 3), [160, 116, 48, 231, 135, 238, 187, 143]);
}

#[test]
fn response_has_at_least_one_and_at_most_max_tokens() {
    for state_crc in (0..=u32::MAX).step_by(9_999_991) {
        for max_tokens in [0, 1, 7, 1000] {
            let tokens = kv_state::response_tokens(state_crc, max_tokens);
            assert!((1..=max_tokens.max(1)).contains(&tokens), "{tokens} of {max_tokens}");
        }
    }
}
