//! Starts the processes of a scenario, injects its faults and shuts it down.

use std::collections::BTreeMap;
use std::net::{SocketAddrV4, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rustix::process::Signal;
use tideroute_config_language::records::Scenario;
use tideroute_wire::Micros;

use super::timeline::{fault_timeline, FaultAction};
use super::ScenarioError;
use crate::convert::address;
use crate::process_configs::{self, Ports};
use crate::processes::{Processes, Recipe};
use crate::relays::Relays;

/// How often the player looks for what is due.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Microseconds between two samples of the memory, CPU and descriptors of all processes.
const RESOURCE_SAMPLE_INTERVAL: Micros = 500_000;
/// Microseconds that a router may take to shut down, beyond the longest deadline of a request.
const SHUTDOWN_TIMEOUT: Micros = 10_000_000;

/// The running processes of a scenario.
pub struct ScenarioPlayer<'a> {
    /// The scenario.
    pub day: &'a Scenario,
    /// Where configurations, captures and logs lie.
    pub folder: &'a Path,
    /// When the load begins.
    pub begins: Micros,
    /// When the first process was started.
    pub started: Micros,
    /// When all processes listened.
    pub listened: Micros,
    pub processes: Processes,
    pub recipes: BTreeMap<String, Recipe>,
    /// Workers that ended without being killed.
    pub fallen: Vec<String>,
    /// Whether each router shut down gracefully.
    pub exits: BTreeMap<String, bool>,
    /// What the load printed.
    pub table: String,
    /// The policy of a load that goes directly to workers; there are no routers then.
    pub direct_policy: Option<&'a str>,
    pub interrupted: &'a AtomicBool,
}

fn write(folder: &Path, name: &str, file: &tideroute_config_language::File) -> Result<String, ScenarioError> {
    let path = folder.join(format!("{name}.cue"));
    let text = tideroute_config_language::print(file)?;
    std::fs::write(&path, text).map_err(|e| ScenarioError::File(path.display().to_string(), e))?;
    Ok(path.display().to_string())
}

