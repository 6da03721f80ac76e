//! The emulated surroundings of a router: a worker, the endpoint list, and the relay that injects network faults.

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

/// Runs an emulated worker; a cold one starts slow and with an empty cache.
pub fn worker(path: &Path, cold: bool, args: &ProcessArgs) -> CommandResult {
    let record = config_file::require(path, config_file::read(path)?.worker, "worker")?;
    let listen = convert::socket(&record.listen)?;
    let identity = ProcessIdentity { name: &record.name, role: "worker" };
    let reactor = process::reactor(&[listen.into()], args, identity)?;
    let now = reactor.clock().now();
    let terms = convert::worker(&record, cold, args.script_start.unwrap_or(now), now)?;
    process::run(reactor, &mut EmulatedWorker::new(terms, now))
}

/// Runs the endpoint list.
pub fn endpoint_list(path: &Path, args: &ProcessArgs) -> CommandResult {
    let record = config_file::require(path, config_file::read(path)?.list, "list")?;
    let listen = convert::socket(&record.listen)?;
    let reactor = process::reactor(&[listen.into()], args, ProcessIdentity { name: "list", role: "list" })?;
    let now = reactor.clock().now();
    process::run(
        reactor,
        &mut Discovery::new(convert::discovery(&record, args.script_start.unwrap_or(now), now)),
    )
}

/// Runs a relay between the processes of a scenario.
pub fn relay(path: &Path, args: &ProcessArgs) -> CommandResult {
    let record = config_file::require(path, config_file::read(path)?.relay, "relay")?;
    let listeners = listen_addresses(&record.listeners)?;
    let identity = ProcessIdentity { name: "relay", role: "relay" };
    let mut reactor = process::reactor(&listeners, args, identity)?;
    reactor.add_datagram_sockets(&listen_addresses(&record.datagrams)?)?;
    reactor.set_raw(0);
    let now = reactor.clock().now();
    process::run(reactor, &mut Relay::new(convert::relay(&record, args.script_start.unwrap_or(now), now)?))
}

fn listen_addresses(doors: &[RelayListener]) -> Result<Vec<SocketAddr>, ConvertError> {
    doors.iter().map(|door| Ok(convert::socket(&door.listen)?.into())).collect()
}
