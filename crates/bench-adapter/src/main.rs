//! Speaks the bench's binary wire on standard input and output, and runs one scheduler for each router instance that the
//! bench starts.
//!
//! Input is a sequence of batches of event records; each batch gets one reply with the actions of all instances that it
//! concerned. All numbers are little-endian. Input that can't be read ends the process with one line on standard error.

#![warn(missing_docs)]

mod actions;
mod batch;
mod error;
mod events;
mod field_reader;
mod instances;
mod server;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match server::serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tideroute-bench-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
