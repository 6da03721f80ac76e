//! The protocol between clients, routers, workers and the list of workers, as a codec without sockets.
//!
//! Each side of a conversation has a module with a trait, whose calls are what that side may hear, a function
//! `hear` that takes one frame apart and makes the one call, and one function for each message that it may
//! say. Messages have no types outside this package. [`frame`] cuts a stream of bytes into frames, [`event_loop`] is
//! what a program sees of its connections, whichever loop drives it, and [`capture`] the record of what passed.

pub mod capture;
pub mod client;
pub mod endpoint_list;
pub mod event_loop;
pub mod frame;
pub mod gossip;
pub mod state_transfer;
pub mod tenant;
pub mod worker;

use bytes::Bytes;
use prost::Message;

#[allow(clippy::doc_markdown, clippy::enum_variant_names)]
mod made {
    include!(concat!(env!("OUT_DIR"), "/tideroute.v1.rs"));
    pub mod record {
        include!(concat!(env!("OUT_DIR"), "/tideroute.v1.record.rs"));
    }
    pub mod fleet {
        include!(concat!(env!("OUT_DIR"), "/tideroute.v1.fleet.rs"));
    }
}

/// The version of the protocol that Hello names.
pub const VERSION: u32 = 2;

/// Microseconds: a moment since 1970, or a length of time.
pub type Micros = u64;

/// Four bytes of IPv4 and two of port, most significant first; as the decision module's worker ids.
pub type Address = [u8; 6];

/// What tells one start of one router's core from every other, ever: 128 bits drawn by the machine. Nobody is
/// asked and no clock is read. Of a billion starts two agree with a chance of 1e-21, where 24 bits of time and
/// process number were seen to agree within one fleet.
pub type Origin = u128;

/// A submission wherever those of several routers meet: whose it is, and its router's own id of it.
pub type GlobalRequestId = (Origin, u64);

/// Who opened a connection, as its Hello says.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Party {
    Client,
    Router,
    Worker,
}

/// Why a frame, or what it holds, can't be taken.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Malformed {
    #[error("the frame is no message of this conversation: {0}")]
    Unreadable(String),
    #[error("the frame holds no message that is known")]
    Empty,
    #[error("a frame of {0} bytes is over the bound of {1}")]
    Oversized(u64, usize),
    #[error("a length takes more than ten bytes")]
    Length,
    #[error("{0} is out of its range")]
    Range(&'static str),
    #[error("{0} must be six bytes of address and port")]
    Address(&'static str),
    #[error("version {0} of the protocol is not spoken here")]
    Version(u32),
    #[error("Hello comes first, and only once")]
    Hello,
    #[error("{0} comes out of order")]
    Order(&'static str),
}

impl From<prost::DecodeError> for Malformed {
    fn from(problem: prost::DecodeError) -> Self {
        Malformed::Unreadable(problem.to_string())
    }
}

fn address(field: &'static str, bytes: &[u8]) -> Result<Address, Malformed> {
    bytes.try_into().map_err(|_| Malformed::Address(field))
}

/// An address that may be left out.
fn address_if_any(field: &'static str, bytes: &[u8]) -> Result<Option<Address>, Malformed> {
    (!bytes.is_empty()).then(|| address(field, bytes)).transpose()
}

fn bytes_of(address: Option<Address>) -> Bytes {
    address.map_or_else(Bytes::new, |a| Bytes::copy_from_slice(&a))
}

fn small<T: TryFrom<u32>>(field: &'static str, value: u32) -> Result<T, Malformed> {
    T::try_from(value).map_err(|_| Malformed::Range(field))
}

fn origin(bytes: &[u8]) -> Result<Origin, Malformed> {
    bytes.try_into().map(Origin::from_be_bytes).map_err(|_| Malformed::Range("origin"))
}

fn bytes_of_origin(origin: Origin) -> Bytes {
    Bytes::copy_from_slice(&origin.to_be_bytes())
}

fn hello(party: Party, name: &str, key: &[u8], origin: Option<Origin>) -> made::Hello {
    let party = match party {
        Party::Client => made::hello::Party::Client,
        Party::Router => made::hello::Party::Router,
        Party::Worker => made::hello::Party::Worker,
    };
    let key = Bytes::copy_from_slice(key);
    let origin = origin.map_or_else(Bytes::new, bytes_of_origin);
    made::Hello { party: party.into(), name: name.to_string(), version: VERSION, key, origin }
}

fn party(hello: &made::Hello) -> Result<Party, Malformed> {
    if hello.version != VERSION {
        return Err(Malformed::Version(hello.version));
    }
    match made::hello::Party::try_from(hello.party) {
        Ok(made::hello::Party::Client) => Ok(Party::Client),
        Ok(made::hello::Party::Router) => Ok(Party::Router),
        Ok(made::hello::Party::Worker) => Ok(Party::Worker),
        _ => Err(Malformed::Range("party")),
    }
}

/// The first frame on a connection that was accepted. Hello has the same field in every conversation, so who
/// speaks is known before the conversation is.
pub fn first(frame: &[u8]) -> Result<(Party, String, Bytes), Malformed> {
    match made::FromFetcher::decode(frame)?.said {
        Some(made::from_fetcher::Said::Hello(h)) if h.key.len() > 256 => Err(Malformed::Range("key")),
        Some(made::from_fetcher::Said::Hello(h)) if h.name.len() <= 256 => Ok((party(&h)?, h.name, h.key)),
        Some(made::from_fetcher::Said::Hello(_)) => Err(Malformed::Range("name")),
        _ => Err(Malformed::Hello),
    }
}

/// The Hello with which the opener of any connection begins.
pub fn say_hello(who: Party, name: &str) -> Bytes {
    say_hello_with(who, name, &[])
}

/// A client's Hello with its tenant's key.
pub fn say_hello_with(who: Party, name: &str, key: &[u8]) -> Bytes {
    framed(hello(who, name, key, None))
}

/// A router's Hello, which says whose the ids are that follow.
pub fn say_router(name: &str, origin: Origin) -> Bytes {
    framed(hello(Party::Router, name, &[], Some(origin)))
}

fn framed(hello: made::Hello) -> Bytes {
    made::FromFetcher { said: Some(made::from_fetcher::Said::Hello(hello)) }.encode_to_vec().into()
}

/// Whose the ids on a connection are, by the Hello with which its router began.
pub fn origin_of(frame: &[u8]) -> Result<Origin, Malformed> {
    match made::FromFetcher::decode(frame)?.said {
        Some(made::from_fetcher::Said::Hello(h)) => origin(&h.origin),
        _ => Err(Malformed::Hello),
    }
}
