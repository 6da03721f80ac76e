//! Simple policies to choose a prefill worker, as baselines for the router. Each policy sees only the load information
//! that it would have in practice.

use std::collections::{BTreeMap, VecDeque};
use std::str::FromStr;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_wire::{Address, Micros};

/// Microseconds, some rounds of gossip, until all routers know that a prefill has begun or ended.
const GOSSIP_DELAY: Micros = 500_000;

/// A policy to choose a prefill worker.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PrefillPolicy {
    /// The worker at the index of the session modulo the number of workers, as a client without load balancing chooses.
    BySession,
    /// A random worker.
    Random,
    /// The worker with the fewest prefills among those that the router of the client has sent.
    FewestOwn,
    /// The one of two random workers with fewer prefills, by current load.
    TwoChoices,
    /// The worker with the fewest prefills, by load information that is some rounds of gossip old.
    Greedy,
    /// The worker with the fewest prefills, by current load.
    Perfect,
}

impl PrefillPolicy {
    /// All policies with their names on the command line.
    pub const ALL: [(&'static str, PrefillPolicy); 6] = [
        ("next", PrefillPolicy::BySession),
        ("random", PrefillPolicy::Random),
        ("fewest-own", PrefillPolicy::FewestOwn),
        ("two-choices", PrefillPolicy::TwoChoices),
        ("greedy", PrefillPolicy::Greedy),
        ("perfect", PrefillPolicy::Perfect),
    ];
}

/// The name is not that of a policy.
#[derive(Debug, thiserror::Error)]
#[error("{name:?} is not a policy; expected one of {expected}")]
pub struct UnknownPolicy {
    name: String,
    expected: String,
}

impl FromStr for PrefillPolicy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<PrefillPolicy, UnknownPolicy> {
        let known = PrefillPolicy::ALL.iter().find(|(known, _)| *known == name);
        known.map(|(_, policy)| *policy).ok_or_else(|| {
            let names: Vec<_> = PrefillPolicy::ALL.iter().map(|(name, _)| *name).collect();
            UnknownPolicy { name: name.to_string(), expected: names.join(", ") }
        })
    }
}

/// Number of prefills in progress, by worker.
type InFlight = BTreeMap<Address, i64>;

/// Chooses prefill workers by a policy, and keeps the load information that the policy may use.
pub struct PrefillChooser {
    policy: PrefillPolicy,
    routers: usize,
    by_router: Vec<InFlight>,
    current: InFlight,
    known: InFlight,
    /// Changes that are on their way to all routers: when they arrive, the worker, and `1` or `-1` for a prefill that began
    /// or ended.
    updates: VecDeque<(Micros, Address, i64)>,
    rng: Pcg64,
}

impl PrefillChooser {
    /// Creates a chooser for the clients of this number of routers.
    pub fn new(policy: PrefillPolicy, routers: usize, seed: u64) -> PrefillChooser {
        let by_router = vec![InFlight::new(); routers.max(1)];
        let (current, known, updates) = (InFlight::new(), InFlight::new(), VecDeque::new());
        PrefillChooser {
            policy,
            routers: routers.max(1),
            by_router,
            current,
            known,
            updates,
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    /// Returns the index of the worker for a request of a client; `workers` are addresses, each with its relative capacity.
    /// `None` if there are no workers.
    pub fn choose(
        &mut self,
        now: Micros,
        client: usize,
        session: u64,
        workers: &[(Address, f64)],
    ) -> Option<usize> {
        if workers.is_empty() {
            return None;
        }
        while let Some((_, worker, change)) = self.updates.pop_front_if(|(at, ..)| *at <= now) {
            *self.known.entry(worker).or_default() += change;
        }
        let count = workers.len();
        let random_index = |rng: &mut Pcg64| rng.random_range(0..count);
        match self.policy {
            PrefillPolicy::BySession => Some((session % count as u64) as usize),
            PrefillPolicy::Random => Some(random_index(&mut self.rng)),
            PrefillPolicy::TwoChoices => {
                let candidates = [random_index(&mut self.rng), random_index(&mut self.rng)];
                let load = |index: &usize| relative_load(&self.current, workers[*index]);
                candidates.into_iter().min_by(|a, b| load(a).total_cmp(&load(b)))
            }
            PrefillPolicy::FewestOwn => {
                let by_router = self.by_router[client % self.routers].clone();
                self.least_loaded(workers, &by_router)
            }
            PrefillPolicy::Greedy => {
                let known = self.known.clone();
                self.least_loaded(workers, &known)
            }
            PrefillPolicy::Perfect => {
                let current = self.current.clone();
                self.least_loaded(workers, &current)
            }
        }
    }

    /// Returns the index of a worker with the lowest load in relation to its size; ties are broken at random.
    fn least_loaded(&mut self, workers: &[(Address, f64)], in_flight: &InFlight) -> Option<usize> {
        let min_load =
            workers.iter().map(|worker| relative_load(in_flight, *worker)).fold(f64::INFINITY, f64::min);
        let least_loaded: Vec<_> = (0..workers.len())
            .filter(|&index| relative_load(in_flight, workers[index]) <= min_load)
            .collect();
        least_loaded.get(self.rng.random_range(0..least_loaded.len())).copied()
    }

    /// Records that a prefill has begun or ended at a worker.
    pub fn record(&mut self, now: Micros, client: usize, worker: Address, began: bool) {
        let change = if began { 1 } else { -1 };
        *self.current.entry(worker).or_default() += change;
        *self.by_router[client % self.routers].entry(worker).or_default() += change;
        self.updates.push_back((now + GOSSIP_DELAY, worker, change));
    }
}

fn relative_load(in_flight: &InFlight, (worker, size): (Address, f64)) -> f64 {
    in_flight.get(&worker).copied().unwrap_or(0) as f64 / size.max(0.01)
}

#[cfg(test)]
mod tests;
