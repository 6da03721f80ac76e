//! The conversation between a decode worker, which fetches KV state, and the prefill worker that has it.
//!
//! KV state is sent in chunks, each with its own checksum (CRC-32). The transfer is complete when the checksum over all
//! of the state matches, too.

use bytes::Bytes;
use prost::Message;

use crate::fields::{decode_origin, encode_origin};
use crate::generated::{self, from_fetcher, to_fetcher, FromFetcher, ToFetcher};
use crate::{GlobalRequestId, Malformed};

/// The messages that a prefill worker receives from a fetcher after its Hello.
pub trait Reader {
    /// The prefill worker is to send the KV state of a request.
    fn fetch(&mut self, id: GlobalRequestId) -> Result<(), Malformed>;
    /// The KV state has arrived completely; the prefill worker may discard it.
    fn fetched(&mut self, id: GlobalRequestId) -> Result<(), Malformed>;
    /// The prefill worker is to stop sending the KV state, but to keep it.
    fn cancel_fetch(&mut self, id: GlobalRequestId) -> Result<(), Malformed>;
}

/// The messages that a fetcher receives from a prefill worker.
pub trait Fetcher {
    /// A chunk of the KV state, with its offset in bytes and its checksum.
    fn chunk(&mut self, id: GlobalRequestId, offset: u64, data: Bytes, crc: u32) -> Result<(), Malformed>;
    /// All chunks have been sent. `state_bytes` and `crc` are the size and checksum of the complete KV state.
    fn complete(&mut self, id: GlobalRequestId, state_bytes: u64, crc: u32) -> Result<(), Malformed>;
    /// The prefill worker does not have the KV state.
    fn missing(&mut self, id: GlobalRequestId) -> Result<(), Malformed>;
}

/// Decodes a frame from a fetcher and calls the method for its message.
pub fn receive_from_fetcher(frame: &Bytes, reader: &mut impl Reader) -> Result<(), Malformed> {
    match FromFetcher::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        from_fetcher::Said::Hello(_) => Err(Malformed::Hello),
        from_fetcher::Said::Fetch(fetch) => reader.fetch(decode_id(&fetch.origin, fetch.id)?),
        from_fetcher::Said::Fetched(fetched) => reader.fetched(decode_id(&fetched.origin, fetched.id)?),
        from_fetcher::Said::Unfetch(cancel) => reader.cancel_fetch(decode_id(&cancel.origin, cancel.id)?),
    }
}

/// Decodes a frame from a prefill worker and calls the method for its message.
pub fn receive_from_source(frame: &Bytes, fetcher: &mut impl Fetcher) -> Result<(), Malformed> {
    match ToFetcher::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        to_fetcher::Said::Chunk(chunk) => {
            fetcher.chunk(decode_id(&chunk.origin, chunk.id)?, chunk.offset, chunk.part, chunk.crc)
        }
        to_fetcher::Said::Whole(complete) => {
            let id = decode_id(&complete.origin, complete.id)?;
            fetcher.complete(id, complete.state_bytes, complete.crc)
        }
        to_fetcher::Said::Missing(missing) => fetcher.missing(decode_id(&missing.origin, missing.id)?),
    }
}

fn decode_id(origin: &[u8], id: u64) -> Result<GlobalRequestId, Malformed> {
    Ok(GlobalRequestId { origin: decode_origin(origin)?, local_id: id })
}

/// Encodes the message that calls [`Reader::fetch`].
pub fn fetch(GlobalRequestId { origin, local_id: id }: GlobalRequestId) -> Bytes {
    from_fetcher(from_fetcher::Said::Fetch(generated::Fetch { id, origin: encode_origin(origin) }))
}

/// Encodes the message that calls [`Reader::fetched`].
pub fn fetched(GlobalRequestId { origin, local_id: id }: GlobalRequestId) -> Bytes {
    from_fetcher(from_fetcher::Said::Fetched(generated::Fetched { id, origin: encode_origin(origin) }))
}

/// Encodes the message that calls [`Reader::cancel_fetch`].
pub fn cancel_fetch(GlobalRequestId { origin, local_id: id }: GlobalRequestId) -> Bytes {
    from_fetcher(from_fetcher::Said::Unfetch(generated::Unfetch { id, origin: encode_origin(origin) }))
}

/// Encodes the message that calls [`Fetcher::chunk`].
pub fn chunk(
    GlobalRequestId { origin, local_id: id }: GlobalRequestId,
    offset: u64,
    data: Bytes,
    crc: u32,
) -> Bytes {
    let origin = encode_origin(origin);
    to_fetcher(to_fetcher::Said::Chunk(generated::Chunk { id, offset, part: data, crc, origin }))
}

/// Encodes the message that calls [`Fetcher::complete`].
pub fn complete(
    GlobalRequestId { origin, local_id: id }: GlobalRequestId,
    state_bytes: u64,
    crc: u32,
) -> Bytes {
    let origin = encode_origin(origin);
    to_fetcher(to_fetcher::Said::Whole(generated::Whole { id, state_bytes, crc, origin }))
}

/// Encodes the message that calls [`Fetcher::missing`].
pub fn missing(GlobalRequestId { origin, local_id: id }: GlobalRequestId) -> Bytes {
    to_fetcher(to_fetcher::Said::Missing(generated::Missing { id, origin: encode_origin(origin) }))
}

fn from_fetcher(message: from_fetcher::Said) -> Bytes {
    FromFetcher { said: Some(message) }.encode_to_vec().into()
}

fn to_fetcher(message: to_fetcher::Said) -> Bytes {
    ToFetcher { said: Some(message) }.encode_to_vec().into()
}
