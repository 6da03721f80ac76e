//! State that workers hold for a request is released within the release timeout, however the request's attempts end.
//! The settings allow 1 s, and the protocol 300 ms more. The gateway runs in virtual time.

mod common;

use std::collections::BTreeSet;

use common::*;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};

const RELEASE: &str = "DELETE /internal/reservations/id ";
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// Completes the prefill of a request without a reservation. Returns the harness, the client's connection, the
/// connection of the prefill attempt and the index of the prefill worker.
fn prefilled_request(class: &str) -> (Harness, ConnectionId, ConnectionId, usize) {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", class));
    let (prefill, prefill_worker) = harness.new_attempt();
    harness.deliver(prefill, PREFILL_COMPLETE);
    (harness, client, prefill, prefill_worker)
}

/// Advances the clock by `milliseconds` while workers answer health checks, so that none is suspected for silence.
fn advance_answering_health_checks(harness: &mut Harness, milliseconds: u64) {
    for _ in 0..milliseconds / 10 {
        harness.advance(10 * MS);
        harness
            .new_calls("GET /alive")
            .into_iter()
            .for_each(|(connection, _)| harness.deliver(connection, response(200, "", "")));
    }
}

#[test]
fn state_is_released_in_time_under_a_silent_attempt() {
    for class in ["safe", "keyed", "once"] {
        let (mut harness, client, prefill, _) = prefilled_request(class);
        let (decode, _) = harness.new_attempt();
        advance_answering_health_checks(&mut harness, 790);
        assert!(harness.new_calls(RELEASE).is_empty(), "{class}: the attempt may still take over the state");
        // The connection may be black-holed, so that the attempt never reached its worker: the timeout goes on running.
        advance_answering_health_checks(&mut harness, 20);
        assert_eq!(
            harness.new_call(RELEASE).0,
            prefill,
            "{class}: the release goes to the worker that holds the state, on its open connection"
        );
        harness.deliver(prefill, NO_CONTENT);
        // A worker that received the attempt may still answer it.
        harness.deliver(decode, streamed_response());
        assert_eq!(decode_chunked(&harness.sent_text(client)), (STREAM_EVENTS.concat(), true), "{class}");
        harness.advance(2_000 * MS);
        assert!(harness.new_calls(RELEASE).is_empty(), "{class}: the state is released only once");
    }
}

#[test]
fn failed_connects_do_not_restart_the_release_timeout_but_a_workers_response_does() {
    let (mut harness, _, _, _) = prefilled_request("once");
    harness.completes_io_immediately = false;
    let mut waited_ms = 0;
    while let Some((decode, _)) = harness.new_attempts().first().copied().filter(|_| waited_ms < 750) {
        harness.advance(250 * MS);
        waited_ms += 250;
        harness.disconnect(decode, DisconnectReason::ConnectFailed);
    }
    harness.advance((810 - waited_ms) * MS);
    assert!(
        !harness.new_calls(RELEASE).is_empty(),
        "nothing was released after {waited_ms} ms of failed connects"
    );

    let (mut harness, _, _, _) = prefilled_request("safe");
    harness.advance(400 * MS);
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, NEVER_RAN);
    assert!(harness.new_calls(RELEASE).is_empty());
    let (_second, _) = harness.new_attempt();
    harness.advance(790 * MS);
    assert!(harness.new_calls(RELEASE).is_empty(), "a worker responded 790 ms ago");
    harness.advance(20 * MS);
    harness.new_call(RELEASE);
}

#[test]
fn state_that_a_release_did_not_free_is_released_again() {
    let (mut harness, client, prefill, _) = prefilled_request("safe");
    let (decode, _) = harness.new_attempt();
    harness.advance(810 * MS);
    harness.new_call(RELEASE);
    harness.deliver(prefill, NO_CONTENT);
    // The attempt was at its worker and kept the state in use, so that the release freed nothing; the state stays when
    // the attempt is rejected.
    harness.deliver(decode, NEVER_RAN);
    let (_second, _) = harness.new_attempt();
    harness.reset(client);
    harness.advance(MS);
    harness.new_call(RELEASE);
}

/// Guards against release calls to one worker after another while no worker can be reached: no state can exist for a
/// request that was never sent.
#[test]
fn nothing_is_released_for_a_request_that_was_never_sent() {
    let mut harness = Harness::new();
    harness.completes_io_immediately = false;
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    for _ in 0..400 {
        harness
            .new_attempts()
            .into_iter()
            .for_each(|(connection, _)| harness.disconnect(connection, DisconnectReason::ConnectFailed));
        harness.advance(10 * MS);
    }
    assert_eq!(harness.statuses(client), [503]);
    harness.advance(2_000 * MS);
    let releases = harness
        .outbound
        .keys()
        .filter(|connection| harness.sent_text(**connection).contains("DELETE"))
        .count();
    assert_eq!((releases, harness.new_calls(RELEASE).len()), (0, 0));
}

