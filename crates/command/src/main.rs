//! The program `tideroute`. Each command has a module. Exit codes: 0 when the command succeeded, 1 when it ran and its
//! result shows a failure, 2 when it was called or configured wrongly or could not run.

mod admin_api;
mod admin_commands;
mod admin_thread;
mod cli;
mod client_load;
mod config_file;
mod emulation;
mod error;
mod fleet_status;
mod load_balance;
mod logs;
mod measure;
mod membership_thread;
mod metrics_server;
mod multi_core;
mod platform;
mod process;
mod scenario;
mod trace_report;

use std::process::ExitCode;

use clap::Parser;

use cli::{Cli, Command, FleetQuery, Measurement};
use client_load::LoadOptions;
use error::CommandResult;

/// Exit code of a command that could not run.
const EXIT_ERROR: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(error) = logs::start(&cli.log, cli.log_json) {
        eprintln!("tideroute: --log: {error}");
        return ExitCode::from(EXIT_ERROR);
    }
    match run(cli.command) {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

fn run(command: Command) -> CommandResult {
    match command {
        Command::Router { file, fail_core_after, args } => multi_core::run(&file, fail_core_after, &args),
        Command::Platform { file } => platform::run(file.as_deref()),
        Command::Worker { file, cold, args } => emulation::worker(&file, cold, &args),
        Command::Relay { file, args } => emulation::relay(&file, &args),
        Command::List { file, args } => emulation::endpoint_list(&file, &args),
        Command::Load { file, direct_to, policy, begin_at, table, json, args } => {
            let options = LoadOptions { json, table, begin_at };
            match direct_to {
                Some(workers) => client_load::run_direct(&file, &workers, policy, &options, &args),
                None => client_load::run(&file, &options, &args),
            }
        }
        Command::Measure { measurement } => measure(measurement),
        Command::Fleet { query: FleetQuery::Status { file, json } } => fleet_status::run(&file, json),
        Command::Admin { command } => admin_commands::run(&command),
        Command::Check { files } => config_file::check(&files),
        Command::Scenario { file, out, in_virtual_time: true, draw, .. } => {
            scenario::play_in_virtual_time(&file, out, draw)
        }
        Command::Scenario { file, out, draw, shrink, .. } => scenario::play(&file, out, draw, shrink),
        Command::CheckTrace { capture } => trace_report::check(&capture),
        Command::LoadBalance { capture, json, plot } => load_balance::run(&capture, json, plot.as_deref()),
    }
}

fn measure(measurement: Measurement) -> CommandResult {
    match measurement {
        Measurement::Cores { file, seconds, rates, plot } => {
            measure::cores::run(&file, seconds, &rates, plot.as_deref())
        }
        Measurement::Spread { file, seconds } => measure::load_balance::run(&file, seconds),
        Measurement::Fleet { routers, loss, seed } => measure::membership::run(&routers, loss, seed),
        Measurement::Tenants { cores } => measure::tenants::run(cores),
        Measurement::Through { file, rounds } => measure::added_latency::run(&file, rounds),
    }
}
