//! The administration API: HTTP/1.1 with JSON over the store of tenants.
//!
//! [`Api`] handles one request and has neither sockets nor a clock. [`AdminServer`] runs it on an event loop, on raw
//! connections, and passes each change to its callback once the store has confirmed it.
//!
//! `docs/api.md` lists the resources and the status codes. HTTP follows RFC 9110 and RFC 9112, errors RFC 9457.

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
