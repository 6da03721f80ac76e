//! The fault plan of this process: read from the environment as the library is loaded, before `main`.

use std::sync::OnceLock;
use std::time::Instant;

use crate::plan::FaultPlan;

/// The environment variable that holds the plan.
const PLAN_VARIABLE: &str = "TIDEROUTE_SHIM";
/// The environment variable that names the file to write once the plan is in force.
const PROOF_VARIABLE: &str = "TIDEROUTE_SHIM_PROOF";

static ACTIVE_PLAN: OnceLock<ActivePlan> = OnceLock::new();

struct ActivePlan {
    plan: FaultPlan,
    loaded_at: Instant,
}

/// The plan; none where the environment has none, and until this library has been loaded completely.
pub fn plan() -> Option<&'static FaultPlan> {
    ACTIVE_PLAN.get().map(|active| &active.plan)
}

/// The plan, if it lets calls fail at the present age of the process.
pub fn plan_in_force() -> Option<&'static FaultPlan> {
    plan().filter(|plan| plan.is_in_force(process_age_ms()))
}

/// Milliseconds since the plan was loaded, at the start of the process; 0 without a plan.
pub fn process_age_ms() -> i64 {
    ACTIVE_PLAN.get().map_or(0, |active| active.loaded_at.elapsed().as_millis() as i64)
}

extern "C" fn load_plan() {
    let Ok(text) = std::env::var(PLAN_VARIABLE) else { return };
    let plan = match FaultPlan::parse(&text) {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("{PLAN_VARIABLE}: {error}");
            std::process::abort();
        }
    };
    let _ = ACTIVE_PLAN.set(ActivePlan { plan, loaded_at: Instant::now() });
    write_proof(&text);
}

fn write_proof(plan: &str) {
    let Ok(path) = std::env::var(PROOF_VARIABLE) else { return };
    if let Err(error) = std::fs::write(&path, plan) {
        eprintln!("{PROOF_VARIABLE}: {path}: {error}");
        std::process::abort();
    }
}

/// The dynamic loader calls what stands in this section before `main`.
#[used]
#[link_section = ".init_array"]
static LOAD_PLAN: extern "C" fn() = load_plan;
