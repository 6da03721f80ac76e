//! Parses and encodes HTTP/1.1 messages (RFC 9110 and 9112) without I/O.
//!
//! [`request`] and [`response`] parse a head within [`Limits`]. A [`Body`] reads the body, whose end is determined by
//! its [`Framing`], from a receive buffer. The functions of [`mod@write`] encode messages. A message that two parsers
//! could read in different ways is rejected with an [`HttpError`].

#![warn(missing_docs)]

mod body;
mod error;
mod fields;
mod head;
mod limits;
mod number;
pub mod write;

pub use body::Body;
pub use error::HttpError;
pub use fields::{Fields, Framing};
pub use head::{request, response, Request, Response};
pub use limits::Limits;
pub use number::number;