impl ScenarioPlayer<'_> {
    /// Adds a process that is to be started.
    fn add(&mut self, name: &str, role: &str, at: Option<&String>, arguments: &[&str]) {
        let recipe = Recipe {
            name: name.to_string(),
            role: role.to_string(),
            address: at.and_then(|a| address(a).ok()),
            arguments: arguments.iter().map(|a| a.to_string()).collect(),
            inherits_output: role == "client",
            cores: if role == "router" { self.day.cores } else { 1 },
            member: role == "router" && self.day.membership,
        };
        self.recipes.insert(name.to_string(), recipe);
    }

    /// Writes the configuration of all processes, and how to start each.
    pub fn write_files(&mut self, ports: &Ports, relays: &Relays) -> Result<(), ScenarioError> {
        let (day, folder, begins) = (self.day, self.folder, self.begins.to_string());
        let path = write(folder, "list", &process_configs::list(day, ports))?;
        self.add("list", "list", Some(&ports.list), &["list", &path, "--script-start", &begins]);
        for (index, (name, group, n)) in day.workers().enumerate() {
            let path = write(folder, &name, &process_configs::worker(day, ports, index, &name, group, n))?;
            let arguments = ["worker", &path, "--script-start", &begins];
            self.add(&name, "worker", Some(&ports.workers[index]), &arguments);
        }
        let routers = if self.direct_policy.is_some() { 0 } else { day.routers };
        for (n, name) in day.router_names().enumerate().take(routers) {
            let keep = folder.join(format!("{name}.list")).display().to_string();
            let path = write(folder, &name, &process_configs::router(day, ports, n, keep))?;
            self.add(&name, "router", Some(&ports.routers[n]), &["router", &path]);
        }
        let path = write(folder, "load", &process_configs::load(day, ports))?;
        let [json, table] = ["load.json", "load.txt"].map(|f| folder.join(f).display().to_string());
        let mut arguments = vec!["load", &path, "--json", &json, "--table", &table, "--begin-at", &begins];
        let workers = folder.join("workers.json").display().to_string();
        if let Some(policy) = self.direct_policy {
            let known = serde_json::to_string(&process_configs::known(day, ports)).unwrap_or_default();
            std::fs::write(&workers, known).map_err(|e| ScenarioError::File(workers.clone(), e))?;
            arguments.extend(["--direct-to", &workers, "--policy", policy]);
        }
        self.add("load", "client", None, &arguments);
        if let Some(file) = relays.file(day, ports) {
            let path = write(folder, "relay", &file)?;
            self.add("relay", "relay", relays.door(ports), &["relay", &path, "--script-start", &begins]);
        }
        for (name, recipe) in &mut self.recipes {
            if let Some(overrides) = relays.address_overrides(day, ports, name) {
                let path = folder.join(format!("{name}.ways"));
                std::fs::write(&path, overrides)
                    .map_err(|e| ScenarioError::File(path.display().to_string(), e))?;
                recipe.arguments.extend(["--address-overrides".into(), path.display().to_string()]);
            }
            if let Some(t) =
                day.scheduled_faults.iter().find(|t| t.kind == "clock" && t.targets.contains(name))
            {
                let from = self.begins + t.at;
                let (until, rate) = (from + t.duration.unwrap_or(0), t.clock_rate.unwrap_or(1.0));
                let ahead = t.clock_ahead.unwrap_or(0) as i64 - t.clock_behind.unwrap_or(0) as i64;
                recipe.arguments.push(format!("--clock-skew={from},{until},{rate},{ahead}"));
            }
        }
        Ok(())
    }

    /// Starts one process.
    fn start(&mut self, name: &str, cold: bool) -> Result<(), ScenarioError> {
        let Some(mut recipe) = self.recipes.get(name).cloned() else { return Ok(()) };
        if cold && recipe.role == "worker" {
            recipe.arguments.push("--cold".into());
        }
        self.processes.start(&recipe).map_err(ScenarioError::Start)
    }

    /// Starts all processes and waits until they listen.
    pub fn start_all(&mut self) -> Result<(), ScenarioError> {
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
                if self.processes.exit_status(name).is_some() || self.processes.now() > self.begins {
                    return Err(ScenarioError::NotListening(name.clone()));
                }
            }
        }
        Ok(())
    }

    /// Waits a moment; an error if the scenario was interrupted.
    fn pause(&self) -> Result<(), ScenarioError> {
        std::thread::sleep(POLL_INTERVAL);
        if self.interrupted.load(Ordering::Relaxed) {
            return Err(ScenarioError::Interrupted);
        }
        Ok(())
    }

    /// Injects the faults in time, until the load has ended.
    pub fn run(&mut self) -> Result<(), ScenarioError> {
        let mut actions = fault_timeline(&self.day.scheduled_faults);
        actions.sort_by_key(|(at, _)| *at);
        let mut actions = actions.into_iter().peekable();
        let mut last_sample = 0;
        let longest = self.day.classes.iter().map(|t| t.deadline).max().unwrap_or(0);
        let latest = self.begins + self.day.load.duration + 4 * longest + SHUTDOWN_TIMEOUT;
        loop {
            self.pause()?;
            let now = self.processes.now();
            while let Some((_, action)) = actions.next_if(|(at, _)| self.begins + at <= now) {
                match action {
                    FaultAction::Kill(who) => self.processes.kill(who),
                    FaultAction::Start(who, keeps) if !self.processes.is_running(who) => {
                        if !keeps {
                            let _ = std::fs::remove_file(self.folder.join(format!("{who}.list")));
                        }
                        self.start(who, true)?;
                    }
                    FaultAction::Start(..) => {}
                    FaultAction::Halt(who) => self.processes.set_paused(who, true),
                    FaultAction::GoOn(who) => self.processes.set_paused(who, false),
                    FaultAction::Remove(_) => return Err(ScenarioError::VirtualOnly),
                }
            }
            if now > last_sample + RESOURCE_SAMPLE_INTERVAL {
                self.processes.sample_all();
                last_sample = now;
                for name in self.processes.running_names() {
                    if self.recipes[&name].role != "client" && self.processes.exit_status(&name).is_some() {
                        self.fallen.push(name);
                    }
                }
            }
            if self.processes.exit_status("load").is_some() {
                let path = self.folder.join("load.txt");
                self.table = std::fs::read_to_string(path).map_err(|_| ScenarioError::NoFigures)?;
                return Ok(());
            }
            if now > latest {
                return Err(ScenarioError::NoFigures);
            }
        }
    }

    /// Shuts all processes down, routers first.
    pub fn stop_all(&mut self) -> Result<(), ScenarioError> {
        self.processes.sample_all();
        let routers: Vec<_> = self.day.router_names().filter(|n| self.processes.is_running(n)).collect();
        let mut exits = BTreeMap::new();
        let longest = self.day.classes.iter().map(|t| t.deadline).max().unwrap_or(0);
        for first in [true, false] {
            let names = if first { routers.clone() } else { self.processes.running_names() };
            for name in &names {
                self.processes.set_paused(name, false);
                self.processes.signal(name, Signal::TERM);
            }
            let until = self.processes.now() + longest + SHUTDOWN_TIMEOUT;
            let mut left = names;
            while !left.is_empty() && self.processes.now() < until {
                left.retain(|name| match self.processes.exit_status(name) {
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
