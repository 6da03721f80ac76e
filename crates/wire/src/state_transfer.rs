//! The conversation of a decode worker, which fetches KV state, with the prefill worker that has it.
//!
//! KV state moves in chunks, each with its own checksum (CRC-32), and is complete when the checksum over all of it
//! agrees too.

use bytes::Bytes;
use prost::Message;

use crate::fields::{decode_origin, encode_origin};
use crate::generated::{self, from_fetcher, to_fetcher, FromFetcher, ToFetcher};
use crate::{GlobalRequestId, Malformed};

/// What a prefill worker receives from a fetcher after its Hello.
pub trait Reader {
    /// Send the KV state of a request.
    fn fetch(&mut self, id: GlobalRequestId) -> Result<(), Malformed>;
    /// The KV state has arrived completely; it need not be kept.
    fn fetched(&mut self, id: GlobalRequestId) -> Result<(), Malformed>;
    /// Stop sending the KV state, but keep it.
    fn cancel_fetch(&mut self, id: GlobalRequestId) -> Result<(), Malformed>;
}

/// What a fetcher receives from a prefill worker.
pub trait Fetcher {
    /// A chunk of the KV state at that offset, with its checksum.
    fn chunk(&mut self, id: GlobalRequestId, offset: u64, part: Bytes, crc: u32) -> Result<(), Malformed>;
    /// All chunks have been sent; the size and checksum of the complete KV state.
    fn complete(&mut self, id: GlobalRequestId, state_bytes: u64, crc: u32) -> Result<(), Malformed>;
    /// The prefill worker does not have the KV state.
    fn missing(&mut self, id: GlobalRequestId) -> Result<(), Malformed>;
}

/// Decodes a frame from a fetcher and makes the call that it stands for.
pub fn receive_from_fetcher(frame: &Bytes, reader: &mut impl Reader) -> Result<(), Malformed> {
    match FromFetcher::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        from_fetcher::Said::Hello(_) => Err(Malformed::Hello),
        from_fetcher::Said::Fetch(fetch) => reader.fetch(decode_id(&fetch.origin, fetch.id)?),
        from_fetcher::Said::Fetched(fetched) => reader.fetched(decode_id(&fetched.origin, fetched.id)?),
        from_fetcher::Said::Unfetch(cancel) => reader.cancel_fetch(decode_id(&cancel.origin, cancel.id)?),
    }
}

/// Decodes a frame from a prefill worker and makes the call that it stands for.
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

/// The message that calls [`Reader::fetch`].
pub fn fetch(GlobalRequestId { origin, local_id: id }: GlobalRequestId) -> Bytes {
    from_fetcher(from_fetcher::Said::Fetch(generated::Fetch { id, origin: encode_origin(origin) }))
}

/// The message that calls [`Reader::fetched`].
pub fn fetched(GlobalRequestId { origin, local_id: id }: GlobalRequestId) -> Bytes {
    from_fetcher(from_fetcher::Said::Fetched(generated::Fetched { id, origin: encode_origin(origin) }))
}

/// The message that calls [`Reader::cancel_fetch`].
pub fn cancel_fetch(GlobalRequestId { origin, local_id: id }: GlobalRequestId) -> Bytes {
    from_fetcher(from_fetcher::Said::Unfetch(generated::Unfetch { id, origin: encode_origin(origin) }))
}

/// The message that calls [`Fetcher::chunk`].
pub fn chunk(
    GlobalRequestId { origin, local_id: id }: GlobalRequestId,
    offset: u64,
    part: Bytes,
    crc: u32,
) -> Bytes {
    let origin = encode_origin(origin);
    to_fetcher(to_fetcher::Said::Chunk(generated::Chunk { id, offset, part, crc, origin }))
}

/// The message that calls [`Fetcher::complete`].
pub fn complete(
    GlobalRequestId { origin, local_id: id }: GlobalRequestId,
    state_bytes: u64,
    crc: u32,
) -> Bytes {
    let origin = encode_origin(origin);
    to_fetcher(to_fetcher::Said::Whole(generated::Whole { id, state_bytes, crc, origin }))
}

/// The message that calls [`Fetcher::missing`].
pub fn missing(GlobalRequestId { origin, local_id: id }: GlobalRequestId) -> Bytes {
    to_fetcher(to_fetcher::Said::Missing(generated::Missing { id, origin: encode_origin(origin) }))
}

fn from_fetcher(message: from_fetcher::Said) -> Bytes {
    FromFetcher { said: Some(message) }.encode_to_vec().into()
}

fn to_fetcher(message: to_fetcher::Said) -> Bytes {
    ToFetcher { said: Some(message) }.encode_to_vec().into()
}
