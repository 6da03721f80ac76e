//! Plays one scripted day on real processes and judges it.

use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rustix::process::Signal;
use tideroute_config_language::kinds::{Day, Trouble};
use tideroute_config_language::Problems;
use tideroute_membership_checker::Report as Views;
use tideroute_reactor::clock::Clock;
use tideroute_trace_checker::{CheckError, Report};
use tideroute_wire::capture::CaptureError;
use tideroute_wire::Micros;

use crate::convert::address;
use crate::faults;
use crate::files::{self, Ports};
use crate::legs::{legs, Legs};
use crate::parts;
use crate::processes::{Processes, Recipe};
use crate::relays::Relays;

/// Ports from here on are tried; below those that a machine gives to outgoing connections.
const FIRST_PORT: u16 = 20_000;
/// Microseconds: how long everybody has to start before the load begins, beyond the list's lag.
const START: Micros = 1_500_000;
/// Microseconds more for each of them.
const START_EACH: Micros = 15_000;
/// How often the player looks for what is to be done.
const STEP: Duration = Duration::from_millis(5);
/// Microseconds from the end of a silence or a drain to the new start.
const STARTS_AGAIN: Micros = 500_000;
/// Microseconds between two looks at the memory of all processes.
const MEMORY: Micros = 500_000;
/// Microseconds that a router told to stop may take, beyond the longest cut-off.
const STOPPING: Micros = 10_000_000;

