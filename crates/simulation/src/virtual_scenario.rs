//! Plays a whole scenario in virtual time: the same scenario file and programs as on real processes, but in one process
//! and without waiting.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use tideroute_config_language::records::Scenario;
use tideroute_emulator::{Discovery, EmulatedWorker};
use tideroute_lifecycle::ProtobufRouter;
use tideroute_trace_checker::{CheckError, Report};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::Micros;

use crate::client_load::Load;
use crate::convert;
use crate::faults;
use crate::load_statistics::LoadStatistics;
use crate::process_configs::{self, ProcessAddresses};
use crate::scenario::{fault_timeline, FaultAction};
use crate::simulator::{NodeId, Simulator};

/// Microseconds since 1970 at which a scenario begins; the moment is arbitrary.
const EPOCH: Micros = 1_700_000_000_000_000;
/// Microseconds that are left for the programs to connect to each other before the load, and for each program to shut
/// down. Also the time between two checks for the end of the load.
const START_TIME: Micros = 1_000_000;
/// Microseconds after the last request within which all requests must have ended.
const DRAIN_TIME: Micros = 120_000_000;
/// Microseconds of network delay, one way, between any two nodes.
const NETWORK_DELAY: Micros = 200;

/// Why a scenario could not be played in virtual time.
#[derive(Debug, thiserror::Error)]
pub enum VirtualScenarioError {
    /// The scenario contradicts itself, or needs real processes.
    #[error("the scenario is invalid: {0}")]
    InvalidScenario(String),
    /// A value of the scenario cannot be used.
    #[error("the scenario is invalid: {0}")]
    Convert(#[from] convert::ConvertError),
    /// The capture could not be written.
    #[error("the capture could not be written: {0}")]
    WriteCapture(#[from] io::Error),
    /// The capture could not be checked.
    #[error(transparent)]
    CheckRules(#[from] CheckError),
}

/// The outcome of a scenario in virtual time.
pub struct VirtualOutcome {
    /// When the client load began.
    pub load_started_at: Micros,
    /// The result of checking the rules on the capture.
    pub report: Report,
    /// The statistics of the client load.
    pub statistics: LoadStatistics,
    /// The capture of all traffic.
    pub capture: Vec<u8>,
    /// Number of events that were dispatched.
    pub events: u64,
    /// Virtual time that passed, microseconds.
    pub virtual_duration: Micros,
    /// Nodes whose program ended before the end of the load without being killed.
    pub crashed: Vec<String>,
}

/// Plays a scenario. The same scenario always gives the same capture, byte for byte.
pub fn play(scenario: &Scenario) -> Result<VirtualOutcome, VirtualScenarioError> {
    let scenario = faults::with_generated_faults(scenario);
    let needs_processes = scenario
        .scheduled_faults
        .iter()
        .find(|fault| ["cut", "delay", "clock"].contains(&fault.kind.as_str()));
    if let Some(fault) = needs_processes {
        return Err(VirtualScenarioError::InvalidScenario(format!(
            "a fault of the kind {} can only be played on real processes",
            fault.kind
        )));
    }
    VirtualScenario::new(&scenario)?.run()
}

struct VirtualScenario<'a> {
    scenario: &'a Scenario,
    addresses: ProcessAddresses,
    simulator: Simulator,
    nodes: BTreeMap<String, NodeId>,
    load_starts_at: Micros,
    start_count: u64,
    load: SharedLoad,
}

impl<'a> VirtualScenario<'a> {
    fn new(scenario: &'a Scenario) -> Result<VirtualScenario<'a>, VirtualScenarioError> {
        let address =
            |subnet: u16, index: usize| format!("10.{subnet}.{}.{}:7000", index / 250, index % 250 + 1);
        let workers = scenario.workers().count();
        let addresses = ProcessAddresses {
            discovery: address(0, 0),
            routers: (0..scenario.routers).map(|index| address(1, index)).collect(),
            workers: (0..workers).map(|index| address(2, index)).collect(),
            members: vec![],
            relay_listeners: vec![],
        };
        let load_starts_at = EPOCH + START_TIME + scenario.lag;
        let load_config = process_configs::load(scenario, &addresses)
            .load
            .ok_or_else(|| VirtualScenarioError::InvalidScenario("it has no client load".into()))?;
        let routers = addresses.routers.iter().map(|router| convert::parse_address(router));
        let routers = routers.collect::<Result<_, _>>()?;
        let load = SharedLoad(Arc::new(Mutex::new(Load::new(load_config, routers))));
        let simulator = Simulator::new(EPOCH, NETWORK_DELAY);
        Ok(VirtualScenario {
            scenario,
            addresses,
            simulator,
            nodes: BTreeMap::new(),
            load_starts_at,
            start_count: 0,
            load,
        })
    }

    fn run(mut self) -> Result<VirtualOutcome, VirtualScenarioError> {
        let names: Vec<_> = ["list".to_string()]
            .into_iter()
            .chain(self.scenario.workers().map(|(name, ..)| name))
            .chain(self.scenario.router_names())
            .collect();
        for name in &names {
            self.start(name, false)?;
        }
        self.simulator.run_until(self.load_starts_at);
        let client = self.simulator.add_node("load", "client", None);
        self.simulator.start(client, Box::new(self.load.clone()));
        let killed = self.inject_faults()?;
        self.simulator.run_until(self.load_starts_at + self.scenario.load.duration);
        let deadline = self.load_starts_at + self.scenario.load.duration + DRAIN_TIME;
        while self.simulator.runs(client) && self.simulator.now() < deadline {
            self.run_for(START_TIME);
        }
        let has_crashed = |name: &&String| !self.simulator.runs(self.nodes[*name]) && !killed.contains(name);
        let crashed = names.iter().filter(has_crashed).cloned().collect();
        // Routers stop first, then the programs to which they connect.
        for name in names.iter().rev() {
            self.simulator.stop(self.nodes[name]);
            self.run_for(START_TIME);
        }
        self.outcome(crashed)
    }

    fn run_for(&mut self, span: Micros) {
        let until = self.simulator.now() + span;
        self.simulator.run_until(until);
    }

    /// Injects the faults when they are due; returns the names of all nodes that were killed.
    fn inject_faults(&mut self) -> Result<Vec<String>, VirtualScenarioError> {
        let mut actions = fault_timeline(&self.scenario.scheduled_faults);
        actions.sort_by_key(|(at, _)| *at);
        let mut killed = vec![];
        for (at, action) in actions {
            self.simulator.run_until(self.load_starts_at + at);
            match action {
                FaultAction::Kill(target) => {
                    killed.push(target.to_string());
                    self.simulator.kill(self.nodes[target]);
                }
                FaultAction::Start(target, keeps_cache) if !self.simulator.runs(self.nodes[target]) => {
                    if !keeps_cache {
                        self.simulator.forget(self.nodes[target]);
                    }
                    self.start(target, true)?;
                }
                FaultAction::Start(..) => {}
                FaultAction::Pause(target) => self.simulator.pause(self.nodes[target]),
                FaultAction::Resume(target) => self.simulator.resume(self.nodes[target]),
                FaultAction::RemoveTenant(tenant) => {
                    let message = tideroute_wire::tenant::removed(tenant, 1);
                    for router in self.scenario.router_names() {
                        self.simulator.send_message(self.nodes[&router], &message);
                    }
                }
            }
        }
        Ok(killed)
    }

    /// Checks the rules on the capture and returns the outcome.
    fn outcome(mut self, crashed: Vec<String>) -> Result<VirtualOutcome, VirtualScenarioError> {
        let checker_config =
            serde_json::to_string(&process_configs::checker_config(self.scenario, &self.addresses))
                .unwrap_or_default();
        let capture = self.simulator.capture(&checker_config)?;
        let report = tideroute_trace_checker::check(capture.as_slice())?;
        let events = self.simulator.events();
        let virtual_duration = self.simulator.now() - EPOCH;
        let mut load = self.load.0.lock().unwrap_or_else(|e| e.into_inner());
        let statistics =
            std::mem::replace(&mut load.statistics, LoadStatistics::new(&self.scenario.classes, []));
        Ok(VirtualOutcome {
            load_started_at: self.load_starts_at,
            report,
            statistics,
            capture,
            events,
            virtual_duration,
            crashed,
        })
    }

    fn start(&mut self, name: &str, cold: bool) -> Result<(), VirtualScenarioError> {
        let (scenario, addresses, now) = (self.scenario, &self.addresses, self.simulator.now());
        let missing = || VirtualScenarioError::InvalidScenario(format!("no process is named {name}"));
        self.start_count += 1;
        let (role, address, program): (_, _, Box<dyn EventHandler>) = if name == "list" {
            let discovery = process_configs::discovery(scenario, addresses).list.ok_or_else(missing)?;
            (
                "list",
                &addresses.discovery,
                Box::new(Discovery::new(convert::discovery_config(&discovery, self.load_starts_at, now))),
            )
        } else if let Some(router_index) = scenario.router_names().position(|router| router == name) {
            let mut router = process_configs::router(scenario, addresses, router_index, String::new())
                .router
                .ok_or_else(missing)?;
            // In virtual time a router is one program, so that its number of cores has no meaning.
            router.cores = 1;
            let seed = scenario.seed << 16 | self.start_count;
            let persisted_endpoints = self.nodes.get(name).and_then(|&node| self.simulator.persisted(node));
            let router = ProtobufRouter::new(
                convert::router_config(&router, 0, seed, u128::from(seed))?,
                persisted_endpoints,
                now,
            );
            ("router", &addresses.routers[router_index], Box::new(router))
        } else {
            let mut workers = scenario.workers().enumerate();
            let (index, (_, group, index_in_group)) =
                workers.find(|(_, (worker, ..))| worker == name).ok_or_else(missing)?;
            let worker = process_configs::worker(scenario, addresses, index, name, group, index_in_group)
                .worker
                .ok_or_else(missing)?;
            let worker_config = convert::worker_config(&worker, cold, self.load_starts_at, now)?;
            ("worker", &addresses.workers[index], Box::new(EmulatedWorker::new(worker_config, now)))
        };
        let address = convert::parse_address(address)?;
        let simulator = &mut self.simulator;
        let node = *self
            .nodes
            .entry(name.to_string())
            .or_insert_with(|| simulator.add_node(name, role, Some(address)));
        simulator.start(node, program);
        Ok(())
    }
}

/// The client load. It is shared so that its statistics can be read after its program has ended.
#[derive(Clone)]
struct SharedLoad(Arc<Mutex<Load>>);

impl SharedLoad {
    fn with<T>(&self, call: impl FnOnce(&mut Load) -> T) -> T {
        call(&mut self.0.lock().unwrap_or_else(|e| e.into_inner()))
    }
}

impl EventHandler for SharedLoad {
    fn on_start(&mut self, now: Micros, effects: &mut Effects) {
        self.with(|load| load.on_start(now, effects));
    }

    fn on_accepted(&mut self, now: Micros, connection: ConnectionId, listener: usize, effects: &mut Effects) {
        self.with(|load| load.on_accepted(now, connection, listener, effects));
    }

    fn on_connected(&mut self, now: Micros, connection: ConnectionId, effects: &mut Effects) {
        self.with(|load| load.on_connected(now, connection, effects));
    }

    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, effects: &mut Effects) {
        self.with(|load| load.on_data(now, connection, frame, effects));
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        reason: DisconnectReason,
        effects: &mut Effects,
    ) {
        self.with(|load| load.on_disconnect(now, connection, reason, effects));
    }

    fn on_backpressure(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        congested: bool,
        effects: &mut Effects,
    ) {
        self.with(|load| load.on_backpressure(now, connection, congested, effects));
    }

    fn on_timer(&mut self, now: Micros, key: u64, effects: &mut Effects) {
        self.with(|load| load.on_timer(now, key, effects));
    }

    fn on_iteration(&mut self, now: Micros, effects: &mut Effects) {
        self.with(|load| load.on_iteration(now, effects));
    }

    fn on_shutdown(&mut self, now: Micros, effects: &mut Effects) {
        self.with(|load| load.on_shutdown(now, effects));
    }

    fn is_finished(&self) -> bool {
        self.with(|load| load.is_finished())
    }
}
