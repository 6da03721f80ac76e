//! The platform's protocol: clients, workers and discovery over HTTP/1.1. [`Platform`] is a
//! [`EventHandler`](tideroute_wire::link::Program) on raw links, without socket and clock; what it is told goes to the
//! books of `tideroute-lifecycle`, which pull the module's decisions, and what those say goes out as this protocol's
//! words. It translates and decides nothing.
//!
//! [`read`] takes the configuration file into [`Terms`]; what the process itself may use of memory and
//! descriptors is shared out in [`Rooms`].

mod ask;
mod clients;
mod conn;
mod entry;
mod exit;
mod file;
mod held;
mod list;
mod objects;
mod patience;
mod pools;
mod program;
mod rooms;
mod story;
mod watch;
mod words;

pub use file::{read, Terms, Unusable};
pub use program::Platform;
pub use rooms::Rooms;
