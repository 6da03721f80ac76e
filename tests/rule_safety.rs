//! Runs the scheduler through generated event sequences with a fixed seed and checks it against the model of the
//! rules in `tests/common`.

mod common;

use common::{config, endpoint, World, MS};
use quickcheck::{Gen, QuickCheck};
use tideroute::types::*;

/// A generated step: its kind, the index of the request or worker that it concerns, and a number that sets the
/// details.
type Step = (u8, u8, u16);

/// Applies a step: arrivals, answers, failures, rejections, lost KV states, drains, restarts, disconnects or
/// passing time.
fn play(world: &mut World, (kind, which, number): Step) {
    let in_flight = world.requests.iter().filter(|(_, request)| request.attempt.is_some());
    let in_flight: Vec<RequestId> = in_flight.map(|(&id, _)| id).collect();
    let chosen = (!in_flight.is_empty()).then(|| in_flight[usize::from(which) % in_flight.len()]);
    match kind % 16 {
        0..=4 => {
            let remaining_time = TenthMillis::from(800 + number % 6000) * MS;
            world.send_request(which % 4, u64::from(number % 5), f64::from(number % 9000), remaining_time);
        }
        5..=9 => {
            if let Some(id) = chosen {
                continue_attempt(world, id, number);
            }
        }
        10 => {
            if let Some(id) = chosen.filter(|id| world.requests[id].reservation_pending) {
                world.answer_reservation(id, number % 2 == 0);
            }
        }
        11 => {
            let alive = world.requests.iter().filter(|(_, request)| !request.ended);
            let alive: Vec<RequestId> = alive.map(|(&id, _)| id).collect();
            if let Some(&id) = alive.get(usize::from(which)) {
                world.disconnect_client(id);
            }
        }
        12 => change_endpoint(world, which, number),
        13 => {
            if let Some(worker) = world.health_checks.pop() {
                if number % 2 == 0 {
                    world.scheduler.load_reported(world.now, worker, f64::from(number % 40));
                }
                world.scheduler.health_check_finished(world.now, worker, number % 2 == 0);
                world.drain_actions();
            }
        }
        _ => world.advance(TenthMillis::from(number % 400) * MS),
    }
}

/// Lets an attempt begin its response or finish.
fn continue_attempt(world: &mut World, id: RequestId, number: u16) {
    let attempt = world.requests[&id].attempt.as_ref().unwrap();
    let (is_prefill, started) = (attempt.is_prefill, attempt.started);
    let outcomes: &[AttemptOutcome] = match (is_prefill, started) {
        (true, _) => &[
            AttemptOutcome::PrefillComplete,
            AttemptOutcome::PrefillComplete,
            AttemptOutcome::PrefillComplete,
            AttemptOutcome::Rejected,
            AttemptOutcome::Unreachable,
            AttemptOutcome::ConnectionReset,
        ],
        (_, true) => &[AttemptOutcome::Completed, AttemptOutcome::Completed, AttemptOutcome::ConnectionReset],
        _ => &[
            AttemptOutcome::Rejected,
            AttemptOutcome::StateMissing,
            AttemptOutcome::ServerError,
            AttemptOutcome::Unreachable,
            AttemptOutcome::ConnectionReset,
        ],
    };
    if !is_prefill && !started && !number.is_multiple_of(3) {
        world.start_response(id);
    } else {
        world.finish_attempt(id, outcomes[usize::from(number) % outcomes.len()]);
    }
}

/// Changes a worker's status, or restarts it.
fn change_endpoint(world: &mut World, which: u8, number: u16) {
    let statuses = [EndpointStatus::Serving, EndpointStatus::Draining, EndpointStatus::Removed];
    let mut changed = endpoint(which % 6);
    changed.status = statuses[usize::from(number % 3)];
    changed.start_time = world.endpoints[&changed.worker].start_time;
    if number % 6 == 3 {
        changed.start_time = world.now - TenthMillis::from(number % 500) * MS;
    }
    world.update_endpoint(changed);
    world.drain_actions();
}

#[test]
fn the_rules_hold_in_generated_worlds() {
    fn holds(
        reservations: bool,
        cancellation: bool,
        few_attempts: bool,
        load_reports: bool,
        steps: Vec<Step>,
    ) -> bool {
        let health_checks = cancellation;
        let config = SchedulerConfig {
            router_count: if reservations { 268 } else { 1 },
            reservations_enabled: reservations,
            cancellation_enabled: cancellation,
            health_checks_enabled: health_checks,
            load_reports_enabled: load_reports && health_checks,
            max_attempts: if few_attempts { 2 } else { 5 },
            ..config()
        };
        let mut world = World::new(config, 6);
        steps.into_iter().for_each(|step| play(&mut world, step));
        world.advance(30_000 * MS);
        let has_started = |attempt: &common::Attempt| attempt.started;
        world
            .requests
            .values()
            .all(|request| request.ended || request.attempt.as_ref().is_some_and(has_started))
    }
    let check = holds as fn(bool, bool, bool, bool, Vec<Step>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(300, 20_261_201)).tests(300).quickcheck(check);
}
