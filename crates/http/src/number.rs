//! Numbers as the protocol writes them.

/// A decimal number: digits only, no sign, no blank, nothing that does not fit.
pub fn number(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}
