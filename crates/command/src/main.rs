//! The program `tideroute`. Each command has a module; all of them read typed records and end with 0 when all
//! went well, 1 when it did not, and 2 when they were called or configured wrongly.

mod admin;
mod administration;
mod cores;
mod day;
mod figures;
mod fleet;
mod logs;
mod measure;
mod measure_fleet;
mod measure_tenants;
mod member;
mod platform;
mod plot;
mod serve;
mod spread;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use tideroute_simulation::choosers::Way;

/// A router for language-model servers that read and write in two stages.
#[derive(Parser)]
#[command(name = "tideroute", version)]
struct Call {
    #[command(subcommand)]
    command: Command,
    /// How much is logged: error, warn, info, debug, trace, or a filter such as tideroute_lifecycle=debug.
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
    /// Runs a relay between processes of a day.
    #[command(hide = true)]
    Relay {
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
        /// Choosing readers that way.
        #[arg(long, value_name = "WAY", default_value = "next", hide = true)]
        straight_by: Way,
        #[command(flatten)]
        run: Run,
    },
    /// Measures the program on this machine.
    Measure {
        #[command(subcommand)]
        what: Measure,
    },
    /// Looks at the fleet of routers that a running router belongs to.
    Fleet {
        #[command(subcommand)]
        what: Fleet,
    },
    /// Administers the tenants of a running router.
    Admin {
        #[command(subcommand)]
        what: admin::Deed,
    },
    /// Plays a scenario on processes of its own and judges it.
    #[command(alias = "day")]
    Scenario {
        file: PathBuf,
        /// Keeps logs and the record of what passed there.
        #[arg(long, value_name = "FOLDER")]
        out: Option<PathBuf>,
        /// In one process and in virtual time: no sockets, no waiting, the same every time.
        #[arg(long)]
        in_virtual_time: bool,
        /// Draws the day's random faults from this seed in place of its own.
        #[arg(long, value_name = "SEED")]
        draw: Option<u64>,
        /// If it fails, plays it again without parts of what went wrong, so often at most, and keeps what matters.
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
        /// Draws the fullest worker over the mean, second by second, as SVG.
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
}

#[derive(Subcommand)]
enum Fleet {
    /// Who is there as one router sees it, and how the views of all the others differ from that. Ends with 0 if all
    /// agree, with 1 if some differ, do not answer, or the router is alone.
    Status {
        /// The router's record.
        file: PathBuf,
        /// Prints it as JSON.
        #[arg(long)]
        json: bool,
    },
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
    /// How evenly a day's load is spread: by plain ways to choose a reader, each given what it may know, then by the
    /// routers, readers unasked and asked.
    Spread {
        /// A day's file; its troubles are left out.
        #[arg(default_value = "days/fleet.cue")]
        file: PathBuf,
        #[arg(long, default_value_t = 25)]
        seconds: u64,
    },
    /// Membership in virtual time: bytes, datagrams and CPU of a router, and when others know of a kill, by the size
    /// of the fleet.
    Fleet {
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 300, 1000, 3000],
              value_parser = clap::value_parser!(u64).range(2..=5000))]
        routers: Vec<u64>,
        /// The part of datagrams that is lost.
        #[arg(long, default_value_t = 0.0, value_parser = part)]
        loss: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
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

fn part(text: &str) -> Result<f64, String> {
    let part: f64 = text.parse().map_err(|_| format!("{text:?} is no number"))?;
    (0.0..0.9).contains(&part).then_some(part).ok_or_else(|| "from 0 to below 0.9".to_string())
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
    /// Where some addresses are to be dialled in place of where they are: a line for each, the address and where.
    #[arg(long, value_name = "PATH", hide = true)]
    ways: Option<PathBuf>,
    /// What is wrong with its clock: from, until (microseconds since 1970), rate, microseconds ahead.
    #[arg(long, value_name = "WARP", hide = true)]
    clock: Option<String>,
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
        Command::Relay { file, run } => serve::relay(&file, &run),
        Command::List { file, run } => serve::list(&file, &run),
        Command::Load { file, straight_to: Some(workers), straight_by, begin_at, table, json, run } => {
            serve::straight(&file, &workers, straight_by, [json, table], begin_at, &run)
        }
        Command::Load { file, json, table, begin_at, run, .. } => {
            serve::load(&file, json.as_deref(), table.as_deref(), begin_at, &run)
        }
        Command::Measure { what: Measure::Cores { file, seconds, rates, plot } } => {
            measure::cores(&file, seconds, &rates, plot.as_deref())
        }
        Command::Measure { what: Measure::Spread { file, seconds } } => measure::spread(&file, seconds),
        Command::Measure { what: Measure::Fleet { routers, loss, seed } } => {
            measure_fleet::run(&routers, loss, seed)
        }
        Command::Measure { what: Measure::Tenants { cores } } => measure_tenants::run(cores),
        Command::Measure { what: Measure::Through { file, rounds } } => measure::through(&file, rounds),
        Command::Fleet { what: Fleet::Status { file, json } } => fleet::status(&file, json),
        Command::Admin { what } => admin::run(&what),
        Command::Check { files } => check(&files),
        Command::Scenario { file, out, in_virtual_time: true, draw, .. } => day::virtually(&file, out, draw),
        Command::Scenario { file, out, draw, shrink, .. } => day::play(&file, out, draw, shrink),
        Command::CheckTrace { capture } => day::rules(&capture),
        Command::LoadBalance { capture, json, plot } => spread::run(&capture, json, plot.as_deref()),
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
