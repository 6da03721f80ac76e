//! A whole scripted day in virtual time: the same day file, the same programs, no processes and no waiting.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use tideroute_config_language::kinds::Day;
use tideroute_emulator::{List, Worker};
use tideroute_lifecycle::ProtobufRouter;
use tideroute_trace_checker::{CheckError, Report};
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::Micros;

use crate::convert;
use crate::day::{deeds, Deed};
use crate::faults;
use crate::files::{self, Ports};
use crate::load::Load;
use crate::tally::Tally;
use crate::world::{NodeId, World};

/// Microseconds: when a day begins, an arbitrary moment since 1970, and how long all have to find each other.
const DAWN: Micros = 1_700_000_000_000_000;
const START: Micros = 1_000_000;
/// Microseconds of virtual time after the load in which all must have ended.
const DUSK: Micros = 120_000_000;
/// Microseconds one way between any two machines of a site.
const DELAY: Micros = 200;

#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    #[error("the day's own terms contradict each other: {0}")]
    Terms(String),
    /// A value of the scenario cannot be used.
    #[error("the day's own terms contradict each other: {0}")]
    Convert(#[from] convert::ConvertError),
    #[error("the record could not be written: {0}")]
    Record(#[from] io::Error),
    #[error(transparent)]
    Check(#[from] CheckError),
}

/// What a day in virtual time came to.
pub struct Virtual {
    /// When its load began.
    pub began: Micros,
    pub report: Report,
    pub tally: Tally,
    /// The record of what passed.
    pub record: Vec<u8>,
    pub events: u64,
    /// Virtual time that passed, microseconds.
    pub lasted: Micros,
    /// Workers that ended without being killed.
    pub fallen: Vec<String>,
}

/// Plays a day. The same day gives the same record, byte for byte.
pub fn play(day: &Day) -> Result<Virtual, FleetError> {
    let day = faults::drawn(day);
    let real = day.troubles.iter().find(|t| ["cut", "delay", "clock"].contains(&t.act.as_str()));
    if let Some(t) = real {
        return Err(FleetError::Terms(format!("a {} is played on real processes only", t.act)));
    }
    Fleet::new(&day)?.run()
}

struct Fleet<'a> {
    day: &'a Day,
    ports: Ports,
    world: World,
    places: BTreeMap<String, NodeId>,
    begins: Micros,
    starts: u64,
    load: Shared,
}

impl<'a> Fleet<'a> {
    fn new(day: &'a Day) -> Result<Fleet<'a>, FleetError> {
        let at = |kind: u16, n: usize| format!("10.{kind}.{}.{}:7000", n / 250, n % 250 + 1);
        let workers = day.workers().count();
        let ports = Ports {
            list: at(0, 0),
            routers: (0..day.routers).map(|n| at(1, n)).collect(),
            workers: (0..workers).map(|n| at(2, n)).collect(),
            members: vec![],
            doors: vec![],
        };
        let begins = DAWN + START + day.lag;
        let record = files::load(day, &ports).load.ok_or_else(|| FleetError::Terms("no load".into()))?;
        let routers = ports.routers.iter().map(|r| convert::address(r));
        let routers = routers.collect::<Result<_, _>>()?;
        let load = Shared(Arc::new(Mutex::new(Load::new(record, routers))));
        let world = World::new(DAWN, DELAY);
        Ok(Fleet { day, ports, world, places: BTreeMap::new(), begins, starts: 0, load })
    }

    fn run(mut self) -> Result<Virtual, FleetError> {
        let names: Vec<_> = ["list".to_string()]
            .into_iter()
            .chain(self.day.workers().map(|(name, ..)| name))
            .chain(self.day.router_names())
            .collect();
        for name in &names {
            self.start(name, false)?;
        }
        self.world.run_until(self.begins);
        let client = self.world.place("load", "client", None);
        self.world.start(client, Box::new(self.load.clone()));
        let mut deeds = deeds(&self.day.troubles);
        deeds.sort_by_key(|(at, _)| *at);
        let killed = deeds.iter().filter_map(|(_, deed)| match deed {
            Deed::Kill(who) => Some(who.to_string()),
            _ => None,
        });
        let killed: Vec<String> = killed.collect();
        for (at, deed) in deeds {
            self.world.run_until(self.begins + at);
            match deed {
                Deed::Kill(who) => self.world.kill(self.places[who]),
                Deed::Start(who, keeps) if !self.world.runs(self.places[who]) => {
                    if !keeps {
                        self.world.forget(self.places[who]);
                    }
                    self.start(who, true)?;
                }
                Deed::Start(..) => {}
                Deed::Halt(who) => self.world.halt(self.places[who]),
                Deed::GoOn(who) => self.world.go_on(self.places[who]),
                Deed::Remove(tenant) => {
                    let letter = tideroute_wire::tenant::removed(tenant, 1);
                    for router in self.day.router_names() {
                        self.world.tell(self.places[&router], &letter);
                    }
                }
            }
        }
        self.world.run_until(self.begins + self.day.load.lasts);
        let late = self.begins + self.day.load.lasts + DUSK;
        while self.world.runs(client) && self.world.now() < late {
            let next = self.world.now() + START;
            self.world.run_until(next);
        }
        let fallen = names.iter().filter(|n| !self.world.runs(self.places[*n]) && !killed.contains(n));
        let fallen = fallen.cloned().collect();
        // Routers first, then those that they need.
        for name in names.iter().rev() {
            self.world.stop(self.places[name]);
            let next = self.world.now() + START;
            self.world.run_until(next);
        }
        let terms = serde_json::to_string(&files::rules(self.day, &self.ports)).unwrap_or_default();
        let record = self.world.record(&terms)?;
        let report = tideroute_trace_checker::check(record.as_slice())?;
        let (events, lasted) = (self.world.events(), self.world.now() - DAWN);
        let mut load = self.load.0.lock().unwrap_or_else(|e| e.into_inner());
        let tally = std::mem::replace(&mut load.tally, Tally::new(&self.day.tracks, []));
        Ok(Virtual { began: self.begins, report, tally, record, events, lasted, fallen })
    }

    fn start(&mut self, name: &str, cold: bool) -> Result<(), FleetError> {
        let (day, ports, now) = (self.day, &self.ports, self.world.now());
        let missing = || FleetError::Terms(format!("{name} is nobody"));
        self.starts += 1;
        let (role, address, program): (_, _, Box<dyn EventHandler>) = if name == "list" {
            let list = files::list(day, ports).list.ok_or_else(missing)?;
            ("list", &ports.list, Box::new(List::new(convert::list(&list, self.begins, now))))
        } else if let Some(n) = day.router_names().position(|r| r == name) {
            let mut router = files::router(day, ports, n, String::new()).router.ok_or_else(missing)?;
            // Here a router is one program; cores are a matter of the process.
            router.cores = 1;
            let seed = day.seed << 16 | self.starts;
            let kept = self.places.get(name).and_then(|&place| self.world.kept(place));
            let router = ProtobufRouter::new(convert::router(&router, 0, seed, u128::from(seed))?, kept, now);
            ("router", &ports.routers[n], Box::new(router))
        } else {
            let mut all = day.workers().enumerate();
            let (place, (_, group, n)) = all.find(|(_, (w, ..))| w == name).ok_or_else(missing)?;
            let worker = files::worker(day, ports, place, name, group, n).worker.ok_or_else(missing)?;
            let terms = convert::worker(&worker, cold, self.begins, now)?;
            ("worker", &ports.workers[place], Box::new(Worker::new(terms, now)))
        };
        let address = convert::address(address)?;
        let world = &mut self.world;
        let place =
            *self.places.entry(name.to_string()).or_insert_with(|| world.place(name, role, Some(address)));
        world.start(place, program);
        Ok(())
    }
}

/// The load, which is looked at after its program has ended.
#[derive(Clone)]
struct Shared(Arc<Mutex<Load>>);

impl Shared {
    fn with<T>(&self, call: impl FnOnce(&mut Load) -> T) -> T {
        call(&mut self.0.lock().unwrap_or_else(|e| e.into_inner()))
    }
}

impl EventHandler for Shared {
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
