//! The router on the platform: one core, one door, no other listener and no store.

use std::path::{Path, PathBuf};

use tideroute_gateway::Platform;
use tideroute_reactor::{Reactor, RunOutcome as Loop};

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
    let terms = tideroute_gateway::read(&text).map_err(|e| named(e.to_string()))?;
    let mut reactor = Reactor::new(&[terms.listen]).map_err(|e| e.to_string())?;
    reactor.set_raw(terms.rooms.lingering);
    reactor.drain_on_shutdown();
    reactor.catch_signals().map_err(|e| e.to_string())?;
    reactor.reload_config_on_sighup(path).map_err(|e| e.to_string())?;
    tracing::info!(name = terms.lifecycle.name, listen = %terms.listen, rooms = ?terms.rooms, "the router is there");
    let mut program = Platform::new(terms, reactor.clock().now());
    Ok(reactor.run(&mut program).map_err(|e| e.to_string())? == Loop::Finished)
}
