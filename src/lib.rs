//! Tideroute: routing decisions for language-model servers that prefill and decode in two stages.

pub mod ewma;
pub mod ledger;
pub mod needs;
pub mod ranking;
pub mod rng;
pub mod roster;
pub mod scheduler;
pub mod seen;
pub mod types;
