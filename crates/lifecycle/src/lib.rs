//! The router between its connections and the decision module. [`Host`] is a
//! [`Program`](tideroute_wire::link::Program): it is told what happened on links, keeps submissions, shots and
//! workers as plain data, hands the module what happened, and carries out what the module decides. It has no
//! socket and no clock, so several can run in one process, in virtual time.
//!
//! The books ([`RequestLifecycle`]) know no protocol: they speak through [`Transport`], which the host here has for the protobuf
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

pub use books::{shown, RequestLifecycle};
pub use host::Host;
pub use starts::{EndpointIncarnations, Incarnation};
pub use submissions::{short, Attempt, RequestState, RequestTable};
pub use tenancy::TenantConfig;
pub use terms::{LifecycleConfig, Terms};
pub use ways::{Response, Timer, Transport};
