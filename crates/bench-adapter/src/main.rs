//! Connects the scheduler to the bench, a simulator of the workers and clients. The adapter speaks the bench's binary
//! protocol on standard input and output, and runs one scheduler for each router instance that the bench starts.
//!
//! The input is a sequence of batches of event records. Each batch gets one reply with the actions of all instances
//! that the batch concerns. All numbers are little-endian. After malformed input, the process exits with one line on
//! standard error.

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
