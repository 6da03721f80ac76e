//! One small test for each failure met on the bench or foreseen in a submission's life.

mod common;

use common::{endpoint, terms, worker, World, MS};
use tideroute::types::*;

const LEFT: TenthMillis = 6000 * MS;

fn at(world: &World, id: RequestId) -> WorkerId {
    world.open[&id].out.as_ref().expect("a shot is out").worker
}

fn cell(world: &World, worker: WorkerId) -> u16 {
    world.list[&worker].cell
}

fn sent_to(decision: &Action) -> Option<WorkerId> {
    if let Action::Dispatch { worker, .. } = decision {
        Some(*worker)
    } else {
        None
    }
}

/// Carries so many submissions through, one a second.
fn honour(world: &mut World, many: u32) {
    for _ in 0..many {
        let id = read(world, true);
        world.start(id);
        world.settle(id, AttemptOutcome::Completed);
        world.pass(950 * MS);
    }
}

/// Reads a submission and has its place answered; it is then out at a writer.
fn read(world: &mut World, held: bool) -> RequestId {
    let id = world.arrive(0, 1, 1000.0, LEFT);
    world.answer(id, held);
    world.pass(50 * MS);
    world.settle(id, AttemptOutcome::PrefillComplete);
    id
}

#[test]
fn a_read_goes_out_with_a_place_in_its_cell_and_the_held_writer_gets_the_send() {
    let mut world = World::new(terms(), 6);
    let id = world.arrive(0, 1, 1000.0, LEFT);
    let (reader, place) = (at(&world, id), world.open[&id].place.expect("asked"));
    assert_eq!(cell(&world, reader), cell(&world, place));
    world.answer(id, true);
    world.settle(id, AttemptOutcome::PrefillComplete);
    assert_eq!(at(&world, id), place);
}

#[test]
fn a_short_read_that_ends_before_the_answer_still_goes_to_the_asked_writer() {
    let mut world = World::new(terms(), 6);
    let id = world.arrive(0, 1, 10.0, LEFT);
    let place = world.open[&id].place.expect("asked");
    world.settle(id, AttemptOutcome::PrefillComplete);
    assert_eq!(at(&world, id), place);
}

#[test]
fn a_no_is_booked_to_the_writer_and_the_next_one_is_asked() {
    let mut world = World::new(terms(), 6);
    let id = world.arrive(0, 1, 1000.0, LEFT);
    let first = world.open[&id].place.expect("asked");
    world.answer(id, false);
    let second = world.open[&id].place.expect("asked again");
    assert!(second != first && cell(&world, second) == cell(&world, first));
    world.answer(id, false);
    let third = world.open[&id].place.expect("the gate is open while nothing is measured");
    assert_ne!(cell(&world, third), cell(&world, first));
}

#[test]
fn reads_wait_unread_while_no_writer_grants_and_go_out_by_timer() {
    let mut world = World::new(terms(), 3);
    let first = world.arrive(0, 1, 1000.0, LEFT);
    world.answer(first, false);
    world.answer(first, false);
    let next = world.arrive(0, 1, 1000.0, LEFT);
    assert!(world.open[&next].out.is_none());
    world.settle(first, AttemptOutcome::PrefillComplete);
    world.pass(60 * MS);
    world.start(first);
    world.pass(1050 * MS);
    assert!(world.open[&next].out.is_some());
}

#[test]
fn a_reader_whose_reads_take_too_long_gets_no_second_one() {
    let mut world = World::new(terms(), 6);
    let first = world.arrive(0, 1, 1000.0, LEFT);
    world.pass(1000 * MS);
    let second = world.arrive(0, 1, 1000.0, LEFT);
    assert_ne!(at(&world, first), at(&world, second));
    let third = world.arrive(0, 1, 1000.0, LEFT);
    assert_eq!(at(&world, third), at(&world, second));
}

#[test]
fn places_count_at_a_cold_writer() {
    let mut world = World::new(SchedulerConfig { health_checks_enabled: false, ..terms() }, 3);
    honour(&mut world, 20);
    let back = Endpoint { start_time: world.now - 100 * MS, ..endpoint(1) };
    world.relist(back);
    world.pull();
    // The model refuses more than two out at a writer that has answered nothing.
    let ids: Vec<_> = (0..40).map(|_| world.arrive(0, 1, 10.0, LEFT)).collect();
    let there = ids.iter().filter(|id| world.open[id].place == Some(worker(1))).count();
    assert!((1..=2).contains(&there), "{there}");
}

