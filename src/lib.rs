//! Tideroute: routing decisions for language-model servers that prefill prompts and decode responses in two stages.
//!
//! [`scheduler::Scheduler`] receives events, each with the time at which it happened, and returns actions. It
//! does no I/O and reads no clock, so the same events and seed always give the same actions. [`types`] defines
//! its input and output; the reasons for each rule are in `docs/design.md`.
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
