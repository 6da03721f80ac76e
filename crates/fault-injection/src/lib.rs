//! A preload library for tests (`LD_PRELOAD`). By a fault plan in the environment of the process it steps the wall
//! clock, and makes calls on TCP sockets and files fail, be interrupted and transfer fewer bytes than asked, as the
//! manual pages of Linux document that they may. Each decision is drawn from the seed in the plan.
//!
//! `TIDEROUTE_SHIM` holds the plan; without it every call goes through unchanged. A plan that does not parse aborts the
//! process, so that no test passes without its faults. Once the plan is in force, the file named by
//! `TIDEROUTE_SHIM_PROOF` is written, which shows a test that the library was loaded.

#![warn(missing_docs)]
#![allow(unsafe_code, reason = "it stands in for functions of the C library")]

mod active_plan;
mod file_calls;
mod libc_calls;
mod plan;
mod socket_calls;
mod wall_clock;
