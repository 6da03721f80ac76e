//! The command line: commands, their arguments, and hidden aliases for their earlier names.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use tideroute_simulation::prefill_policies::PrefillPolicy;

use crate::admin_commands::AdminCommand;

/// A router for language-model servers that prefill and decode in two stages.
#[derive(Parser)]
#[command(name = "tideroute", version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
    /// Log level (error, warn, info, debug or trace), or a filter such as tideroute_lifecycle=debug.
    #[arg(long, global = true, default_value = "warn", value_name = "FILTER")]
    pub log: String,
    /// Writes log events as JSON lines.
    #[arg(long, global = true)]
    pub log_json: bool,
}

#[derive(Subcommand)]
pub enum Command {
    /// Runs a router until SIGTERM or Ctrl-C; it then completes the requests in flight.
    Router {
        /// The router's configuration file.
        file: PathBuf,
        /// Makes core 0 panic after this many milliseconds, to test that it is restarted. Ignored with one core.
        #[arg(long, value_name = "MS", hide = true)]
        fail_core_after: Option<u64>,
        #[command(flatten)]
        args: ProcessArgs,
    },
    /// Runs a router on the platform's protocol (HTTP/1.1) until SIGTERM; SIGHUP reloads its configuration file.
    Platform {
        /// The configuration file; by default, the one that the environment variable EDGE_CONFIG names.
        file: Option<PathBuf>,
    },
    /// Runs an emulated prefill, decode or mixed worker.
    Worker {
        /// The worker's configuration file.
        file: PathBuf,
        /// Starts the worker as after a restart: with an empty cache, and slow until it has warmed up.
        #[arg(long)]
        cold: bool,
        #[command(flatten)]
        args: ProcessArgs,
    },
    /// Runs an emulated discovery service, which serves the endpoint list of workers.
    List {
        /// The configuration file of the endpoint list.
        file: PathBuf,
        #[command(flatten)]
        args: ProcessArgs,
    },
    /// Runs a relay that injects network faults between the processes of a scenario.
    #[command(hide = true)]
    Relay {
        /// The relay's configuration file.
        file: PathBuf,
        #[command(flatten)]
        args: ProcessArgs,
    },
    /// Checks configuration files and reports all errors in them.
    Check {
        /// Configuration files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Runs client load against routers and prints its results.
    Load {
        /// The configuration file of the load.
        file: PathBuf,
        /// Also writes the results as JSON to this file.
        #[arg(long, value_name = "PATH")]
        json: Option<PathBuf>,
        /// Writes the table of results to this file instead of printing it.
        #[arg(long, value_name = "PATH")]
        table: Option<PathBuf>,
        /// The time at which the load begins, in microseconds since 1970.
        #[arg(long, value_name = "MICROS")]
        begin_at: Option<u64>,
        /// Sends requests directly to the workers that this file names, without a router.
        #[arg(long, alias = "straight-to", value_name = "PATH", hide = true)]
        direct_to: Option<PathBuf>,
        /// The policy that chooses the prefill worker of a direct request.
        #[arg(long, alias = "straight-by", value_name = "POLICY", default_value = "next", hide = true)]
        policy: PrefillPolicy,
        #[command(flatten)]
        args: ProcessArgs,
    },
    /// Measures the program on this machine.
    Measure {
        #[command(subcommand)]
        measurement: Measurement,
    },
    /// Queries the cluster of routers that a running router belongs to.
    Fleet {
        #[command(subcommand)]
        query: FleetQuery,
    },
    /// Administers the tenants of a running router.
    Admin {
        #[command(subcommand)]
        command: AdminCommand,
    },
    /// Plays a scenario on separate processes, and checks its rules and expectations.
    #[command(alias = "day")]
    Scenario {
        /// The scenario's configuration file.
        file: PathBuf,
        /// Keeps the logs and the traffic capture in this folder.
        #[arg(long, value_name = "FOLDER")]
        out: Option<PathBuf>,
        /// Plays the scenario in one process and in virtual time: without sockets or waiting, and with the same result
        /// every time.
        #[arg(long)]
        in_virtual_time: bool,
        /// Generates the scenario's random faults from this seed instead of the one in the file.
        #[arg(long, value_name = "SEED")]
        draw: Option<u64>,
        /// Plays a failed scenario again with fewer faults, at most this many times, and writes a scenario with only the
        /// faults that are needed to fail.
        #[arg(long, value_name = "TIMES", conflicts_with = "in_virtual_time")]
        shrink: Option<usize>,
    },
    /// Checks the five rules on the capture of a scenario.
    #[command(alias = "rules")]
    CheckTrace {
        /// The capture, such as day.record.zst.
        capture: PathBuf,
    },
    /// Reports from the capture of a scenario how evenly its load was spread over the workers.
    #[command(alias = "spread")]
    LoadBalance {
        /// The capture, such as day.record.zst.
        capture: PathBuf,
        /// Prints the results as JSON.
        #[arg(long)]
        json: bool,
        /// Plots the load of the most loaded worker over the mean load, second by second, to this SVG file.
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
}

#[derive(Subcommand)]
pub enum FleetQuery {
    /// Shows the cluster members that one router sees, and how the views of the other members differ from it. Exits with
    /// 0 if all views agree, with 1 if one differs, a member does not answer, or the router sees no other member.
    Status {
        /// The router's configuration file.
        file: PathBuf,
        /// Prints the status as JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
pub enum Measurement {
    /// Measures the latency that a router adds to the first token and to each token, compared with direct requests to
    /// workers.
    Through {
        /// The scenario's configuration file; its faults are left out.
        file: PathBuf,
        /// How often direct requests and requests through a router are each measured, in turn.
        #[arg(long, default_value_t = 2)]
        rounds: usize,
    },
    /// Measures what tenants cost: time per request and memory per tenant, by the number of tenants, and how long a
    /// change takes to reach all cores.
    Tenants {
        /// Cores of the router whose tenants are changed.
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=64))]
        cores: u32,
    },
    /// Measures how evenly a scenario's load is spread over the prefill workers: by simple policies that choose one, then
    /// by the routers, without and with load reports of prefill workers.
    Spread {
        /// The scenario's configuration file; its faults are left out.
        #[arg(default_value = "days/fleet.cue")]
        file: PathBuf,
        /// Seconds of load for each policy.
        #[arg(long, default_value_t = 25)]
        seconds: u64,
    },
    /// Measures cluster membership in virtual time: bytes, datagrams and CPU time of a router, and how soon the others
    /// detect a killed router, by cluster size.
    Fleet {
        /// Cluster sizes to measure, in routers.
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 300, 1000, 3000],
              value_parser = clap::value_parser!(u64).range(2..=5000))]
        routers: Vec<u64>,
        /// The fraction of datagrams that is lost, from 0 to below 0.9.
        #[arg(long, default_value_t = 0.0, value_parser = loss_fraction)]
        loss: f64,
        /// The seed of the simulated network and members.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measures throughput, latency, CPU time and memory of one router on 1, 2, 4 and 8 cores.
    Cores {
        /// The scenario's configuration file; its faults are left out.
        #[arg(default_value = "days/gone-and-fresh.cue")]
        file: PathBuf,
        /// Seconds of load for each run.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
        /// Request rates to measure, in requests per second.
        #[arg(long, value_delimiter = ',', default_values_t = [1000.0, 3000.0])]
        rates: Vec<f64>,
        /// Plots the results to this SVG file.
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
}

