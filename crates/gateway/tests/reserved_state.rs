//! What is held for a request is released in time, however the attempts before it end, on bytes in virtual time. The
//! settings allow 1 s, and the protocol 300 ms more.

mod common;

use std::collections::BTreeSet;

use common::*;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};

const RELEASE: &str = "DELETE /internal/reservations/id ";
const FREED: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// A request that has just been read, with no place asked for, and the link and place of its reader.
fn read(class: &str) -> (Stage, ConnectionId, ConnectionId, usize) {
    let mut stage = Stage::without_places();
    let client = stage.come();
    stage.say(client, ask("id", class));
    let (reader, at) = stage.attempt();
    stage.say(reader, READ);
    (stage, client, reader, at)
}

/// Lets time pass in which workers answer probes: none is left for its silence alone.
fn pass(stage: &mut Stage, time: u64) {
    for _ in 0..time / 10 {
        stage.pass(10 * MS);
        stage
            .calls("GET /alive")
            .into_iter()
            .for_each(|(connection, _)| stage.say(connection, plain(200, "", "")));
    }
}

#[test]
fn a_state_is_released_in_time_though_an_attempt_is_out_of_which_nothing_is_heard() {
    for class in ["safe", "keyed", "once"] {
        let (mut stage, client, reader, _) = read(class);
        let (writer, _) = stage.attempt();
        pass(&mut stage, 790);
        assert!(stage.calls(RELEASE).is_empty(), "{class}: the attempt may take it yet");
        // Guards against a connection that leads nowhere: the time runs on.
        pass(&mut stage, 20);
        assert_eq!(stage.call(RELEASE).0, reader, "{class}: where it is held, and no handshake is needed");
        stage.say(reader, FREED);
        // Whoever has the attempt after all may answer it.
        stage.say(writer, stream());
        assert_eq!(unchunked(&stage.text(client)), (EVENTS.concat(), true), "{class}");
        stage.pass(2_000 * MS);
        assert!(stage.calls(RELEASE).is_empty(), "{class}: once is enough");
    }
}

#[test]
fn dials_that_fail_do_not_begin_the_time_anew_and_a_workers_word_does() {
    let (mut stage, _, _, _) = read("once");
    stage.eager = false;
    let mut waited = 0;
    while let Some((writer, _)) = stage.attempts().first().copied().filter(|_| waited < 750) {
        stage.pass(250 * MS);
        waited += 250;
        stage.lose_as(writer, DisconnectReason::ConnectFailed);
    }
    stage.pass((810 - waited) * MS);
    assert!(!stage.calls(RELEASE).is_empty(), "after {waited} ms of dials");

    let (mut stage, _, _, _) = read("safe");
    stage.pass(400 * MS);
    let (writer, _) = stage.attempt();
    stage.say(writer, NEVER_RAN);
    assert!(stage.calls(RELEASE).is_empty());
    let (_second, _) = stage.attempt();
    stage.pass(790 * MS);
    assert!(stage.calls(RELEASE).is_empty(), "a worker has spoken 790 ms ago");
    stage.pass(20 * MS);
    stage.call(RELEASE);
}

#[test]
fn a_state_that_outlives_a_release_is_released_again() {
    let (mut stage, client, reader, _) = read("safe");
    let (writer, _) = stage.attempt();
    stage.pass(810 * MS);
    stage.call(RELEASE);
    stage.say(reader, FREED);
    // The attempt waited over there after all, with the state, which stays when it is turned away.
    stage.say(writer, NEVER_RAN);
    let (_second, _) = stage.attempt();
    stage.lose(client);
    stage.pass(MS);
    stage.call(RELEASE);
}

/// A fleet that can't be reached is not dialled worker after worker for requests of which nothing ever left.
#[test]
fn nothing_is_released_for_a_request_of_which_nothing_left() {
    let mut stage = Stage::new();
    stage.eager = false;
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    for _ in 0..400 {
        stage
            .attempts()
            .into_iter()
            .for_each(|(connection, _)| stage.lose_as(connection, DisconnectReason::ConnectFailed));
        stage.pass(10 * MS);
    }
    assert_eq!(stage.statuses(client), [503]);
    stage.pass(2_000 * MS);
    let dials = stage.dialled.keys().filter(|connection| stage.text(**connection).contains("DELETE")).count();
    assert_eq!((dials, stage.calls(RELEASE).len()), (0, 0));
}

