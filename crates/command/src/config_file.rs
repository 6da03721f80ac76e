//! Reads files of the configuration language and takes the section that a command needs.

use std::path::{Path, PathBuf};

use tideroute_config_language::File;

use crate::error::{CommandError, CommandResult, CommandStatus};

/// The most bytes in a configuration file.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Reads and checks a configuration file.
pub fn read(path: &Path) -> Result<File, CommandError> {
    let size = std::fs::metadata(path).map_err(CommandError::in_file(path))?.len();
    if size > MAX_FILE_BYTES {
        return Err(CommandError::FileTooLarge { path: path.into(), size, kind: "a configuration file" });
    }
    let text = std::fs::read_to_string(path).map_err(CommandError::in_file(path))?;
    tideroute_config_language::read(&path.display().to_string(), &text).map_err(CommandError::InvalidConfig)
}

/// Returns the section of the file at `path`, or an error that names it if it is missing.
pub fn require<T>(path: &Path, section: Option<T>, name: &'static str) -> Result<T, CommandError> {
    section.ok_or_else(|| CommandError::MissingSection { path: path.into(), section: name })
}

/// Runs the command `check`: reads all files and reports the errors in each.
pub fn check(files: &[PathBuf]) -> CommandResult {
    let mut errors = Vec::new();
    for path in files {
        match read(path) {
            Ok(_) => println!("{}: valid", path.display()),
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() {
        return Ok(CommandStatus::Success);
    }
    Err(CommandError::InvalidFiles(errors))
}
