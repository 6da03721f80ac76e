//! How a command ends: with a status, or with the error that kept it from doing its work.

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

/// What a command that could do its work found: exit code 0 or 1.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CommandStatus {
    /// All went well.
    Success,
    /// The work was done, and something in its result is wrong: a rule broken, a client not answered, a forced stop.
    Failure,
}

impl CommandStatus {
    /// `Success` if the condition holds.
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

/// What every command returns; an error is printed and ends the program with exit code 2.
pub type CommandResult = Result<CommandStatus, CommandError>;

/// Why a command could not do its work.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// Something that concerns one file.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: Box<dyn std::error::Error + Send + Sync> },
    /// A file that is too large to be of the kind that is expected.
    #[error("{}: {size} bytes are more than {kind} may have", path.display())]
    FileTooLarge { path: PathBuf, size: u64, kind: &'static str },
    /// A configuration file that does not follow the schema: all its problems with their places.
    #[error("{}", .0.report())]
    InvalidConfig(ConfigErrors),
    /// Problems of several files, one after the other.
    #[error("{}", lines(.0))]
    InvalidFiles(Vec<CommandError>),
    /// A configuration file without the section that the command needs.
    #[error("{}: it has no part `{section}`, which this command needs", path.display())]
    MissingSection { path: PathBuf, section: &'static str },
    /// A configuration file without a scenario, which a measurement needs.
    #[error("{}: it has no part `day`", .0.display())]
    MissingScenario(PathBuf),
    /// Neither an argument nor the environment names the gateway's configuration.
    #[error("tideroute platform: no configuration: name a file, or set EDGE_CONFIG to the path of one")]
    NoGatewayConfig,
    /// A value in a configuration file that the program cannot use.
    #[error(transparent)]
    Convert(#[from] ConvertError),
    /// The key of an administrator is no hash.
    #[error("the key of {name}: {source}")]
    AdministratorKey { name: String, source: ConvertError },
    /// The event loop could not listen, or failed.
    #[error(transparent)]
    Reactor(#[from] ReactorError),
    /// The datagram socket of the cluster membership could not be bound.
    #[error("the fleet {fleet}: {source}")]
    Membership { fleet: String, source: ReactorError },
    /// A thread or a signal handler could not be set up, or standard output failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The metrics recorder could not be installed.
    #[error("{0}")]
    MetricsRecorder(String),
    /// The metrics' address could not be bound.
    #[error("cannot listen at {address}: {source}")]
    MetricsListener { address: std::net::SocketAddr, source: std::io::Error },
    /// A line of the address overrides that does not hold two addresses.
    #[error("{}: {line:?} is no way", path.display())]
    AddressOverride { path: PathBuf, line: String },
    /// The clock skew of a scenario's process cannot be parsed.
    #[error("--clock-skew {0}: not four numbers")]
    ClockSkew(String),
    /// The operating system's random number generator failed.
    #[error("the machine gives no random bits for ids: {0}")]
    RandomOrigin(getrandom::Error),
    /// The tenants of the store could not be listed.
    #[error(transparent)]
    TenantStore(#[from] tideroute_tenant_store::StoreError),
    /// The path of this program, which starts the processes of a scenario, is not known.
    #[error("the program does not find itself: {0}")]
    CurrentExecutable(std::io::Error),
    /// A scenario could not be played or its capture not be read.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// A scenario could not be played in virtual time.
    #[error(transparent)]
    VirtualTime(#[from] VirtualScenarioError),
    /// A file of the configuration language could not be written.
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
    /// The administration API could not be reached, or refused the call.
    #[error(transparent)]
    Api(#[from] ApiError),
    /// No socket for queries of the cluster's members could be bound.
    #[error("no way to ask: {0}")]
    QuerySocket(std::io::Error),
    /// A query could not be sent to a member.
    #[error("{address}: {source}")]
    QuerySend { address: std::net::SocketAddrV4, source: std::io::Error },
    /// The router whose view is wanted does not answer.
    #[error("{router} does not answer at {address}: it does not run, or has another key")]
    RouterSilent { router: String, address: String },
    /// The router that is measured failed.
    #[error("the router that is measured: {0}")]
    MeasuredRouter(std::io::Error),
}

impl CommandError {
    /// Adapts any error to one that names the file it concerns; for `map_err`.
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
