//! Requests stay within the memory that the configuration allows. The gateway runs in virtual time.

mod common;

use common::*;
use tideroute_wire::event_loop::ConnectionId;

/// Bytes of the largest bodies that the tests send; a body may have 256 KiB.
const LARGE_BODY: usize = 250_000;
/// Bytes of memory that the configuration allows.
const MEMORY: usize = 32 << 20;
/// The text of a response to a request that was refused for memory.
const NO_MEMORY: &str = "no memory for one more request";

/// Returns a request with a body of `length` bytes.
fn request_with_body(trace_id: &str, length: usize) -> String {
    let body = format!("\"{}\"", "x".repeat(length - 2));
    chat_request_with(trace_id, "safe", 4_000, &body)
}

/// Sends requests with large bodies, each on a connection of its own, and returns the connections.
fn send_large_requests(harness: &mut Harness, count: usize) -> Vec<ConnectionId> {
    let send = |n| {
        let client = harness.connect_client();
        harness.deliver(client, request_with_body(&format!("id{n}"), LARGE_BODY));
        client
    };
    (0..count).map(send).collect()
}

/// Returns those of the clients that have received no response yet.
fn without_response(harness: &Harness, clients: &[ConnectionId]) -> Vec<ConnectionId> {
    clients.iter().copied().filter(|client| harness.statuses(*client).is_empty()).collect()
}

/// Guards against a router that is killed because the bodies of open requests count against no limit of memory.
#[test]
fn bodies_of_open_requests_stay_within_the_memory_limit() {
    let mut harness = Harness::new();
    let clients = send_large_requests(&mut harness, 90);
    let open = without_response(&harness, &clients);
    assert!(open.len() * LARGE_BODY <= MEMORY / 2, "{} requests of 250 KB are open", open.len());
    assert!(open.len() * LARGE_BODY >= MEMORY / 4, "only {} requests of 250 KB are open", open.len());
    for client in clients.iter().filter(|client| !open.contains(client)) {
        assert_eq!(harness.statuses(*client), [503]);
        let response = harness.sent_text(*client);
        assert!(response.contains("\r\nretry-after: 0.500\r\n"), "{response}");
    }
}

/// Guards against refused requests whose answer is lost with a reset, and whose connection is lost with it.
#[test]
fn a_connection_goes_on_after_a_request_that_was_refused_for_memory() {
    let mut harness = Harness::new();
    let clients = send_large_requests(&mut harness, 90);
    let open = without_response(&harness, &clients);
    let refused = clients.iter().copied().find(|client| !open.contains(client)).expect("a refused request");
    assert!(!harness.ended.contains_key(&refused), "the connection stays open");
    // Once the other requests have ended, there is memory for one on the same connection.
    open.iter().for_each(|client| harness.reset(*client));
    harness.advance(2_000 * MS);
    harness.deliver(refused, request_with_body("again", LARGE_BODY));
    assert_eq!(harness.sent_text(refused).matches(NO_MEMORY).count(), 1, "{}", harness.sent_text(refused));
    assert!(!harness.ended.contains_key(&refused), "the connection stays open");
}

