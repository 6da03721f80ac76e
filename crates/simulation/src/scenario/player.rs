//! Starts the processes of a scenario, injects its faults and shuts the processes down.

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
use crate::convert::parse_address;
use crate::process_configs::{self, ProcessAddresses};
use crate::processes::{ProcessSpec, Processes};
use crate::relays::Relays;

/// Time between two polls for due faults and ended processes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Microseconds between two samples of the memory, CPU and descriptors of all processes.
const RESOURCE_SAMPLE_INTERVAL: Micros = 500_000;
/// Microseconds that a process may take to shut down, in addition to the longest deadline of a request.
const SHUTDOWN_TIMEOUT: Micros = 10_000_000;

/// The running processes of a scenario.
pub struct ScenarioPlayer<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The folder of the configurations, captures and logs.
    pub folder: &'a Path,
    /// When the client load begins.
    pub load_starts_at: Micros,
    /// When the first process was started.
    pub started_at: Micros,
    /// When all processes listened.
    pub listening_at: Micros,
    pub processes: Processes,
    pub process_specs: BTreeMap<String, ProcessSpec>,
    /// Processes other than the client load that ended during the load without being killed.
    pub crashed: Vec<String>,
    /// Whether each router exited with success after SIGTERM.
    pub clean_exits: BTreeMap<String, bool>,
    /// The table that the client load printed.
    pub load_table: String,
    /// The policy that chooses prefill workers if the load goes directly to workers; there are no routers then.
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
    /// Adds the specification of a process, which is started later.
    fn add(&mut self, name: &str, role: &str, listen: Option<&String>, arguments: &[&str]) {
        let spec = ProcessSpec {
            name: name.to_string(),
            role: role.to_string(),
            address: listen.and_then(|text| parse_address(text).ok()),
            arguments: arguments.iter().map(|argument| argument.to_string()).collect(),
            inherits_output: role == "client",
            cores: if role == "router" { self.scenario.cores } else { 1 },
            runs_membership: role == "router" && self.scenario.membership,
        };
        self.process_specs.insert(name.to_string(), spec);
    }

    /// Writes the configuration files of all processes, and adds the specification of each.
    pub fn write_files(
        &mut self,
        addresses: &ProcessAddresses,
        relays: &Relays,
    ) -> Result<(), ScenarioError> {
        let (scenario, folder, load_starts_at) =
            (self.scenario, self.folder, self.load_starts_at.to_string());
        let path = write(folder, "list", &process_configs::discovery(scenario, addresses))?;
        self.add(
            "list",
            "list",
            Some(&addresses.discovery),
            &["list", &path, "--script-start", &load_starts_at],
        );
        for (index, (name, group, index_in_group)) in scenario.workers().enumerate() {
            let path = write(
                folder,
                &name,
                &process_configs::worker(scenario, addresses, index, &name, group, index_in_group),
            )?;
            let arguments = ["worker", &path, "--script-start", &load_starts_at];
            self.add(&name, "worker", Some(&addresses.workers[index]), &arguments);
        }
        let routers = if self.direct_policy.is_some() { 0 } else { scenario.routers };
        for (router_index, name) in scenario.router_names().enumerate().take(routers) {
            let endpoint_cache = folder.join(format!("{name}.list")).display().to_string();
            let path = write(
                folder,
                &name,
                &process_configs::router(scenario, addresses, router_index, endpoint_cache),
            )?;
            self.add(&name, "router", Some(&addresses.routers[router_index]), &["router", &path]);
        }
        let path = write(folder, "load", &process_configs::load(scenario, addresses))?;
        let [json, table] =
            ["load.json", "load.txt"].map(|file_name| folder.join(file_name).display().to_string());
        let mut arguments =
            vec!["load", &path, "--json", &json, "--table", &table, "--begin-at", &load_starts_at];
        let workers = folder.join("workers.json").display().to_string();
        if let Some(policy) = self.direct_policy {
            let known_workers = serde_json::to_string(&process_configs::known_workers(scenario, addresses))
                .unwrap_or_default();
            std::fs::write(&workers, known_workers).map_err(|e| ScenarioError::File(workers.clone(), e))?;
            arguments.extend(["--direct-to", &workers, "--policy", policy]);
        }
        self.add("load", "client", None, &arguments);
        if let Some(file) = relays.config_file(scenario, addresses) {
            let path = write(folder, "relay", &file)?;
            self.add(
                "relay",
                "relay",
                relays.first_listener(addresses),
                &["relay", &path, "--script-start", &load_starts_at],
            );
        }
        for (name, spec) in &mut self.process_specs {
            if let Some(overrides) = relays.address_overrides(scenario, addresses, name) {
                let path = folder.join(format!("{name}.ways"));
                std::fs::write(&path, overrides)
                    .map_err(|e| ScenarioError::File(path.display().to_string(), e))?;
                spec.arguments.extend(["--address-overrides".into(), path.display().to_string()]);
            }
            if let Some(fault) = scenario
                .scheduled_faults
                .iter()
                .find(|fault| fault.kind == "clock" && fault.targets.contains(name))
            {
                let from = self.load_starts_at + fault.at;
                let (until, rate) = (from + fault.duration.unwrap_or(0), fault.clock_rate.unwrap_or(1.0));
                let ahead = fault.clock_ahead.unwrap_or(0) as i64 - fault.clock_behind.unwrap_or(0) as i64;
                spec.arguments.push(format!("--clock-skew={from},{until},{rate},{ahead}"));
            }
        }
        Ok(())
    }

    /// Starts one process. With `cold`, a worker starts with an empty cache and has to warm up; other processes ignore
    /// it.
    fn start(&mut self, name: &str, cold: bool) -> Result<(), ScenarioError> {
        let Some(mut spec) = self.process_specs.get(name).cloned() else { return Ok(()) };
        if cold && spec.role == "worker" {
            spec.arguments.push("--cold".into());
        }
        self.processes.start(&spec).map_err(ScenarioError::Start)
    }

    /// Starts all processes and waits until they listen.
    pub fn start_all(&mut self) -> Result<(), ScenarioError> {
        let mut names: Vec<_> = self.process_specs.keys().cloned().collect();
        // Each process starts after those to which it connects when it starts.
        let order = ["list", "relay", "worker", "router", "client"];
        names.sort_by_key(|name| order.iter().position(|role| *role == self.process_specs[name].role));
        for name in &names {
            self.start(name, false)?;
        }
        for name in names.iter().filter(|name| self.process_specs[*name].address.is_some()) {
            let Some([a, b, c, d, high, low]) = self.process_specs[name].address else { continue };
            let socket = SocketAddrV4::new([a, b, c, d].into(), u16::from_be_bytes([high, low]));
            while TcpStream::connect(socket).is_err() {
                self.sleep()?;
                if self.processes.exit_status(name).is_some() || self.processes.now() > self.load_starts_at {
                    return Err(ScenarioError::NotListening(name.clone()));
                }
            }
        }
        Ok(())
    }

    /// Sleeps for the poll interval; returns an error if the scenario was interrupted.
    fn sleep(&self) -> Result<(), ScenarioError> {
        std::thread::sleep(POLL_INTERVAL);
        if self.interrupted.load(Ordering::Relaxed) {
            return Err(ScenarioError::Interrupted);
        }
        Ok(())
    }

    /// Injects the faults when they are due, until the client load has ended.
    pub fn run(&mut self) -> Result<(), ScenarioError> {
        let mut actions = fault_timeline(&self.scenario.scheduled_faults);
        actions.sort_by_key(|(at, _)| *at);
        let mut actions = actions.into_iter().peekable();
        let mut last_sample = 0;
        let longest_deadline = self.scenario.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let timeout_at =
            self.load_starts_at + self.scenario.load.duration + 4 * longest_deadline + SHUTDOWN_TIMEOUT;
        loop {
            self.sleep()?;
            let now = self.processes.now();
            while let Some((_, action)) = actions.next_if(|(at, _)| self.load_starts_at + at <= now) {
                match action {
                    FaultAction::Kill(target) => self.processes.kill(target),
                    FaultAction::Start(target, keeps_endpoint_cache)
                        if !self.processes.is_running(target) =>
                    {
                        if !keeps_endpoint_cache {
                            let _ = std::fs::remove_file(self.folder.join(format!("{target}.list")));
                        }
                        self.start(target, true)?;
                    }
                    FaultAction::Start(..) => {}
                    FaultAction::Pause(target) => self.processes.set_paused(target, true),
                    FaultAction::Resume(target) => self.processes.set_paused(target, false),
                    FaultAction::RemoveTenant(_) => return Err(ScenarioError::VirtualOnly),
                }
            }
            if now > last_sample + RESOURCE_SAMPLE_INTERVAL {
                self.processes.sample_all();
                last_sample = now;
                for name in self.processes.running_names() {
                    if self.process_specs[&name].role != "client"
                        && self.processes.exit_status(&name).is_some()
                    {
                        self.crashed.push(name);
                    }
                }
            }
            if self.processes.exit_status("load").is_some() {
                let path = self.folder.join("load.txt");
                self.load_table = std::fs::read_to_string(path).map_err(|_| ScenarioError::NoLoadResults)?;
                return Ok(());
            }
            if now > timeout_at {
                return Err(ScenarioError::NoLoadResults);
            }
        }
    }

    /// Shuts all processes down, routers first.
    pub fn stop_all(&mut self) -> Result<(), ScenarioError> {
        self.processes.sample_all();
        let routers: Vec<_> =
            self.scenario.router_names().filter(|name| self.processes.is_running(name)).collect();
        let mut clean_exits = BTreeMap::new();
        let longest_deadline = self.scenario.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        for only_routers in [true, false] {
            let names = if only_routers { routers.clone() } else { self.processes.running_names() };
            for name in &names {
                self.processes.set_paused(name, false);
                self.processes.signal(name, Signal::TERM);
            }
            let timeout_at = self.processes.now() + longest_deadline + SHUTDOWN_TIMEOUT;
            let mut still_running = names;
            while !still_running.is_empty() && self.processes.now() < timeout_at {
                still_running.retain(|name| match self.processes.exit_status(name) {
                    Some(status) => {
                        clean_exits.insert(name.clone(), status.success());
                        false
                    }
                    None => true,
                });
                self.sleep()?;
            }
            for name in still_running {
                self.processes.kill(&name);
                clean_exits.insert(name, false);
            }
        }
        clean_exits.retain(|name, _| self.process_specs[name].role == "router");
        self.clean_exits = clean_exits;
        Ok(())
    }
}
