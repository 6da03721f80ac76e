//! Valid messages that bring more than the router needs. None of it may cost a request, a stream or an update of the
//! endpoint list. The gateway runs in virtual time.

mod common;

use common::*;

/// A load report that is no text; HTTP allows its bytes in the value of a field (RFC 9110, 5.5).
const NO_TEXT_REPORT: &[u8] = b"Endpoint-Load-Metrics: TEXT inflight=\xff\xfe, queue=\x80\r\n";

/// Returns a message with more header lines behind its first line.
fn with_header_lines(message: &str, lines: &[u8]) -> Vec<u8> {
    let (first_line, rest) = message.split_once("\r\n").expect("a first line");
    [first_line.as_bytes(), b"\r\n", lines, rest.as_bytes()].concat()
}

/// Serves a request whose workers put `lines` into the heads of all responses, and `before_stream` before the stream.
/// Returns what the client is sent.
fn serve_with(class: &str, lines: &[u8], before_stream: &[u8]) -> String {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", class));
    let (prefill, _) = harness.new_attempt();
    for (reservation, _) in harness.new_calls("POST /internal") {
        harness.deliver(reservation, with_header_lines(&response(200, "", ""), lines));
    }
    harness.deliver(prefill, with_header_lines(PREFILL_COMPLETE, lines));
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, before_stream);
    harness.deliver(decode, with_header_lines(&streamed_response(), lines));
    harness.sent_text(client)
}

/// Asserts that requests of each class are served whole despite `lines` and `before_stream`, as in [`serve_with`].
fn assert_served_with(case: &str, lines: &[u8], before_stream: &[u8]) {
    for class in ["safe", "once", "keyed"] {
        let sent = serve_with(class, lines, before_stream);
        assert!(sent.starts_with("HTTP/1.1 200 "), "{case}, {class}: {sent}");
        assert_eq!(decode_chunked(&sent), (STREAM_EVENTS.concat(), true), "{case}, {class}");
    }
}

/// Guards against good streams that are cut off, and single-use requests answered with 502 after they have run, because
/// a field that the router does not use holds bytes that are no text.
#[test]
fn responses_with_a_field_that_is_no_text_are_served() {
    assert_served_with("in each head", NO_TEXT_REPORT, b"");
    let interim = [b"HTTP/1.1 103 Early Hints\r\n", NO_TEXT_REPORT, b"\r\n"].concat();
    assert_served_with("in an interim response", b"", &interim);
}

/// Guards against requests answered with 400 because of a field that the router only forwards.
#[test]
fn a_request_with_a_field_that_is_no_text_is_forwarded_unchanged() {
    let lines = b"User-Agent: caf\xe9\r\n";
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.deliver(client, with_header_lines(&chat_request("id", "once"), lines));
    for answer in [PREFILL_COMPLETE.to_string(), streamed_response()] {
        let (worker, _) = harness.new_attempt();
        let forwarded = b"\r\nuser-agent: caf\xe9\r\n";
        assert!(harness.sent[&worker].windows(forwarded.len()).any(|window| window == forwarded));
        harness.deliver(worker, answer);
    }
    assert_eq!(harness.statuses(client), [200]);
}

/// Guards against requests answered with 400 because their conversation or their prefix is named by bytes that are no
/// text.
#[test]
fn a_request_with_names_that_are_no_text_is_served() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let request =
        chat_request("id", "safe").replace("X-Object: 7f3a", "X-Object: @").replace("=5c0f", "=@,x=@");
    let request: Vec<u8> = request.bytes().map(|byte| if byte == b'@' { 0xe9 } else { byte }).collect();
    harness.deliver(client, request);
    complete_prefill(&mut harness);
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, streamed_response());
    assert_eq!(harness.statuses(client), [200]);
}

