//! Customers drawn by chance, each with settings, workers, requests and faults of its own, beside a plain model of the
//! rules. `CUSTOMERS` and `FIRST_CUSTOMER` set how many are drawn and the seed of the first, for wide searches; a single
//! one is told event by event.

mod common;

#[path = "generated_deployments/world.rs"]
mod world;

use std::collections::BTreeMap;

use world::World;

/// Worlds drawn where nothing else is said.
const WORLDS: u64 = 20_000;
/// Worlds that are named for each rule that breaks.
const TOLD: usize = 8;

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn every_rule_holds_for_every_customer() {
    let (first, many) = (number("FIRST_CUSTOMER").unwrap_or(0), number("CUSTOMERS").unwrap_or(WORLDS));
    if many == 1 {
        let broken = World::drawn(first).play_aloud();
        assert!(broken.is_none(), "customer {first}: {}", broken.expect("a break"));
        return;
    }
    let threads: Vec<_> = (0..8)
        .map(|part| {
            std::thread::spawn(move || {
                let seeds = (first..first + many).filter(|seed| seed % 8 == part);
                seeds.filter_map(|seed| Some((seed, World::drawn(seed).play()?))).collect::<Vec<_>>()
            })
        })
        .collect();
    let broken: Vec<_> = threads.into_iter().flat_map(|t| t.join().expect("a part")).collect();
    let mut by_rule = BTreeMap::<_, usize>::new();
    let mut told = vec![];
    for (seed, broken) in &broken {
        let count = by_rule.entry(broken.rule).or_default();
        *count += 1;
        if *count <= TOLD {
            told.push(format!("customer {seed}: {broken}"));
        }
    }
    assert!(broken.is_empty(), "{} of {many} worlds, {by_rule:?}\n{}", broken.len(), told.join("\n"));
}
