//! Encoding, decoding and validation of fields that several messages share.

use bytes::Bytes;

use crate::{Address, Malformed, Origin};

pub(crate) fn decode_address(field: &'static str, bytes: &[u8]) -> Result<Address, Malformed> {
    bytes.try_into().map_err(|_| Malformed::Address(field))
}

/// Decodes an optional address: `None` if there are no bytes.
pub(crate) fn decode_optional_address(
    field: &'static str,
    bytes: &[u8],
) -> Result<Option<Address>, Malformed> {
    if bytes.is_empty() {
        return Ok(None);
    }
    decode_address(field, bytes).map(Some)
}

pub(crate) fn encode_address(address: Address) -> Bytes {
    Bytes::copy_from_slice(&address)
}

/// Encodes an optional address: no bytes for `None`.
pub(crate) fn encode_optional_address(address: Option<Address>) -> Bytes {
    address.map_or_else(Bytes::new, encode_address)
}

/// Converts a number that is sent in a wider field than its values need.
pub(crate) fn decode_small<T: TryFrom<u32>>(field: &'static str, value: u32) -> Result<T, Malformed> {
    T::try_from(value).map_err(|_| Malformed::Range(field))
}

pub(crate) fn decode_origin(bytes: &[u8]) -> Result<Origin, Malformed> {
    bytes.try_into().map(Origin::from_be_bytes).map_err(|_| Malformed::Range("origin"))
}

pub(crate) fn encode_origin(origin: Origin) -> Bytes {
    Bytes::copy_from_slice(&origin.to_be_bytes())
}