/// Hundreds of routers, each of which sees one submission a second, share one fresh writer among three.
#[test]
fn many_routers_together_do_not_push_over_a_cold_worker() {
    let mut sends = vec![];
    for seed in 0..200 {
        let mut world = World::seeded(
            SchedulerConfig { router_count: 200, health_checks_enabled: false, ..terms() },
            3,
            seed,
        );
        world.relist(Endpoint { cell: 0, ..endpoint(4) });
        honour(&mut world, 15);
        world.relist(Endpoint { start_time: world.now - 10 * MS, ..endpoint(1) });
        world.pull();
        world.pass(TenthMillis::from(seed as u32 % 100) * 10 * MS);
        let begun = world.now;
        honour(&mut world, 3);
        let to_cold = |d: &&(TenthMillis, Action)| d.0 >= begun && sent_to(&d.1) == Some(worker(1));
        sends.extend(world.log.iter().filter(to_cold).map(|d| d.0));
    }
    sends.sort_unstable();
    // 200 a second over three writers: a warm one takes 133 in the window, the cold one 2.5 * 0.3 of that.
    let span = terms().overload_window;
    let most = sends.iter().map(|&at| sends.iter().filter(|&&s| at <= s && s < at + span).count()).max();
    assert!(most.is_some_and(|n| (5..=100).contains(&n)), "{most:?}");
}

#[test]
fn what_cannot_make_its_contract_time_is_turned_back_at_once_with_advice() {
    let mut world = World::new(terms(), 3);
    let mut gone = endpoint(0);
    gone.status = EndpointStatus::Removed;
    world.relist(gone);
    world.pull();
    let id = world.arrive(0, 1, 1000.0, LEFT);
    world.pass(1600 * MS);
    assert!(world.open[&id].ended);
    assert!(matches!(world.log.last(), Some((_, Action::Reject { retry_after: after, .. })) if *after > 0));
}

#[test]
fn a_single_use_submission_is_abandoned_once_it_may_have_run() {
    for (outcome, again) in [
        (AttemptOutcome::ConnectionReset, false),
        (AttemptOutcome::ServerError, false),
        (AttemptOutcome::Unreachable, true),
    ] {
        let mut world = World::new(terms(), 6);
        let id = world.arrive(1, 1, 1000.0, LEFT);
        world.settle(id, AttemptOutcome::PrefillComplete);
        world.settle(id, outcome);
        assert_eq!(world.open[&id].out.is_some(), again, "{outcome:?}");
        let failed = world.logged(&Action::Fail { id });
        assert_eq!(failed, !again, "{outcome:?}");
    }
}

#[test]
fn full_by_queue_tries_another_writer_and_a_lost_state_is_read_anew() {
    let mut world = World::new(terms(), 6);
    let id = read(&mut world, false);
    let first = at(&world, id);
    world.settle(id, AttemptOutcome::Rejected);
    assert!(at(&world, id) != first && world.list[&at(&world, id)].kind == 1);
    world.settle(id, AttemptOutcome::StateMissing);
    assert_eq!(world.list[&at(&world, id)].kind, 0);
}

#[test]
fn a_held_writer_that_drains_before_the_send_is_let_go_and_the_prompt_read_anew() {
    let mut world = World::new(terms(), 6);
    let id = world.arrive(0, 1, 1000.0, LEFT);
    world.answer(id, true);
    let mut drains = world.list[&world.open[&id].place.expect("asked")];
    drains.status = EndpointStatus::Draining;
    world.relist(drains);
    world.pull();
    world.settle(id, AttemptOutcome::PrefillComplete);
    assert!(world.logged(&Action::Release { id }));
    assert_eq!(world.list[&at(&world, id)].kind, 0);
}

#[test]
fn a_state_that_lands_after_the_client_left_is_let_go() {
    let mut world = World::new(SchedulerConfig { cancellation_enabled: false, ..terms() }, 6);
    let id = world.arrive(0, 1, 1000.0, LEFT);
    world.drop_client(id);
    world.settle(id, AttemptOutcome::PrefillComplete);
    assert!(matches!(world.log.last(), Some((_, Action::Release { .. }))));
}

