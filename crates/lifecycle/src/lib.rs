//! The router between its connections and the decision module. [`Host`] is a
//! [`EventHandler`](tideroute_wire::link::Program): it is told what happened on links, keeps submissions, shots and
//! workers as plain data, hands the module what happened, and carries out what the module decides. It has no
//! socket and no clock, so several can run in one process, in virtual time.
//!
//! The books ([`RequestLifecycle`]) know no protocol: they speak through [`Transport`], which the host here has for the protobuf
//! links and `crates/gateway` for HTTP.
//!
//! It decides nothing. What it must know beyond the module's terms (how long a dial may take, how many
//! submissions may be open) stands in its own [`RouterConfig`], which the operator gives.

mod actions;
mod clients;
mod config;
mod endpoint_incarnations;
mod hear;
mod host;
mod lifecycle;
mod lines;
mod loop_lag;
mod request_table;
mod tenant_admission;
mod transport;
mod wires;

pub use config::{LifecycleConfig, RouterConfig};
pub use endpoint_incarnations::{EndpointIncarnations, Incarnation};
pub use host::Host;
pub use lifecycle::{shown, RequestLifecycle};
pub use request_table::{short, Attempt, RequestState, RequestTable};
pub use tenant_admission::TenantConfig;
pub use transport::{Response, Timer, Transport};
