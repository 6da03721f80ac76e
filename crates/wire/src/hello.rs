//! The first message of every connection, which says who opened it.

use bytes::Bytes;
use prost::Message;

use crate::fields::{decode_origin, encode_origin};
use crate::generated::{self, from_fetcher, FromFetcher};
use crate::{Malformed, Origin};

/// The version of the protocol that a Hello names.
pub const VERSION: u32 = 2;

/// Bytes of the longest name in a Hello.
const MAX_NAME: usize = 256;
/// Bytes of the longest key in a Hello.
const MAX_KEY: usize = 256;

/// Who opened a connection, as its Hello says.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Party {
    /// A client, which sends requests to a router.
    Client,
    /// A router, which connects to workers and to the endpoint list.
    Router,
    /// A worker, which registers with the endpoint list or fetches KV state from another worker.
    Worker,
}

/// The Hello with which the opener of any connection begins.
pub fn say_hello(party: Party, name: &str) -> Bytes {
    say_hello_with(party, name, &[])
}

/// A client's Hello with its tenant's key.
pub fn say_hello_with(party: Party, name: &str, key: &[u8]) -> Bytes {
    encode(party, name, key, None)
}

/// A router's Hello, which names the origin of the request ids that follow.
pub fn say_router(name: &str, origin: Origin) -> Bytes {
    encode(Party::Router, name, &[], Some(origin))
}

/// Reads the first frame on an accepted connection: who opened it, its name and its key.
///
/// Hello has the same field in every conversation, so the party is known before the conversation is.
pub fn first(frame: &[u8]) -> Result<(Party, String, Bytes), Malformed> {
    let hello = decode(frame)?;
    if hello.key.len() > MAX_KEY {
        return Err(Malformed::Range("key"));
    }
    if hello.name.len() > MAX_NAME {
        return Err(Malformed::Range("name"));
    }
    Ok((decode_party(&hello)?, hello.name, hello.key))
}

/// The origin of the request ids on a connection, by the Hello with which its router began.
pub fn origin_of(frame: &[u8]) -> Result<Origin, Malformed> {
    decode_origin(&decode(frame)?.origin)
}

fn encode(party: Party, name: &str, key: &[u8], origin: Option<Origin>) -> Bytes {
    let party = match party {
        Party::Client => generated::hello::Party::Client,
        Party::Router => generated::hello::Party::Router,
        Party::Worker => generated::hello::Party::Worker,
    };
    let hello = generated::Hello {
        party: party.into(),
        name: name.to_string(),
        version: VERSION,
        key: Bytes::copy_from_slice(key),
        origin: origin.map_or_else(Bytes::new, encode_origin),
    };
    FromFetcher { said: Some(from_fetcher::Said::Hello(hello)) }.encode_to_vec().into()
}

fn decode(frame: &[u8]) -> Result<generated::Hello, Malformed> {
    match FromFetcher::decode(frame)?.said {
        Some(from_fetcher::Said::Hello(hello)) => Ok(hello),
        _ => Err(Malformed::Hello),
    }
}

fn decode_party(hello: &generated::Hello) -> Result<Party, Malformed> {
    if hello.version != VERSION {
        return Err(Malformed::Version(hello.version));
    }
    match generated::hello::Party::try_from(hello.party) {
        Ok(generated::hello::Party::Client) => Ok(Party::Client),
        Ok(generated::hello::Party::Router) => Ok(Party::Router),
        Ok(generated::hello::Party::Worker) => Ok(Party::Worker),
        _ => Err(Malformed::Range("party")),
    }
}