#[test]
fn a_lost_read_is_called_back_and_its_worker_left_for_that_track_only() {
    // Reads are known to be quick, from another reader.
    let mut world = World::new(terms(), 6);
    let (known, reader) = (worker(0), worker(3));
    let stand = |world: &mut World, id, status| world.relist(Endpoint { status, ..world.list[&id] });
    stand(&mut world, reader, EndpointStatus::Draining);
    for _ in 0..60 {
        let id = read(&mut world, true);
        world.start(id);
        world.settle(id, AttemptOutcome::Completed);
    }
    stand(&mut world, known, EndpointStatus::Draining);
    stand(&mut world, reader, EndpointStatus::Serving);
    let id = world.arrive(0, 1, 1000.0, 20_000 * MS);
    world.answer(id, true);
    assert_eq!(at(&world, id), reader);
    stand(&mut world, known, EndpointStatus::Serving);
    world.pass(300 * MS);
    assert!(!world.logged(&Action::CancelAttempt { id, attempt: 0 }) && world.probes.is_empty());
    world.pass(1_100 * MS);
    assert!(world.logged(&Action::CancelAttempt { id, attempt: 0 }) && world.probes == [reader]);
    world.settle(id, AttemptOutcome::Cancelled);
    assert_ne!(at(&world, id), reader);
    // A good probe clears the worker, but not for the track that it lost.
    world.router.health_check_finished(world.now, reader, true);
    let mut to = |class| {
        let id = world.arrive(class, 1, 10.0, LEFT);
        at(&world, id)
    };
    assert!((0..10).all(|_| to(0) == known) && (0..10).any(|_| to(3) == reader));
}

#[test]
fn a_worker_whose_connection_broke_is_probed_at_once_and_is_back_with_the_answer() {
    for outcome in [AttemptOutcome::ConnectionReset, AttemptOutcome::Unreachable] {
        for well in [true, false] {
            let mut world = World::new(terms(), 6);
            let id = world.arrive(0, 1, 1000.0, LEFT);
            let reader = at(&world, id);
            world.settle(id, outcome);
            assert!(world.probes == [reader] && at(&world, id) != reader, "out of service until it answers");
            world.router.health_check_finished(world.now, reader, well);
            let next = world.arrive(0, 1, 10.0, LEFT);
            assert_eq!(at(&world, next) == reader, well);
        }
    }
}

#[test]
fn a_single_use_send_that_is_silent_is_not_called_back() {
    let mut world = World::new(terms(), 6);
    let id = world.arrive(1, 1, 1000.0, 20_000 * MS);
    world.settle(id, AttemptOutcome::PrefillComplete);
    world.pass(10_000 * MS);
    assert!(
        !world.log.iter().any(|d| matches!(d.1, Action::CancelAttempt { .. })) && world.probes.len() == 1
    );
}

#[test]
fn a_list_that_must_be_asked_for_is_asked_for_again_after_a_failure() {
    let mut world = World::new(SchedulerConfig { endpoint_watch_enabled: true, ..terms() }, 3);
    let asked = |world: &World| world.log.iter().filter(|d| d.1 == Action::WatchEndpoints).count();
    assert_eq!(asked(&world), 1);
    world.router.discovery_failed(world.now);
    world.pull();
    assert_eq!(asked(&world), 1);
    world.pass(1500 * MS);
    assert_eq!(asked(&world), 2);
}

#[test]
fn writers_that_read_take_all_that_waits_where_there_is_no_reader() {
    let mut world = World::new(SchedulerConfig { decode_workers_prefill: true, ..terms() }, 0);
    world.relist(endpoint(1));
    let arrive = |world: &mut World, id: RequestId| {
        let (class, session, prefix) = (0, id, 0);
        let new_request =
            NewRequest { id, class, session, prefix, prompt_tokens: 900.0, remaining_time: LEFT };
        assert!(world.router.request_arrived(world.now, new_request));
    };
    (1..=3).for_each(|id| arrive(&mut world, id));
    let sent = std::iter::from_fn(|| world.router.next_action(world.now));
    assert_eq!(sent.filter(|d| matches!(d, Action::Dispatch { .. })).count(), 3);
}