/// Each end of a connection sees a reset at a time of its own. A release may reach the worker before the worker has
/// seen the reset; the attempt is still running there then, and the release frees nothing.
#[test]
fn a_release_sent_after_a_reset_is_repeated_once_the_worker_has_seen_the_reset() {
    let (mut harness, client, _, _) = prefilled_request("once");
    let (decode, decode_worker) = harness.new_attempt();
    harness.advance(100 * MS);
    harness.reset(decode);
    assert_eq!(harness.statuses(client), [502]);
    let (first, _) = harness.new_call(RELEASE);
    harness.deliver(first, NO_CONTENT);
    harness.advance(60 * MS);
    let (second, released_at) = harness.new_call(RELEASE);
    assert_eq!(released_at, decode_worker, "the release goes to the worker of the broken attempt first");
    harness.deliver(second, NO_CONTENT);
    harness.advance(2_000 * MS);
    assert!(
        harness.new_calls(RELEASE).is_empty(),
        "the worker has seen the reset by now, or its process is gone"
    );
}

#[test]
fn state_of_a_failed_prefill_is_released_within_the_timeout_while_the_retry_is_silent() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (first, _) = harness.new_attempt();
    harness.new_calls("POST /internal");
    harness.advance(100 * MS);
    harness.reset(first);
    // The next attempt connects at once, and its state would replace what the first one left.
    let (_second, _) = harness.new_attempt();
    harness.advance(690 * MS);
    assert!(harness.new_calls(RELEASE).is_empty());
    harness.advance(20 * MS);
    assert!(
        !harness.new_calls(RELEASE).is_empty(),
        "the retry is silent, and the first attempt may have completed and left state"
    );
}

#[test]
fn an_unconfirmed_reservation_is_released_within_the_timeout() {
    // A reservation that its worker has confirmed is kept as long as the prefill worker sends anything. Each case: the
    // answer to the reservation call, whether the prefill worker sends anything, whether a release follows.
    for (answer, prefill_worker_is_alive, is_released) in
        [(None, true, true), (Some(NO_CONTENT), true, true), (Some(""), true, false), (Some(""), false, true)]
    {
        let (mut harness, older_prefill) = with_an_older_connection_to_the_prefill_worker();
        let client = harness.connect_client();
        harness.deliver(client, chat_request("id", "safe"));
        let (_prefill, _) = harness.new_attempt();
        let (reservation, _) = harness.new_call("POST /internal/reservations/id ");
        match answer {
            Some("") => harness.deliver(reservation, response(200, "", "")),
            Some(unknown_prefill) => harness.deliver(reservation, unknown_prefill),
            None => {}
        }
        harness.advance(400 * MS);
        if prefill_worker_is_alive {
            harness.deliver(older_prefill, "HTTP/1.1 102 Processing\r\n\r\n");
        }
        harness.advance(610 * MS);
        assert_eq!(
            !harness.new_calls(RELEASE).is_empty(),
            is_released,
            "{answer:?}, prefill worker is alive: {prefill_worker_is_alive}"
        );
        harness.advance(400 * MS);
        assert!(
            !harness.new_calls(RELEASE).is_empty() || is_released,
            "{answer:?}: the prefill worker was silent for the whole timeout"
        );
    }
}

/// Returns a router with a request in flight at its only prefill worker, and the connection of that attempt, which is
/// older than those of later attempts.
fn with_an_older_connection_to_the_prefill_worker() -> (Harness, ConnectionId) {
    let mut harness = Harness::with_config(&one_worker_of_each_role());
    let client = harness.connect_client();
    harness.deliver(client, chat_request("older", "safe"));
    let (older_prefill, _) = harness.new_attempt();
    let (reservation, _) = harness.new_call("POST /internal/reservations/older ");
    harness.deliver(reservation, response(200, "", ""));
    (harness, older_prefill)
}

/// Returns a configuration with one prefill worker and one decode worker.
fn one_worker_of_each_role() -> serde_json::Value {
    let mut file = router_config();
    let mut known = endpoint_list(4);
    known["servers"]
        .as_array_mut()
        .expect("a list")
        .retain(|server| server["id"] == "r1" || server["id"] == "w1");
    file["known"] = known;
    file["settings"]["caps"]["probing"] = false.into();
    file
}

