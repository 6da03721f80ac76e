//! Commands that run one program on the loop.

use std::collections::HashMap;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tideroute_config_language::File;
use tideroute_emulator::{Discovery, EmulatedWorker};
use tideroute_reactor::{ClockSkew, Reactor, RunOutcome as Loop, TrafficCapture};
use tideroute_relay::Relay;
use tideroute_simulation::choosers::Way;
use tideroute_simulation::convert;
use tideroute_simulation::load::Load;
use tideroute_simulation::straight::Straight;
use tideroute_wire::capture::CapturedProcess;
use tideroute_wire::event_loop::EventHandler;
use tideroute_wire::{Address, Micros};

use crate::{Ended, Run};

/// Between two progress lines.
const PROGRESS: Duration = Duration::from_millis(500);
/// Bytes: a larger file is none of ours.
const LARGEST: u64 = 1 << 20;

/// Reads and checks a file of records.
pub fn read(path: &Path) -> Result<File, String> {
    let named = |e: std::io::Error| format!("{}: {e}", path.display());
    let size = std::fs::metadata(path).map_err(named)?.len();
    if size > LARGEST {
        return Err(format!("{}: {size} bytes are more than a file of records may have", path.display()));
    }
    let text = std::fs::read_to_string(path).map_err(named)?;
    tideroute_config_language::read(&path.display().to_string(), &text).map_err(|p| p.report())
}

pub fn part<T>(path: &Path, part: Option<T>, name: &str) -> Result<T, String> {
    part.ok_or_else(|| format!("{}: it has no part `{name}`, which this command needs", path.display()))
}

/// A loop that listens at the address, with the record and the tether that a day asks for.
fn reactor(addresses: &[SocketAddr], run: &Run, name: &str, role: &str) -> Result<Reactor, String> {
    let reactor = Reactor::new(addresses).map_err(|e| e.to_string())?;
    if run.tethered {
        tether();
    }
    prepare(reactor, addresses, run, name, role)
}

/// Ends this process when standard input does.
pub fn tether() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(3);
    });
}

/// Has a loop catch signals and write down what passes.
pub fn prepare(
    mut reactor: Reactor,
    addresses: &[SocketAddr],
    run: &Run,
    name: &str,
    role: &str,
) -> Result<Reactor, String> {
    reactor.catch_signals().map_err(|e| e.to_string())?;
    furnish(reactor, addresses, run, name, role)
}

/// Has a loop write down what passes, and find the ways and the clock that a day asks for.
pub fn furnish(
    mut reactor: Reactor,
    addresses: &[SocketAddr],
    run: &Run,
    name: &str,
    role: &str,
) -> Result<Reactor, String> {
    if let Some(path) = &run.tap {
        let address = addresses.first().and_then(|a| convert::address(&a.to_string()).ok());
        let who = CapturedProcess { number: run.process, name: name.into(), role: role.into(), address };
        let tap = TrafficCapture::create(path, &who).map_err(|e| format!("{}: {e}", path.display()))?;
        reactor.capture_traffic(tap);
    }
    if let Some(path) = &run.ways {
        reactor.override_addresses(ways(path)?);
    }
    if let Some(clock) = &run.clock {
        reactor.skew_clock(warp(clock).ok_or_else(|| format!("--clock {clock}: not four numbers"))?);
    }
    Ok(reactor)
}

fn ways(path: &Path) -> Result<HashMap<Address, Address>, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let pair = |line: &str| {
        let (to, by) =
            line.split_once(' ').ok_or_else(|| format!("{}: {line:?} is no way", path.display()))?;
        Ok((convert::address(to)?, convert::address(by)?))
    };
    text.lines().map(pair).collect()
}

fn warp(text: &str) -> Option<ClockSkew> {
    let parts: Vec<_> = text.split(',').collect();
    let [from, until, rate, ahead] = parts[..] else { return None };
    let (from, until) = (from.parse().ok()?, until.parse().ok()?);
    Some(ClockSkew { from, until, rate: rate.parse().ok()?, offset: ahead.parse().ok()? })
}

/// Drives the program; false if it ended by a crash of its own or by force.
fn drive(mut reactor: Reactor, program: &mut impl EventHandler) -> Ended {
    Ok(reactor.run(program).map_err(|e| e.to_string())? == Loop::Finished)
}

