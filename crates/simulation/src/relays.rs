//! Which connections of a scenario go through the relay: those that a network fault names, and no others.

use std::collections::{BTreeMap, HashSet};

use tideroute_config_language::records::{File, Relay, RelayFault, RelayListener, Scenario, ScenarioFault};

use crate::process_configs::Ports;

/// Listeners of the relay of one kind (connections or datagrams), and who uses which of them in place of whom.
#[derive(Default)]
struct RelayListeners {
    /// The target of each listener, and the faults on the way.
    doors: Vec<(String, Vec<usize>)>,
    indices: BTreeMap<(String, Vec<usize>), usize>,
    /// By client: the listener in place of each target, by the target's name.
    address_overrides: BTreeMap<String, Vec<(String, usize)>>,
}

impl RelayListeners {
    fn add(&mut self, client: &str, target: &str, faults: Vec<usize>) {
        if faults.is_empty() || client == target {
            return;
        }
        let key = (target.to_string(), faults);
        let door = *self.indices.entry(key.clone()).or_insert(self.doors.len());
        if door == self.doors.len() {
            self.doors.push(key);
        }
        self.address_overrides.entry(client.to_string()).or_default().push((target.to_string(), door));
    }

    /// Their configuration, in order, at these addresses.
    fn records(&self, ports: &[String], address: impl Fn(&str) -> Option<String>) -> Vec<RelayListener> {
        let door = |((to, faults), listen): (&(String, Vec<usize>), &String)| {
            Some(RelayListener { listen: listen.clone(), to: address(to)?, faults: faults.clone() })
        };
        self.doors.iter().zip(ports).filter_map(door).collect()
    }

    fn address_overrides(
        &self,
        client: &str,
        ports: &[String],
        address: impl Fn(&str) -> Option<String>,
    ) -> String {
        let line =
            |(target, door): &(String, usize)| Some(format!("{} {}\n", address(target)?, ports.get(*door)?));
        self.address_overrides.get(client).into_iter().flatten().filter_map(line).collect()
    }
}

/// Listeners of the relay for connections, and those for datagrams between routers.
#[derive(Default)]
pub struct Relays {
    connections: RelayListeners,
    datagrams: RelayListeners,
    faults: Vec<RelayFault>,
    seed: u64,
}

/// The processes on the two sides of a network fault.
type FaultSets = (HashSet<String>, HashSet<String>);

/// The same fault as those see it who connect from its first set, and from its second.
fn both_directions(t: &ScenarioFault) -> [RelayFault; 2] {
    let way = t.direction.as_deref().unwrap_or("both");
    let back = match way {
        "there" => "back",
        "back" => "there",
        both => both,
    };
    [way, back].map(|way| RelayFault {
        at: t.at,
        duration: t.duration.unwrap_or(0),
        direction: way.into(),
        kind: if t.kind == "delay" { "late".into() } else { t.cut_kind.clone().unwrap_or_default() },
        delay: t.delay.unwrap_or(0),
        jitter: t.jitter.unwrap_or(0),
        loss: t.loss.unwrap_or(0.0),
    })
}

/// Whether a fault concerns the network between two sets of processes.
fn is_network_fault(t: &&ScenarioFault) -> bool {
    t.kind == "cut" || t.kind == "delay"
}

impl Relays {
    /// Plans the listeners that the network faults of a scenario need.
    pub fn plan(day: &Scenario) -> Relays {
        let mut relays = Relays { seed: day.seed, ..Relays::default() };
        let troubles: Vec<_> = day.scheduled_faults.iter().filter(is_network_fault).collect();
        relays.faults = troubles.iter().flat_map(|t| both_directions(t)).collect();
        if troubles.is_empty() {
            return relays;
        }
        let all = |names: &[String]| names.iter().flat_map(|n| day.named(n)).collect::<HashSet<_>>();
        let sets: Vec<_> = troubles.iter().map(|t| (all(&t.side), all(&t.other_side))).collect();
        let routers: Vec<_> = day.router_names().collect();
        let workers: Vec<_> = day.workers().map(|(name, ..)| name).collect();
        let list = ["list".to_string()];
        let load = "load".to_string();
        for router in &routers {
            relays.add_connection(&sets, &load, router);
        }
        for client in routers.iter().chain(&workers) {
            for target in workers.iter().chain(&list) {
                relays.add_connection(&sets, client, target);
            }
        }
        for router in routers.iter().filter(|_| day.membership) {
            for target in &routers {
                let faults = relays.faults_between(&sets, router, target);
                relays.datagrams.add(router, target, faults);
            }
        }
        relays
    }

    fn add_connection(&mut self, sets: &[FaultSets], client: &str, target: &str) {
        let faults = self.faults_between(sets, client, target);
        self.connections.add(client, target, faults);
    }

    /// The indices of the faults on the way from a client to a target.
    fn faults_between(&self, sets: &[FaultSets], client: &str, target: &str) -> Vec<usize> {
        let mut indices = vec![];
        for (n, (a, b)) in sets.iter().enumerate() {
            let there = a.contains(client) && b.contains(target);
            let back = b.contains(client) && a.contains(target);
            if there {
                indices.push(2 * n);
            }
            // A fault in both directions meets a connection within both sets once.
            if back && (!there || self.faults[2 * n].direction != "both") {
                indices.push(2 * n + 1);
            }
        }
        indices
    }

    pub fn doors(&self) -> usize {
        self.connections.doors.len() + self.datagrams.doors.len()
    }

    /// The relay's addresses: first those for connections, then those for datagrams.
    fn ports<'a>(&self, ports: &'a Ports) -> [&'a [String]; 2] {
        let (connections, datagrams) =
            ports.doors.split_at(self.connections.doors.len().min(ports.doors.len()));
        [connections, datagrams]
    }

    /// A listener at which it can be checked that the relay runs, if it has one for connections.
    pub fn door<'a>(&self, ports: &'a Ports) -> Option<&'a String> {
        self.ports(ports)[0].first()
    }

    /// The relay's configuration; None if no fault needs one.
    pub fn file(&self, day: &Scenario, ports: &Ports) -> Option<File> {
        let [connections, datagrams] = self.ports(ports);
        let doors = self.connections.records(connections, |name| address_of(day, ports, name));
        let datagrams = self.datagrams.records(datagrams, |name| membership_address(day, ports, name));
        let relay = Relay { listeners: doors, datagrams, faults: self.faults.clone(), seed: self.seed };
        (self.doors() > 0).then(|| File { relay: Some(relay), ..File::default() })
    }

    /// The address overrides of a process, a line each; None if it connects directly.
    pub fn address_overrides(&self, day: &Scenario, ports: &Ports, client: &str) -> Option<String> {
        let [connections, datagrams] = self.ports(ports);
        let address_overrides =
            self.connections.address_overrides(client, connections, |name| address_of(day, ports, name))
                + &self
                    .datagrams
                    .address_overrides(client, datagrams, |name| membership_address(day, ports, name));
        (!address_overrides.is_empty()).then_some(address_overrides)
    }
}

/// The membership address of a router.
fn membership_address(day: &Scenario, ports: &Ports, name: &str) -> Option<String> {
    ports.members.get(day.router_names().position(|r| r == name)?).cloned()
}

fn address_of(day: &Scenario, ports: &Ports, name: &str) -> Option<String> {
    if name == "list" {
        return Some(ports.list.clone());
    }
    let router = day.router_names().position(|r| r == name);
    let worker = || day.workers().position(|(w, ..)| w == name);
    router.and_then(|n| ports.routers.get(n)).or_else(|| ports.workers.get(worker()?)).cloned()
}
