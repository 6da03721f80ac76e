//! Decides which connections of a scenario go through the relay: only those that a network fault affects.

use std::collections::{BTreeMap, HashSet};

use tideroute_config_language::records::{File, Relay, RelayFault, RelayListener, Scenario, ScenarioFault};

use crate::process_configs::ProcessAddresses;

/// The listeners of the relay of one kind (connections or datagrams), and which client uses which of them in place of
/// which target.
#[derive(Default)]
struct RelayListeners {
    /// The target of each listener, and the indices of the faults that affect it.
    listeners: Vec<(String, Vec<usize>)>,
    /// The index of each listener in `listeners`.
    indices: BTreeMap<(String, Vec<usize>), usize>,
    /// By client: the names of targets, each with the index of the listener that the client uses in its place.
    address_overrides: BTreeMap<String, Vec<(String, usize)>>,
}

impl RelayListeners {
    /// Has a client connect to a target through a listener with these faults; directly if there are none.
    fn add(&mut self, client: &str, target: &str, faults: Vec<usize>) {
        if faults.is_empty() || client == target {
            return;
        }
        let key = (target.to_string(), faults);
        let listener = *self.indices.entry(key.clone()).or_insert(self.listeners.len());
        if listener == self.listeners.len() {
            self.listeners.push(key);
        }
        self.address_overrides.entry(client.to_string()).or_default().push((target.to_string(), listener));
    }

    /// Returns the configuration of the listeners, in order, at these addresses.
    fn configs(&self, addresses: &[String], address: impl Fn(&str) -> Option<String>) -> Vec<RelayListener> {
        let config = |((to, faults), listen): (&(String, Vec<usize>), &String)| {
            Some(RelayListener { listen: listen.clone(), to: address(to)?, faults: faults.clone() })
        };
        self.listeners.iter().zip(addresses).filter_map(config).collect()
    }

    fn address_overrides(
        &self,
        client: &str,
        addresses: &[String],
        address: impl Fn(&str) -> Option<String>,
    ) -> String {
        let line = |(target, listener): &(String, usize)| {
            Some(format!("{} {}\n", address(target)?, addresses.get(*listener)?))
        };
        self.address_overrides.get(client).into_iter().flatten().filter_map(line).collect()
    }
}

/// The listeners of the relay for connections, and those for datagrams between routers.
#[derive(Default)]
pub struct Relays {
    connections: RelayListeners,
    datagrams: RelayListeners,
    faults: Vec<RelayFault>,
    seed: u64,
}

/// The names of the processes on the two sides of a network fault.
type FaultSets = (HashSet<String>, HashSet<String>);

/// Returns a network fault twice: as it affects connections from its first set of processes to its second, and as it
/// affects those in the other direction.
fn both_directions(fault: &ScenarioFault) -> [RelayFault; 2] {
    let direction = fault.direction.as_deref().unwrap_or("both");
    let opposite = match direction {
        "there" => "back",
        "back" => "there",
        both => both,
    };
    [direction, opposite].map(|direction| RelayFault {
        at: fault.at,
        duration: fault.duration.unwrap_or(0),
        direction: direction.into(),
        kind: if fault.kind == "delay" { "late".into() } else { fault.cut_kind.clone().unwrap_or_default() },
        delay: fault.delay.unwrap_or(0),
        jitter: fault.jitter.unwrap_or(0),
        loss: fault.loss.unwrap_or(0.0),
    })
}

/// Returns whether a fault affects the network between two sets of processes.
fn is_network_fault(fault: &&ScenarioFault) -> bool {
    fault.kind == "cut" || fault.kind == "delay"
}

impl Relays {
    /// Plans the listeners that the network faults of a scenario need.
    pub fn plan(scenario: &Scenario) -> Relays {
        let mut relays = Relays { seed: scenario.seed, ..Relays::default() };
        let network_faults: Vec<_> = scenario.scheduled_faults.iter().filter(is_network_fault).collect();
        relays.faults = network_faults.iter().flat_map(|fault| both_directions(fault)).collect();
        if network_faults.is_empty() {
            return relays;
        }
        let expand = |names: &[String]| {
            names.iter().flat_map(|name| scenario.processes_matching(name)).collect::<HashSet<_>>()
        };
        let fault_sets: Vec<_> =
            network_faults.iter().map(|fault| (expand(&fault.side), expand(&fault.other_side))).collect();
        let routers: Vec<_> = scenario.router_names().collect();
        let workers: Vec<_> = scenario.workers().map(|(name, ..)| name).collect();
        let discovery = ["list".to_string()];
        let load = "load".to_string();
        for router in &routers {
            relays.add_connection(&fault_sets, &load, router);
        }
        for client in routers.iter().chain(&workers) {
            for target in workers.iter().chain(&discovery) {
                relays.add_connection(&fault_sets, client, target);
            }
        }
        for router in routers.iter().filter(|_| scenario.membership) {
            for target in &routers {
                let faults = relays.faults_between(&fault_sets, router, target);
                relays.datagrams.add(router, target, faults);
            }
        }
        relays
    }