pub fn worker(path: &Path, cold: bool, run: &Run) -> Ended {
    let record = part(path, read(path)?.worker, "worker")?;
    let listen = convert::socket(&record.listen)?;
    let reactor = reactor(&[listen.into()], run, &record.name, "worker")?;
    let now = reactor.clock().now();
    let terms = convert::worker(&record, cold, run.script_from.unwrap_or(now), now)?;
    drive(reactor, &mut EmulatedWorker::new(terms, now))
}

pub fn list(path: &Path, run: &Run) -> Ended {
    let record = part(path, read(path)?.list, "list")?;
    let listen = convert::socket(&record.listen)?;
    let reactor = reactor(&[listen.into()], run, "list", "list")?;
    let now = reactor.clock().now();
    drive(reactor, &mut Discovery::new(convert::list(&record, run.script_from.unwrap_or(now), now)))
}

pub fn relay(path: &Path, run: &Run) -> Ended {
    let record = part(path, read(path)?.relay, "relay")?;
    let doors = record.doors.iter().map(|d| Ok(convert::socket(&d.listen)?.into()));
    let doors: Vec<SocketAddr> = doors.collect::<Result<_, String>>()?;
    let mut reactor = reactor(&doors, run, "relay", "relay")?;
    let datagrams = record.datagrams.iter().map(|d| Ok(convert::socket(&d.listen)?.into()));
    let datagrams: Vec<SocketAddr> = datagrams.collect::<Result<_, String>>()?;
    reactor.add_datagram_sockets(&datagrams).map_err(|e| e.to_string())?;
    reactor.set_raw(0);
    let now = reactor.clock().now();
    drive(reactor, &mut Relay::new(convert::relay(&record, run.script_from.unwrap_or(now), now)?))
}

/// The load straight to the workers; its few figures go where the day looks for them.
pub fn straight(
    path: &Path,
    workers: &Path,
    way: Way,
    figures: [Option<PathBuf>; 2],
    begin_at: Option<Micros>,
    run: &Run,
) -> Ended {
    let record = part(path, read(path)?.load, "load")?;
    let named = |path: &Path, e: String| format!("{}: {e}", path.display());
    let known = std::fs::read(workers).map_err(|e| named(workers, e.to_string()))?;
    let known = serde_json::from_slice(&known).map_err(|e| named(workers, e.to_string()))?;
    let reactor = reactor(&[], run, "load", "client")?;
    wait_for(begin_at, &reactor);
    let mut program = Straight::new(&record, known, way);
    let ended = drive(reactor, &mut program)?;
    let line = format!("{} ended, {} of them failed\n", program.ended, program.failed);
    for path in figures.iter().flatten() {
        std::fs::write(path, &line).map_err(|e| named(path, e.to_string()))?;
    }
    Ok(ended && program.failed == 0)
}

fn wait_for(begin_at: Option<Micros>, reactor: &Reactor) {
    if let Some(at) = begin_at {
        std::thread::sleep(Duration::from_micros(at.saturating_sub(reactor.clock().now())));
    }
}

pub fn load(
    path: &Path,
    json: Option<&Path>,
    table: Option<&Path>,
    begin_at: Option<Micros>,
    run: &Run,
) -> Ended {
    let record = part(path, read(path)?.load, "load")?;
    let routers = record.routers.iter().map(|r| convert::address(r)).collect::<Result<_, _>>()?;
    let reactor = reactor(&[], run, "load", "client")?;
    wait_for(begin_at, &reactor);
    let mut load = Load::new(record, routers);
    let over = Arc::new(AtomicBool::new(false));
    let shown = std::io::stderr().is_terminal().then(|| {
        let (progress, over) = (load.progress(), over.clone());
        std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                eprint!("\r\x1b[K{}", progress.line());
                std::thread::sleep(PROGRESS);
            }
            eprintln!("\r\x1b[K{}", progress.line());
        })
    });
    let ended = drive(reactor, &mut load)?;
    over.store(true, Ordering::Relaxed);
    shown.map(std::thread::JoinHandle::join);
    let write =
        |path: &Path, text: &str| std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()));
    match table {
        Some(path) => write(path, &load.tally.table())?,
        None => println!("{}", load.tally.table()),
    }
    if let Some(path) = json {
        write(path, &load.tally.json().to_string())?;
    }
    Ok(ended && load.tally.unanswered == 0 && load.tally.wrong == 0)
}