/// Guards against a refused request that is answered only once its client has sent all of it, or twice.
#[test]
fn a_request_is_refused_for_memory_before_its_body_has_arrived() {
    let mut harness = Harness::new();
    send_large_requests(&mut harness, 90);
    let client = harness.connect_client();
    let request = request_with_body("late", LARGE_BODY);
    let (start, rest) = request.split_at(1_000);
    harness.deliver(client, start);
    assert_eq!(harness.statuses(client), [503]);
    harness.deliver(client, rest);
    harness.deliver(client, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(
        harness.statuses(client).len(),
        2,
        "the rest of the body is discarded, and the next request answered"
    );
    // A client that never sends the rest gets no second answer.
    let client = harness.connect_client();
    harness.deliver(client, request_with_body("incomplete", LARGE_BODY).split_at(1_000).0);
    harness.advance(2_100 * MS);
    assert_eq!((harness.statuses(client), harness.ended.get(&client)), (vec![503], Some(&false)));
}

/// Guards against charges that are not returned: requests would be refused although none is open.
#[test]
fn memory_is_returned_when_requests_end() {
    let mut harness = Harness::new();
    for round in 0..6 {
        let clients = send_large_requests(&mut harness, MEMORY / 2 / LARGE_BODY - 4);
        let refused = clients.iter().filter(|client| harness.sent_text(**client).contains(NO_MEMORY)).count();
        assert_eq!(refused, 0, "requests refused for memory in round {round}");
        clients.into_iter().for_each(|client| harness.reset(client));
        harness.advance(20_000 * MS);
    }
}

/// Lets the open request of a client complete, whose prefill attempt is the only new one.
fn complete_request(harness: &mut Harness) {
    complete_prefill(harness);
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, streamed_response());
}

/// Guards against requests behind an open one that are read, discarded for lack of memory, and never answered.
#[test]
fn requests_refused_behind_an_open_one_are_answered_after_it() {
    let mut harness = Harness::without_reservations();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("open", "safe"));
    // More than one connection may keep behind an open request.
    for number in 0..20 {
        let request = request_with_body(&format!("behind{number}"), 20_000);
        request.as_bytes().chunks(3_000).for_each(|piece| harness.deliver(client, piece));
    }
    assert_eq!(harness.statuses(client).len(), 0, "no response overtakes that of the open request");
    complete_request(&mut harness);
    let statuses = harness.statuses(client);
    assert_eq!((statuses[0], &statuses[1..]), (200, &[503; 20][..]), "{}", harness.sent_text(client));
    assert_eq!(harness.sent_text(client).matches("retry-after").count(), 20);
    // The connection is in step: it serves one more request.
    harness.deliver(client, chat_request("next", "safe"));
    complete_request(&mut harness);
    assert_eq!(harness.statuses(client).last(), Some(&200));
    assert!(!harness.ended.contains_key(&client));
}

/// Guards against a connection that is out of step with its client after a request was refused in part.
#[test]
fn a_request_refused_in_part_behind_an_open_one_is_answered_once() {
    // A request of which only a part of the head has arrived in time is served.
    for (arrived_bytes, last_status) in [(40, 200), (30_000, 503)] {
        let mut harness = Harness::without_reservations();
        let client = harness.connect_client();
        harness.deliver(client, chat_request("open", "safe"));
        harness.deliver(client, request_with_body("first", 200_000));
        harness.deliver(client, request_with_body("second", 80_000));
        let third = request_with_body("third", 100_000);
        let (arrived, rest) = third.split_at(arrived_bytes);
        harness.deliver(client, arrived);
        complete_request(&mut harness);
        harness.deliver(client, rest);
        if last_status == 200 {
            complete_request(&mut harness);
        }
        assert_eq!(harness.statuses(client), [200, 503, 503, last_status]);
        assert!(!harness.ended.contains_key(&client));
    }
}

/// Guards against responses whose first event never ends: each may have 64 KB, and together they count against no limit.
#[test]
fn incomplete_first_events_stay_within_the_memory_limit() {
    let part = format!("data: {}", "x".repeat(INCOMPLETE_BYTES));
    incomplete_responses_stay_within_the_memory_limit(&format!("{STREAM_HEAD}{}", chunk(&part)));
}

/// Guards against responses whose head never ends: each may have 64 KB, and together they count against no limit.
#[test]
fn incomplete_response_heads_stay_within_the_memory_limit() {
    let head = format!("HTTP/1.1 200 OK\r\nx: {}", "x".repeat(INCOMPLETE_BYTES));
    incomplete_responses_stay_within_the_memory_limit(&head);
}

/// Number of bytes that an incomplete response has at least.
const INCOMPLETE_BYTES: usize = 60_000;