/// A reset reaches both ends by itself: the release may be at the worker before that, and frees nothing under its attempt.
#[test]
fn a_release_behind_a_reset_is_sent_again_for_its_worker_may_see_that_later() {
    let (mut stage, client, _, _) = read("once");
    let (writer, at) = stage.attempt();
    stage.pass(100 * MS);
    stage.lose(writer);
    assert_eq!(stage.statuses(client), [502]);
    let (first, _) = stage.call(RELEASE);
    stage.say(first, FREED);
    stage.pass(60 * MS);
    let (second, told) = stage.call(RELEASE);
    assert_eq!(told, at, "the one that had the attempt is told first");
    stage.say(second, FREED);
    stage.pass(2_000 * MS);
    assert!(stage.calls(RELEASE).is_empty(), "a reset is seen soon, or its process is gone");
}

#[test]
fn what_a_read_left_is_released_in_time_under_the_next_attempt_that_says_nothing() {
    let mut stage = Stage::new();
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    let (first, _) = stage.attempt();
    stage.calls("POST /internal");
    stage.pass(100 * MS);
    stage.lose(first);
    // The next one has its connection at once: what it makes takes the turn of what was left.
    let (_second, _) = stage.attempt();
    stage.pass(690 * MS);
    assert!(stage.calls(RELEASE).is_empty());
    stage.pass(20 * MS);
    assert!(!stage.calls(RELEASE).is_empty(), "nothing is heard of it, and the first may have ended well");
}

#[test]
fn a_place_of_which_nobody_spoke_is_given_back_in_time() {
    // One that is known to be held is kept as long as its reader gives signs of life.
    for (answer, alive, released) in
        [(None, true, true), (Some(FREED), true, true), (Some(""), true, false), (Some(""), false, true)]
    {
        let (mut stage, old) = with_an_older_connection_to_the_reader();
        let client = stage.come();
        stage.say(client, ask("id", "safe"));
        let (_reader, _) = stage.attempt();
        let (place, _) = stage.call("POST /internal/reservations/id ");
        match answer {
            Some("") => stage.say(place, plain(200, "", "")),
            Some(unknown) => stage.say(place, unknown),
            None => {}
        }
        stage.pass(400 * MS);
        if alive {
            stage.say(old, "HTTP/1.1 102 Processing\r\n\r\n");
        }
        stage.pass(610 * MS);
        assert_eq!(!stage.calls(RELEASE).is_empty(), released, "{answer:?}, alive: {alive}");
        stage.pass(400 * MS);
        assert!(!stage.calls(RELEASE).is_empty() || released, "{answer:?}: silent again for its time");
    }
}

/// A router with a read under way at the one reader, whose connection was there before what follows.
fn with_an_older_connection_to_the_reader() -> (Stage, ConnectionId) {
    let mut stage = Stage::with(&one_of_each());
    let client = stage.come();
    stage.say(client, ask("older", "safe"));
    let (old, _) = stage.attempt();
    let (place, _) = stage.call("POST /internal/reservations/older ");
    stage.say(place, plain(200, "", ""));
    (stage, old)
}

/// A configuration with one reader and one writer.
fn one_of_each() -> serde_json::Value {
    let mut file = file();
    let mut known = list(4);
    known["servers"].as_array_mut().expect("a list").retain(|s| s["id"] == "r1" || s["id"] == "w1");
    file["known"] = known;
    file["settings"]["caps"]["probing"] = false.into();
    file
}