    fn add_connection(&mut self, fault_sets: &[FaultSets], client: &str, target: &str) {
        let faults = self.faults_between(fault_sets, client, target);
        self.connections.add(client, target, faults);
    }

    /// Returns the indices of the faults that affect connections from a client to a target.
    fn faults_between(&self, fault_sets: &[FaultSets], client: &str, target: &str) -> Vec<usize> {
        let mut indices = vec![];
        for (index, (side, other_side)) in fault_sets.iter().enumerate() {
            let is_forward = side.contains(client) && other_side.contains(target);
            let is_backward = other_side.contains(client) && side.contains(target);
            if is_forward {
                indices.push(2 * index);
            }
            // If both processes are in both sets, a fault in both directions is applied only once.
            if is_backward && (!is_forward || self.faults[2 * index].direction != "both") {
                indices.push(2 * index + 1);
            }
        }
        indices
    }

    /// Returns the number of addresses at which the relay listens.
    pub fn listener_count(&self) -> usize {
        self.connections.listeners.len() + self.datagrams.listeners.len()
    }

    /// Splits the addresses of the relay into those for connections and those for datagrams.
    fn split_addresses<'a>(&self, addresses: &'a ProcessAddresses) -> [&'a [String]; 2] {
        let (connections, datagrams) = addresses
            .relay_listeners
            .split_at(self.connections.listeners.len().min(addresses.relay_listeners.len()));
        [connections, datagrams]
    }

    /// Returns the address of a listener for connections, at which it can be checked that the relay runs; `None` if it has
    /// none.
    pub fn first_listener<'a>(&self, addresses: &'a ProcessAddresses) -> Option<&'a String> {
        self.split_addresses(addresses)[0].first()
    }

    /// Returns the configuration of the relay; `None` if no fault needs one.
    pub fn config_file(&self, scenario: &Scenario, addresses: &ProcessAddresses) -> Option<File> {
        let [connections, datagrams] = self.split_addresses(addresses);
        let listeners = self.connections.configs(connections, |name| address_of(scenario, addresses, name));
        let datagrams =
            self.datagrams.configs(datagrams, |name| membership_address(scenario, addresses, name));
        let relay = Relay { listeners, datagrams, faults: self.faults.clone(), seed: self.seed };
        (self.listener_count() > 0).then(|| File { relay: Some(relay), ..File::default() })
    }

    /// Returns the address overrides of a process, one per line; `None` if it connects directly to all its targets.
    pub fn address_overrides(
        &self,
        scenario: &Scenario,
        addresses: &ProcessAddresses,
        client: &str,
    ) -> Option<String> {
        let [connections, datagrams] = self.split_addresses(addresses);
        let address_overrides = self
            .connections
            .address_overrides(client, connections, |name| address_of(scenario, addresses, name))
            + &self
                .datagrams
                .address_overrides(client, datagrams, |name| membership_address(scenario, addresses, name));
        (!address_overrides.is_empty()).then_some(address_overrides)
    }
}

/// Returns the membership address of a router.
fn membership_address(scenario: &Scenario, addresses: &ProcessAddresses, name: &str) -> Option<String> {
    addresses.members.get(scenario.router_names().position(|router| router == name)?).cloned()
}

fn address_of(scenario: &Scenario, addresses: &ProcessAddresses, name: &str) -> Option<String> {
    if name == "list" {
        return Some(addresses.discovery.clone());
    }
    let router = scenario.router_names().position(|router| router == name);
    let worker = || scenario.workers().position(|(worker, ..)| worker == name);
    router
        .and_then(|index| addresses.routers.get(index))
        .or_else(|| addresses.workers.get(worker()?))
        .cloned()
}
