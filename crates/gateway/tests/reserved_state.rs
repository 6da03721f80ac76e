//! What is reserved for a request is released in time, however the attempts before it end, on bytes in virtual time.
//! The settings allow 1 s, and the protocol 300 ms more.

mod common;

use std::collections::BTreeSet;

use common::*;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};

const RELEASE: &str = "DELETE /internal/reservations/id ";
const FREED: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// A request that has just been prefilled without a reservation, its client, and the connection and place of its
/// prefill worker.
fn prefilled_request(class: &str) -> (Harness, ConnectionId, ConnectionId, usize) {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", class));
    let (prefill, at) = harness.attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    (harness, client, prefill, at)
}

/// Lets time pass while workers answer health checks: none is suspected for its silence alone.
fn advance_answering_health_checks(harness: &mut Harness, time: u64) {
    for _ in 0..time / 10 {
        harness.advance(10 * MS);
        harness
            .calls("GET /alive")
            .into_iter()
            .for_each(|(connection, _)| harness.deliver(connection, response(200, "", "")));
    }
}

#[test]
fn state_is_released_in_time_under_a_silent_attempt() {
    for class in ["safe", "keyed", "once"] {
        let (mut harness, client, prefill, _) = prefilled_request(class);
        let (decode, _) = harness.attempt();
        advance_answering_health_checks(&mut harness, 790);
        assert!(harness.calls(RELEASE).is_empty(), "{class}: the attempt may take it yet");
        // Guards against a connection that leads nowhere: the timeout runs on.
        advance_answering_health_checks(&mut harness, 20);
        assert_eq!(harness.call(RELEASE).0, prefill, "{class}: where it is held, and no handshake is needed");
        harness.deliver(prefill, FREED);
        // A worker that has the attempt after all may answer it.
        harness.deliver(decode, streamed_response());
        assert_eq!(decode_chunked(&harness.sent_text(client)), (STREAM_EVENTS.concat(), true), "{class}");
        harness.advance(2_000 * MS);
        assert!(harness.calls(RELEASE).is_empty(), "{class}: once is enough");
    }
}

#[test]
fn failed_connects_do_not_restart_the_release_timeout_and_a_workers_response_does() {
    let (mut harness, _, _, _) = prefilled_request("once");
    harness.is_immediate = false;
    let mut waited = 0;
    while let Some((decode, _)) = harness.attempts().first().copied().filter(|_| waited < 750) {
        harness.advance(250 * MS);
        waited += 250;
        harness.disconnect(decode, DisconnectReason::ConnectFailed);
    }
    harness.advance((810 - waited) * MS);
    assert!(!harness.calls(RELEASE).is_empty(), "after {waited} ms of dials");

    let (mut harness, _, _, _) = prefilled_request("safe");
    harness.advance(400 * MS);
    let (decode, _) = harness.attempt();
    harness.deliver(decode, NEVER_RAN);
    assert!(harness.calls(RELEASE).is_empty());
    let (_second, _) = harness.attempt();
    harness.advance(790 * MS);
    assert!(harness.calls(RELEASE).is_empty(), "a worker has spoken 790 ms ago");
    harness.advance(20 * MS);
    harness.call(RELEASE);
}

#[test]
fn state_that_outlives_a_release_is_released_again() {
    let (mut harness, client, prefill, _) = prefilled_request("safe");
    let (decode, _) = harness.attempt();
    harness.advance(810 * MS);
    harness.call(RELEASE);
    harness.deliver(prefill, FREED);
    // The attempt waited over there after all, with the state, which stays when the attempt is rejected.
    harness.deliver(decode, NEVER_RAN);
    let (_second, _) = harness.attempt();
    harness.reset(client);
    harness.advance(MS);
    harness.call(RELEASE);
}

