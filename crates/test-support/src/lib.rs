//! Code that several tests of the router share.
//!
//! - [`deployment`]: deployments generated at random within the ranges that the operators' protocol allows, with their
//!   [`request_class`]es and [`worker_spec`]s;
//! - [`checker`]: a simple model of the rules that every router must keep, independent of how a router makes its
//!   decisions; [`monitor`] runs it in real time and [`monitor_channel`] connects other processes to it;
//! - [`emulated_worker`] and [`proxy`]: workers on real sockets, and proxies between them and a router;
//! - [`fixture`], [`http_messages`], [`http_connection`], [`virtual_time`], [`process`]: a fixed deployment, HTTP messages
//!   and connections, times and addresses in virtual time, and child processes.

#![warn(missing_docs)]

pub mod checker;
pub mod deployment;
pub mod emulated_worker;
pub mod fixture;
pub mod http_connection;
pub mod http_messages;
pub mod monitor;
pub mod monitor_channel;
pub mod process;
pub mod proxy;
pub mod random;
pub mod request_class;
mod request_record;
pub mod violation;
pub mod virtual_time;
pub mod worker_event;
pub mod worker_spec;
