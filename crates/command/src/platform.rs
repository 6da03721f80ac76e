//! The router on the platform: one core, one door, no other listener and no store.

use std::path::{Path, PathBuf};

use tideroute_gateway::{Config, Gateway};
use tideroute_reactor::{Reactor, RunOutcome};

use crate::Ended;

/// Bytes: a larger configuration is none.
const LARGEST: u64 = 16 << 20;

pub fn run(path: Option<&Path>) -> Ended {
    let path = match path {
        Some(path) => path.to_path_buf(),
        None => std::env::var_os("EDGE_CONFIG").map(PathBuf::from).ok_or(
            "tideroute platform: no configuration: name a file, or set EDGE_CONFIG to the path of one",
        )?,
    };
    let named = |problem: String| format!("{}: {problem}", path.display());
    let size = std::fs::metadata(&path).map_err(|e| named(e.to_string()))?.len();
    if size > LARGEST {
        return Err(named(format!("{size} bytes are more than a configuration may have")));
    }
    let text = std::fs::read(&path).map_err(|e| named(e.to_string()))?;
    let config = Config::parse(&text).map_err(|e| named(e.to_string()))?;
    let mut reactor = Reactor::new(&[config.listen]).map_err(|e| e.to_string())?;
    reactor.set_raw(config.capacity.lingering_connections);
    reactor.drain_on_shutdown();
    reactor.catch_signals().map_err(|e| e.to_string())?;
    reactor.reload_config_on_sighup(path).map_err(|e| e.to_string())?;
    tracing::info!(name = config.lifecycle.name, listen = %config.listen, capacity = ?config.capacity, "router started");
    let mut gateway = Gateway::new(config, reactor.clock().now());
    Ok(reactor.run(&mut gateway).map_err(|e| e.to_string())? == RunOutcome::Finished)
}