/// A fleet that can't be reached is not dialled worker after worker for requests that were never sent.
#[test]
fn nothing_is_released_for_a_request_that_was_never_sent() {
    let mut harness = Harness::new();
    harness.is_immediate = false;
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    for _ in 0..400 {
        harness
            .attempts()
            .into_iter()
            .for_each(|(connection, _)| harness.disconnect(connection, DisconnectReason::ConnectFailed));
        harness.advance(10 * MS);
    }
    assert_eq!(harness.statuses(client), [503]);
    harness.advance(2_000 * MS);
    let dials = harness
        .outbound
        .keys()
        .filter(|connection| harness.sent_text(**connection).contains("DELETE"))
        .count();
    assert_eq!((dials, harness.calls(RELEASE).len()), (0, 0));
}

/// Both ends see a reset by themselves: the release may be at the worker before that, and frees nothing under its
/// attempt.
#[test]
fn a_release_after_a_reset_is_repeated_once_the_worker_has_seen_it() {
    let (mut harness, client, _, _) = prefilled_request("once");
    let (decode, at) = harness.attempt();
    harness.advance(100 * MS);
    harness.reset(decode);
    assert_eq!(harness.statuses(client), [502]);
    let (first, _) = harness.call(RELEASE);
    harness.deliver(first, FREED);
    harness.advance(60 * MS);
    let (second, released_at) = harness.call(RELEASE);
    assert_eq!(released_at, at, "the one that had the attempt is told first");
    harness.deliver(second, FREED);
    harness.advance(2_000 * MS);
    assert!(harness.calls(RELEASE).is_empty(), "a reset is seen soon, or its process is gone");
}

#[test]
fn state_of_a_failed_prefill_is_released_in_time_under_a_silent_retry() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (first, _) = harness.attempt();
    harness.calls("POST /internal");
    harness.advance(100 * MS);
    harness.reset(first);
    // The next attempt connects at once: what it makes takes the place of what was left.
    let (_second, _) = harness.attempt();
    harness.advance(690 * MS);
    assert!(harness.calls(RELEASE).is_empty());
    harness.advance(20 * MS);
    assert!(!harness.calls(RELEASE).is_empty(), "nothing is heard of it, and the first may have ended well");
}

#[test]
fn an_unconfirmed_reservation_is_released_in_time() {
    // One that is known to be held is kept as long as its prefill worker is heard.
    for (answer, alive, released) in
        [(None, true, true), (Some(FREED), true, true), (Some(""), true, false), (Some(""), false, true)]
    {
        let (mut harness, old) = with_an_older_connection_to_the_prefill_worker();
        let client = harness.connect_client();
        harness.deliver(client, chat_request("id", "safe"));
        let (_reader, _) = harness.attempt();
        let (reservation, _) = harness.call("POST /internal/reservations/id ");
        match answer {
            Some("") => harness.deliver(reservation, response(200, "", "")),
            Some(unknown) => harness.deliver(reservation, unknown),
            None => {}
        }
        harness.advance(400 * MS);
        if alive {
            harness.deliver(old, "HTTP/1.1 102 Processing\r\n\r\n");
        }
        harness.advance(610 * MS);
        assert_eq!(!harness.calls(RELEASE).is_empty(), released, "{answer:?}, alive: {alive}");
        harness.advance(400 * MS);
        assert!(!harness.calls(RELEASE).is_empty() || released, "{answer:?}: silent again for its time");
    }
}

/// A router with a prefill under way at its one prefill worker, on a connection that is older than what follows.
fn with_an_older_connection_to_the_prefill_worker() -> (Harness, ConnectionId) {
    let mut harness = Harness::with_config(&one_worker_of_each_role());
    let client = harness.connect_client();
    harness.deliver(client, chat_request("older", "safe"));
    let (old, _) = harness.attempt();
    let (reservation, _) = harness.call("POST /internal/reservations/older ");
    harness.deliver(reservation, response(200, "", ""));
    (harness, old)
}

/// A configuration with one prefill worker and one decode worker.
fn one_worker_of_each_role() -> serde_json::Value {
    let mut file = router_config();
    let mut known = endpoint_list(4);
    known["servers"].as_array_mut().expect("a list").retain(|s| s["id"] == "r1" || s["id"] == "w1");
    file["known"] = known;
    file["settings"]["caps"]["probing"] = false.into();
    file
}

