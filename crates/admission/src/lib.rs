//! Which tenant's submission is let through to the decision module, when, and which is turned back instead: by the
//! tenant's limits (submissions and prompt tokens a second, submissions in flight), and by its share of what the
//! routers can do at this moment, which nobody tells and which is inferred from what is answered in time.
//!
//! [`Shares`] has no I/O and no clock. Calls tell it what happened; after them [`Shares::decide`] is pulled until
//! it gives None. The same calls give the same verdicts. Limits hold for one instance: a router of N cores gives
//! each an Nth, and several routers each their part, so that no limit depends on agreement; a tenant whose
//! traffic all comes to one of them has that one's part until [`Shares::portion`] is told otherwise.
//!
//! Reasons and the ways weighed: `docs/tenancy.md`.

mod capacity;
mod rate;
mod shares;
mod sketch;
mod tenant;

pub use capacity::Capacity;
pub use rate::Rate;
pub use shares::{Asked, Known, Shares, Terms, Verdict};
pub use sketch::Sketch;
pub use tenant::{Figures, Limits};

/// Microseconds on the caller's clock, or a length of time.
pub type Micros = u64;

/// A tenant, by the number that its record gives it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Tenant(pub u32);

/// A submission, by any number that is its own while it is open.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Ticket(pub u64);