#[test]
fn a_reservation_is_kept_while_the_prefill_worker_answers_health_checks() {
    let mut file = router_config();
    // A long objective, so that the slow prefill attempt is not cancelled, which would hide what is tested.
    file["settings"]["classes"][0]["on_time_ms"] = 4_000.0.into();
    let mut harness = Harness::with_config(&file);
    let client = harness.connect_client();
    harness.deliver(client, chat_request_with("id", "safe", 5_000, "{}"));
    let (_prefill, _) = harness.new_attempt();
    let (reservation, _) = harness.new_call("POST /internal/reservations/id ");
    harness.deliver(reservation, response(200, "", ""));
    advance_answering_health_checks(&mut harness, 2_500);
    assert!(harness.new_calls(RELEASE).is_empty(), "the prefill worker answers health checks");
    harness.advance(1_300 * MS);
    assert!(!harness.new_calls(RELEASE).is_empty(), "the prefill worker is silent");
}

#[test]
fn a_reservation_is_requested_again_during_a_long_prefill_without_health_checks() {
    let mut harness = Harness::with_config(&one_worker_of_each_role());
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (_prefill, _) = harness.new_attempt();
    let (mut reservation, _) = harness.new_call("POST /internal/reservations/id ");
    for _ in 0..3 {
        harness.deliver(reservation, response(200, "", ""));
        harness.advance(900 * MS);
        (reservation, _) = harness.new_call("POST /internal/reservations/id ");
    }
    assert!(harness.new_calls(RELEASE).is_empty(), "the decode worker has confirmed the reservation");
    // The decode worker does not know the prefill any more.
    harness.deliver(reservation, NO_CONTENT);
    harness.advance(1_300 * MS);
    assert!(!harness.new_calls(RELEASE).is_empty());
}

/// Starts a request and disconnects its client while the reservation call is unanswered, and, if `is_written` is false,
/// not yet written. Answers the releases so far. Returns the harness and the connection of the reservation call.
fn client_disconnects_during_a_reservation_call(is_written: bool) -> (Harness, ConnectionId) {
    let mut harness = Harness::new();
    harness.completes_io_immediately = is_written;
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.new_attempt();
    harness.complete_write(prefill);
    let (reservation, _) = harness.new_call("POST /internal/reservations/id ");
    harness.completes_io_immediately = true;
    harness.reset(client);
    harness.advance(MS);
    let (release, _) = harness.new_call(RELEASE);
    harness.deliver(release, NO_CONTENT);
    answer_repeated_releases_of_the_cancelled_attempt(&mut harness);
    (harness, reservation)
}

/// Answers the release calls of the next 50 ms, and returns the workers that received them.
fn answer_releases(harness: &mut Harness) -> Vec<usize> {
    harness.advance(50 * MS);
    let calls = harness.new_calls(RELEASE);
    calls.iter().for_each(|(connection, _)| harness.deliver(*connection, NO_CONTENT));
    calls.into_iter().map(|(_, worker)| worker).collect()
}

/// Answers the two repeated releases that follow the first one. A worker may see the end of its attempt only after the
/// release, so that the release is repeated; it is repeated once more after the worker has responded, because the
/// worker may have hung in between.
fn answer_repeated_releases_of_the_cancelled_attempt(harness: &mut Harness) {
    assert!(harness.new_calls(RELEASE).is_empty());
    for _ in 0..2 {
        harness.advance(50 * MS);
        let (release, _) = harness.new_call(RELEASE);
        harness.deliver(release, NO_CONTENT);
    }
}

#[test]
fn a_reservation_granted_after_its_release_is_released_again() {
    for answer in [response(200, "", ""), NO_CONTENT.into()] {
        let (mut harness, reservation) = client_disconnects_during_a_reservation_call(true);
        harness.advance(50 * MS);
        assert!(harness.new_calls(RELEASE).is_empty());
        harness.deliver(reservation, &answer);
        harness.new_call(RELEASE);
    }
    // A reservation that was refused is not held.
    let (mut harness, reservation) = client_disconnects_during_a_reservation_call(true);
    harness.deliver(reservation, response(409, "", ""));
    harness.advance(2_000 * MS);
    assert!(harness.new_calls(RELEASE).is_empty());
    // The call is not answered: the reservation is released again within the timeout.
    let (mut harness, _) = client_disconnects_during_a_reservation_call(true);
    harness.advance(810 * MS);
    assert!(!harness.new_calls(RELEASE).is_empty());
}

