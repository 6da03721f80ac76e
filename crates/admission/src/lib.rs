//! Admission control for tenants: decides which request is admitted to the scheduler, when, and which is rejected. It
//! keeps each tenant's limits (requests and prompt tokens per second, requests in flight) and shares the capacity of
//! the workers fairly among tenants. Nothing reports that capacity: it is inferred from response times.
//!
//! [`AdmissionControl`] is sans-I/O and reads no clock: callers report events together with the time, and call
//! [`AdmissionControl::next_verdict`] until it returns `None`. Equal calls give equal verdicts.
//!
//! Limits hold for one instance. A router with N cores gives each core one Nth of a limit, and several routers split it
//! likewise, so that no limit needs coordination; a tenant whose traffic all reaches one instance has only that
//! instance's part.
//!
//! `docs/tenancy.md` gives the reasons and the alternatives that were considered.

#![warn(missing_docs)]

mod admission_control;
mod concurrency_limit;
mod config;
mod count_min_sketch;
mod rate_limit;
mod request;
mod tenant;
mod tenant_schedule;
mod units;
mod verdict;
mod wait_queue;

pub use admission_control::AdmissionControl;
pub use concurrency_limit::ConcurrencyLimit;
pub use config::AdmissionConfig;
pub use count_min_sketch::CountMinSketch;
pub use rate_limit::RateLimit;
pub use request::{AdmissionRequest, ResponseTiming, Tenant, Ticket};
pub use tenant::{Limits, TenantStats};
pub use units::Micros;
pub use verdict::Verdict;
