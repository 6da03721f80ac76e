//! Configurations that are reloaded at SIGHUP.

use serde_json::json;
use std::net::TcpListener;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use tideroute_test_support::http_messages;
use tideroute_test_support::http_messages::chunk;
use tideroute_test_support::http_messages::decode_chunked;
use tideroute_test_support::http_messages::STREAM_EVENTS;
use tideroute_test_support::http_messages::STREAM_HEAD;
use tideroute_test_support::process::unused_address;

use crate::harness::{listen, read_until, response, without_reservations, Harness, DISCOVERY};

#[test]
fn a_reload_and_a_drain_at_once_both_apply_and_disturb_no_stream() {
    let mut harness = Harness::new("hup", without_reservations);
    let (mut client, _, mut decode_call) = harness.prefilled("hup", "once");
    decode_call.send(format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    let new_listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    harness.file["discovery"] = json!(new_listener.local_addr().expect("an address").to_string());
    listen(new_listener, DISCOVERY, harness.sender.clone());
    std::fs::write(&harness.path, harness.file.to_string()).expect("a file");
    let change = harness.change(5, decode_call.at, "DRAINING");
    harness.send_signal("-HUP");
    harness.notify(&change);
    let mut watch = harness.next_call("GET /discovery/hosts?watch=1&after=");
    let mut full_list = harness.file["known"].clone();
    (full_list["version"], full_list["servers"][decode_call.at]) =
        (json!(5), harness.endpoint(decode_call.at, "DRAINING"));
    watch.send(format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}",
        chunk(&format!("{full_list}\n"))
    ));
    let mut received = String::new();
    read_until(&mut client, &mut received, "\"a\":1");
    for n in 0..6 {
        let (_client, _, other_call) = harness.prefilled(&format!("h{n}"), "safe");
        assert_ne!(other_call.at, decode_call.at);
    }
    decode_call.send(format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])));
    read_until(&mut client, &mut received, "0\r\n\r\n");
    assert_eq!(decode_chunked(&received), (STREAM_EVENTS.concat(), true));
}

/// The router reads the file while it is still being written, and receives no second signal. The new configuration has
/// to be in force within four seconds of the signal.
#[test]
fn a_configuration_half_written_at_its_signal_is_read_once_it_is_complete() {
    let mut harness = Harness::new("half", without_reservations);
    let new_listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let new_address = new_listener.local_addr().expect("an address");
    harness.file["discovery"] = json!(new_address.to_string());
    listen(new_listener, DISCOVERY, harness.sender.clone());
    let text = harness.file.to_string();
    std::fs::write(&harness.path, &text[..text.len() / 2]).expect("a file");
    harness.send_signal("-HUP");
    let signalled_at = Instant::now();
    std::thread::sleep(Duration::from_millis(400));
    std::fs::write(&harness.path, text).expect("a file");
    let watch = harness.next_call("GET /discovery/hosts?watch=1&after=");
    let watched_address = watch.stream.local_addr().expect("an address");
    assert!(
        watched_address == new_address && signalled_at.elapsed() < Duration::from_secs(4),
        "{:?}",
        signalled_at.elapsed()
    );
    assert_eq!(harness.health_status(), 200);
}

#[test]
fn an_invalid_configuration_is_refused_and_the_old_one_stays_in_force() {
    let mut harness = Harness::new("room", without_reservations);
    let (mut client, _, mut decode_call) = harness.prefilled("room", "once");
    harness.file["settings"]["classes"][2]["key_ttl_ms"] = json!(0);
    harness.file["discovery"] = json!(unused_address());
    std::fs::write(&harness.path, harness.file.to_string()).expect("a file");
    harness.send_signal("-HUP");
    // The router keeps its watch at the old address, and applies a change that arrives on it.
    let change = harness.change(5, decode_call.at, "DRAINING");
    harness.notify(&change);
    for n in 0..6 {
        let (_client, _, other_call) = harness.prefilled(&format!("h{n}"), "safe");
        assert_ne!(other_call.at, decode_call.at);
    }
    decode_call.send(http_messages::streamed_response());
    assert!(response(&mut client).contains("[DONE]"));
    // At the start, the same configuration ends the program with an error that names the key and the value.
    let output = Command::new(env!("CARGO_BIN_EXE_tideroute"))
        .arg("platform")
        .env("EDGE_CONFIG", &harness.path)
        .output();
    let output = output.expect("the program starts");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        output.status.code() == Some(2) && stderr.contains("classes[2].key_ttl_ms in the settings is 0"),
        "{stderr}"
    );
}
