//! The command line: commands, their arguments, and the hidden aliases of earlier names.

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
    /// How much is logged: error, warn, info, debug, trace, or a filter such as tideroute_lifecycle=debug.
    #[arg(long, global = true, default_value = "warn", value_name = "FILTER")]
    pub log: String,
    /// Logs as JSON lines.
    #[arg(long, global = true)]
    pub log_json: bool,
}

#[derive(Subcommand)]
pub enum Command {
    /// Runs a router until SIGTERM or Ctrl-C; it then completes the requests in flight.
    Router {
        file: PathBuf,
        /// Has one core panic after so many milliseconds, to test that it is restarted.
        #[arg(long, value_name = "MS", hide = true)]
        fail_core_after: Option<u64>,
        #[command(flatten)]
        args: ProcessArgs,
    },
    /// Runs a router on the platform's protocol (HTTP/1.1) until SIGTERM; SIGHUP has its file read again.
    Platform {
        /// The configuration file; without it, the one that EDGE_CONFIG names.
        file: Option<PathBuf>,
    },
    /// Runs an emulated prefill, decode or mixed worker.
    Worker {
        file: PathBuf,
        /// It has just started: slow at first, with an empty cache.
        #[arg(long)]
        cold: bool,
        #[command(flatten)]
        args: ProcessArgs,
    },
    /// Runs the endpoint list of workers.
    List {
        file: PathBuf,
        #[command(flatten)]
        args: ProcessArgs,
    },
    /// Runs a relay between the processes of a scenario.
    #[command(hide = true)]
    Relay {
        file: PathBuf,
        #[command(flatten)]
        args: ProcessArgs,
    },
    /// Checks configuration files and reports all that is wrong with them.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Runs client load against routers and prints its results.
    Load {
        file: PathBuf,
        /// Writes the figures as JSON too.
        #[arg(long, value_name = "PATH")]
        json: Option<PathBuf>,
        /// Writes the table there instead of printing it.
        #[arg(long, value_name = "PATH")]
        table: Option<PathBuf>,
        /// Begins at that time, microseconds since 1970.
        #[arg(long, value_name = "MICROS")]
        begin_at: Option<u64>,
        /// Sends directly to the workers that the file names, without a router.
        #[arg(long, alias = "straight-to", value_name = "PATH", hide = true)]
        direct_to: Option<PathBuf>,
        /// How a prefill worker is chosen for a direct request.
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
    /// Plays a scenario on processes of its own and judges it.
    #[command(alias = "day")]
    Scenario {
        file: PathBuf,
        /// Keeps logs and the traffic capture there.
        #[arg(long, value_name = "FOLDER")]
        out: Option<PathBuf>,
        /// In one process and in virtual time: no sockets, no waiting, the same every time.
        #[arg(long)]
        in_virtual_time: bool,
        /// Generates the scenario's random faults from this seed in place of its own.
        #[arg(long, value_name = "SEED")]
        draw: Option<u64>,
        /// If it fails, plays it again with fewer faults, so often at most, and keeps the faults that matter.
        #[arg(long, value_name = "TIMES", conflicts_with = "in_virtual_time")]
        shrink: Option<usize>,
    },
    /// Checks the five rules on the capture of a scenario.
    #[command(alias = "rules")]
    CheckTrace { capture: PathBuf },
    /// Reports from the capture of a scenario how evenly its load was spread over the workers.
    #[command(alias = "spread")]
    LoadBalance {
        capture: PathBuf,
        /// Prints the figures as JSON.
        #[arg(long)]
        json: bool,
        /// Plots the most loaded worker over the mean, second by second, as SVG.
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
}

#[derive(Subcommand)]
pub enum FleetQuery {
    /// The members as one router sees them, and how the views of all others differ. Exits with 0 if all agree, with 1 if
    /// some differ, do not answer, or the router is alone.
    Status {
        /// The router's configuration file.
        file: PathBuf,
        /// Prints it as JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
pub enum Measurement {
    /// The latency that a router adds to the first token and to each token, against direct requests to workers.
    Through {
        /// A scenario's file; its faults are left out.
        file: PathBuf,
        /// How often each of the two is measured, in turn.
        #[arg(long, default_value_t = 2)]
        rounds: usize,
    },
    /// What tenants cost: CPU of a request by their number, memory, and how long a change takes to reach all cores.
    Tenants {
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=64))]
        cores: u32,
    },
    /// How evenly a scenario's load is spread: by simple policies to choose a prefill worker, then by the routers, with
    /// and without load reports of prefill workers.
    Spread {
        /// A scenario's file; its faults are left out.
        #[arg(default_value = "days/fleet.cue")]
        file: PathBuf,
        #[arg(long, default_value_t = 25)]
        seconds: u64,
    },
    /// Membership in virtual time: bytes, datagrams and CPU of a router, and when others know of a kill, by cluster
    /// size.
    Fleet {
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 300, 1000, 3000],
              value_parser = clap::value_parser!(u64).range(2..=5000))]
        routers: Vec<u64>,
        /// The fraction of datagrams that is lost.
        #[arg(long, default_value_t = 0.0, value_parser = loss_fraction)]
        loss: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Throughput, latency, CPU and memory of one router at 1, 2, 4 and 8 cores.
    Cores {
        /// A scenario's file; its faults are left out.
        #[arg(default_value = "days/gone-and-fresh.cue")]
        file: PathBuf,
        #[arg(long, default_value_t = 5)]
        seconds: u64,
        /// Requests a second.
        #[arg(long, value_delimiter = ',', default_values_t = [1000.0, 3000.0])]
        rates: Vec<f64>,
        /// Plots the results there, as SVG.
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
}

/// Why an argument is no fraction of lost datagrams.
#[derive(Debug, thiserror::Error)]
enum LossFractionError {
    #[error("{0:?} is no number")]
    NotANumber(String),
    #[error("from 0 to below 0.9")]
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

/// How a process is run as part of a scenario.
#[derive(Args, Clone)]
pub struct ProcessArgs {
    /// Captures the traffic of its sockets into a file.
    #[arg(long, alias = "tap", value_name = "PATH")]
    pub capture: Option<PathBuf>,
    /// Its number in the capture.
    #[arg(long, alias = "process", default_value_t = 1, value_name = "NUMBER")]
    pub process_number: u32,
    /// When its script begins, microseconds since 1970; without it, when it starts.
    #[arg(long, alias = "script-from", value_name = "MICROS")]
    pub script_start: Option<u64>,
    /// Redirects some addresses: a line for each, with the original address and the one to connect to in its place.
    #[arg(long, alias = "ways", value_name = "PATH", hide = true)]
    pub address_overrides: Option<PathBuf>,
    /// A skew of its clock: from, until (microseconds since 1970), rate, microseconds ahead.
    #[arg(long, alias = "clock", value_name = "SKEW", hide = true)]
    pub clock_skew: Option<String>,
    /// Exits when standard input ends.
    #[arg(long, alias = "tethered")]
    pub exit_with_stdin: bool,
}
