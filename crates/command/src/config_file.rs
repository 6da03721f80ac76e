//! Reads files of the configuration language and takes the section that a command needs.

use std::path::{Path, PathBuf};

use tideroute_config_language::File;

use crate::error::{CommandError, CommandResult, CommandStatus};

/// Bytes: a larger file is not a configuration file.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Reads and checks a configuration file.
pub fn read(path: &Path) -> Result<File, CommandError> {
    let size = std::fs::metadata(path).map_err(CommandError::in_file(path))?.len();
    if size > MAX_FILE_BYTES {
        return Err(CommandError::FileTooLarge { path: path.into(), size, kind: "a file of records" });
    }
    let text = std::fs::read_to_string(path).map_err(CommandError::in_file(path))?;
    tideroute_config_language::read(&path.display().to_string(), &text).map_err(CommandError::InvalidConfig)
}

/// A section of the file at `path`, or the error that names it as missing.
pub fn require<T>(path: &Path, section: Option<T>, name: &'static str) -> Result<T, CommandError> {
    section.ok_or_else(|| CommandError::MissingSection { path: path.into(), section: name })
}

/// The command `check`: reads all files and reports the problems of each.
pub fn check(files: &[PathBuf]) -> CommandResult {
    let mut errors = Vec::new();
    for path in files {
        match read(path) {
            Ok(_) => println!("{}: good", path.display()),
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() {
        return Ok(CommandStatus::Success);
    }
    Err(CommandError::InvalidFiles(errors))
}
