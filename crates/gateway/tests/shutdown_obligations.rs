//! Requests that end in every way, generated at random, in any order and overlap. A simple model of workers, clients
//! and connections, independent of the router, checks that state and reservations are released or used within the
//! timeout, that each client gets one response within its deadline, that no attempt starts for a client that has
//! disconnected, and that no new call reaches a draining worker.

mod common;

#[path = "shutdown_obligations/simulation.rs"]
mod simulation;

use simulation::Simulation;

/// Number of generated simulations. The failure message shows the seeds of the first ones that break a rule.
const SIMULATIONS: u64 = 12_000;

#[test]
fn every_obligation_is_met_in_time_in_every_generated_simulation() {
    let threads: Vec<_> = (0..8)
        .map(|part| {
            std::thread::spawn(move || {
                let seeds = (0..SIMULATIONS).filter(|seed| seed % 8 == part);
                seeds.filter_map(|seed| Some((seed, Simulation::new(2 * seed).run()?))).collect::<Vec<_>>()
            })
        })
        .collect();
    let violations: Vec<_> =
        threads.into_iter().flat_map(|thread| thread.join().expect("a thread without a panic")).collect();
    assert!(
        violations.is_empty(),
        "{} of {SIMULATIONS} simulations broke a rule, the first of them {:?}",
        violations.len(),
        &violations[..violations.len().min(5)]
    );
}
