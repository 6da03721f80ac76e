//! Which prefill worker a prompt goes to.

use tideroute::types::*;

use crate::common::{config, endpoint, worker, World, MS};
use crate::{cell_of, complete, sent_to, worker_of, REMAINING_TIME};

#[test]
fn a_prefill_worker_with_an_old_unanswered_prefill_gets_no_second_one() {
    let mut world = World::new(config(), 6);
    let first = world.send_request(0, 1, 1000.0, REMAINING_TIME);
    world.advance(1000 * MS);
    let second = world.send_request(0, 1, 1000.0, REMAINING_TIME);
    assert_ne!(worker_of(&world, first), worker_of(&world, second));
    let third = world.send_request(0, 1, 1000.0, REMAINING_TIME);
    assert_eq!(worker_of(&world, third), worker_of(&world, second));
}

#[test]
fn without_prefill_workers_decode_workers_take_all_waiting_requests() {
    let mut world = World::new(SchedulerConfig { decode_workers_prefill: true, ..config() }, 0);
    world.update_endpoint(endpoint(1));
    let arrive = |world: &mut World, id: RequestId| {
        let (class, session, prefix) = (0, id, 0);
        let new_request =
            NewRequest { id, class, session, prefix, prompt_tokens: 900.0, remaining_time: REMAINING_TIME };
        assert!(world.scheduler.request_arrived(world.now, new_request));
    };
    (1..=3).for_each(|id| arrive(&mut world, id));
    let sent = std::iter::from_fn(|| world.scheduler.next_action(world.now));
    assert_eq!(sent.filter(|d| matches!(d, Action::Dispatch { .. })).count(), 3);
}

#[test]
fn ties_spread_over_the_decode_workers_of_a_cell_and_a_hot_prefix_over_its_prefill_workers() {
    let mut world = World::new(config(), 6);
    complete(&mut world, 120);
    for n in 0..6 {
        let sends = world.actions.iter().filter(|(_, d)| sent_to(d) == Some(worker(n))).count();
        assert!(sends > if n % 3 == 0 { 30 } else { 15 }, "{n}: {sends}");
    }
}

#[test]
fn where_few_cells_have_decode_workers_their_prefill_workers_get_hardly_more_than_others() {
    // Twelve workers in four cells, of which the first `cells_with_decode` have decode workers. Returns the
    // prefills for each prefill worker of these cells, divided by those for each prefill worker of the other
    // cells.
    let ratio = |cells_with_decode: u16| {
        let mut world = World::new(SchedulerConfig { reservations_enabled: false, ..config() }, 12);
        for n in (0..12).filter(|n| endpoint(*n).cell >= cells_with_decode) {
            world.update_endpoint(Endpoint { kind: 0, zone: 0, ..endpoint(n) });
        }
        (0..12)
            .filter(|n| endpoint(*n).cell < cells_with_decode)
            .for_each(|n| world.update_endpoint(Endpoint { zone: 0, ..endpoint(n) }));
        world.drain_actions();
        let mut prefills = [0.0, 0.0];
        for prefix in 1..400 {
            let id = world.send_request(0, prefix, 10.0, REMAINING_TIME);
            let cell = cell_of(&world, worker_of(&world, id));
            prefills[usize::from(cell >= cells_with_decode)] += 1.0;
            world.finish_attempt(id, AttemptOutcome::PrefillComplete);
            world.start_response(id);
            world.finish_attempt(id, AttemptOutcome::Completed);
            world.advance(10 * MS);
        }
        let prefill_workers = [f64::from(cells_with_decode), 3.0 * f64::from(4 - cells_with_decode)];
        (prefills[0] / prefill_workers[0]) / (prefills[1] / prefill_workers[1]).max(1e-9)
    };
    let (one, three) = (ratio(1), ratio(3));
    assert!((0.7..1.6).contains(&one) && three > 1.8, "one cell of four {one}, three of four {three}");
}
