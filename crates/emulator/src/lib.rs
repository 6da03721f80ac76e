//! Emulators of the servers that a router talks to, for testing the router: [`EmulatedWorker`] prefills, decodes or
//! does both, and transfers generated KV state; [`Discovery`] keeps the endpoint list.
//!
//! Both are [event handlers](tideroute_wire::event_loop::EventHandler) without sockets and without a clock, and both
//! execute a script. They implement the protocol with the processing times of their configuration. They do not model
//! how real inference engines behave under load.

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
