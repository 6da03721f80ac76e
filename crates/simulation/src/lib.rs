//! Client load, and scenarios on real processes or in virtual time.
//!
//! [`client_load::Load`] is an [`EventHandler`](tideroute_wire::event_loop::EventHandler) that sends the requests of
//! clients in open loop: the time of each request is planned in advance and never depends on a response.
//! [`scenario::play`] starts the processes of a scenario on free loopback ports, injects its faults, collects the
//! capture of their traffic, and checks the rules on it. [`simulator::Simulator`] runs the same programs in virtual
//! time, in one process and from one seed; [`virtual_scenario::play`] plays a whole scenario in it.

#![warn(missing_docs)]

mod capture_merge;
pub mod client_load;
pub mod convert;
pub mod direct_load;
pub mod faults;
pub mod hop_latencies;
pub mod load_statistics;
pub mod member_cluster;
pub mod prefill_policies;
mod process_configs;
pub mod processes;
mod relays;
pub mod scenario;
pub mod simulator;
pub mod traffic;
pub mod virtual_scenario;