#[test]
fn a_place_is_kept_under_a_long_read_whose_reader_answers_probes_and_for_no_longer() {
    let mut file = file();
    // Guards against a call back that would hide what is looked at.
    file["settings"]["classes"][0]["on_time_ms"] = 4_000.0.into();
    let mut stage = Stage::with(&file);
    let client = stage.come();
    stage.say(client, ask_for("id", "safe", 5_000, "{}"));
    let (_reader, _) = stage.attempt();
    let (place, _) = stage.call("POST /internal/reservations/id ");
    stage.say(place, plain(200, "", ""));
    pass(&mut stage, 2_500);
    assert!(stage.calls(RELEASE).is_empty(), "its reader runs");
    stage.pass(1_300 * MS);
    assert!(!stage.calls(RELEASE).is_empty(), "it is silent");
}

#[test]
fn a_place_is_asked_for_again_under_a_long_read_where_nobody_may_be_probed() {
    let mut stage = Stage::with(&one_of_each());
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    let (_reader, _) = stage.attempt();
    let (mut place, _) = stage.call("POST /internal/reservations/id ");
    for _ in 0..3 {
        stage.say(place, plain(200, "", ""));
        stage.pass(900 * MS);
        (place, _) = stage.call("POST /internal/reservations/id ");
    }
    assert!(stage.calls(RELEASE).is_empty(), "the writer knows of the read");
    // Nobody there knows of it any more.
    stage.say(place, FREED);
    stage.pass(1_300 * MS);
    assert!(!stage.calls(RELEASE).is_empty());
}

/// A request whose client has gone while the call for a place is out; what was released of it is answered for.
fn left_while_a_place_is_asked_for(written: bool) -> (Stage, ConnectionId) {
    let mut stage = Stage::new();
    stage.eager = written;
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    let (reader, _) = stage.attempt();
    stage.written(reader);
    let (place, _) = stage.call("POST /internal/reservations/id ");
    stage.eager = true;
    stage.lose(client);
    stage.pass(MS);
    let (release, _) = stage.call(RELEASE);
    stage.say(release, FREED);
    released_behind_its_end(&mut stage);
    (stage, place)
}

/// The workers that are told to release something in the next 50 ms, and do.
fn releases_are_answered(stage: &mut Stage) -> Vec<usize> {
    stage.pass(50 * MS);
    let calls = stage.calls(RELEASE);
    calls.iter().for_each(|(connection, _)| stage.say(*connection, FREED));
    calls.into_iter().map(|(_, worker)| worker).collect()
}

/// A worker may see that its attempt was ended behind the release that followed: it is told once more, and again once
/// it was heard, for it may have hung in between.
fn released_behind_its_end(stage: &mut Stage) {
    assert!(stage.calls(RELEASE).is_empty());
    for _ in 0..2 {
        stage.pass(50 * MS);
        let (again, _) = stage.call(RELEASE);
        stage.say(again, FREED);
    }
}

#[test]
fn a_place_granted_behind_its_release_is_released_again() {
    for answer in [plain(200, "", ""), FREED.into()] {
        let (mut stage, place) = left_while_a_place_is_asked_for(true);
        stage.pass(50 * MS);
        assert!(stage.calls(RELEASE).is_empty());
        stage.say(place, &answer);
        stage.call(RELEASE);
    }
    // What was refused, or never came there, is none.
    let (mut stage, place) = left_while_a_place_is_asked_for(true);
    stage.say(place, plain(409, "", ""));
    stage.pass(2_000 * MS);
    assert!(stage.calls(RELEASE).is_empty());
    // Nobody says what came of it: it is released again within its time.
    let (mut stage, _) = left_while_a_place_is_asked_for(true);
    stage.pass(810 * MS);
    assert!(!stage.calls(RELEASE).is_empty());
}

#[test]
fn a_call_for_a_place_that_has_not_left_never_does_once_nobody_wants_it() {
    let (mut stage, place) = left_while_a_place_is_asked_for(false);
    assert!(stage.ended.contains_key(&place), "it is taken back");
    stage.pass(2_000 * MS);
    assert!(stage.calls(RELEASE).is_empty(), "and nothing is held by it");
    use tideroute_wire::event_loop::EventHandler;
    stage.stop();
    stage.pass(700 * MS);
    assert!(stage.program.is_finished());
    // The same when the attempt that writes goes out.
    let mut stage = Stage::new();
    stage.eager = false;
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    let (reader, _) = stage.attempt();
    stage.written(reader);
    let (place, _) = stage.call("POST /internal/reservations/id ");
    stage.say(reader, READ);
    stage.attempt();
    assert!(stage.ended.contains_key(&place), "it would come too late");
}

