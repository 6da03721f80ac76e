//! Which routers of a fleet are there. [`Group`] is membership by SWIM (Das, Gupta, Motivala 2002) with
//! incarnations, suspicion that ends sooner the more others share it, and the local health of Lifeguard (Dadgar,
//! Phillips, Currey 2018). It is told what was heard and what time it is, and its host pulls what it wants said
//! until there is nothing left. It has no socket, no clock and no chance of its own: same events, same words.
//!
//! [`Member`] drives a group on a loop, as a [`Program`](tideroute_wire::link::Program) that speaks by datagrams.
//! [`Seal`] is what stands around each datagram, so that strangers and other fleets are not heard. Nothing that a
//! router must keep depends on any of this.

mod group;
mod probes;
mod program;
mod seal;
mod table;
mod terms;

pub use group::{Act, Counts, Group};
pub use program::Member;
pub use seal::{Seal, Unsealed};
pub use table::{part_of, Seen};
pub use terms::{Terms, PAGES};
