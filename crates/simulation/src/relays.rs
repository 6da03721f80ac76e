//! Which connections of a scenario go through the relay: those that a network fault names, and no others.

use std::collections::{BTreeMap, HashSet};

use tideroute_config_language::kinds::{Day, Door, Fault, File, Relay, Trouble};

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
    fn records(&self, ports: &[String], address: impl Fn(&str) -> Option<String>) -> Vec<Door> {
        let door = |((to, faults), listen): (&(String, Vec<usize>), &String)| {
            Some(Door { listen: listen.clone(), to: address(to)?, faults: faults.clone() })
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
    faults: Vec<Fault>,
    seed: u64,
}

/// Whether a fault concerns the network between two sets of processes.
fn is_network_fault(t: &&Trouble) -> bool {
    t.act == "cut" || t.act == "delay"
}

impl Relays {
    pub fn plan(day: &Day) -> Relays {
        let mut relays = Relays { seed: day.seed, ..Relays::default() };
        let troubles: Vec<_> = day.troubles.iter().filter(is_network_fault).collect();
        let all = |names: &[String]| names.iter().flat_map(|n| day.named(n)).collect::<HashSet<_>>();
        let sets: Vec<_> = troubles.iter().map(|t| (all(&t.between), all(&t.and))).collect();
        for t in &troubles {
            let way = t.way.as_deref().unwrap_or("both");
            let back = match way {
                "there" => "back",
                "back" => "there",
                both => both,
            };
            // The same fault as those see it who dial from its first set, and from its second.
            relays.faults.extend([way, back].map(|way| Fault {
                at: t.at,
                lasts: t.lasts.unwrap_or(0),
                way: way.into(),
                how: if t.act == "delay" { "late".into() } else { t.how.clone().unwrap_or_default() },
                delay: t.delay.unwrap_or(0),
                jitter: t.jitter.unwrap_or(0),
                loss: t.loss.unwrap_or(0.0),
            }));
        }
        if troubles.is_empty() {
            return relays;
        }
        let routers: Vec<_> = day.router_names().collect();
        let workers: Vec<_> = day.workers().map(|(name, ..)| name).collect();
        let list = ["list".to_string()];
        let Relays { connections, datagrams, faults, .. } = &mut relays;
        let meet = |client: &String, target: &String| -> Vec<usize> {
            let meets = |(n, (a, b)): (usize, &(HashSet<String>, HashSet<String>))| {
                let there = (a.contains(client) && b.contains(target)).then_some(2 * n);
                let back = (b.contains(client) && a.contains(target)).then_some(2 * n + 1);
                // What works both ways meets a link within both sets once.
                let back = back.filter(|_| there.is_none() || faults[2 * n].way != "both");
                there.into_iter().chain(back)
            };
            sets.iter().enumerate().flat_map(meets).collect()
        };
        let mut dials =
            |client: &String, target: &String| connections.add(client, target, meet(client, target));
        let load = "load".to_string();
        routers.iter().for_each(|r| dials(&load, r));
        for router in &routers {
            workers.iter().chain(&list).for_each(|t| dials(router, t));
        }
        for worker in &workers {
            workers.iter().chain(&list).for_each(|t| dials(worker, t));
        }
        for router in routers.iter().filter(|_| day.membership) {
            routers.iter().for_each(|target| datagrams.add(router, target, meet(router, target)));
        }
        relays
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
    pub fn file(&self, day: &Day, ports: &Ports) -> Option<File> {
        let [connections, datagrams] = self.ports(ports);
        let doors = self.connections.records(connections, |name| address_of(day, ports, name));
        let datagrams = self.datagrams.records(datagrams, |name| membership_address(day, ports, name));
        let relay = Relay { doors, datagrams, faults: self.faults.clone(), seed: self.seed };
        (self.doors() > 0).then(|| File { relay: Some(relay), ..File::default() })
    }

    /// The address overrides of a process, a line each; None if it connects directly.
    pub fn address_overrides(&self, day: &Day, ports: &Ports, client: &str) -> Option<String> {
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
fn membership_address(day: &Day, ports: &Ports, name: &str) -> Option<String> {
    ports.members.get(day.router_names().position(|r| r == name)?).cloned()
}

fn address_of(day: &Day, ports: &Ports, name: &str) -> Option<String> {
    if name == "list" {
        return Some(ports.list.clone());
    }
    let router = day.router_names().position(|r| r == name);
    let worker = || day.workers().position(|(w, ..)| w == name);
    router.and_then(|n| ports.routers.get(n)).or_else(|| ports.workers.get(worker()?)).cloned()
}
