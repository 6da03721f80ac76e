//! The administration API: HTTP/1.1 with JSON over the record of tenants. [`Admin`] is a program for the loop, on
//! raw connections; [`Api`] answers one request and has neither socket nor clock. What was changed is handed to
//! the function that the program was given, after the store confirmed it.
//!
//! What it offers, with each status: `docs/api.md`. HTTP: RFC 9110 and 9112; problems: RFC 9457.

mod api;
mod http;
mod problem;
mod program;

pub use api::{Administrator, Api, Role};
pub use http::{Reply, Request};
pub use program::Admin;
