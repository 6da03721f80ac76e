//! Cluster membership: tracks which routers of a cluster are alive.
//!
//! [`Membership`] is the protocol's state machine, SWIM (Das, Gupta and Motivala, 2002) with incarnations, with
//! suspicions that time out sooner the more members confirm them, and with the local health of Lifeguard (Dadgar,
//! Phillips and Currey, 2018). It does no I/O: its caller passes datagrams and the time, and pulls outputs until there
//! are none. It has no socket and no clock, and its random numbers come from a seed, so that equal inputs give equal
//! outputs.
//!
//! [`MembershipNode`] runs it on an event loop, and [`MessageAuthenticator`] authenticates each datagram, so that
//! datagrams of other clusters and of senders without the key are ignored. Routers do not rely on this package for
//! anything that must not be lost.

#![warn(missing_docs)]

mod config;
mod failure_detector;
mod local_health;
mod member;
mod member_list;
mod membership;
mod message_authenticator;
mod node;
mod output;
mod rumor_queue;
mod sampling;
mod schedule;
mod stats;
mod suspicion;
mod units;

pub use config::MembershipConfig;
pub use member::{digest_part, Member};
pub use membership::anti_entropy::MAX_PAGES;
pub use membership::Membership;
pub use message_authenticator::{AuthError, MessageAuthenticator};
pub use node::MembershipNode;
pub use output::Output;
pub use stats::MembershipStats;
