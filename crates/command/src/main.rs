//! The program `tideroute`. Each command has a module; all of them read typed records and end with 0 when all
//! went well, 1 when it did not, and 2 when they were called or configured wrongly.

mod admin;
mod administration;
mod cores;
mod day;
mod figures;
mod logs;
mod measure;
mod measure_tenants;
mod platform;
mod plot;
mod serve;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

/// A router for language-model servers that read and write in two stages.
#[derive(Parser)]
#[command(name = "tideroute", version)]
struct Call {
    #[command(subcommand)]
    command: Command,
    /// How much is logged: error, warn, info, debug, trace, or a filter such as tideroute_host=debug.
    #[arg(long, global = true, default_value = "warn", value_name = "FILTER")]
    log: String,
    /// Logs as JSON lines.
    #[arg(long, global = true)]
    log_json: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a router until it is told to stop (SIGTERM or Ctrl-C); it then answers what it holds.
    Router {
        file: PathBuf,
        /// Lets one core fail after so many milliseconds, to see what the others do.
        #[arg(long, value_name = "MS", hide = true)]
        fail_core_after: Option<u64>,
        #[command(flatten)]
        run: Run,
    },
    /// Runs a router on the platform's protocol (HTTP/1.1) until SIGTERM; SIGHUP has its file read again.
    Platform {
        /// The configuration file; without it, the one that EDGE_CONFIG names.
        file: Option<PathBuf>,
    },
    /// Runs a stand-in of a reader, writer or mixed worker.
    Worker {
        file: PathBuf,
        /// It has just started: slow at first, and nothing kept.
        #[arg(long)]
        cold: bool,
        #[command(flatten)]
        run: Run,
    },
    /// Runs the list of workers.
    List {
        file: PathBuf,
        #[command(flatten)]
        run: Run,
    },
    /// Checks files of records and tells all that is wrong with them.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Plays clients against routers and prints what came of it.
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
        /// Straight to the workers that the file names, with no router between.
        #[arg(long, value_name = "PATH", hide = true)]
        straight_to: Option<PathBuf>,
        #[command(flatten)]
        run: Run,
    },
    /// Measures the program on this machine.
    Measure {
        #[command(subcommand)]
        what: Measure,
    },
    /// Administers the tenants of a running router.
    Admin {
        #[command(subcommand)]
        what: admin::Deed,
    },
    /// Plays a scripted day on processes of its own and judges it.
    Day {
        file: PathBuf,
        /// Keeps logs and the record of what passed there.
        #[arg(long, value_name = "FOLDER")]
        out: Option<PathBuf>,
        /// In one process and in virtual time: no sockets, no waiting, the same every time.
        #[arg(long)]
        in_virtual_time: bool,
    },
    /// Checks the five rules on the record of a day.
    Rules { record: PathBuf },
}

#[derive(Subcommand)]
enum Measure {
    /// What a router adds to the way of a first token and of each token, against going straight to the workers.
    Through {
        /// A day's file; its troubles are left out.
        file: PathBuf,
        /// How often each of the two ways is taken, in turn.
        #[arg(long, default_value_t = 2)]
        rounds: usize,
    },
    /// What tenants cost: a submission by their number, memory, and how long a change takes to reach all cores.
    Tenants {
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=64))]
        cores: u32,
    },
    /// Throughput, latency, CPU and memory of one router at 1, 2, 4 and 8 cores.
    Cores {
        /// A day's file; its troubles are left out.
        #[arg(default_value = "days/gone-and-fresh.cue")]
        file: PathBuf,
        #[arg(long, default_value_t = 5)]
        seconds: u64,
        /// Submissions a second.
        #[arg(long, value_delimiter = ',', default_values_t = [1000.0, 3000.0])]
        rates: Vec<f64>,
        /// Draws the figures there, as SVG.
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
}

/// How a process is run as part of a day.
#[derive(Args, Clone)]
struct Run {
    /// Writes down what passes on its sockets.
    #[arg(long, value_name = "PATH")]
    tap: Option<PathBuf>,
    /// Its number in the record.
    #[arg(long, default_value_t = 1, value_name = "NUMBER")]
    process: u32,
    /// When its script begins, microseconds since 1970; without it, when it starts.
    #[arg(long, value_name = "MICROS")]
    script_from: Option<u64>,
    /// Ends when standard input does.
    #[arg(long)]
    tethered: bool,
}

fn main() -> ExitCode {
    let call = Call::parse();
    if let Err(problem) = logs::start(&call.log, call.log_json) {
        eprintln!("tideroute: --log: {problem}");
        return ExitCode::from(2);
    }
    let ended = match call.command {
        Command::Router { file, fail_core_after, run } => cores::router(&file, fail_core_after, &run),
        Command::Platform { file } => platform::run(file.as_deref()),
        Command::Worker { file, cold, run } => serve::worker(&file, cold, &run),
        Command::List { file, run } => serve::list(&file, &run),
        Command::Load { file, straight_to: Some(workers), begin_at, table, json, run } => {
            serve::straight(&file, &workers, [json, table], begin_at, &run)
        }
        Command::Load { file, json, table, begin_at, run, .. } => {
            serve::load(&file, json.as_deref(), table.as_deref(), begin_at, &run)
        }
        Command::Measure { what: Measure::Cores { file, seconds, rates, plot } } => {
            measure::cores(&file, seconds, &rates, plot.as_deref())
        }
        Command::Measure { what: Measure::Tenants { cores } } => measure_tenants::run(cores),
        Command::Measure { what: Measure::Through { file, rounds } } => measure::through(&file, rounds),
        Command::Admin { what } => admin::run(&what),
        Command::Check { files } => check(&files),
        Command::Day { file, out, in_virtual_time: true } => day::virtually(&file, out),
        Command::Day { file, out, .. } => day::play(&file, out),
        Command::Rules { record } => day::rules(&record),
    };
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(problem) => {
            eprintln!("{problem}");
            ExitCode::from(2)
        }
    }
}

/// Whether what was asked for went well; or why it could not be done.
type Ended = Result<bool, String>;

fn check(files: &[PathBuf]) -> Ended {
    let mut problems = Vec::new();
    for path in files {
        match serve::read(path) {
            Ok(_) => println!("{}: good", path.display()),
            Err(problem) => problems.push(problem),
        }
    }
    if problems.is_empty() {
        Ok(true)
    } else {
        Err(problems.join("\n"))
    }
}
