//! HTTP/1.1 as bytes, without I/O (RFC 9110 and 9112).
//!
//! [`request`] and [`response`] parse one head within [`Limits`], a [`Body`] takes the body, whose end its [`Framing`]
//! tells, out of what has arrived, and the functions of [`mod@write`] encode messages. A message that two
//! parsers could read in two ways is an [`HttpError`], never a guess.

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
