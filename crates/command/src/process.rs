//! Sets up the event loop of one process, with the options that a scenario may pass to it: a traffic capture, address
//! overrides, a skewed clock, and to exit together with the process that started it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;

use tideroute_reactor::{ClockSkew, Reactor, RunOutcome, TrafficCapture};
use tideroute_simulation::convert;
use tideroute_wire::capture::CapturedProcess;
use tideroute_wire::event_loop::EventHandler;
use tideroute_wire::Address;

use crate::cli::ProcessArgs;
use crate::error::{CommandError, CommandResult, CommandStatus};

/// Exit code of a process whose standard input was closed (`--exit-with-stdin`).
const STDIN_ENDED: i32 = 3;

/// The name and role of a process in a traffic capture.
#[derive(Clone, Copy)]
pub struct ProcessIdentity<'a> {
    pub name: &'a str,
    pub role: &'a str,
}

/// Creates an event loop that listens at the addresses, and prepares it according to the arguments.
pub fn reactor(
    addresses: &[SocketAddr],
    args: &ProcessArgs,
    identity: ProcessIdentity,
) -> Result<Reactor, CommandError> {
    let reactor = Reactor::new(addresses)?;
    if args.exit_with_stdin {
        exit_with_stdin();
    }
    prepare(reactor, addresses, args, identity)
}

/// Ends this process when its standard input is closed.
pub fn exit_with_stdin() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(STDIN_ENDED);
    });
}

/// Makes an event loop catch signals, and applies the arguments to it.
pub fn prepare(
    mut reactor: Reactor,
    addresses: &[SocketAddr],
    args: &ProcessArgs,
    identity: ProcessIdentity,
) -> Result<Reactor, CommandError> {
    reactor.catch_signals()?;
    apply_args(reactor, addresses, args, identity)
}

/// Applies the capture, the address overrides and the clock skew of the arguments to an event loop.
pub fn apply_args(
    mut reactor: Reactor,
    addresses: &[SocketAddr],
    args: &ProcessArgs,
    identity: ProcessIdentity,
) -> Result<Reactor, CommandError> {
    if let Some(path) = &args.capture {
        let address = addresses.first().and_then(|a| convert::parse_address(&a.to_string()).ok());
        let process = CapturedProcess {
            number: args.process_number,
            name: identity.name.into(),
            role: identity.role.into(),
            address,
        };
        let capture = TrafficCapture::create(path, &process).map_err(CommandError::in_file(path))?;
        reactor.capture_traffic(capture);
    }
    if let Some(path) = &args.address_overrides {
        reactor.override_addresses(read_address_overrides(path)?);
    }
    if let Some(text) = &args.clock_skew {
        let skew = parse_clock_skew(text).ok_or_else(|| CommandError::ClockSkew(text.clone()))?;
        reactor.skew_clock(skew);
    }
    Ok(reactor)
}

/// Reads the address overrides: lines of an original address and the address to connect to instead.
fn read_address_overrides(path: &Path) -> Result<HashMap<Address, Address>, CommandError> {
    let text = std::fs::read_to_string(path).map_err(CommandError::in_file(path))?;
    let mut overrides = HashMap::new();
    for line in text.lines() {
        let Some((original, replacement)) = line.split_once(' ') else {
            return Err(CommandError::AddressOverride { path: path.into(), line: line.into() });
        };
        overrides.insert(convert::parse_address(original)?, convert::parse_address(replacement)?);
    }
    Ok(overrides)
}

/// Parses a clock skew, `from,until,rate,offset`.
fn parse_clock_skew(text: &str) -> Option<ClockSkew> {
    let fields: Vec<_> = text.split(',').collect();
    let [from, until, rate, offset] = fields[..] else { return None };
    Some(ClockSkew {
        from: from.parse().ok()?,
        until: until.parse().ok()?,
        rate: rate.parse().ok()?,
        offset: offset.parse().ok()?,
    })
}

/// Runs the program until it ends; returns a failure if it was stopped by force.
pub fn run(mut reactor: Reactor, program: &mut impl EventHandler) -> CommandResult {
    let outcome = reactor.run(program)?;
    Ok(CommandStatus::success_if(outcome == RunOutcome::Finished))
}