#[derive(Debug, thiserror::Error)]
pub enum DayError {
    #[error("{0}: {1}")]
    File(String, io::Error),
    #[error("a process could not be started: {0}")]
    Start(io::Error),
    #[error("{0} does not listen")]
    Deaf(String),
    #[error("{0}")]
    Printed(#[from] Problems),
    #[error("the record could not be merged: {0}")]
    Record(#[from] CaptureError),
    #[error(transparent)]
    Check(#[from] CheckError),
    #[error(transparent)]
    Views(#[from] tideroute_membership_checker::CheckError),
    #[error("the load ended without its figures")]
    NoFigures,
    #[error("a day in which tenants are removed is played with --in-virtual-time only")]
    VirtualOnly,
    #[error("interrupted")]
    Interrupted,
}

/// What a day came to.
pub struct Played {
    pub report: Report,
    /// How its routers saw each other, where they knew each other.
    pub views: Option<Views>,
    /// The load's figures, as `tideroute load --json` writes them.
    pub figures: serde_json::Value,
    pub table: String,
    /// Expectations of the day, each with what was seen and whether it held.
    pub expected: Vec<(String, String, bool)>,
    pub memory: BTreeMap<String, u64>,
    /// Seconds of CPU of each process.
    pub cpu: BTreeMap<String, f64>,
    /// The most descriptors of each process.
    pub descriptors: BTreeMap<String, u64>,
    /// Seconds until all listened, and in all.
    pub took: [f64; 2],
    pub record: PathBuf,
}

impl Played {
    pub fn passed(&self) -> bool {
        self.report.kept()
            && self.views.as_ref().is_none_or(Views::kept)
            && self.expected.iter().all(|(.., held)| *held)
    }
}

/// Plays the day in a folder of its own. `program` is the program itself; `interrupted` ends the day early.
pub fn play(day: &Day, program: &Path, folder: &Path, interrupted: &AtomicBool) -> Result<Played, DayError> {
    if day.troubles.iter().any(|t| t.act == "remove") {
        return Err(DayError::VirtualOnly);
    }
    let day = &faults::drawn(day);
    let (player, ports) = pass(day, program, folder, interrupted, None)?;
    let (table, exits, fallen) = (player.table.clone(), player.exits.clone(), player.fallen.clone());
    let (memory, all) = (player.processes.memory.clone(), &player.processes.parts);
    let record = folder.join("day.record.zst");
    let mut terms = serde_json::to_value(files::rules(day, &ports)).unwrap_or_default();
    terms["members"] = serde_json::to_value(files::members(day, player.begins)).unwrap_or_default();
    parts::merge(all, &terms.to_string(), &record)?;
    let (report, views) = (check(&record)?, views(&record)?);
    let figures = std::fs::read(folder.join("load.json")).map_err(|_| DayError::NoFigures)?;
    let figures = serde_json::from_slice(&figures).map_err(|_| DayError::NoFigures)?;
    let expected = expectations(day, &figures, &memory, &exits, &fallen, &report);
    let (cpu, descriptors) = (player.processes.cpu.clone(), player.processes.descriptors.clone());
    let took = [player.listened, player.processes.now()].map(|at| (at - player.started) as f64 / 1e6);
    Ok(Played { report, views, figures, table, expected, memory, cpu, descriptors, took, record })
}

/// Plays the day only to see what the ways take, through its routers or straight to the workers.
pub fn measure(
    day: &Day,
    program: &Path,
    folder: &Path,
    interrupted: &AtomicBool,
    straight: bool,
) -> Result<Legs, DayError> {
    let record = straight_or_not(day, program, folder, interrupted, straight.then_some("next"))?;
    Ok(legs(open(&record)?, !straight)?)
}

/// Plays the day with no routers: its load goes straight to the workers, choosing readers that way
/// ([`Way`](crate::choosers::Way)). Where the record is.
pub fn straight(
    day: &Day,
    program: &Path,
    folder: &Path,
    interrupted: &AtomicBool,
    way: &str,
) -> Result<PathBuf, DayError> {
    straight_or_not(day, program, folder, interrupted, Some(way))
}

fn straight_or_not(
    day: &Day,
    program: &Path,
    folder: &Path,
    interrupted: &AtomicBool,
    straight: Option<&str>,
) -> Result<PathBuf, DayError> {
    let (player, ports) = pass(day, program, folder, interrupted, straight)?;
    let record = folder.join("day.record.zst");
    let terms = serde_json::to_string(&files::rules(day, &ports)).unwrap_or_default();
    parts::merge(&player.processes.parts, &terms, &record)?;
    Ok(record)
}

/// Lets the day pass, from the first process started to the last one ended.
fn pass<'a>(
    day: &'a Day,
    program: &Path,
    folder: &'a Path,
    interrupted: &'a AtomicBool,
    straight: Option<&'a str>,
) -> Result<(Player<'a>, Ports), DayError> {
    std::fs::create_dir_all(folder).map_err(|e| DayError::File(folder.display().to_string(), e))?;
    let relays = Relays::plan(day);
    let ports = free_ports(day, relays.doors()).map_err(DayError::Start)?;
    let clock = Clock::start();
    let begins = clock.now() + START + START_EACH * processes(day) as u64 + day.lag;
    let mut player = Player {
        day,
        folder,
        begins,
        started: clock.now(),
        listened: 0,
        processes: Processes::new(program, folder, clock),
        recipes: BTreeMap::new(),
        fallen: vec![],
        exits: BTreeMap::new(),
        table: String::new(),
        straight,
        interrupted,
    };
    player.write_files(&ports, &relays)?;
    player.start_all()?;
    player.listened = player.processes.now();
    player.run()?;
    player.stop_all()?;
    Ok((player, ports))
}

/// Opens a record that was kept.
pub fn open(record: &Path) -> Result<impl Read, DayError> {
    let named = |e| DayError::File(record.display().to_string(), e);
    let file = std::fs::File::open(record).map_err(named)?;
    zstd::Decoder::new(file).map_err(named)
}

/// Checks the rules on a record that was kept.
pub fn check(record: &Path) -> Result<Report, DayError> {
    Ok(tideroute_trace_checker::check(open(record)?)?)
}

/// Checks on a record that was kept how routers saw each other; None if they did not know each other.
pub fn views(record: &Path) -> Result<Option<Views>, DayError> {
    Ok(tideroute_membership_checker::check(open(record)?)?)
}

/// How many processes a day has.
fn processes(day: &Day) -> usize {
    day.routers + day.workers().count() + 2
}

/// Addresses for everybody, on a loopback address of this process's own: a worker that was killed finds its port
/// free when it comes back, as no connection and no other day can have taken it meanwhile.
fn free_ports(day: &Day, doors: usize) -> io::Result<Ports> {
    let (workers, process) = (day.workers().count(), std::process::id());
    let members = if day.membership { day.routers } else { 0 };
    let own = Ipv4Addr::new(127, 1 + (process >> 8) as u8 % 250, 1 + process as u8 % 250, 1);
    let count = 1 + day.routers + workers + members + doors;
    let mut names = Vec::new();
    for port in FIRST_PORT..u16::MAX {
        let at = SocketAddrV4::new(own, port);
        if TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok() {
            names.push(at.to_string());
        }
        if names.len() == count {
            break;
        }
    }
    if names.len() < count {
        return Err(io::ErrorKind::AddrNotAvailable.into());
    }
    let doors = names.split_off(1 + day.routers + workers + members);
    let members = names.split_off(1 + day.routers + workers);
    let workers = names.split_off(1 + day.routers);
    let routers = names.split_off(1);
    Ok(Ports { list: names.remove(0), routers, workers, members, doors })
}

struct Player<'a> {
    day: &'a Day,
    folder: &'a Path,
    begins: Micros,
    started: Micros,
    listened: Micros,
    processes: Processes,
    recipes: BTreeMap<String, Recipe>,
    /// Workers that ended without being killed.
    fallen: Vec<String>,
    /// Whether each router ended in order when it was told.
    exits: BTreeMap<String, bool>,
    /// What the load printed.
    table: String,
    /// The load goes straight to the workers, choosing that way; there are no routers.
    straight: Option<&'a str>,
    interrupted: &'a AtomicBool,
}

/// Something to be done at a time of the day.
pub(crate) enum Deed<'a> {
    Kill(&'a str),
    /// Started again, with or without what it kept.
    Start(&'a str, bool),
    Halt(&'a str),
    GoOn(&'a str),
    Remove(&'a str),
}

fn write(folder: &Path, name: &str, file: &tideroute_config_language::File) -> Result<String, DayError> {
    let path = folder.join(format!("{name}.cue"));
    let text = tideroute_config_language::print(file)?;
    std::fs::write(&path, text).map_err(|e| DayError::File(path.display().to_string(), e))?;
    Ok(path.display().to_string())
}

impl Player<'_> {
    fn add(&mut self, name: &str, role: &str, at: Option<&String>, arguments: &[&str]) {
        let recipe = Recipe {
            name: name.to_string(),
            role: role.to_string(),
            address: at.and_then(|a| address(a).ok()),
            arguments: arguments.iter().map(|a| a.to_string()).collect(),
            speaks: role == "client",
            cores: if role == "router" { self.day.cores } else { 1 },
            member: role == "router" && self.day.membership,
        };
        self.recipes.insert(name.to_string(), recipe);
    }

    fn write_files(&mut self, ports: &Ports, relays: &Relays) -> Result<(), DayError> {
        let (day, folder, begins) = (self.day, self.folder, self.begins.to_string());
        let path = write(folder, "list", &files::list(day, ports))?;
        self.add("list", "list", Some(&ports.list), &["list", &path, "--script-from", &begins]);
        for (place, (name, group, n)) in day.workers().enumerate() {
            let path = write(folder, &name, &files::worker(day, ports, place, &name, group, n))?;
            let arguments = ["worker", &path, "--script-from", &begins];
            self.add(&name, "worker", Some(&ports.workers[place]), &arguments);
        }
        let routers = if self.straight.is_some() { 0 } else { day.routers };
        for (n, name) in day.router_names().enumerate().take(routers) {
            let keep = folder.join(format!("{name}.list")).display().to_string();
            let path = write(folder, &name, &files::router(day, ports, n, keep))?;
            self.add(&name, "router", Some(&ports.routers[n]), &["router", &path]);
        }
        let path = write(folder, "load", &files::load(day, ports))?;
        let [json, table] = ["load.json", "load.txt"].map(|f| folder.join(f).display().to_string());
        let mut arguments = vec!["load", &path, "--json", &json, "--table", &table, "--begin-at", &begins];
        let straight = folder.join("workers.json").display().to_string();
        if let Some(way) = self.straight {
            let known = serde_json::to_string(&files::known(day, ports)).unwrap_or_default();
            std::fs::write(&straight, known).map_err(|e| DayError::File(straight.clone(), e))?;
            arguments.extend(["--straight-to", &straight, "--straight-by", way]);
        }
        self.add("load", "client", None, &arguments);
        if let Some(file) = relays.file(day, ports) {
            let path = write(folder, "relay", &file)?;
            self.add("relay", "relay", relays.door(ports), &["relay", &path, "--script-from", &begins]);
        }
        for (name, recipe) in &mut self.recipes {
            if let Some(ways) = relays.ways(day, ports, name) {
                let path = folder.join(format!("{name}.ways"));
                std::fs::write(&path, ways).map_err(|e| DayError::File(path.display().to_string(), e))?;
                recipe.arguments.extend(["--ways".into(), path.display().to_string()]);
            }
            if let Some(t) = day.troubles.iter().find(|t| t.act == "clock" && t.who.contains(name)) {
                let from = self.begins + t.at;
                let (until, rate) = (from + t.lasts.unwrap_or(0), t.rate.unwrap_or(1.0));
                let ahead = t.ahead.unwrap_or(0) as i64 - t.behind.unwrap_or(0) as i64;
                recipe.arguments.push(format!("--clock={from},{until},{rate},{ahead}"));
            }
        }
        Ok(())
    }

    fn start(&mut self, name: &str, cold: bool) -> Result<(), DayError> {
        let Some(mut recipe) = self.recipes.get(name).cloned() else { return Ok(()) };
        if cold && recipe.role == "worker" {
            recipe.arguments.push("--cold".into());
        }
        self.processes.start(&recipe).map_err(DayError::Start)
    }

    fn start_all(&mut self) -> Result<(), DayError> {
        let mut names: Vec<_> = self.recipes.keys().cloned().collect();
        // The list first, then those that call it, then those that call them.
        let order = ["list", "relay", "worker", "router", "client"];
        names.sort_by_key(|n| order.iter().position(|r| *r == self.recipes[n].role));
        for name in &names {
            self.start(name, false)?;
        }
        for name in names.iter().filter(|n| self.recipes[*n].address.is_some()) {
            let Some([a, b, c, d, high, low]) = self.recipes[name].address else { continue };
            let at = SocketAddrV4::new([a, b, c, d].into(), u16::from_be_bytes([high, low]));
            while TcpStream::connect(at).is_err() {
                self.pause()?;
                if self.processes.ended(name).is_some() || self.processes.now() > self.begins {
                    return Err(DayError::Deaf(name.clone()));
                }
            }
        }
        Ok(())
    }

    fn pause(&self) -> Result<(), DayError> {
        std::thread::sleep(STEP);
        if self.interrupted.load(Ordering::Relaxed) {
            return Err(DayError::Interrupted);
        }
        Ok(())
    }

    /// Lets the day pass and makes go wrong what is to go wrong, until the load has ended.
    fn run(&mut self) -> Result<(), DayError> {
        let mut deeds = deeds(&self.day.troubles);
        deeds.sort_by_key(|(at, _)| *at);
        let mut deeds = deeds.into_iter().peekable();
        let mut looked = 0;
        let longest = self.day.tracks.iter().map(|t| t.cut_off).max().unwrap_or(0);
        let latest = self.begins + self.day.load.lasts + 4 * longest + STOPPING;
        loop {
            self.pause()?;
            let now = self.processes.now();
            while let Some((_, deed)) = deeds.next_if(|(at, _)| self.begins + at <= now) {
                match deed {
                    Deed::Kill(who) => self.processes.kill(who),
                    Deed::Start(who, keeps) if !self.processes.runs(who) => {
                        if !keeps {
                            let _ = std::fs::remove_file(self.folder.join(format!("{who}.list")));
                        }
                        self.start(who, true)?;
                    }
                    Deed::Start(..) => {}
                    Deed::Halt(who) => self.processes.halt(who, true),
                    Deed::GoOn(who) => self.processes.halt(who, false),
                    Deed::Remove(_) => return Err(DayError::VirtualOnly),
                }
            }
            if now > looked + MEMORY {
                self.processes.look();
                looked = now;
                for name in self.processes.names() {
                    if self.recipes[&name].role != "client" && self.processes.ended(&name).is_some() {
                        self.fallen.push(name);
                    }
                }
            }
            if self.processes.ended("load").is_some() {
                let path = self.folder.join("load.txt");
                self.table = std::fs::read_to_string(path).map_err(|_| DayError::NoFigures)?;
                return Ok(());
            }
            if now > latest {
                return Err(DayError::NoFigures);
            }
        }
    }

    /// Tells all to end, routers first.
    fn stop_all(&mut self) -> Result<(), DayError> {
        self.processes.look();
        let routers: Vec<_> = self.day.router_names().filter(|n| self.processes.runs(n)).collect();
        let mut exits = BTreeMap::new();
        let longest = self.day.tracks.iter().map(|t| t.cut_off).max().unwrap_or(0);
        for first in [true, false] {
            let names = if first { routers.clone() } else { self.processes.names() };
            for name in &names {
                self.processes.halt(name, false);
                self.processes.signal(name, Signal::TERM);
            }
            let until = self.processes.now() + longest + STOPPING;
            let mut left = names;
            while !left.is_empty() && self.processes.now() < until {
                left.retain(|name| match self.processes.ended(name) {
                    Some(status) => {
                        exits.insert(name.clone(), status.success());
                        false
                    }
                    None => true,
                });
                self.pause()?;
            }
            for name in left {
                self.processes.kill(&name);
                exits.insert(name, false);
            }
        }
        exits.retain(|name, _| self.recipes[name].role == "router");
        self.exits = exits;
        Ok(())
    }
}

pub(crate) fn deeds(troubles: &[Trouble]) -> Vec<(Micros, Deed<'_>)> {
    let mut deeds = Vec::new();
    for t in troubles {
        for who in &t.who {
            match t.act.as_str() {
                "kill" => {
                    deeds.push((t.at, Deed::Kill(who)));
                    deeds.extend(t.back.map(|back| (t.at + back, Deed::Start(who, t.keeps.unwrap_or(true)))));
                }
                "halt" => {
                    deeds.push((t.at, Deed::Halt(who)));
                    deeds.push((t.at + t.lasts.unwrap_or(0), Deed::GoOn(who)));
                }
                "remove" => deeds.push((t.at, Deed::Remove(who))),
                // What was silent or has drained is started anew.
                "silent" | "drain" => {
                    let Some(lasts) = t.lasts else { continue };
                    deeds.push((t.at + lasts, Deed::Kill(who)));
                    deeds.push((t.at + lasts + STARTS_AGAIN, Deed::Start(who, true)));
                }
                _ => {}
            }
        }
    }
    deeds
}

fn expectations(
    day: &Day,
    figures: &serde_json::Value,
    memory: &BTreeMap<String, u64>,
    exits: &BTreeMap<String, bool>,
    fallen: &[String],
    report: &Report,
) -> Vec<(String, String, bool)> {
    let number = |name: &str| figures[name].as_f64().unwrap_or(f64::NAN);
    let least = |name: &str, seen: f64, least: f64| {
        let wanted = format!("{name} of at least {:.0}%", 100.0 * least);
        (wanted, format!("{:.1}%", 100.0 * seen), seen >= least)
    };
    let (most, mib) = (memory.iter().max_by_key(|(_, bytes)| **bytes), |b: u64| b as f64 / 1048576.0);
    let (name, bytes) = most.map_or(("nobody", 0), |(name, bytes)| (name.as_str(), *bytes));
    let unlike = exits.values().filter(|well| !**well).count();
    // Whom a halted router answers late is for the check of the rules to judge, which knows of the halts.
    let router = |who: &String| day.router_names().any(|name| name == *who);
    let halted = |t: &Trouble| t.act == "halt" && t.who.iter().any(router);
    let unanswered = if day.troubles.iter().any(halted) { 0.0 } else { number("unanswered") };
    let wrong = number("wrong") + unanswered;
    vec![
        least("a service", number("service"), day.expect.service),
        least("an honoured part", number("honoured_part"), day.expect.honoured),
        (
            format!("no process over {:.0} MiB", mib(day.expect.memory)),
            format!("{:.1} MiB, {name}", mib(bytes)),
            bytes <= day.expect.memory,
        ),
        ("routers end in order when told".into(), format!("{unlike} did not"), unlike == 0),
        ("nobody fell over".into(), fallen.join(", "), fallen.is_empty()),
        ("every answer right and in time".into(), format!("{wrong:.0} not"), wrong == 0.0),
        (
            "a record with something in it".into(),
            format!("{} events", report.counts.events),
            report.counts.taken > 0 && report.counts.honoured > 0,
        ),
    ]
}
