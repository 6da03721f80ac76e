//! The router against the plain model, on generated worlds with a fixed seed.

mod common;

use common::{endpoint, terms, World, MS};
use quickcheck::{Gen, QuickCheck};
use tideroute::types::*;

/// Plays one generated step: deaths, drains, restarts, silence, refusals, lost states, late outcomes, drops.
fn step(world: &mut World, (what, which, much): (u8, u8, u16)) {
    let out: Vec<_> = world.open.iter().filter(|(_, e)| e.out.is_some()).map(|(&id, _)| id).collect();
    let one = (!out.is_empty()).then(|| out[usize::from(which) % out.len()]);
    match what % 16 {
        0..=4 => {
            let left = TenthMillis::from(800 + much % 6000) * MS;
            world.arrive(which % 4, u64::from(much % 5), f64::from(much % 9000), left);
        }
        5..=9 => {
            let Some(id) = one else { return };
            let (reading, started) = world.open[&id].out.as_ref().map(|o| (o.reading, o.started)).unwrap();
            let outcomes: &[AttemptOutcome] = match (reading, started) {
                (true, _) => &[
                    AttemptOutcome::PrefillComplete,
                    AttemptOutcome::PrefillComplete,
                    AttemptOutcome::PrefillComplete,
                    AttemptOutcome::Rejected,
                    AttemptOutcome::Unreachable,
                    AttemptOutcome::ConnectionReset,
                ],
                (_, true) => {
                    &[AttemptOutcome::Completed, AttemptOutcome::Completed, AttemptOutcome::ConnectionReset]
                }
                _ => &[
                    AttemptOutcome::Rejected,
                    AttemptOutcome::StateMissing,
                    AttemptOutcome::ServerError,
                    AttemptOutcome::Unreachable,
                    AttemptOutcome::ConnectionReset,
                ],
            };
            if !reading && !started && much % 3 > 0 {
                world.start(id);
            } else {
                world.settle(id, outcomes[usize::from(much) % outcomes.len()]);
            }
        }
        10 => {
            let asked = one.filter(|id| world.open[id].asked);
            if let Some(id) = asked {
                world.answer(id, much % 2 == 0);
            }
        }
        11 => {
            let alive: Vec<_> = world.open.iter().filter(|(_, e)| !e.ended).map(|(&id, _)| id).collect();
            if let Some(&id) = alive.get(usize::from(which)) {
                world.drop_client(id);
            }
        }
        12 => {
            let mut entry = endpoint(which % 6);
            entry.status = [EndpointStatus::Serving, EndpointStatus::Draining, EndpointStatus::Removed]
                [usize::from(much % 3)];
            entry.start_time = world.list[&entry.worker].start_time;
            if much % 6 == 3 {
                entry.start_time = world.now - TenthMillis::from(much % 500) * MS;
            }
            world.relist(entry);
            world.pull();
        }
        13 => {
            if let Some(worker) = world.probes.pop() {
                if much % 2 == 0 {
                    world.router.load_reported(world.now, worker, f64::from(much % 40));
                }
                world.router.health_check_finished(world.now, worker, much % 2 == 0);
                world.pull();
            }
        }
        _ => world.pass(TenthMillis::from(much % 400) * MS),
    }
}

#[test]
fn the_rules_hold_in_generated_worlds() {
    fn holds(places: bool, cancellation: bool, few: bool, asks: bool, steps: Vec<(u8, u8, u16)>) -> bool {
        let routers = if places { 268 } else { 1 };
        let (probes, max_attempts) = (cancellation, if few { 2 } else { 5 });
        let asks = asks && probes;
        let terms = SchedulerConfig {
            router_count: routers,
            reservations_enabled: places,
            cancellation_enabled: cancellation,
            health_checks_enabled: probes,
            load_reports_enabled: asks,
            max_attempts,
            ..terms()
        };
        let mut world = World::new(terms, 6);
        steps.into_iter().for_each(|s| step(&mut world, s));
        world.pass(30_000 * MS);
        world.open.values().all(|e| e.ended || e.out.as_ref().is_some_and(|o| o.started))
    }
    let check = holds as fn(bool, bool, bool, bool, Vec<(u8, u8, u16)>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(300, 20_261_201)).tests(300).quickcheck(check);
}