#[test]
fn a_place_that_may_come_to_be_held_under_a_stream_is_released() {
    let mut stage = Stage::new();
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    let (reader, _) = stage.attempt();
    let (place, _) = stage.call("POST /internal/reservations/id ");
    stage.say(reader, READ);
    let (writer, _) = stage.attempt();
    stage.say(writer, format!("{HEAD}{}", chunk(EVENTS[0])));
    assert!(stage.calls(RELEASE).is_empty());
    stage.say(place, FREED);
    let (release, _) = stage.call(RELEASE);
    stage.say(release, FREED);
    stage.say(writer, format!("{}{}0\r\n\r\n", chunk(EVENTS[1]), chunk(EVENTS[2])));
    assert_eq!(unchunked(&stage.text(client)), (EVENTS.concat(), true));
}

#[test]
fn nobody_can_be_told_for_a_while_and_it_goes_on_within_bounds_until_the_time_is_over() {
    let (mut stage, client, reader, _) = read("safe");
    let (writer, _) = stage.attempt();
    stage.lose(client);
    stage.pass(MS);
    assert!(stage.ended.contains_key(&writer));
    let mut connections =
        stage.calls(RELEASE).into_iter().map(|(connection, _)| connection).collect::<Vec<_>>();
    assert_eq!(connections, [reader]);
    for _ in 0..12 {
        stage.pass(100 * MS);
        connections.extend(stage.calls(RELEASE).into_iter().map(|(connection, _)| connection));
        let out = connections.iter().filter(|connection| !stage.ended.contains_key(connection)).count();
        assert!(out <= 16, "{out} calls out");
    }
    assert!(connections.len() > 20, "tried {} times, each worker more than once", connections.len());
    stage.pass(500 * MS);
    connections.extend(stage.calls(RELEASE).into_iter().map(|(connection, _)| connection));
    assert!(connections.iter().all(|connection| stage.ended.contains_key(connection)), "its time is over");
}

#[test]
fn who_was_heard_last_is_told_first_where_the_holder_is_silent() {
    let (mut stage, client, reader, at) = read("safe");
    let (writer, _) = stage.attempt();
    // Another client's request is answered meanwhile, by others.
    let other = stage.come();
    stage.say(other, ask("other", "safe"));
    let (second, heard) = stage.attempt();
    stage.say(second, READ);
    stage.lose(client);
    stage.pass(MS);
    assert!(stage.ended.contains_key(&writer));
    let asked: Vec<_> = stage.calls(RELEASE);
    assert_eq!(asked, [(reader, at)]);
    stage.pass(101 * MS);
    if heard != at {
        assert_eq!(stage.call(RELEASE).1, heard);
    }
}

#[test]
fn it_does_not_end_while_something_may_be_held() {
    let (mut stage, client, _, _) = read("safe");
    let (_, first) = stage.attempt();
    stage.stop();
    stage.pass(700 * MS);
    // The first one is called back, for it has been silent for so long.
    let (writer, second) = stage.attempt();
    stage.lose(client);
    stage.pass(MS);
    assert!(stage.ended.contains_key(&writer));
    use tideroute_wire::event_loop::EventHandler;
    assert!(!stage.program.is_finished(), "the state is still to be released");
    let (release, _) = stage.call(RELEASE);
    stage.say(release, FREED);
    assert!(!stage.program.is_finished(), "its writers may not have seen the ends of their attempts");
    let told: BTreeSet<_> = (0..20).flat_map(|_| releases_are_answered(&mut stage)).collect();
    assert!(stage.program.is_finished());
    assert!(told.contains(&first) && told.contains(&second), "each of them is told");
}
