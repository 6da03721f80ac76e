//! Tests of the membership protocol through its public interface.

mod claims;
mod malformed_datagrams;
mod message_authentication;
mod support;
