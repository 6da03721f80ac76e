//! What tests of the router share.
//!
//! - [`deployment`]: deployments generated at random over the ranges that the operators' protocol allows, with their
//!   [`request_class`]es and [`worker_spec`]s;
//! - [`checker`]: a plain model of the rules, which knows nothing of how a router decides; [`monitor`] runs it in real
//!   time and [`monitor_channel`] connects other processes to it;
//! - [`emulated_worker`] and [`proxy`]: workers on real sockets, and what stands between them and a router;
//! - [`fixture`], [`http_messages`], [`virtual_time`], [`process`]: one fixed deployment, and the small things of tests.

#![warn(missing_docs)]

pub mod checker;
pub mod deployment;
pub mod emulated_worker;
pub mod fixture;
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
