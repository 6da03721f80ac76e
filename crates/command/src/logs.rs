//! Structured logs on standard error, as text or as JSON lines.

use std::io::IsTerminal;

use tracing_subscriber::filter::{EnvFilter, ParseError};

/// Why logging could not be started.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The filter cannot be parsed.
    #[error(transparent)]
    Filter(#[from] ParseError),
    /// The formatting subscriber could not be installed.
    #[error(transparent)]
    Install(#[from] Box<dyn std::error::Error + Send + Sync>),
}

/// Starts logging with a filter such as `info` or `tideroute_lifecycle=debug`.
pub fn start(filter: &str, json: bool) -> Result<(), LogError> {
    let filter = EnvFilter::try_new(filter)?;
    let colours = std::io::stderr().is_terminal();
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let started = if json { builder.json().try_init() } else { builder.with_ansi(colours).try_init() };
    Ok(started?)
}
