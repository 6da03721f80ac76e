//! Parses numbers in fields.

/// Parses a decimal number of digits only, without a sign or blanks; `None` if it is malformed or does not fit into a
/// u64.
pub fn number(text: &str) -> Option<u64> {
    let is_decimal = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_decimal {
        return None;
    }
    text.parse().ok()
}
