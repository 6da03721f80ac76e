//! The membership protocol, by its public interface.

mod claims;
mod malformed_datagrams;
mod message_authentication;
mod support;