/// Guards against drains that are never learnt, because each watch is ended for a field that is no text.
#[test]
fn a_watch_whose_head_has_a_field_that_is_no_text_is_read() {
    let mut harness = Harness::new();
    let (watch, _) = harness.watch();
    let head =
        with_header_lines("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"Server: caf\xe9\r\n");
    harness.deliver(watch, head);
    harness.deliver(watch, chunk(&format!("{}\n", endpoint_list(5))));
    assert_eq!(ready_status(&mut harness), 200);
}

/// Returns load reports that nobody can read: too long, of many lines, folded, and with control characters.
fn odd_reports() -> [(&'static str, String); 4] {
    let name = "Endpoint-Load-Metrics";
    [
        ("a long report", format!("{name}: TEXT {}\r\n", "inflight=7, ".repeat(1_700))),
        ("a report of many lines", format!("{name}: TEXT inflight=7\r\n").repeat(80)),
        ("a folded report", format!("{name}: TEXT inflight=7,\r\n queue=2,\r\n\tutil=0.61\r\n")),
        ("a report of control characters", format!("{name} : TEXT \0\u{1}\u{7f}\r\n")),
    ]
}

/// Guards against good streams that are cut off for a long, folded or garbled field, or for many fields.
#[test]
fn responses_with_an_odd_load_report_are_served() {
    for (case, report) in odd_reports() {
        assert_served_with(case, report.as_bytes(), b"");
        let interim = format!("HTTP/1.1 103 Early Hints\r\n{report}\r\n");
        assert_served_with(case, b"", interim.as_bytes());
    }
}

/// Guards against good streams that are cut off for the number of the interim responses before them.
#[test]
fn responses_behind_many_interim_responses_are_served() {
    let interim = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 100 Continue\r\nx: y\r\n\r\n".repeat(50);
    assert_served_with("100 interim responses", b"", interim.as_bytes());
}

/// Guards against whole streams that end without the last chunk, for what their chunks carry besides the events.
#[test]
fn streams_with_long_chunk_extensions_and_trailers_are_served() {
    let report = "inflight=7, ".repeat(1_000);
    let chunks =
        STREAM_EVENTS.map(|event| format!("0000000000{:x};r=\"{report}\"\r\n{event}\r\n", event.len()));
    let stream = format!(
        "{STREAM_HEAD}{}0\r\nEndpoint-Load-Metrics: TEXT {report}\r\nx: \u{1}\r\n\r\n",
        chunks.concat()
    );
    for length in [100, stream.len()] {
        let (mut harness, client, decode) = decoding_request("once");
        stream.as_bytes().chunks(length).for_each(|piece| harness.deliver(decode, piece));
        assert_eq!(decode_chunked(&harness.sent_text(client)), (STREAM_EVENTS.concat(), true));
    }
}

/// Guards against drains that are never learnt, because each watch is ended for what its head brings.
#[test]
fn a_watch_with_odd_fields_and_many_interim_responses_is_read() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(100);
    for (case, report) in odd_reports() {
        let mut harness = Harness::new();
        let (watch, _) = harness.watch();
        let head = format!("{interim}HTTP/1.1 200 OK\r\n{report}transfer-encoding: chunked\r\n\r\n");
        head.as_bytes().chunks(1_000).for_each(|piece| harness.deliver(watch, piece));
        harness.deliver(watch, chunk(&format!("{}\n", endpoint_list(5))));
        assert_eq!(ready_status(&mut harness), 200, "{case}");
    }
}

/// Returns an update after which all workers drain, with a note at the first one that is no text, and a worker of another
/// deployment.
fn update_with_additions() -> Vec<u8> {
    let mut servers: Vec<_> =
        (0..WORKERS.len()).map(|worker| endpoint_entry(worker, "DRAINING", 0)).collect();
    servers[0]["note"] = serde_json::json!(["@", {"@": null}]);
    servers.push(serde_json::json!({"id": "s1", "addr": "[::1]:80", "zone": "north", "kind": "scoring", "state": "SERVING"}));
    let update =
        serde_json::json!({"version": 6, "full": false, "servers": servers, "sent_by": "@"}).to_string();
    update.bytes().map(|byte| if byte == b'@' { 0xe9 } else { byte }).collect()
}

/// Guards against drains that are never learnt, because the update holds more than the router needs: members that are no
/// text, and workers that the settings do not name, whose entries may look otherwise.
#[test]
fn an_update_with_more_than_the_router_needs_is_applied() {
    let mut harness = Harness::new();
    harness.send_update(&endpoint_list(5));
    let (watch, _) = harness.watch();
    let update = update_with_additions();
    harness.deliver(watch, [format!("{:x}\r\n", update.len()).as_bytes(), &update, b"\r\n"].concat());
    harness.advance(20 * MS);
    assert!(!harness.ended.contains_key(&watch), "the watch stays open");
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    assert_eq!(harness.new_attempts(), [], "all workers drain");
}
