//! Simple policies to choose a prefill worker, as baselines for the router: each gets the load information that it may
//! have, and no more.

use std::collections::{BTreeMap, VecDeque};
use std::str::FromStr;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tideroute_wire::{Address, Micros};

/// Microseconds that the begin or end of a prefill takes to be known to all routers by gossip: some rounds.
const GOSSIP_DELAY: Micros = 500_000;

/// How a prefill worker is chosen.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PrefillPolicy {
    /// The next worker by session, as a client does that balances nothing.
    Next,
    /// A random worker.
    Random,
    /// The worker with the fewest prefills of the client's own router.
    FewestOwn,
    /// Of two random workers the one with fewer prefills, by current load.
    TwoChoices,
    /// The worker with the fewest prefills, by load information of some rounds of gossip ago.
    Greedy,
    /// The worker with the fewest prefills, by current load.
    Perfect,
}

impl PrefillPolicy {
    /// All policies with their names on the command line.
    pub const ALL: [(&'static str, PrefillPolicy); 6] = [
        ("next", PrefillPolicy::Next),
        ("random", PrefillPolicy::Random),
        ("fewest-own", PrefillPolicy::FewestOwn),
        ("two-choices", PrefillPolicy::TwoChoices),
        ("greedy", PrefillPolicy::Greedy),
        ("perfect", PrefillPolicy::Perfect),
    ];
}

/// No policy has that name.
#[derive(Debug, thiserror::Error)]
#[error("{name:?} is no way; expected one of {expected}")]
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

/// Prefills in progress, by worker.
type InFlight = BTreeMap<Address, i64>;

/// Chooses prefill workers by a policy, and keeps the load information that it may use.
pub struct PrefillChooser {
    policy: PrefillPolicy,
    routers: usize,
    by_router: Vec<InFlight>,
    current: InFlight,
    known: InFlight,
    /// Changes on their way to all routers: when they arrive, the worker, and one more or one less.
    updates: VecDeque<(Micros, Address, i64)>,
    rng: Pcg64,
}

impl PrefillChooser {
    /// A chooser for clients of so many routers.
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

    /// The index of the worker for a client's request among `workers`, each with its size.
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
        let one = |rng: &mut Pcg64| rng.random_range(0..count);
        match self.policy {
            PrefillPolicy::Next => Some((session % count as u64) as usize),
            PrefillPolicy::Random => Some(one(&mut self.rng)),
            PrefillPolicy::TwoChoices => {
                let two = [one(&mut self.rng), one(&mut self.rng)];
                let by = |n: &usize| relative_load(&self.current, workers[*n]);
                two.into_iter().min_by(|a, b| by(a).total_cmp(&by(b)))
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

    /// The least loaded worker for its size; ties are broken at random.
    fn least_loaded(&mut self, workers: &[(Address, f64)], in_flight: &InFlight) -> Option<usize> {
        let least = workers.iter().map(|r| relative_load(in_flight, *r)).fold(f64::INFINITY, f64::min);
        let all: Vec<_> =
            (0..workers.len()).filter(|&n| relative_load(in_flight, workers[n]) <= least).collect();
        all.get(self.rng.random_range(0..all.len())).copied()
    }

    /// A prefill has begun at a worker, or ended.
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
