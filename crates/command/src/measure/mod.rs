//! The command `measure`: measurements on this machine. Some take long, and none is part of the tests.

pub mod added_latency;
pub mod cores;
pub mod load_balance;
pub mod membership;
pub mod plot;
pub mod tenants;

use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use tideroute_config_language::records::Scenario;

use crate::error::CommandError;
use crate::{config_file, scenario};

/// A scenario that is measured, and how its processes are run.
struct Measured {
    /// The scenario without faults.
    scenario: Scenario,
    /// This program, which is started for each process.
    program: PathBuf,
    /// The folder for logs and captures; removed after each run.
    folder: PathBuf,
    /// Set by a signal that ends the measurement early.
    interrupted: Arc<AtomicBool>,
}

impl Measured {
    /// Reads a scenario and leaves out its faults.
    fn read(path: &Path, folder_prefix: &str) -> Result<Measured, CommandError> {
        let file = config_file::read(path)?;
        let mut scenario = file.day.ok_or_else(|| CommandError::MissingScenario(path.into()))?;
        // The delays of slow clients would be measured as if the router had caused them.
        scenario.load.slow_readers = 0;
        scenario.load.disconnect_share = 0.0;
        scenario.scheduled_faults.clear();
        let interrupted = scenario::interrupted_by_signals()?;
        let program = std::env::current_exe().map_err(CommandError::CurrentExecutable)?;
        let folder = std::env::temp_dir().join(format!("{folder_prefix}-{}", std::process::id()));
        Ok(Measured { scenario, program, folder, interrupted })
    }

    fn remove_folder(&self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
