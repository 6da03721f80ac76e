//! The fault plan of this process, read from the environment when the library is loaded, before `main`.

use std::sync::OnceLock;
use std::time::Instant;

use crate::plan::FaultPlan;

/// The environment variable that holds the plan.
const PLAN_VARIABLE: &str = "TIDEROUTE_SHIM";
/// The environment variable that names the file to which the plan is written once it is loaded.
const PROOF_VARIABLE: &str = "TIDEROUTE_SHIM_PROOF";

static LOADED_PLAN: OnceLock<LoadedPlan> = OnceLock::new();

struct LoadedPlan {
    plan: FaultPlan,
    loaded_at: Instant,
}

/// Returns the plan; `None` if the environment has none, and before this library is fully loaded.
pub fn plan() -> Option<&'static FaultPlan> {
    LOADED_PLAN.get().map(|loaded| &loaded.plan)
}

/// Returns the plan if calls may fail at the present age of the process.
pub fn active_plan() -> Option<&'static FaultPlan> {
    plan().filter(|plan| plan.is_active(process_age_ms()))
}

/// Returns the milliseconds since the plan was loaded at the start of the process; 0 without a plan.
pub fn process_age_ms() -> i64 {
    LOADED_PLAN.get().map_or(0, |loaded| loaded.loaded_at.elapsed().as_millis() as i64)
}

/// Loads the plan. Aborts the process if it does not parse.
extern "C" fn load_plan() {
    let Ok(text) = std::env::var(PLAN_VARIABLE) else { return };
    let plan = match FaultPlan::parse(&text) {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("{PLAN_VARIABLE}: {error}");
            std::process::abort();
        }
    };
    let _ = LOADED_PLAN.set(LoadedPlan { plan, loaded_at: Instant::now() });
    write_proof(&text);
}

/// Writes the plan to the proof file, if one is named. Aborts the process if that fails.
fn write_proof(plan: &str) {
    let Ok(path) = std::env::var(PROOF_VARIABLE) else { return };
    if let Err(error) = std::fs::write(&path, plan) {
        eprintln!("{PROOF_VARIABLE}: {path}: {error}");
        std::process::abort();
    }
}

/// Makes the dynamic loader call [`load_plan`] before `main`: it calls all functions in this section.
#[used]
#[link_section = ".init_array"]
static LOAD_PLAN: extern "C" fn() = load_plan;
