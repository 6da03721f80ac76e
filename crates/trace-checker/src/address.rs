//! Formats socket addresses as text.

use tideroute_wire::Address;

/// Returns the address in the form `127.0.0.1:7000`.
pub fn display_address(address: Address) -> String {
    let [a, b, c, d, port_high, port_low] = address;
    let port = u16::from_be_bytes([port_high, port_low]);
    format!("{a}.{b}.{c}.{d}:{port}")
}
