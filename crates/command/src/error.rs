//! The result of a command: a status, or the error that kept it from running.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use tideroute_config_language::ConfigErrors;
use tideroute_reactor::ReactorError;
use tideroute_simulation::convert::ConvertError;
use tideroute_simulation::scenario::ScenarioError;
use tideroute_simulation::virtual_scenario::VirtualScenarioError;

use crate::admin_api::ApiError;
use crate::measure::plot::PlotError;

/// The status of a command that ran: exit code 0 or 1.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CommandStatus {
    /// The command succeeded.
    Success,
    /// The command ran, and its result shows a failure: a violated rule, a client without a response, or a forced stop.
    Failure,
}

impl CommandStatus {
    /// Returns `Success` if the condition holds, else `Failure`.
    pub fn success_if(condition: bool) -> CommandStatus {
        if condition {
            CommandStatus::Success
        } else {
            CommandStatus::Failure
        }
    }
}

impl From<CommandStatus> for ExitCode {
    fn from(status: CommandStatus) -> ExitCode {
        match status {
            CommandStatus::Success => ExitCode::SUCCESS,
            CommandStatus::Failure => ExitCode::FAILURE,
        }
    }
}

/// The result of every command; an error is printed and ends the program with exit code 2.
pub type CommandResult = Result<CommandStatus, CommandError>;

/// Why a command could not run.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// An error that concerns one file.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: Box<dyn std::error::Error + Send + Sync> },
    /// A file that is too large to be of the expected kind.
    #[error("{}: {size} bytes are too many for {kind}", path.display())]
    FileTooLarge { path: PathBuf, size: u64, kind: &'static str },
    /// A configuration file that does not follow the schema: all its errors with their lines and columns.
    #[error("{}", .0.report())]
    InvalidConfig(ConfigErrors),
    /// The errors of several files, in the order of the files.
    #[error("{}", lines(.0))]
    InvalidFiles(Vec<CommandError>),
    /// A configuration file without the section that the command needs.
    #[error("{}: no section `{section}`, which this command needs", path.display())]
    MissingSection { path: PathBuf, section: &'static str },
    /// A configuration file without a scenario, which a measurement needs.
    #[error("{}: no section `day`, which a measurement needs", .0.display())]
    MissingScenario(PathBuf),
    /// Neither an argument nor the environment names the gateway's configuration file.
    #[error(
        "tideroute platform: no configuration file: pass its path as an argument, or set EDGE_CONFIG to it"
    )]
    NoGatewayConfig,
    /// A value in a configuration file that the program cannot use.
    #[error(transparent)]
    Convert(#[from] ConvertError),
    /// The configured key of an administrator is not a hash.
    #[error("the key of administrator {name}: {source}")]
    AdministratorKey { name: String, source: ConvertError },
    /// The event loop could not listen, or failed while it ran.
    #[error(transparent)]
    Reactor(#[from] ReactorError),
    /// The datagram socket of the cluster membership could not be bound.
    #[error("cluster {cluster}: {source}")]
    Membership { cluster: String, source: ReactorError },
    /// A thread or a signal handler could not be set up, or standard output failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The metrics recorder could not be installed.
    #[error("{0}")]
    MetricsRecorder(String),
    /// The address of the metrics server could not be bound.
    #[error("cannot listen at {address}: {source}")]
    MetricsListener { address: std::net::SocketAddr, source: std::io::Error },
    /// A line of the address overrides without two addresses.
    #[error("{}: {line:?} is not an original address and its replacement", path.display())]
    AddressOverride { path: PathBuf, line: String },
    /// The argument `--clock-skew` cannot be parsed.
    #[error("--clock-skew {0}: expected four numbers (from, until, rate, offset)")]
    ClockSkew(String),
    /// The operating system's random number generator failed.
    #[error("the operating system returned no random bytes for ids: {0}")]
    RandomOrigin(getrandom::Error),
    /// The tenants of the store could not be listed.
    #[error(transparent)]
    TenantStore(#[from] tideroute_tenant_store::StoreError),
    /// The path of this program, which is started again for the processes of a scenario, could not be determined.
    #[error("the path of this program could not be determined: {0}")]
    CurrentExecutable(std::io::Error),
    /// A scenario could not be played, or its capture could not be read.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// A scenario could not be played in virtual time.
    #[error(transparent)]
    VirtualTime(#[from] VirtualScenarioError),
    /// A configuration could not be printed as a configuration file.
    #[error("{0}")]
    PrintConfig(ConfigErrors),
    /// The load balance of a capture could not be measured.
    #[error(transparent)]
    LoadBalance(Box<dyn std::error::Error + Send + Sync>),
    /// A result could not be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A plot could not be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// The administration API could not be reached, or refused the request.
    #[error(transparent)]
    Api(#[from] ApiError),
    /// No socket for queries to the cluster's members could be bound.
    #[error("cannot bind a socket for queries: {0}")]
    QuerySocket(std::io::Error),
    /// A query could not be sent to a member.
    #[error("{address}: {source}")]
    QuerySend { address: std::net::SocketAddrV4, source: std::io::Error },
    /// The router that is queried for its view does not answer.
    #[error("{router} does not answer at {address}: it is not running, or it has a different key")]
    RouterSilent { router: String, address: String },
    /// The router that is measured failed.
    #[error("the measured router failed: {0}")]
    MeasuredRouter(std::io::Error),
}

impl CommandError {
    /// Returns a function for `map_err` that adds the path of the concerned file to an error.
    pub fn in_file<E>(path: &Path) -> impl Fn(E) -> CommandError + '_
    where
        E: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        |source| CommandError::File { path: path.to_path_buf(), source: source.into() }
    }
}

fn lines<E: Display>(errors: &[E]) -> String {
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    texts.join("\n")
}
