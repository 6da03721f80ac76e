//! The lifecycle of requests in one router, from admission to the final response, without sockets and without a
//! clock: several routers can run in one process, in virtual time.
//!
//! [`RequestLifecycle`] owns the open requests, their attempts and the endpoint list. It feeds events to the
//! [scheduler](tideroute::scheduler::Scheduler) and executes the scheduler's actions. It is independent of the
//! protocol: it communicates with workers, clients and discovery through the trait [`Transport`]. Two protocols
//! implement this trait: the HTTP gateway in `crates/gateway`, and [`ProtobufRouter`] here for this project's own
//! protocol.
//!
//! Only the scheduler decides where and when a request runs. Limits that the scheduler does not know, such as the
//! timeout of a connection or the number of open requests, are set by the operator in [`LifecycleConfig`] and
//! [`RouterConfig`].

#![warn(missing_docs)]

mod config;
mod endpoint_directory;
mod endpoint_incarnations;
mod health_checks;
mod lifecycle;
mod loop_lag;
mod protobuf_router;
mod request_state;
mod request_table;
mod response;
mod tenant_admission;
mod transport;
mod units;
mod worker_address;

pub use config::LifecycleConfig;
pub use endpoint_incarnations::{EndpointIncarnations, Incarnation};
pub use lifecycle::{AdmissionRejection, RejectionReason, RequestLifecycle};
pub use protobuf_router::{ProtobufRouter, RouterConfig};
pub use request_state::{Attempt, RequestState};
pub use request_table::{id_counter, RequestTable};
pub use response::Response;
pub use tenant_admission::TenantConfig;
pub use transport::{Timer, Transport};
