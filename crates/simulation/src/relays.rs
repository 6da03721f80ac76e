//! Which connections of a day a relay stands in: those that some fault names, and no others.

use std::collections::{BTreeMap, HashSet};

use tideroute_config_language::kinds::{Day, Door, Fault, File, Relay, Trouble};

use crate::files::Ports;

/// A relay's doors of one sort, and who uses which of them in place of whom.
#[derive(Default)]
struct Doors {
    /// Whom each door leads to, and by which faults it is met.
    doors: Vec<(String, Vec<usize>)>,
    places: BTreeMap<(String, Vec<usize>), usize>,
    /// By dialler: the door in place of each target, by the target's name.
    ways: BTreeMap<String, Vec<(String, usize)>>,
}

impl Doors {
    fn add(&mut self, dialler: &str, target: &str, faults: Vec<usize>) {
        if faults.is_empty() || dialler == target {
            return;
        }
        let key = (target.to_string(), faults);
        let door = *self.places.entry(key.clone()).or_insert(self.doors.len());
        if door == self.doors.len() {
            self.doors.push(key);
        }
        self.ways.entry(dialler.to_string()).or_default().push((target.to_string(), door));
    }

    /// Their records, in order, at these ports.
    fn records(&self, ports: &[String], address: impl Fn(&str) -> Option<String>) -> Vec<Door> {
        let door = |((to, faults), listen): (&(String, Vec<usize>), &String)| {
            Some(Door { listen: listen.clone(), to: address(to)?, faults: faults.clone() })
        };
        self.doors.iter().zip(ports).filter_map(door).collect()
    }

    fn ways(&self, dialler: &str, ports: &[String], address: impl Fn(&str) -> Option<String>) -> String {
        let line =
            |(target, door): &(String, usize)| Some(format!("{} {}\n", address(target)?, ports.get(*door)?));
        self.ways.get(dialler).into_iter().flatten().filter_map(line).collect()
    }
}

/// A relay's doors for connections, and those for datagrams between routers.
#[derive(Default)]
pub struct Relays {
    dialled: Doors,
    datagrams: Doors,
    faults: Vec<Fault>,
    seed: u64,
}

/// What happens between two sets of processes.
fn between(t: &&Trouble) -> bool {
    t.act == "cut" || t.act == "delay"
}

impl Relays {
    pub fn plan(day: &Day) -> Relays {
        let mut relays = Relays { seed: day.seed, ..Relays::default() };
        let troubles: Vec<_> = day.troubles.iter().filter(between).collect();
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
        let Relays { dialled, datagrams, faults, .. } = &mut relays;
        let meet = |dialler: &String, target: &String| -> Vec<usize> {
            let meets = |(n, (a, b)): (usize, &(HashSet<String>, HashSet<String>))| {
                let there = (a.contains(dialler) && b.contains(target)).then_some(2 * n);
                let back = (b.contains(dialler) && a.contains(target)).then_some(2 * n + 1);
                // What works both ways meets a link within both sets once.
                let back = back.filter(|_| there.is_none() || faults[2 * n].way != "both");
                there.into_iter().chain(back)
            };
            sets.iter().enumerate().flat_map(meets).collect()
        };
        let mut dials =
            |dialler: &String, target: &String| dialled.add(dialler, target, meet(dialler, target));
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
        self.dialled.doors.len() + self.datagrams.doors.len()
    }

    /// A relay's ports: first those for connections, then those for datagrams.
    fn ports<'a>(&self, ports: &'a Ports) -> [&'a [String]; 2] {
        let (dialled, datagrams) = ports.doors.split_at(self.dialled.doors.len().min(ports.doors.len()));
        [dialled, datagrams]
    }

    /// A door at which it shows that it is there, if it has one for connections.
    pub fn door<'a>(&self, ports: &'a Ports) -> Option<&'a String> {
        self.ports(ports)[0].first()
    }

    /// The relay's record; None where no fault needs one.
    pub fn file(&self, day: &Day, ports: &Ports) -> Option<File> {
        let [dialled, datagrams] = self.ports(ports);
        let doors = self.dialled.records(dialled, |name| address_of(day, ports, name));
        let datagrams = self.datagrams.records(datagrams, |name| member_of(day, ports, name));
        let relay = Relay { doors, datagrams, faults: self.faults.clone(), seed: self.seed };
        (self.doors() > 0).then(|| File { relay: Some(relay), ..File::default() })
    }

    /// Where a process is to dial in place of where others are, a line each; None where it dials all directly.
    pub fn ways(&self, day: &Day, ports: &Ports, dialler: &str) -> Option<String> {
        let [dialled, datagrams] = self.ports(ports);
        let ways = self.dialled.ways(dialler, dialled, |name| address_of(day, ports, name))
            + &self.datagrams.ways(dialler, datagrams, |name| member_of(day, ports, name));
        (!ways.is_empty()).then_some(ways)
    }
}

/// Where a router hears others.
fn member_of(day: &Day, ports: &Ports, name: &str) -> Option<String> {
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
