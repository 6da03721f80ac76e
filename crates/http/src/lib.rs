//! HTTP/1.1 as bytes, without I/O (RFC 9110 and 9112). [`request`] and [`answer`] read one head within
//! [`Bounds`], a [`Body`] takes the body that its [`Framing`] tells out of what has arrived, and the functions of
//! [`write`] make bytes. What two readers could read in two ways is a [`Problem`], never a guess.

mod body;
mod head;
mod number;
mod problem;
pub mod write;

pub use body::Body;
pub use head::{answer, request, Answer, Bounds, Fields, Framing, Request};
pub use number::number;
pub use problem::Problem;
