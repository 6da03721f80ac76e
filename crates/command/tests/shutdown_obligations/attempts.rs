//! What attempts carry, and which failed ones are retried.

use std::io::Write;
use std::net::Shutdown;

use tideroute_test_support::fixture::WORKERS;
use tideroute_test_support::http_messages;
use tideroute_test_support::http_messages::chat_request;
use tideroute_test_support::http_messages::NEVER_RAN;
use tideroute_test_support::http_messages::PREFILL_COMPLETE;

use crate::harness::{response, without_reservations, Harness, ATTEMPT};

#[test]
fn header_fields_of_a_client_reach_both_workers() {
    let mut harness = Harness::new("fields", without_reservations);
    let mut client = harness.connect();
    let asked = chat_request("fields", "keyed").replacen("Host:", "Idempotency-Key: 29-55\r\nHost:", 1);
    client.write_all(asked.as_bytes()).expect("written");
    for answer in [PREFILL_COMPLETE.to_string(), http_messages::streamed_response()] {
        let mut call = harness.next_call(ATTEMPT);
        assert!(call.text.contains("\r\nidempotency-key: 29-55\r\n"), "{}", call.text);
        call.send(answer);
    }
}

#[test]
fn rejections_and_resets_are_retried_where_safe_and_reported_where_not() {
    let mut harness = Harness::new("breaks", without_reservations);
    for (class, breaks, answered) in [("once", false, true), ("once", true, false), ("safe", true, true)] {
        let (mut client, _, mut writer) = harness.prefilled(&format!("{class}-{breaks}"), class);
        if breaks {
            let _ = writer.stream.shutdown(Shutdown::Both);
        } else {
            writer.send(NEVER_RAN);
        }
        if answered {
            // The same state at another writer, or a new read.
            let mut next = harness.next_call(ATTEMPT);
            if WORKERS[next.at].kind == "reading" {
                next.send(PREFILL_COMPLETE);
                next = harness.next_call(ATTEMPT);
            }
            next.send(http_messages::streamed_response());
        }
        let status = response(&mut client);
        assert_eq!(status.starts_with("HTTP/1.1 200"), answered, "{class} {breaks}: {status}");
        assert!(answered || status.starts_with("HTTP/1.1 502"), "it may have run: {status}");
    }
}
