//! Stand-ins for the servers around a router, to test it against: [`Worker`], which reads, writes or does both
//! and moves real read states, and [`List`], which says which workers run. Both are
//! [`EventHandler`](tideroute_wire::link::Program)s, and both follow a script of troubles. They answer as told;
//! how real engines behave under load is not theirs to say.

mod list;
mod reading;
pub mod state;
mod worker;
mod writing;

pub use list::{List, ListTerms};
pub use worker::{Does, Trouble, Worker, WorkerTerms};
