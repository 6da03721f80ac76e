//! The laboratory: load as clients bring it, and whole scripted days.
//!
//! [`load::Load`] is a [`EventHandler`](tideroute_wire::link::Program) that plays clients in open loop: when each
//! submission comes is drawn ahead and never waits for an answer. [`day::play`] starts a fleet of processes on
//! free loopback ports, makes things go wrong as a day file says, collects the record of what passed, and has
//! the rules checked. [`world::World`] runs the same programs in virtual time, in one process and from one seed, and
//! [`fleet::play`] a whole day in it.

pub mod choosers;
pub mod convert;
pub mod crowd;
pub mod day;
pub mod faults;
mod files;
pub mod fleet;
pub mod legs;
pub mod load;
mod parts;
pub mod processes;
mod relays;
pub mod straight;
pub mod tally;
pub mod traffic;
pub mod world;
