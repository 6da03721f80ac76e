//! The Hello, the first message of every connection, which identifies the party that opened it.

use bytes::Bytes;
use prost::Message;

use crate::fields::{decode_origin, encode_origin};
use crate::generated::{self, from_fetcher, FromFetcher};
use crate::{Malformed, Origin};

/// The protocol version, sent in every Hello.
pub const VERSION: u32 = 2;

/// Longest name in a Hello, in bytes.
const MAX_NAME_LENGTH: usize = 256;
/// Longest key in a Hello, in bytes.
const MAX_KEY_LENGTH: usize = 256;

/// The party that opened a connection, as its Hello says.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Party {
    /// A client, which sends requests to a router.
    Client,
    /// A router, which connects to workers and to the endpoint list.
    Router,
    /// A worker, which registers with the endpoint list or fetches KV state from another worker.
    Worker,
}

/// Encodes a Hello without a key and without an origin.
pub fn say_hello(party: Party, name: &str) -> Bytes {
    say_hello_with(party, name, &[])
}

/// Encodes a Hello with the key of the client's tenant.
pub fn say_hello_with(party: Party, name: &str, key: &[u8]) -> Bytes {
    encode(party, name, key, None)
}

/// Encodes the Hello of a router, with the origin of the request ids that it sends on the connection.
pub fn say_router(name: &str, origin: Origin) -> Bytes {
    encode(Party::Router, name, &[], Some(origin))
}

/// Decodes the first frame on an accepted connection: the party that opened it, its name and its key.
///
/// The Hello has the same field number in every conversation, so it can be decoded before the conversation is known.
pub fn first(frame: &[u8]) -> Result<(Party, String, Bytes), Malformed> {
    let hello = decode(frame)?;
    if hello.key.len() > MAX_KEY_LENGTH {
        return Err(Malformed::Range("key"));
    }
    if hello.name.len() > MAX_NAME_LENGTH {
        return Err(Malformed::Range("name"));
    }
    Ok((decode_party(&hello)?, hello.name, hello.key))
}

/// Decodes the origin of the request ids on a connection from the router's Hello.
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