/// Asserts that a part of the memory is used for the beginnings of responses, and no more.
fn incomplete_responses_stay_within_the_memory_limit(beginning: &str) {
    const SMALL_MEMORY: usize = 16 << 20;
    let mut config = router_config();
    config["limits"]["memory_mb"] = (SMALL_MEMORY >> 20).into();
    config["settings"]["family_info"]["ahead"] = false.into();
    let mut harness = Harness::with_config(&config);
    let mut waiting = vec![];
    for number in 0..90 {
        let client = harness.connect_client();
        harness.deliver(client, chat_request(&format!("id{number}"), "safe"));
        for (prefill, _) in harness.new_attempts() {
            harness.deliver(prefill, PREFILL_COMPLETE);
        }
        for (decode, _) in harness.new_attempts() {
            harness.deliver(decode, beginning);
            waiting.push(decode);
        }
    }
    assert!(
        waiting.len() * INCOMPLETE_BYTES > SMALL_MEMORY / 8,
        "only {} responses have begun",
        waiting.len()
    );
    waiting.retain(|decode| !harness.ended.contains_key(decode));
    let bytes = waiting.len() * INCOMPLETE_BYTES;
    assert!(
        (SMALL_MEMORY / 16..=SMALL_MEMORY / 8).contains(&bytes),
        "{bytes} bytes of incomplete responses are kept"
    );
}

/// Guards against a second answer to a request that was refused while its chunked body was being received.
#[test]
fn a_refused_request_with_a_chunked_body_is_answered_once() {
    let mut harness = Harness::new();
    send_large_requests(&mut harness, 90);
    let client = harness.connect_client();
    let complete = chat_request("chunked", "safe");
    let (head, _) = complete.split_once("Content-Length").expect("a length");
    let body = chunk(&"x".repeat(LARGE_BODY));
    harness.deliver(client, format!("{head}Transfer-Encoding: chunked\r\n\r\n{body}"));
    assert_eq!(harness.statuses(client), [503]);
    // More large requests keep the memory full.
    send_large_requests(&mut harness, 5);
    "1;extension\r\nx\r\n0\r\n\r\n".bytes().for_each(|byte| harness.deliver(client, [byte]));
    assert_eq!(harness.statuses(client), [503]);
    harness.deliver(client, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(harness.statuses(client).len(), 2, "the connection goes on behind the body");
}

/// Guards against commands that are read, and not answered because memory has become scarce before their turn.
#[test]
fn pipelined_commands_are_all_answered_while_memory_is_lacking() {
    let mut harness = Harness::new();
    send_large_requests(&mut harness, 90);
    let client = harness.connect_client();
    let commands = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n".repeat(2_000);
    for piece in commands.as_bytes().chunks(60_000) {
        harness.deliver(client, piece);
        harness.advance(MS);
    }
    assert_eq!(harness.statuses(client).len(), 2_000);
    assert!(!harness.ended.contains_key(&client), "the connection stays open");
}

/// Guards against memory that counts as used on idle connections, where the head of the last response came in pieces: it
/// is then lacking for other responses.
#[test]
fn a_head_that_came_in_pieces_is_not_charged_once_its_call_has_ended() {
    let mut config = router_config();
    config["limits"]["memory_mb"] = 16.into();
    config["settings"]["family_info"]["ahead"] = false.into();
    let mut harness = Harness::with_config(&config);
    for number in 0..90 {
        let client = harness.connect_client();
        harness.deliver(client, chat_request(&format!("id{number}"), "safe"));
    }
    let prefills = harness.new_attempts();
    assert!(prefills.len() * INCOMPLETE_BYTES > 2 << 20, "only {} prefills have begun", prefills.len());
    let head = format!("HTTP/1.1 202 Accepted\r\nx: {}", "x".repeat(INCOMPLETE_BYTES));
    for (prefill, _) in prefills {
        harness.deliver(prefill, &head);
        harness.deliver(prefill, "\r\ncontent-length: 0\r\n\r\n");
        assert!(!harness.ended.contains_key(&prefill), "the response is read, and its connection kept");
    }
}
