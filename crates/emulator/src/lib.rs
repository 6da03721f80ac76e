//! Emulators of the servers around a router, to test it against: [`EmulatedWorker`], which prefills, decodes or does both
//! and transfers generated KV state, and [`Discovery`], which keeps the endpoint list.
//!
//! Both are [event handlers](tideroute_wire::event_loop::EventHandler) without sockets and without a clock, and both
//! follow a script. They answer as the protocol says and take the time that their configuration says; how real engines
//! behave under load is not theirs to show.

#![warn(missing_docs)]

mod config;
mod decode;
mod discovery;
mod early_fetches;
mod engine;
pub mod kv_state;
mod messages;
mod peers;
mod prefill;
mod prefix_cache;
mod recent_work;
mod timers;
mod work_context;
mod worker;
mod worker_state;

pub use config::{ScriptedFault, WorkerConfig, WorkerRole};
pub use discovery::{Discovery, DiscoveryConfig};
pub use worker::EmulatedWorker;
