//! Admission control for tenants: decides when each request is admitted to the scheduler, or that it is rejected. It
//! enforces each tenant's limits (requests and prompt tokens per second, requests in flight) and shares the capacity of
//! the workers fairly among tenants. No component reports that capacity; it is inferred from response times.
//!
//! [`AdmissionControl`] is sans-I/O and reads no clock: callers report events together with the time, and call
//! [`AdmissionControl::next_verdict`] until it returns `None`. The same sequence of calls gives the same verdicts.
//!
//! Limits apply to one instance. A router with N cores gives each core one Nth of a limit, and several routers divide a
//! limit in the same way, so that enforcing a limit needs no coordination. A tenant whose traffic all reaches one
//! instance therefore gets only that instance's part of its limits.
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
