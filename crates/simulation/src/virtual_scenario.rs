//! A whole scenario in virtual time: the same scenario file and programs, without processes and without waiting.

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
use crate::process_configs::{self, Ports};
use crate::scenario::{fault_timeline, FaultAction};
use crate::simulator::{NodeId, Simulator};

/// Microseconds since 1970 at which a scenario begins; an arbitrary moment.
const EPOCH: Micros = 1_700_000_000_000_000;
/// Microseconds that the programs have to connect to each other before the load, and to shut down.
const START_TIME: Micros = 1_000_000;
/// Microseconds after the load in which all requests must have ended.
const DRAIN_TIME: Micros = 120_000_000;
/// Microseconds of network delay, one way, between any two nodes.
const NETWORK_DELAY: Micros = 200;

/// Why a scenario could not be played in virtual time.
#[derive(Debug, thiserror::Error)]
pub enum VirtualScenarioError {
    /// The scenario contradicts itself, or needs real processes.
    #[error("the day's own terms contradict each other: {0}")]
    Terms(String),
    /// A value of the scenario cannot be used.
    #[error("the day's own terms contradict each other: {0}")]
    Convert(#[from] convert::ConvertError),
    /// The capture could not be written.
    #[error("the record could not be written: {0}")]
    Record(#[from] io::Error),
    /// The capture could not be checked.
    #[error(transparent)]
    Check(#[from] CheckError),
}

/// The outcome of a scenario in virtual time.
pub struct VirtualOutcome {
    /// When the load began.
    pub load_started_at: Micros,
    /// The rules on the capture.
    pub report: Report,
    /// What came of the load.
    pub statistics: LoadStatistics,
    /// The capture of all traffic.
    pub capture: Vec<u8>,
    /// Events that were dispatched.
    pub events: u64,
    /// Virtual time that passed, microseconds.
    pub virtual_duration: Micros,
    /// Workers that ended without being killed.
    pub crashed: Vec<String>,
}

/// Plays a scenario. The same scenario gives the same capture, byte for byte.
pub fn play(day: &Scenario) -> Result<VirtualOutcome, VirtualScenarioError> {
    let day = faults::with_generated_faults(day);
    let real = day.scheduled_faults.iter().find(|t| ["cut", "delay", "clock"].contains(&t.kind.as_str()));
    if let Some(t) = real {
        return Err(VirtualScenarioError::Terms(format!("a {} is played on real processes only", t.kind)));
    }
    VirtualScenario::new(&day)?.run()
}

struct VirtualScenario<'a> {
    day: &'a Scenario,
    ports: Ports,
    simulator: Simulator,
    nodes: BTreeMap<String, NodeId>,
    begins: Micros,
    starts: u64,
    load: SharedLoad,
}

impl<'a> VirtualScenario<'a> {
    fn new(day: &'a Scenario) -> Result<VirtualScenario<'a>, VirtualScenarioError> {
        let at = |kind: u16, n: usize| format!("10.{kind}.{}.{}:7000", n / 250, n % 250 + 1);
        let workers = day.workers().count();
        let ports = Ports {
            list: at(0, 0),
            routers: (0..day.routers).map(|n| at(1, n)).collect(),
            workers: (0..workers).map(|n| at(2, n)).collect(),
            members: vec![],
            doors: vec![],
        };
        let begins = EPOCH + START_TIME + day.lag;
        let record = process_configs::load(day, &ports)
            .load
            .ok_or_else(|| VirtualScenarioError::Terms("no load".into()))?;
        let routers = ports.routers.iter().map(|r| convert::address(r));
        let routers = routers.collect::<Result<_, _>>()?;
        let load = SharedLoad(Arc::new(Mutex::new(Load::new(record, routers))));
        let simulator = Simulator::new(EPOCH, NETWORK_DELAY);
        Ok(VirtualScenario { day, ports, simulator, nodes: BTreeMap::new(), begins, starts: 0, load })
    }

    fn run(mut self) -> Result<VirtualOutcome, VirtualScenarioError> {
        let names: Vec<_> = ["list".to_string()]
            .into_iter()
            .chain(self.day.workers().map(|(name, ..)| name))
            .chain(self.day.router_names())
            .collect();
        for name in &names {
            self.start(name, false)?;
        }
        self.simulator.run_until(self.begins);
        let client = self.simulator.add_node("load", "client", None);
        self.simulator.start(client, Box::new(self.load.clone()));
        let killed = self.inject_faults()?;
        self.simulator.run_until(self.begins + self.day.load.duration);
        let deadline = self.begins + self.day.load.duration + DRAIN_TIME;
        while self.simulator.runs(client) && self.simulator.now() < deadline {
            self.run_for(START_TIME);
        }
        let has_crashed = |name: &&String| !self.simulator.runs(self.nodes[*name]) && !killed.contains(name);
        let crashed = names.iter().filter(has_crashed).cloned().collect();
        // Routers first, then the programs that they need.
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

    /// Injects the faults in time; returns the names of all nodes that were killed.
    fn inject_faults(&mut self) -> Result<Vec<String>, VirtualScenarioError> {
        let mut actions = fault_timeline(&self.day.scheduled_faults);
        actions.sort_by_key(|(at, _)| *at);
        let mut killed = vec![];
        for (at, action) in actions {
            self.simulator.run_until(self.begins + at);
            match action {
                FaultAction::Kill(who) => {
                    killed.push(who.to_string());
                    self.simulator.kill(self.nodes[who]);
                }
                FaultAction::Start(who, keeps) if !self.simulator.runs(self.nodes[who]) => {
                    if !keeps {
                        self.simulator.forget(self.nodes[who]);
                    }
                    self.start(who, true)?;
                }
                FaultAction::Start(..) => {}
                FaultAction::Halt(who) => self.simulator.halt(self.nodes[who]),
                FaultAction::GoOn(who) => self.simulator.resume(self.nodes[who]),
                FaultAction::Remove(tenant) => {
                    let message = tideroute_wire::tenant::removed(tenant, 1);
                    for router in self.day.router_names() {
                        self.simulator.send_message(self.nodes[&router], &message);
                    }
                }
            }
        }
        Ok(killed)
    }

    /// Checks the rules on the capture.
    fn outcome(mut self, crashed: Vec<String>) -> Result<VirtualOutcome, VirtualScenarioError> {
        let terms = serde_json::to_string(&process_configs::rules(self.day, &self.ports)).unwrap_or_default();
        let capture = self.simulator.capture(&terms)?;
        let report = tideroute_trace_checker::check(capture.as_slice())?;
        let events = self.simulator.events();
        let virtual_duration = self.simulator.now() - EPOCH;
        let mut load = self.load.0.lock().unwrap_or_else(|e| e.into_inner());
        let statistics = std::mem::replace(&mut load.statistics, LoadStatistics::new(&self.day.classes, []));
        Ok(VirtualOutcome {
            load_started_at: self.begins,
            report,
            statistics,
            capture,
            events,
            virtual_duration,
            crashed,
        })
    }

    fn start(&mut self, name: &str, cold: bool) -> Result<(), VirtualScenarioError> {
        let (day, ports, now) = (self.day, &self.ports, self.simulator.now());
        let missing = || VirtualScenarioError::Terms(format!("{name} is nobody"));
        self.starts += 1;
        let (role, address, program): (_, _, Box<dyn EventHandler>) = if name == "list" {
            let list = process_configs::list(day, ports).list.ok_or_else(missing)?;
            ("list", &ports.list, Box::new(Discovery::new(convert::discovery(&list, self.begins, now))))
        } else if let Some(n) = day.router_names().position(|r| r == name) {
            let mut router =
                process_configs::router(day, ports, n, String::new()).router.ok_or_else(missing)?;
            // Here a router is one program; cores belong to the process.
            router.cores = 1;
            let seed = day.seed << 16 | self.starts;
            let persisted_endpoints = self.nodes.get(name).and_then(|&place| self.simulator.persisted(place));
            let router = ProtobufRouter::new(
                convert::router(&router, 0, seed, u128::from(seed))?,
                persisted_endpoints,
                now,
            );
            ("router", &ports.routers[n], Box::new(router))
        } else {
            let mut all = day.workers().enumerate();
            let (place, (_, group, n)) = all.find(|(_, (w, ..))| w == name).ok_or_else(missing)?;
            let worker =
                process_configs::worker(day, ports, place, name, group, n).worker.ok_or_else(missing)?;
            let terms = convert::worker(&worker, cold, self.begins, now)?;
            ("worker", &ports.workers[place], Box::new(EmulatedWorker::new(terms, now)))
        };
        let address = convert::address(address)?;
        let simulator = &mut self.simulator;
        let place = *self
            .nodes
            .entry(name.to_string())
            .or_insert_with(|| simulator.add_node(name, role, Some(address)));
        simulator.start(place, program);
        Ok(())
    }
}

/// The load, whose statistics are read after its program has ended.
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

    fn on_accepted(&mut self, now: Micros, connection: ConnectionId, door: usize, effects: &mut Effects) {
        self.with(|load| load.on_accepted(now, connection, door, effects));
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
        loss: DisconnectReason,
        effects: &mut Effects,
    ) {
        self.with(|load| load.on_disconnect(now, connection, loss, effects));
    }

    fn on_backpressure(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        crowded: bool,
        effects: &mut Effects,
    ) {
        self.with(|load| load.on_backpressure(now, connection, crowded, effects));
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
