//! Structured logs on standard error, as text or as JSON lines.

use std::io::IsTerminal;

use tracing_subscriber::filter::EnvFilter;

pub fn start(filter: &str, json: bool) -> Result<(), String> {
    let filter = EnvFilter::try_new(filter).map_err(|e| e.to_string())?;
    let colours = std::io::stderr().is_terminal();
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let started = if json { builder.json().try_init() } else { builder.with_ansi(colours).try_init() };
    started.map_err(|e| e.to_string())
}