#[test]
fn ties_spread_over_the_writers_of_a_cell_and_a_hot_prefix_over_its_readers() {
    let mut world = World::new(terms(), 6);
    honour(&mut world, 120);
    for n in 0..6 {
        let sends = world.log.iter().filter(|(_, d)| sent_to(d) == Some(worker(n))).count();
        assert!(sends > if n % 3 == 0 { 30 } else { 15 }, "{n}: {sends}");
    }
}

#[test]
fn where_few_cells_have_writers_their_readers_get_hardly_more_than_others() {
    // Twelve workers in four cells, writers in the first so many of them.
    let parts = |with_writers: u16| {
        let mut world = World::new(SchedulerConfig { reservations_enabled: false, ..terms() }, 12);
        for n in (0..12).filter(|n| endpoint(*n).cell >= with_writers) {
            world.relist(Endpoint { kind: 0, zone: 0, ..endpoint(n) });
        }
        (0..12)
            .filter(|n| endpoint(*n).cell < with_writers)
            .for_each(|n| world.relist(Endpoint { zone: 0, ..endpoint(n) }));
        world.pull();
        let mut reads = [0.0, 0.0];
        for prefix in 1..400 {
            let id = world.arrive(0, prefix, 10.0, LEFT);
            let cell = cell(&world, at(&world, id));
            reads[usize::from(cell >= with_writers)] += 1.0;
            world.settle(id, AttemptOutcome::PrefillComplete);
            world.start(id);
            world.settle(id, AttemptOutcome::Completed);
            world.pass(10 * MS);
        }
        let readers = [f64::from(with_writers), 3.0 * f64::from(4 - with_writers)];
        (reads[0] / readers[0]) / (reads[1] / readers[1]).max(1e-9)
    };
    let (one, most) = (parts(1), parts(3));
    assert!((0.7..1.6).contains(&one) && most > 1.8, "one cell of four {one}, three of four {most}");
}

#[test]
fn a_paused_worker_keeps_its_shots() {
    let mut world = World::new(terms(), 3);
    let id = world.arrive(0, 1, 1000.0, LEFT);
    world.pass(350 * MS);
    world.settle(id, AttemptOutcome::PrefillComplete);
    assert!(world.probes.is_empty() && !world.logged(&Action::CancelAttempt { id, attempt: 0 }));
    let next = world.arrive(0, 1, 1000.0, LEFT);
    assert_eq!(at(&world, next), worker(0));
}

#[test]
fn full_readers_close_the_door_to_most_and_a_quick_read_opens_it() {
    let mut world = World::new(terms(), 3);
    let turned_away = |world: &mut World| {
        let ids: Vec<_> = (0..40).map(|_| world.arrive(0, 1, 10.0, LEFT)).collect();
        ids.iter().filter(|id| world.open[id].attempts == 0 && world.open[id].ended).count()
    };
    let id = world.arrive(0, 1, 10.0, LEFT);
    world.settle(id, AttemptOutcome::Rejected);
    let shut = turned_away(&mut world);
    world.pass(20_000 * MS);
    for _ in 0..40 {
        let id = world.arrive(0, 1, 10.0, LEFT);
        if world.open[&id].out.is_some() {
            world.settle(id, AttemptOutcome::PrefillComplete);
            world.start(id);
            world.settle(id, AttemptOutcome::Completed);
        }
        world.pass(1000 * MS);
    }
    let open = turned_away(&mut world);
    assert!(shut > 20 && open < 5, "{shut} then {open}");
}

#[test]
fn without_a_shot_left_a_submission_is_answered_at_once_though_its_state_waits() {
    let mut world = World::new(SchedulerConfig { max_attempts: 2, ..terms() }, 6);
    let id = read(&mut world, false);
    world.settle(id, AttemptOutcome::Rejected);
    assert!(world.logged(&Action::Release { id }));
    assert!(matches!(world.log.last(), Some((at, Action::Reject { .. })) if *at == world.now));
}

/// How many of a hundred submissions are let in at this moment; those that are leave again.
fn let_in(world: &mut World) -> usize {
    let mut sent = 0;
    for _ in 0..100 {
        let id = world.arrive(1, 1, 10.0, LEFT);
        if world.open[&id].out.is_some() {
            sent += 1;
            world.drop_client(id);
            world.settle(id, AttemptOutcome::Cancelled);
        }
    }
    sent
}

