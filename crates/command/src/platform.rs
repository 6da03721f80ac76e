//! The command `platform`: the HTTP gateway on the operators' platform, with one core, one listener and no tenant store.

use std::path::{Path, PathBuf};

use tideroute_gateway::{Config, Gateway};
use tideroute_reactor::Reactor;

use crate::error::{CommandError, CommandResult};
use crate::process;

/// The most bytes in a configuration file.
const MAX_CONFIG_BYTES: u64 = 16 << 20;

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "EDGE_CONFIG";

/// Runs the gateway until SIGTERM; SIGHUP reloads its configuration.
pub fn run(path: Option<&Path>) -> CommandResult {
    let path = match path {
        Some(path) => path.to_path_buf(),
        None => std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from).ok_or(CommandError::NoGatewayConfig)?,
    };
    let config = read_config(&path)?;
    let mut reactor = Reactor::new(&[config.listen])?;
    reactor.set_raw(config.capacity.lingering_connections);
    reactor.limit_unsent_responses(config.capacity.response_bytes);
    reactor.drain_on_shutdown();
    reactor.catch_signals()?;
    reactor.reload_config_on_sighup(path)?;
    tracing::info!(name = config.lifecycle.name, listen = %config.listen, capacity = ?config.capacity, "router started");
    let mut gateway = Gateway::new(config, reactor.clock().now());
    process::run(reactor, &mut gateway)
}

fn read_config(path: &Path) -> Result<Config, CommandError> {
    let size = std::fs::metadata(path).map_err(CommandError::in_file(path))?.len();
    if size > MAX_CONFIG_BYTES {
        return Err(CommandError::FileTooLarge { path: path.into(), size, kind: "a configuration file" });
    }
    let text = std::fs::read(path).map_err(CommandError::in_file(path))?;
    Config::parse(&text).map_err(CommandError::in_file(path))
}
