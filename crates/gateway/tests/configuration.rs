//! The configuration file and its reload. The gateway runs in virtual time.

mod common;

use common::*;
use serde_json::{json, Value};
use tideroute_gateway::Config;

#[test]
fn a_config_reload_moves_the_watch_and_keeps_open_requests() {
    let mut harness = Harness::new();
    harness.send_update(&endpoint_list(5));
    let client = harness.connect_client();
    harness.deliver(client, chat_request("id", "safe"));
    let (prefill, _) = harness.new_attempt();
    let (old_watch, _) = harness.watch();
    let mut changed = router_config();
    changed["discovery"] = json!("127.0.8.8:85");
    assert!(harness.reload_config(&changed));
    let (new_watch, request) = harness.watch();
    assert!(harness.ended.contains_key(&old_watch) && request.contains("after=5 "));
    assert_eq!(harness.outbound[&new_watch], [127, 0, 8, 8, 0, 85]);
    for invalid in [json!({}), json!([]), json!({"name": "n1"})] {
        assert!(!harness.reload_config(&invalid));
        assert_eq!(harness.watch().0, new_watch, "an invalid file changes nothing");
    }
    harness.deliver(prefill, PREFILL_COMPLETE);
    let (decode, _) = harness.new_attempt();
    harness.deliver(decode, streamed_response());
    assert!(decode_chunked(&harness.sent_text(client)).1);
}

/// Returns invalid values: the path of the field, its value, and the expected message, which names the field.
fn invalid_fields() -> Vec<(&'static str, Value, &'static str)> {
    vec![
        ("/listen", json!("here"), "listen: expected an IPv4 address with a port, found \"here\""),
        ("/discovery", json!(null), "discovery: expected an IPv4 address with a port, found null"),
        ("/seed", json!("xyz"), "seed: expected hexadecimal digits, found \"xyz\""),
        (
            "/limits/sockets",
            json!(12),
            "limits.sockets: expected a number of descriptors, 64 or more, found 12",
        ),
        ("/limits/memory_mb", json!(-1), "limits.memory_mb: expected megabytes, 16 or more, found -1"),
        ("/settings/kinds", json!("a"), "settings.kinds: expected a list of names, found \"a\""),
        (
            "/settings/caps/dial_timeout_ms",
            json!(null),
            "settings.caps.dial_timeout_ms: expected milliseconds, found null",
        ),
        (
            "/settings/invariants/cold_share",
            json!("x"),
            "settings: invariants.cold_share in the settings is not a number of 0 or more",
        ),
        (
            "/settings/classes/0/on_time_ms",
            json!(null),
            "settings: classes[0].on_time_ms in the settings is null: a number over 0 is needed",
        ),
        (
            "/settings/classes/1/hard_limit_ms",
            json!(0),
            "settings: classes[1].hard_limit_ms in the settings is 0: a number over 0 is needed",
        ),
        (
            "/settings/classes/2/key_ttl_ms",
            json!(0.0),
            "settings: classes[2].key_ttl_ms in the settings is 0.0: a number over 0 is needed",
        ),
        ("/known/servers/0/addr", json!("x"), "known: addr is missing or invalid"),
    ]
}

#[test]
fn an_invalid_configuration_names_the_field() {
    for (path, value, message) in invalid_fields() {
        let mut invalid = router_config();
        *invalid.pointer_mut(path).expect("a field of the configuration") = value;
        let error = Config::parse(invalid.to_string().as_bytes()).expect_err(path);
        assert_eq!(error.to_string(), message);
    }
    assert!(Config::parse(b"{").expect_err("incomplete JSON").to_string().starts_with("not valid JSON"));
}
