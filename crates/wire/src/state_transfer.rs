//! A writer, the fetcher, and the reader that holds a state. A state moves in chunks, each with its own
//! checksum (CRC-32), and is whole when the checksum over all of it agrees too.

use bytes::Bytes;
use prost::Message;

use crate::made::{self, from_fetcher, to_fetcher, FromFetcher, ToFetcher};
use crate::{bytes_of_origin, origin, GlobalRequestId, Malformed};

/// What a reader hears from a fetcher after its Hello.
pub trait Reader {
    fn fetch(&mut self, id: GlobalRequestId) -> Result<(), Malformed>;
    fn fetched(&mut self, id: GlobalRequestId) -> Result<(), Malformed>;
    fn cancel_fetch(&mut self, id: GlobalRequestId) -> Result<(), Malformed>;
}

/// What a fetcher hears from a reader.
pub trait Fetcher {
    fn chunk(&mut self, id: GlobalRequestId, offset: u64, part: Bytes, crc: u32) -> Result<(), Malformed>;
    fn complete(&mut self, id: GlobalRequestId, state_bytes: u64, crc: u32) -> Result<(), Malformed>;
    fn missing(&mut self, id: GlobalRequestId) -> Result<(), Malformed>;
}

/// Takes one frame from a fetcher and makes the call that it stands for.
pub fn receive_from_fetcher(frame: &Bytes, reader: &mut impl Reader) -> Result<(), Malformed> {
    match FromFetcher::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        from_fetcher::Said::Hello(_) => Err(Malformed::Hello),
        from_fetcher::Said::Fetch(f) => reader.fetch((origin(&f.origin)?, f.id)),
        from_fetcher::Said::Fetched(f) => reader.fetched((origin(&f.origin)?, f.id)),
        from_fetcher::Said::Unfetch(f) => reader.cancel_fetch((origin(&f.origin)?, f.id)),
    }
}

/// Takes one frame from a reader and makes the call that it stands for.
pub fn receive_from_source(frame: &Bytes, fetcher: &mut impl Fetcher) -> Result<(), Malformed> {
    match ToFetcher::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        to_fetcher::Said::Chunk(c) => fetcher.chunk((origin(&c.origin)?, c.id), c.offset, c.part, c.crc),
        to_fetcher::Said::Whole(w) => fetcher.complete((origin(&w.origin)?, w.id), w.state_bytes, w.crc),
        to_fetcher::Said::Missing(m) => fetcher.missing((origin(&m.origin)?, m.id)),
    }
}

pub fn fetch((whose, id): GlobalRequestId) -> Bytes {
    from_fetcher(from_fetcher::Said::Fetch(made::Fetch { id, origin: bytes_of_origin(whose) }))
}

pub fn fetched((whose, id): GlobalRequestId) -> Bytes {
    from_fetcher(from_fetcher::Said::Fetched(made::Fetched { id, origin: bytes_of_origin(whose) }))
}

pub fn cancel_fetch((whose, id): GlobalRequestId) -> Bytes {
    from_fetcher(from_fetcher::Said::Unfetch(made::Unfetch { id, origin: bytes_of_origin(whose) }))
}

pub fn chunk((whose, id): GlobalRequestId, offset: u64, part: Bytes, crc: u32) -> Bytes {
    to_fetcher(to_fetcher::Said::Chunk(made::Chunk { id, offset, part, crc, origin: bytes_of_origin(whose) }))
}

pub fn complete((whose, id): GlobalRequestId, state_bytes: u64, crc: u32) -> Bytes {
    to_fetcher(to_fetcher::Said::Whole(made::Whole { id, state_bytes, crc, origin: bytes_of_origin(whose) }))
}

pub fn missing((whose, id): GlobalRequestId) -> Bytes {
    to_fetcher(to_fetcher::Said::Missing(made::Missing { id, origin: bytes_of_origin(whose) }))
}

fn from_fetcher(said: from_fetcher::Said) -> Bytes {
    FromFetcher { said: Some(said) }.encode_to_vec().into()
}

fn to_fetcher(said: to_fetcher::Said) -> Bytes {
    ToFetcher { said: Some(said) }.encode_to_vec().into()
}
