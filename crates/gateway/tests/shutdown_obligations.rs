//! Ways in which requests end, generated at random, in any order and overlap, beside a plain model of workers, clients
//! and connections that knows nothing of the router: what is reserved is released or taken in time, each client gets
//! one response in time, nothing begins for one that has disconnected, and nothing new reaches a draining worker.

mod common;

#[path = "shutdown_obligations/world.rs"]
mod world;

use world::World;

/// Worlds that are generated; the first of them that breaks a rule is named by its seed.
const WORLDS: u64 = 12_000;

#[test]
fn every_obligation_is_met_in_time_in_every_generated_world() {
    let threads: Vec<_> = (0..8)
        .map(|part| {
            std::thread::spawn(move || {
                let seeds = (0..WORLDS).filter(|seed| seed % 8 == part);
                seeds.filter_map(|seed| Some((seed, World::new(2 * seed).play()?))).collect::<Vec<_>>()
            })
        })
        .collect();
    let broken: Vec<_> = threads.into_iter().flat_map(|t| t.join().expect("a part")).collect();
    assert!(
        broken.is_empty(),
        "{} of {WORLDS} worlds, first {:?}",
        broken.len(),
        &broken[..broken.len().min(5)]
    );
}
