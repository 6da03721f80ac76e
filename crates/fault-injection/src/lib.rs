//! A library for tests, loaded into a process by `LD_PRELOAD`. By a plan in its environment it steps the wall clock,
//! and has calls on TCP sockets fail, be interrupted and come short, as Linux documents that they may. Each decision
//! comes from a seed. A plan that it can't read ends the process, so that no test passes without its faults.
#![allow(unsafe_code, reason = "it stands in for functions of the C library")]

mod calls;
mod files;
mod plan;
mod sockets;

use std::sync::OnceLock;
use std::time::Instant;

use plan::Plan;

/// The environment's variable that holds the plan.
const PLAN: &str = "TIDEROUTE_SHIM";
/// Names a file that is made once the plan is in force.
const PROOF: &str = "TIDEROUTE_SHIM_PROOF";

static STATE: OnceLock<State> = OnceLock::new();

/// The plan, and since when it is in force.
struct State {
    plan: Plan,
    began: Instant,
}

/// The plan, once the process has come as far as to have one.
fn plan() -> Option<&'static Plan> {
    STATE.get().map(|state| &state.plan)
}

/// Milliseconds since the process began.
fn age_ms() -> i64 {
    STATE.get().map_or(0, |state| state.began.elapsed().as_millis() as i64)
}

extern "C" fn begin() {
    let Ok(text) = std::env::var(PLAN) else { return };
    let plan = match Plan::read(&text) {
        Ok(plan) => plan,
        Err(problem) => {
            eprintln!("{PLAN}: {problem}");
            std::process::abort();
        }
    };
    let _ = STATE.set(State { plan, began: Instant::now() });
    if let Ok(path) = std::env::var(PROOF) {
        if let Err(problem) = std::fs::write(&path, text) {
            eprintln!("{PROOF}: {path}: {problem}");
            std::process::abort();
        }
    }
}

#[used]
#[link_section = ".init_array"]
static BEGIN: extern "C" fn() = begin;