#[test]
fn a_reservation_is_kept_while_the_prefill_worker_answers_health_checks() {
    let mut file = router_config();
    // Guards against a cancellation that would hide what is tested.
    file["settings"]["classes"][0]["on_time_ms"] = 4_000.0.into();
    let mut harness = Harness::with_config(&file);
    let client = harness.connect_client();
    harness.deliver(client, chat_request_with("id", "safe", 5_000, "{}"));
    let (_reader, _) = harness.attempt();
    let (reservation, _) = harness.call("POST /internal/reservations/id ");
    harness.deliver(reservation, response(200, "", ""));
    advance_answering_health_checks(&mut harness, 2_500);
    assert!(harness.calls(RELEASE).is_empty(), "its reader runs");
    harness.advance(1_300 * MS);
    assert!(!harness.calls(RELEASE).is_empty(), "it is silent");
}

#[test]
fn a_reservation_is_requested_again_during_a_long_prefill_without_health_checks() {
    let mut harness = Harness::with_config(&one_worker_of_each_role());
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (_reader, _) = harness.attempt();
    let (mut reservation, _) = harness.call("POST /internal/reservations/id ");
    for _ in 0..3 {
        harness.deliver(reservation, response(200, "", ""));
        harness.advance(900 * MS);
        (reservation, _) = harness.call("POST /internal/reservations/id ");
    }
    assert!(harness.calls(RELEASE).is_empty(), "the writer knows of the read");
    // Nobody there knows of it any more.
    harness.deliver(reservation, FREED);
    harness.advance(1_300 * MS);
    assert!(!harness.calls(RELEASE).is_empty());
}

/// A request whose client has disconnected while the reservation call is out; the releases so far are answered.
fn disconnected_while_a_reservation_call_is_out(written: bool) -> (Harness, ConnectionId) {
    let mut harness = Harness::new();
    harness.is_immediate = written;
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.attempt();
    harness.complete_write(prefill);
    let (reservation, _) = harness.call("POST /internal/reservations/id ");
    harness.is_immediate = true;
    harness.reset(client);
    harness.advance(MS);
    let (release, _) = harness.call(RELEASE);
    harness.deliver(release, FREED);
    release_again_for_the_cancelled_attempt(&mut harness);
    (harness, reservation)
}

/// Answers the releases of the next 50 ms, and returns the workers that were told.
fn answer_releases(harness: &mut Harness) -> Vec<usize> {
    harness.advance(50 * MS);
    let calls = harness.calls(RELEASE);
    calls.iter().for_each(|(connection, _)| harness.deliver(*connection, FREED));
    calls.into_iter().map(|(_, worker)| worker).collect()
}

/// A worker may see that its attempt was ended behind the release that followed: it is told once more, and again once
/// it was heard, for it may have hung in between.
fn release_again_for_the_cancelled_attempt(harness: &mut Harness) {
    assert!(harness.calls(RELEASE).is_empty());
    for _ in 0..2 {
        harness.advance(50 * MS);
        let (again, _) = harness.call(RELEASE);
        harness.deliver(again, FREED);
    }
}

#[test]
fn a_reservation_granted_after_its_release_is_released_again() {
    for answer in [response(200, "", ""), FREED.into()] {
        let (mut harness, reservation) = disconnected_while_a_reservation_call_is_out(true);
        harness.advance(50 * MS);
        assert!(harness.calls(RELEASE).is_empty());
        harness.deliver(reservation, &answer);
        harness.call(RELEASE);
    }
    // What was refused, or never arrived, is not held.
    let (mut harness, reservation) = disconnected_while_a_reservation_call_is_out(true);
    harness.deliver(reservation, response(409, "", ""));
    harness.advance(2_000 * MS);
    assert!(harness.calls(RELEASE).is_empty());
    // The call is not answered: it is released again in time.
    let (mut harness, _) = disconnected_while_a_reservation_call_is_out(true);
    harness.advance(810 * MS);
    assert!(!harness.calls(RELEASE).is_empty());
}

