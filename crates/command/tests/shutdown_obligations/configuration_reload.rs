//! New configurations at SIGHUP.

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
    let (mut client, _, mut writer) = harness.prefilled("hup", "once");
    writer.send(format!("{STREAM_HEAD}{}", chunk(STREAM_EVENTS[0])));
    let moved = TcpListener::bind("127.0.0.1:0").expect("a port");
    harness.file["discovery"] = json!(moved.local_addr().expect("an address").to_string());
    listen(moved, DISCOVERY, harness.sender.clone());
    std::fs::write(&harness.path, harness.file.to_string()).expect("a file");
    let change = harness.change(5, writer.at, "DRAINING");
    harness.send_signal("-HUP");
    harness.notify(&change);
    let mut watch = harness.next_call("GET /discovery/hosts?watch=1&after=");
    let mut whole = harness.file["known"].clone();
    (whole["version"], whole["servers"][writer.at]) = (json!(5), harness.endpoint(writer.at, "DRAINING"));
    watch.send(format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}",
        chunk(&format!("{whole}\n"))
    ));
    let mut kept = String::new();
    read_until(&mut client, &mut kept, "\"a\":1");
    for n in 0..6 {
        let (_client, _, elsewhere) = harness.prefilled(&format!("h{n}"), "safe");
        assert_ne!(elsewhere.at, writer.at);
    }
    writer.send(format!("{}{}0\r\n\r\n", chunk(STREAM_EVENTS[1]), chunk(STREAM_EVENTS[2])));
    read_until(&mut client, &mut kept, "0\r\n\r\n");
    assert_eq!(decode_chunked(&kept), (STREAM_EVENTS.concat(), true));
}

/// No second signal comes for it: within four seconds of the one that came it has to be in force.
#[test]
fn a_configuration_half_written_at_its_signal_is_read_once_it_is_complete() {
    let mut harness = Harness::new("half", without_reservations);
    let moved = TcpListener::bind("127.0.0.1:0").expect("a port");
    let new_address = moved.local_addr().expect("an address");
    harness.file["discovery"] = json!(new_address.to_string());
    listen(moved, DISCOVERY, harness.sender.clone());
    let text = harness.file.to_string();
    std::fs::write(&harness.path, &text[..text.len() / 2]).expect("a file");
    harness.send_signal("-HUP");
    let told = Instant::now();
    std::thread::sleep(Duration::from_millis(400));
    std::fs::write(&harness.path, text).expect("a file");
    let watch = harness.next_call("GET /discovery/hosts?watch=1&after=");
    let asked_at = watch.stream.local_addr().expect("an address");
    assert!(asked_at == new_address && told.elapsed() < Duration::from_secs(4), "{:?}", told.elapsed());
    assert_eq!(harness.health_status(), 200);
}

#[test]
fn an_invalid_configuration_is_refused_and_the_old_one_stays_in_force() {
    let mut harness = Harness::new("room", without_reservations);
    let (mut client, _, mut writer) = harness.prefilled("room", "once");
    harness.file["settings"]["classes"][2]["key_ttl_ms"] = json!(0);
    harness.file["discovery"] = json!(unused_address());
    std::fs::write(&harness.path, harness.file.to_string()).expect("a file");
    harness.send_signal("-HUP");
    // Its watch stays where it is, and a change on it is heard.
    let change = harness.change(5, writer.at, "DRAINING");
    harness.notify(&change);
    for n in 0..6 {
        let (_client, _, elsewhere) = harness.prefilled(&format!("h{n}"), "safe");
        assert_ne!(elsewhere.at, writer.at);
    }
    writer.send(http_messages::streamed_response());
    assert!(response(&mut client).contains("[DONE]"));
    // At the start it ends the program, with key, value and what is needed.
    let output = Command::new(env!("CARGO_BIN_EXE_tideroute"))
        .arg("platform")
        .env("EDGE_CONFIG", &harness.path)
        .output();
    let output = output.expect("it runs");
    let told = String::from_utf8_lossy(&output.stderr);
    assert!(
        output.status.code() == Some(2) && told.contains("classes[2].key_ttl_ms in the settings is 0"),
        "{told}"
    );
}
