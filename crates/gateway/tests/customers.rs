//! Runs routers in deployments that are generated at random, each with its own settings, workers, requests and faults,
//! and checks the protocol's rules after each event. For wide searches, the environment variables `CUSTOMERS` and
//! `FIRST_CUSTOMER` set the number of deployments and the seed of the first; a single deployment is printed event by
//! event.

mod common;

#[path = "generated_deployments/simulation.rs"]
mod simulation;

use std::collections::BTreeMap;

use simulation::Simulation;

/// Number of deployments if `CUSTOMERS` is not set.
const DEFAULT_DEPLOYMENTS: u64 = 20_000;
/// Maximum number of deployments that the failure message lists for each broken rule.
const MAX_LISTED_PER_RULE: usize = 8;

fn environment_number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn every_rule_holds_for_every_generated_deployment() {
    let (first_seed, deployments) = (
        environment_number("FIRST_CUSTOMER").unwrap_or(0),
        environment_number("CUSTOMERS").unwrap_or(DEFAULT_DEPLOYMENTS),
    );
    if deployments == 1 {
        let violation = Simulation::generate(first_seed).run_verbosely();
        assert!(violation.is_none(), "deployment {first_seed}: {}", violation.expect("a violation"));
        return;
    }
    let threads: Vec<_> = (0..8)
        .map(|part| {
            std::thread::spawn(move || {
                let seeds = (first_seed..first_seed + deployments).filter(|seed| seed % 8 == part);
                seeds.filter_map(|seed| Some((seed, Simulation::generate(seed).run()?))).collect::<Vec<_>>()
            })
        })
        .collect();
    let violations: Vec<_> =
        threads.into_iter().flat_map(|thread| thread.join().expect("a thread without a panic")).collect();
    let mut by_rule = BTreeMap::<_, usize>::new();
    let mut listed = vec![];
    for (seed, violation) in &violations {
        let count = by_rule.entry(violation.rule).or_default();
        *count += 1;
        if *count <= MAX_LISTED_PER_RULE {
            listed.push(format!("deployment {seed}: {violation}"));
        }
    }
    assert!(
        violations.is_empty(),
        "{} of {deployments} deployments broke a rule, {by_rule:?}\n{}",
        violations.len(),
        listed.join("\n")
    );
}