#[test]
fn an_unwritten_reservation_call_is_cancelled_when_no_longer_wanted() {
    let (mut harness, reservation) = disconnected_while_a_reservation_call_is_out(false);
    assert!(harness.ended.contains_key(&reservation), "it is taken back");
    harness.advance(2_000 * MS);
    assert!(harness.calls(RELEASE).is_empty(), "and nothing is held by it");
    use tideroute_wire::event_loop::EventHandler;
    harness.shut_down();
    harness.advance(700 * MS);
    assert!(harness.gateway.is_finished());
    // The same when the decode attempt goes out.
    let mut harness = Harness::new();
    harness.is_immediate = false;
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.attempt();
    harness.complete_write(prefill);
    let (reservation, _) = harness.call("POST /internal/reservations/id ");
    harness.deliver(prefill, PREFILL_COMPLETE);
    harness.attempt();
    assert!(harness.ended.contains_key(&reservation), "it would come too late");
}

#[test]
fn a_reservation_that_may_be_held_during_the_stream_is_released() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.attempt();
    let (reservation, _) = harness.call("POST /internal/reservations/id ");
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.attempt();
    harness.deliver(decode, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    assert!(harness.calls(RELEASE).is_empty());
    harness.deliver(reservation, FREED);
    let (release, _) = harness.call(RELEASE);
    harness.deliver(release, FREED);
    harness.deliver(decode, format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])));
    assert_eq!(decode_chunked(&harness.sent_text(client)), (STREAM_EVENTS.concat(), true));
}

#[test]
fn a_release_without_answers_is_retried_within_bounds_until_it_expires() {
    let (mut harness, client, prefill, _) = prefilled_request("safe");
    let (decode, _) = harness.attempt();
    harness.reset(client);
    harness.advance(MS);
    assert!(harness.ended.contains_key(&decode));
    let mut connections =
        harness.calls(RELEASE).into_iter().map(|(connection, _)| connection).collect::<Vec<_>>();
    assert_eq!(connections, [prefill]);
    for _ in 0..12 {
        harness.advance(100 * MS);
        connections.extend(harness.calls(RELEASE).into_iter().map(|(connection, _)| connection));
        let out = connections.iter().filter(|connection| !harness.ended.contains_key(connection)).count();
        assert!(out <= 16, "{out} calls out");
    }
    assert!(connections.len() > 20, "tried {} times, each worker more than once", connections.len());
    harness.advance(500 * MS);
    connections.extend(harness.calls(RELEASE).into_iter().map(|(connection, _)| connection));
    assert!(connections.iter().all(|connection| harness.ended.contains_key(connection)), "its time is over");
}

#[test]
fn the_worker_seen_last_is_told_next_when_the_holder_is_silent() {
    let (mut harness, client, prefill, at) = prefilled_request("safe");
    let (decode, _) = harness.attempt();
    // Another client's request is answered meanwhile, by others.
    let other = harness.connect_client();
    harness.deliver(other, chat_request("other", "safe"));
    let (second, heard) = harness.attempt();
    harness.deliver(second, PREFILL_COMPLETE);
    harness.reset(client);
    harness.advance(MS);
    assert!(harness.ended.contains_key(&decode));
    let releases: Vec<_> = harness.calls(RELEASE);
    assert_eq!(releases, [(prefill, at)]);
    harness.advance(101 * MS);
    if heard != at {
        assert_eq!(harness.call(RELEASE).1, heard);
    }
}

#[test]
fn shutdown_waits_for_reserved_state() {
    let (mut harness, client, _, _) = prefilled_request("safe");
    let (_, first) = harness.attempt();
    harness.shut_down();
    harness.advance(700 * MS);
    // The first one is cancelled, for it has been silent for so long.
    let (decode, second) = harness.attempt();
    harness.reset(client);
    harness.advance(MS);
    assert!(harness.ended.contains_key(&decode));
    use tideroute_wire::event_loop::EventHandler;
    assert!(!harness.gateway.is_finished(), "the state is still to be released");
    let (release, _) = harness.call(RELEASE);
    harness.deliver(release, FREED);
    assert!(!harness.gateway.is_finished(), "its writers may not have seen the ends of their attempts");
    let released_at: BTreeSet<_> = (0..20).flat_map(|_| answer_releases(&mut harness)).collect();
    assert!(harness.gateway.is_finished());
    assert!(released_at.contains(&first) && released_at.contains(&second), "each of them is told");
}