#[test]
fn a_door_shut_by_a_few_slow_ways_opens_again_though_nothing_new_is_heard() {
    let mut world = World::new(
        SchedulerConfig { reservations_enabled: false, health_checks_enabled: false, ..terms() },
        2,
    );
    let ids: Vec<_> = (0..5).map(|_| world.arrive(1, 1, 10.0, LEFT)).collect();
    world.pass(1_200 * MS);
    ids.iter().for_each(|id| world.settle(*id, AttemptOutcome::PrefillComplete));
    world.pass(200 * MS);
    ids.iter().for_each(|id| world.start(*id));
    ids.iter().for_each(|id| world.settle(*id, AttemptOutcome::Completed));
    let soon = let_in(&mut world);
    world.pass(15_000 * MS);
    let later = let_in(&mut world);
    assert!(soon < 60 && later > 95, "{soon} of 100 soon, {later} after three times the memory");
}

#[test]
fn a_read_that_lasts_is_not_taken_for_lost_while_little_is_known_and_its_worker_is_well() {
    let mut world = World::new(terms(), 6);
    let id = world.arrive(0, 1, 10.0, LEFT);
    let reader = at(&world, id);
    world.pass(500 * MS);
    assert_eq!(std::mem::take(&mut world.probes), [reader], "a probe asks about it once");
    world.router.health_check_finished(world.now, reader, true);
    world.pass(1_500 * MS);
    assert!(
        world.open[&id].out.is_some()
            && !world.log.iter().any(|(_, d)| matches!(d, Action::CancelAttempt { .. }))
    );
    // One whose worker does not answer is called back with that news.
    let id = world.arrive(0, 2, 10.0, LEFT);
    let reader = at(&world, id);
    world.pass(500 * MS);
    assert!(world.probes.contains(&reader));
    world.router.health_check_finished(world.now, reader, false);
    world.pull();
    assert!(world.logged(&Action::CancelAttempt { id, attempt: 0 }));
}

/// Twelve workers, four of them readers, that are asked, and the first of the key's readers, which is asked alone.
fn asked() -> (World, WorkerId) {
    asked_for(10.0, false)
}

fn asked_for(prompt: f64, in_tokens: bool) -> (World, WorkerId) {
    let mut world =
        World::new(SchedulerConfig { load_reports_enabled: true, load_in_tokens: in_tokens, ..terms() }, 12);
    let id = world.arrive(0, 1, prompt, LEFT);
    assert!(world.open[&id].out.is_none(), "it waits for their word");
    assert_eq!(world.probes.len(), 1);
    let first = world.probes[0];
    (world, first)
}

fn tell(world: &mut World, worker: WorkerId, amount: f64) {
    world.probes.retain(|w| *w != worker);
    world.router.load_reported(world.now, worker, amount);
    world.router.health_check_finished(world.now, worker, true);
    world.pull();
}

/// They say so much as they are asked, up to as many; who they were.
fn tell_all(world: &mut World, says: &[f64]) -> Vec<WorkerId> {
    let mut order = vec![];
    for amount in says {
        let Some(worker) = world.probes.first().copied() else { break };
        assert!(order.is_empty() || !order.contains(&worker));
        tell(world, worker, *amount);
        order.push(worker);
    }
    order
}

#[test]
fn where_no_places_are_allowed_a_state_goes_past_writers_of_its_cell_that_say_prompts_wait() {
    for (places, waiting, near) in [(false, 5_000.0, false), (false, 3_000.0, true), (true, 5_000.0, true)] {
        let mut world = World::new(
            SchedulerConfig {
                load_reports_enabled: true,
                load_in_tokens: true,
                reservations_enabled: places,
                ..terms()
            },
            12,
        );
        let id = world.arrive(0, 1, 1_000.0, LEFT);
        let first = world.probes[0];
        tell(&mut world, first, 0.0);
        let reader = at(&world, id);
        assert_eq!(reader, first);
        let asked = std::mem::take(&mut world.probes);
        let writers: Vec<_> = asked.iter().filter(|w| cell(&world, **w) == cell(&world, reader)).collect();
        assert_eq!((asked.len() == writers.len(), writers.is_empty()), (true, places), "{asked:?}");
        for writer in asked {
            tell(&mut world, writer, waiting);
        }
        world.pass(50 * MS);
        world.settle(id, AttemptOutcome::PrefillComplete);
        assert_eq!(cell(&world, at(&world, id)) == cell(&world, reader), near, "{places} {waiting}");
    }
}

