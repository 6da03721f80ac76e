//! What tests of the router share: customers drawn by chance, a checker that knows the rules and nothing of how a router
//! decides, the texts of the protocol, and processes.

pub mod checker;
pub mod control;
pub mod customer;
pub mod fixture;
pub mod http_messages;
pub mod judge;
pub mod process;
pub mod proxy;
pub mod virtual_time;
pub mod worker;
