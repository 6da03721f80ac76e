//! A library for tests that injects faults into a process by way of `LD_PRELOAD`. It replaces functions of the C
//! library: according to a fault plan it steps the wall clock, and makes calls on TCP sockets and files fail, be
//! interrupted or transfer fewer bytes than requested, in ways that the manual pages of Linux document. Each decision
//! is drawn from a random number generator with the seed in the plan.
//!
//! The environment variable `TIDEROUTE_SHIM` holds the plan; without it all calls behave as usual. A plan that does not
//! parse aborts the process, so that no test passes without its faults. When the plan is loaded, it is written to the
//! file named by `TIDEROUTE_SHIM_PROOF`, from which a test can tell that the library was loaded.

#![warn(missing_docs)]
#![allow(unsafe_code, reason = "this library replaces functions of the C library")]

mod active_plan;
mod file_calls;
mod libc_calls;
mod plan;
mod socket_calls;
mod wall_clock;
