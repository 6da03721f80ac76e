//! Tideroute: routing decisions for language-model servers that prefill and decode in two stages.
//!
//! [`scheduler::Scheduler`] takes events, with the time at which each happened, and hands out actions. It does no
//! I/O and reads no clock, so that the same events and seed always give the same actions. [`types`] holds what goes
//! in and out; the reasons for each rule are in `docs/design.md`.
#![warn(missing_docs)]

pub mod ewma;
mod in_flight;
mod prefix_popularity;
pub mod rendezvous;
pub mod rng;
pub mod scheduler;
mod scheduling_queue;
pub mod types;
mod worker_registry;