#[test]
fn an_unwritten_reservation_call_is_cancelled_when_no_longer_needed() {
    let (mut harness, reservation) = client_disconnects_during_a_reservation_call(false);
    assert!(harness.ended.contains_key(&reservation), "the call is cancelled");
    harness.advance(2_000 * MS);
    assert!(
        harness.new_calls(RELEASE).is_empty(),
        "no reservation can be held, because the call was never sent"
    );
    use tideroute_wire::event_loop::EventHandler;
    harness.shut_down();
    harness.advance(700 * MS);
    assert!(harness.gateway.is_finished());
    // The call is also cancelled when the decode attempt starts.
    let mut harness = Harness::new();
    harness.completes_io_immediately = false;
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.new_attempt();
    harness.complete_write(prefill);
    let (reservation, _) = harness.new_call("POST /internal/reservations/id ");
    harness.deliver(prefill, PREFILL_COMPLETE);
    harness.new_attempt();
    assert!(harness.ended.contains_key(&reservation), "the reservation would come too late");
}

#[test]
fn a_reservation_answered_during_the_stream_is_released() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.new_attempt();
    let (reservation, _) = harness.new_call("POST /internal/reservations/id ");
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    assert!(harness.new_calls(RELEASE).is_empty());
    harness.deliver(reservation, NO_CONTENT);
    let (release, _) = harness.new_call(RELEASE);
    harness.deliver(release, NO_CONTENT);
    harness.deliver(decode, format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])));
    assert_eq!(decode_chunked(&harness.sent_text(client)), (STREAM_EVENTS.concat(), true));
}

#[test]
fn a_release_without_answers_is_retried_within_bounds_until_it_expires() {
    let (mut harness, client, prefill, _) = prefilled_request("safe");
    let (decode, _) = harness.new_attempt();
    harness.reset(client);
    harness.advance(MS);
    assert!(harness.ended.contains_key(&decode));
    let mut connections =
        harness.new_calls(RELEASE).into_iter().map(|(connection, _)| connection).collect::<Vec<_>>();
    assert_eq!(connections, [prefill]);
    for _ in 0..12 {
        harness.advance(100 * MS);
        connections.extend(harness.new_calls(RELEASE).into_iter().map(|(connection, _)| connection));
        let open_calls =
            connections.iter().filter(|connection| !harness.ended.contains_key(connection)).count();
        assert!(open_calls <= 16, "{open_calls} release calls are open at the same time");
    }
    assert!(
        connections.len() > 20,
        "{} release calls, which is too few for each worker to be called more than once",
        connections.len()
    );
    harness.advance(500 * MS);
    connections.extend(harness.new_calls(RELEASE).into_iter().map(|(connection, _)| connection));
    assert!(
        connections.iter().all(|connection| harness.ended.contains_key(connection)),
        "release calls are still open after the state has expired"
    );
}

#[test]
fn the_worker_that_responded_last_is_called_next_when_the_holder_is_silent() {
    let (mut harness, client, prefill, holder) = prefilled_request("safe");
    let (decode, _) = harness.new_attempt();
    // Another worker answers another client's request meanwhile.
    let other = harness.connect_client();
    harness.deliver(other, chat_request("other", "safe"));
    let (second, responsive_worker) = harness.new_attempt();
    harness.deliver(second, PREFILL_COMPLETE);
    harness.reset(client);
    harness.advance(MS);
    assert!(harness.ended.contains_key(&decode));
    let releases: Vec<_> = harness.new_calls(RELEASE);
    assert_eq!(releases, [(prefill, holder)]);
    harness.advance(101 * MS);
    if responsive_worker != holder {
        assert_eq!(harness.new_call(RELEASE).1, responsive_worker);
    }
}

#[test]
fn shutdown_waits_for_reserved_state() {
    let (mut harness, client, _, _) = prefilled_request("safe");
    let (_, first_worker) = harness.new_attempt();
    harness.shut_down();
    harness.advance(700 * MS);
    // The first decode attempt was cancelled because it was silent for too long.
    let (decode, second_worker) = harness.new_attempt();
    harness.reset(client);
    harness.advance(MS);
    assert!(harness.ended.contains_key(&decode));
    use tideroute_wire::event_loop::EventHandler;
    assert!(!harness.gateway.is_finished(), "the state is still to be released");
    let (release, _) = harness.new_call(RELEASE);
    harness.deliver(release, NO_CONTENT);
    assert!(
        !harness.gateway.is_finished(),
        "the decode workers may not have seen the end of their attempts yet"
    );
    let released_at: BTreeSet<_> = (0..20).flat_map(|_| answer_releases(&mut harness)).collect();
    assert!(harness.gateway.is_finished());
    assert!(
        released_at.contains(&first_worker) && released_at.contains(&second_worker),
        "both decode workers receive a release"
    );
}