#[test]
fn of_readers_that_are_asked_the_first_is_taken_unless_another_is_clearly_emptier() {
    // Sizes are four: four shots are one for the size. The others are asked only where that can matter.
    let cases = [
        ([3.0, 0.0, 0.0], 0, 1),
        ([4.0, 0.0, 0.0], 1, 3),
        ([8.0, 4.0, 0.0], 2, 3),
        ([16.0, 20.0, 13.0], 0, 3),
        ([0.0, 0.0, 0.0], 0, 1),
    ];
    for (says, taken, asked_of) in cases {
        let (mut world, first) = asked();
        let order = tell_all(&mut world, &says);
        let sent: Vec<_> = world.log.iter().filter_map(|(_, d)| sent_to(d)).collect();
        assert_eq!((sent, order[0], order.len()), (vec![order[taken]], first, asked_of), "{says:?}");
    }
}

#[test]
fn readers_that_tell_tokens_are_weighed_by_the_prompt() {
    // Sizes are four: a prompt of 600 is 150 tokens for the size, what a kept text is taken to save.
    for (says, taken) in [([599.0, 0.0, 0.0], 0), ([601.0, 0.0, 0.0], 1), ([2_000.0, 1_300.0, 0.0], 2)] {
        let (mut world, _) = asked_for(600.0 / 4.0, true);
        let order = tell_all(&mut world, &says);
        let sent: Vec<_> = world.log.iter().filter_map(|(_, d)| sent_to(d)).collect();
        assert_eq!(sent, [order[taken]], "{says:?}");
    }
}

#[test]
fn a_reader_that_does_not_say_how_much_it_has_is_probed_again_before_it_rests() {
    let (mut world, first) = asked();
    world.probes.clear();
    world.router.health_check_finished(world.now, first, false);
    world.pull();
    assert_eq!(world.probes, [first], "one that was only asked is probed");
    world.pass(30 * MS);
    assert_eq!(world.log.iter().find_map(|(_, d)| sent_to(d)), Some(first), "and not out of service");
    world.router.health_check_finished(world.now, first, false);
    world.pull();
    assert!(world.log.iter().any(|(_, d)| matches!(d, Action::CancelAttempt { .. })));
}

#[test]
fn who_does_not_say_how_much_it_has_is_not_waited_for_longer_than_some_milliseconds() {
    let (mut world, _) = asked();
    let order = tell_all(&mut world, &[40.0, 8.0]);
    assert_eq!(world.probes.len(), 1, "a third is silent");
    world.pass(20 * MS);
    assert_eq!(world.log.iter().find_map(|(_, d)| sent_to(d)), Some(order[1]));
    // The first is silent: the others are asked too, and one of them is taken.
    let (mut world, first) = asked();
    world.pass(10 * MS);
    let next = world.probes[1];
    assert!(world.probes.len() == 3 && next != first);
    tell(&mut world, next, 0.0);
    world.pass(20 * MS);
    assert_eq!(world.log.iter().find_map(|(_, d)| sent_to(d)), Some(next));
    // Nobody speaks: the first of the order, as if none had been asked.
    let (mut world, first) = asked();
    world.pass(30 * MS);
    assert_eq!(world.log.iter().find_map(|(_, d)| sent_to(d)), Some(first));
}

#[test]
fn many_that_come_at_once_do_not_all_go_to_the_one_that_was_empty() {
    let (mut world, _) = asked();
    let order = tell_all(&mut world, &[8.0, 40.0, 0.0]);
    for _ in 0..12 {
        world.arrive(0, 1, 10.0, LEFT);
    }
    let to = |id: WorkerId| world.log.iter().filter(|(_, d)| sent_to(d) == Some(id)).count();
    let counts = [0, 1, 2].map(|n| to(order[n]));
    assert!(counts[0] >= 3 && counts[1] == 0 && counts[2] >= 5, "{counts:?}");
}
