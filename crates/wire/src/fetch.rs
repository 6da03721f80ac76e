//! A writer, the fetcher, and the reader that holds a state. A state moves in chunks, each with its own
//! checksum (CRC-32), and is whole when the checksum over all of it agrees too.

use bytes::Bytes;
use prost::Message;

use crate::made::{self, from_fetcher, to_fetcher, FromFetcher, ToFetcher};
use crate::Malformed;

/// What a reader hears from a fetcher after its Hello.
pub trait Reader {
    fn fetch(&mut self, id: u64) -> Result<(), Malformed>;
    fn fetched(&mut self, id: u64) -> Result<(), Malformed>;
    fn unfetch(&mut self, id: u64) -> Result<(), Malformed>;
}

/// What a fetcher hears from a reader.
pub trait Fetcher {
    fn chunk(&mut self, id: u64, offset: u64, part: Bytes, crc: u32) -> Result<(), Malformed>;
    fn whole(&mut self, id: u64, state_bytes: u64, crc: u32) -> Result<(), Malformed>;
    fn missing(&mut self, id: u64) -> Result<(), Malformed>;
}

/// Takes one frame from a fetcher and makes the call that it stands for.
pub fn hear_fetcher(frame: &Bytes, reader: &mut impl Reader) -> Result<(), Malformed> {
    match FromFetcher::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        from_fetcher::Said::Hello(_) => Err(Malformed::Hello),
        from_fetcher::Said::Fetch(f) => reader.fetch(f.id),
        from_fetcher::Said::Fetched(f) => reader.fetched(f.id),
        from_fetcher::Said::Unfetch(f) => reader.unfetch(f.id),
    }
}

/// Takes one frame from a reader and makes the call that it stands for.
pub fn hear_reader(frame: &Bytes, fetcher: &mut impl Fetcher) -> Result<(), Malformed> {
    match ToFetcher::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        to_fetcher::Said::Chunk(c) => fetcher.chunk(c.id, c.offset, c.part, c.crc),
        to_fetcher::Said::Whole(w) => fetcher.whole(w.id, w.state_bytes, w.crc),
        to_fetcher::Said::Missing(m) => fetcher.missing(m.id),
    }
}

pub fn fetch(id: u64) -> Bytes {
    from_fetcher(from_fetcher::Said::Fetch(made::Fetch { id }))
}

pub fn fetched(id: u64) -> Bytes {
    from_fetcher(from_fetcher::Said::Fetched(made::Fetched { id }))
}

pub fn unfetch(id: u64) -> Bytes {
    from_fetcher(from_fetcher::Said::Unfetch(made::Unfetch { id }))
}

pub fn chunk(id: u64, offset: u64, part: Bytes, crc: u32) -> Bytes {
    to_fetcher(to_fetcher::Said::Chunk(made::Chunk { id, offset, part, crc }))
}

pub fn whole(id: u64, state_bytes: u64, crc: u32) -> Bytes {
    to_fetcher(to_fetcher::Said::Whole(made::Whole { id, state_bytes, crc }))
}

pub fn missing(id: u64) -> Bytes {
    to_fetcher(to_fetcher::Said::Missing(made::Missing { id }))
}

fn from_fetcher(said: from_fetcher::Said) -> Bytes {
    FromFetcher { said: Some(said) }.encode_to_vec().into()
}

fn to_fetcher(said: to_fetcher::Said) -> Bytes {
    ToFetcher { said: Some(said) }.encode_to_vec().into()
}
