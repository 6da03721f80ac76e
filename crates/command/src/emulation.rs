//! The commands that run a router's emulated environment: a worker, the endpoint list, and the relay that injects
//! network faults.

use std::net::SocketAddr;
use std::path::Path;

use tideroute_config_language::records::RelayListener;
use tideroute_emulator::{Discovery, EmulatedWorker};
use tideroute_relay::Relay;
use tideroute_simulation::convert::{self, ConvertError};

use crate::cli::ProcessArgs;
use crate::config_file;
use crate::error::CommandResult;
use crate::process::{self, ProcessIdentity};

/// Runs an emulated worker; if `cold` is set, it starts with an empty cache and has to warm up.
pub fn worker(path: &Path, cold: bool, args: &ProcessArgs) -> CommandResult {
    let section = config_file::require(path, config_file::read(path)?.worker, "worker")?;
    let listen = convert::parse_socket(&section.listen)?;
    let identity = ProcessIdentity { name: &section.name, role: "worker" };
    let reactor = process::reactor(&[listen.into()], args, identity)?;
    let now = reactor.clock().now();
    let config = convert::worker_config(&section, cold, args.script_start.unwrap_or(now), now)?;
    process::run(reactor, &mut EmulatedWorker::new(config, now))
}

/// Runs the endpoint list.
pub fn endpoint_list(path: &Path, args: &ProcessArgs) -> CommandResult {
    let section = config_file::require(path, config_file::read(path)?.list, "list")?;
    let listen = convert::parse_socket(&section.listen)?;
    let reactor = process::reactor(&[listen.into()], args, ProcessIdentity { name: "list", role: "list" })?;
    let now = reactor.clock().now();
    process::run(
        reactor,
        &mut Discovery::new(convert::discovery_config(&section, args.script_start.unwrap_or(now), now)),
    )
}

/// Runs a relay between the processes of a scenario.
pub fn relay(path: &Path, args: &ProcessArgs) -> CommandResult {
    let section = config_file::require(path, config_file::read(path)?.relay, "relay")?;
    let listeners = listen_addresses(&section.listeners)?;
    let identity = ProcessIdentity { name: "relay", role: "relay" };
    let mut reactor = process::reactor(&listeners, args, identity)?;
    reactor.add_datagram_sockets(&listen_addresses(&section.datagrams)?)?;
    reactor.set_raw(0);
    let now = reactor.clock().now();
    process::run(
        reactor,
        &mut Relay::new(convert::relay_config(&section, args.script_start.unwrap_or(now), now)?),
    )
}

fn listen_addresses(listeners: &[RelayListener]) -> Result<Vec<SocketAddr>, ConvertError> {
    listeners.iter().map(|listener| Ok(convert::parse_socket(&listener.listen)?.into())).collect()
}
