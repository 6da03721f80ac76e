//! Which connections of a day a relay stands in: those that some fault names, and no others.

use std::collections::{BTreeMap, HashSet};

use tideroute_records::kinds::{Day, Door, Fault, File, Relay, Trouble};

use crate::files::Ports;

/// A relay's doors, and who dials which of them in place of whom.
#[derive(Default)]
pub struct Relays {
    /// Whom each door leads to, and by which faults it is met.
    doors: Vec<(String, Vec<usize>)>,
    /// By dialler: the door in place of each target, by the target's name.
    ways: BTreeMap<String, Vec<(String, usize)>>,
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
        let mut made = BTreeMap::new();
        let mut dials = |dialler: &String, target: &String| {
            let meets = |(n, (a, b)): (usize, &(HashSet<String>, HashSet<String>))| {
                let there = (a.contains(dialler) && b.contains(target)).then_some(2 * n);
                let back = (b.contains(dialler) && a.contains(target)).then_some(2 * n + 1);
                there.into_iter().chain(back)
            };
            let faults: Vec<usize> = sets.iter().enumerate().flat_map(meets).collect();
            if faults.is_empty() || dialler == target {
                return;
            }
            let count = made.len();
            let door = *made.entry((target.clone(), faults.clone())).or_insert(count);
            if door == count {
                relays.doors.push((target.clone(), faults));
            }
            relays.ways.entry(dialler.clone()).or_default().push((target.clone(), door));
        };
        let load = "load".to_string();
        routers.iter().for_each(|r| dials(&load, r));
        for router in &routers {
            workers.iter().chain(&list).for_each(|t| dials(router, t));
        }
        for worker in &workers {
            workers.iter().chain(&list).for_each(|t| dials(worker, t));
        }
        relays
    }

    pub fn doors(&self) -> usize {
        self.doors.len()
    }

    /// The relay's record; None where no fault needs one.
    pub fn file(&self, day: &Day, ports: &Ports) -> Option<File> {
        let address = |name: &str| address_of(day, ports, name);
        let door = |(place, (to, faults)): (usize, &(String, Vec<usize>))| {
            Some(Door { listen: ports.doors.get(place)?.clone(), to: address(to)?, faults: faults.clone() })
        };
        let doors: Vec<_> = self.doors.iter().enumerate().filter_map(door).collect();
        let relay = Relay { doors, faults: self.faults.clone(), seed: self.seed };
        (!relay.doors.is_empty()).then(|| File { relay: Some(relay), ..File::default() })
    }

    /// Where a process is to dial in place of where others are, a line each; None where it dials all directly.
    pub fn ways(&self, day: &Day, ports: &Ports, dialler: &str) -> Option<String> {
        let line = |(target, door): &(String, usize)| {
            Some(format!("{} {}\n", address_of(day, ports, target)?, ports.doors.get(*door)?))
        };
        Some(self.ways.get(dialler)?.iter().filter_map(line).collect())
    }
}

fn address_of(day: &Day, ports: &Ports, name: &str) -> Option<String> {
    if name == "list" {
        return Some(ports.list.clone());
    }
    let router = day.router_names().position(|r| r == name);
    let worker = || day.workers().position(|(w, ..)| w == name);
    router.and_then(|n| ports.routers.get(n)).or_else(|| ports.workers.get(worker()?)).cloned()
}