/// Why an argument is not a fraction of lost datagrams.
#[derive(Debug, thiserror::Error)]
enum LossFractionError {
    #[error("{0:?} is not a number")]
    NotANumber(String),
    #[error("expected a fraction from 0 to below 0.9")]
    OutOfRange,
}

fn loss_fraction(text: &str) -> Result<f64, LossFractionError> {
    let fraction: f64 = text.parse().map_err(|_| LossFractionError::NotANumber(text.to_string()))?;
    if (0.0..0.9).contains(&fraction) {
        Ok(fraction)
    } else {
        Err(LossFractionError::OutOfRange)
    }
}

/// Arguments with which a scenario starts its processes.
#[derive(Args, Clone)]
pub struct ProcessArgs {
    /// Captures the traffic of this process's sockets into this file.
    #[arg(long, alias = "tap", value_name = "PATH")]
    pub capture: Option<PathBuf>,
    /// The number of this process in the capture.
    #[arg(long, alias = "process", default_value_t = 1, value_name = "NUMBER")]
    pub process_number: u32,
    /// The time at which the script of this process begins, in microseconds since 1970; by default, when the process
    /// starts.
    #[arg(long, alias = "script-from", value_name = "MICROS")]
    pub script_start: Option<u64>,
    /// A file of address overrides: each line has an original address and the address to connect to instead.
    #[arg(long, alias = "ways", value_name = "PATH", hide = true)]
    pub address_overrides: Option<PathBuf>,
    /// A skew of this process's clock: from, until (both in microseconds since 1970), rate, microseconds ahead.
    #[arg(long, alias = "clock", value_name = "SKEW", hide = true)]
    pub clock_skew: Option<String>,
    /// Exits when standard input is closed.
    #[arg(long, alias = "tethered")]
    pub exit_with_stdin: bool,
}
