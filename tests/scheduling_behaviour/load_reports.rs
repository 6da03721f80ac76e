//! Placement by load reports.

use tideroute::types::*;

use crate::common::{config, World, MS};
use crate::{cell_of, sent_to, worker_of, REMAINING_TIME};

/// Returns a world with twelve workers, four of them prefill workers, in which one request waits for load
/// reports. Also returns the first prefill worker in the key's order, the only one that was queried.
fn queried() -> (World, WorkerId) {
    queried_for(10.0, false)
}

fn queried_for(prompt: f64, in_tokens: bool) -> (World, WorkerId) {
    let mut world =
        World::new(SchedulerConfig { load_reports_enabled: true, load_in_tokens: in_tokens, ..config() }, 12);
    let id = world.send_request(0, 1, prompt, REMAINING_TIME);
    assert!(world.requests[&id].attempt.is_none(), "the request waits for load reports");
    assert_eq!(world.health_checks.len(), 1);
    let first = world.health_checks[0];
    (world, first)
}

fn report(world: &mut World, worker: WorkerId, load: f64) {
    world.health_checks.retain(|w| *w != worker);
    world.scheduler.load_reported(world.now, worker, load);
    world.scheduler.health_check_finished(world.now, worker, true);
    world.drain_actions();
}

/// Lets the queried workers report these loads one after another, and returns the workers in that order.
fn report_all(world: &mut World, loads: &[f64]) -> Vec<WorkerId> {
    let mut order = vec![];
    for load in loads {
        let Some(worker) = world.health_checks.first().copied() else { break };
        assert!(order.is_empty() || !order.contains(&worker));
        report(world, worker, *load);
        order.push(worker);
    }
    order
}

#[test]
fn without_reservations_decode_workers_that_report_waiting_prompts_count_as_full() {
    for (reservations, waiting, near) in
        [(false, 5_000.0, false), (false, 3_000.0, true), (true, 5_000.0, true)]
    {
        let mut world = World::new(
            SchedulerConfig {
                load_reports_enabled: true,
                load_in_tokens: true,
                reservations_enabled: reservations,
                ..config()
            },
            12,
        );
        let id = world.send_request(0, 1, 1_000.0, REMAINING_TIME);
        let first = world.health_checks[0];
        report(&mut world, first, 0.0);
        let prefill_worker = worker_of(&world, id);
        assert_eq!(prefill_worker, first);
        let asked = std::mem::take(&mut world.health_checks);
        let decode_workers: Vec<_> =
            asked.iter().filter(|w| cell_of(&world, **w) == cell_of(&world, prefill_worker)).collect();
        assert_eq!(
            (asked.len() == decode_workers.len(), decode_workers.is_empty()),
            (true, reservations),
            "{asked:?}"
        );
        for decode_worker in asked {
            report(&mut world, decode_worker, waiting);
        }
        world.advance(50 * MS);
        world.finish_attempt(id, AttemptOutcome::PrefillComplete);
        assert_eq!(
            cell_of(&world, worker_of(&world, id)) == cell_of(&world, prefill_worker),
            near,
            "{reservations} {waiting}"
        );
    }
}

#[test]
fn the_first_prefill_worker_is_chosen_unless_another_reports_clearly_less_load() {
    // Each worker has size 4, so a load of 4 attempts counts as 1. The other workers are queried only if their
    // reports can change the choice.
    let cases = [
        ([3.0, 0.0, 0.0], 0, 1),
        ([4.0, 0.0, 0.0], 1, 3),
        ([8.0, 4.0, 0.0], 2, 3),
        ([16.0, 20.0, 13.0], 0, 3),
        ([0.0, 0.0, 0.0], 0, 1),
    ];
    for (loads, taken, queried_count) in cases {
        let (mut world, first) = queried();
        let order = report_all(&mut world, &loads);
        let sent: Vec<_> = world.actions.iter().filter_map(|(_, d)| sent_to(d)).collect();
        assert_eq!((sent, order[0], order.len()), (vec![order[taken]], first, queried_count), "{loads:?}");
    }
}

#[test]
fn loads_reported_in_tokens_are_compared_with_a_margin_of_the_prompt_length() {
    // Each worker has size 4, so a load of 600 tokens counts as 150, which is the length of the prompt and so the
    // margin.
    for (loads, taken) in [([599.0, 0.0, 0.0], 0), ([601.0, 0.0, 0.0], 1), ([2_000.0, 1_300.0, 0.0], 2)] {
        let (mut world, _) = queried_for(600.0 / 4.0, true);
        let order = report_all(&mut world, &loads);
        let sent: Vec<_> = world.actions.iter().filter_map(|(_, d)| sent_to(d)).collect();
        assert_eq!(sent, [order[taken]], "{loads:?}");
    }
}

#[test]
fn a_prefill_worker_that_fails_a_load_query_is_probed_before_its_backoff_starts() {
    let (mut world, first) = queried();
    world.health_checks.clear();
    world.scheduler.health_check_finished(world.now, first, false);
    world.drain_actions();
    assert_eq!(world.health_checks, [first], "a worker that failed a load query is probed");
    world.advance(30 * MS);
    assert_eq!(
        world.actions.iter().find_map(|(_, d)| sent_to(d)),
        Some(first),
        "the worker is still in service"
    );
    world.scheduler.health_check_finished(world.now, first, false);
    world.drain_actions();
    assert!(world.actions.iter().any(|(_, d)| matches!(d, Action::CancelAttempt { .. })));
}

#[test]
fn a_request_waits_for_load_reports_at_most_some_milliseconds() {
    let (mut world, _) = queried();
    let order = report_all(&mut world, &[40.0, 8.0]);
    assert_eq!(world.health_checks.len(), 1, "the third worker has not reported");
    world.advance(20 * MS);
    assert_eq!(world.actions.iter().find_map(|(_, d)| sent_to(d)), Some(order[1]));
    // The first worker does not report: the others are queried too, and one of them is chosen.
    let (mut world, first) = queried();
    world.advance(10 * MS);
    let next = world.health_checks[1];
    assert!(world.health_checks.len() == 3 && next != first);
    report(&mut world, next, 0.0);
    world.advance(20 * MS);
    assert_eq!(world.actions.iter().find_map(|(_, d)| sent_to(d)), Some(next));
    // No worker reports: the first of the order is chosen, as if none had been queried.
    let (mut world, first) = queried();
    world.advance(30 * MS);
    assert_eq!(world.actions.iter().find_map(|(_, d)| sent_to(d)), Some(first));
}

#[test]
fn a_burst_does_not_all_go_to_the_worker_that_reported_no_load() {
    let (mut world, _) = queried();
    let order = report_all(&mut world, &[8.0, 40.0, 0.0]);
    for _ in 0..12 {
        world.send_request(0, 1, 10.0, REMAINING_TIME);
    }
    let to = |id: WorkerId| world.actions.iter().filter(|(_, d)| sent_to(d) == Some(id)).count();
    let counts = [0, 1, 2].map(|n| to(order[n]));
    assert!(counts[0] >= 3 && counts[1] == 0 && counts[2] >= 5, "{counts:?}");
}
