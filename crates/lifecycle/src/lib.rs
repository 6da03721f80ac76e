//! The router between its connections and the decision module. [`Host`] is a
//! [`Program`](tideroute_wire::link::Program): it is told what happened on links, keeps submissions, shots and
//! workers as plain data, hands the module what happened, and carries out what the module decides. It has no
//! socket and no clock, so several can run in one process, in virtual time.
//!
//! The books ([`Books`]) know no protocol: they speak through [`Ways`], which the host here has for the protobuf
//! links and `crates/gateway` for HTTP.
//!
//! It decides nothing. What it must know beyond the module's terms (how long a dial may take, how many
//! submissions may be open) stands in its own [`Terms`], which the operator gives.

mod books;
mod carry;
mod clients;
mod hear;
mod host;
mod lateness;
mod lines;
mod starts;
mod submissions;
mod tenancy;
mod terms;
mod ways;
mod wires;

pub use books::{shown, Books};
pub use host::Host;
pub use starts::{Process, Starts};
pub use submissions::{short, Shot, Submission, Submissions};
pub use tenancy::TenantTerms;
pub use terms::{BookTerms, Terms};
pub use ways::{Answer, Timer, Ways};
