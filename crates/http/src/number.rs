//! Numbers as the protocol writes them.

/// Parses a decimal number: digits only, no sign, no blank, nothing that does not fit.
pub fn number(text: &str) -> Option<u64> {
    let is_decimal = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_decimal {
        return None;
    }
    text.parse().ok()
}
