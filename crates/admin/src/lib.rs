//! The administration API of the tenant store: HTTP/1.1 with JSON.
//!
//! [`Api`] handles one request at a time and uses neither sockets nor a clock. [`AdminServer`] serves it on the
//! connections of an event loop, and passes each change to a callback once the store has confirmed the change.
//!
//! `docs/api.md` lists the resources and the status codes. HTTP follows RFC 9110 and RFC 9112, error responses follow
//! RFC 9457.

#![warn(missing_docs)]

mod administrator;
mod api;
mod api_error;
mod pagination;
mod precondition;
mod request;
mod response;
mod server;
mod tenant_statistics;

pub use administrator::{Administrator, Role};
pub use api::{Api, Handled};
pub use request::Request;
pub use response::Response;
pub use server::AdminServer;
