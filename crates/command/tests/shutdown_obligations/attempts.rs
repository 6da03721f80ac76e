//! The header fields that attempts carry, and the failed attempts that are retried.

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
    let request = chat_request("fields", "keyed").replacen("Host:", "Idempotency-Key: 29-55\r\nHost:", 1);
    client.write_all(request.as_bytes()).expect("written");
    for response_text in [PREFILL_COMPLETE.to_string(), http_messages::streamed_response()] {
        let mut call = harness.next_call(ATTEMPT);
        assert!(call.text.contains("\r\nidempotency-key: 29-55\r\n"), "{}", call.text);
        call.send(response_text);
    }
}

#[test]
fn rejections_and_resets_are_retried_where_safe_and_reported_where_not() {
    let mut harness = Harness::new("breaks", without_reservations);
    for (class, resets, completes) in [("once", false, true), ("once", true, false), ("safe", true, true)] {
        let (mut client, _, mut decode_call) = harness.prefilled(&format!("{class}-{resets}"), class);
        if resets {
            let _ = decode_call.stream.shutdown(Shutdown::Both);
        } else {
            decode_call.send(NEVER_RAN);
        }
        if completes {
            // The retry uses the same KV state at another decode worker, or starts with a new prefill.
            let mut retry = harness.next_call(ATTEMPT);
            if WORKERS[retry.at].kind == "reading" {
                retry.send(PREFILL_COMPLETE);
                retry = harness.next_call(ATTEMPT);
            }
            retry.send(http_messages::streamed_response());
        }
        let status = response(&mut client);
        assert_eq!(status.starts_with("HTTP/1.1 200"), completes, "{class} {resets}: {status}");
        assert!(
            completes || status.starts_with("HTTP/1.1 502"),
            "the attempt may have run, so it must not be retried: {status}"
        );
    }
}
