//! Settings as a router is told them: what is not known is passed over, what is wrong is named by its key.

use serde_json::{json, Value};
use tideroute::types::{Idempotency, Role};

fn settings() -> Value {
    json!({
        "balancers": 3, "unheard_of": {"a": 1}, "discovery": "subscribe", "kinds": ["r", "w"],
        "caps": {"cancel": true, "max_attempts": 6, "probing": true, "retry_after": true,
            "max_retry_after_ms": 500.0, "new_switch": "often"},
        "classes": [{"name": "a", "idempotency": "pure", "on_time_ms": 1_200.0, "worth": 1.0},
            {"name": "b", "idempotency": "side_effect", "on_time_ms": 2_500.0, "worth": 3.0}],
        "family_info": {"ahead": true, "kind_role": ["read", "write"], "pin_limit_ms": 1_000.0,
            "aim_us_per_1000_prompt_tokens": [40_000.0, 120_000.0]},
        "invariants": {"cold_share": 0.3, "fall_ms": 1_000.0, "fall_multiple": 2.5, "ramp_time_ms": 14_000.0}
    })
}

/// The settings with a value put in at a path, or taken out.
fn with(path: &str, value: Option<Value>) -> Value {
    let mut root = settings();
    let (above, key) = path.rsplit_once('/').expect("a path");
    let object = root.pointer_mut(above).and_then(Value::as_object_mut).expect("an object");
    match value {
        Some(value) => object.insert(key.to_string(), value),
        None => object.remove(key),
    };
    root
}

#[test]
fn what_is_told_becomes_terms_and_what_is_not_known_is_passed_over() {
    let terms = tideroute_settings::terms(&settings()).expect("sound");
    assert_eq!((terms.router_count, terms.max_attempts, terms.state_release_timeout), (3, 6, 10_000));
    assert_eq!(terms.role_by_kind, [Role::Prefill, Role::Decode]);
    assert!(
        terms.reservations_enabled
            && terms.endpoint_watch_enabled
            && terms.health_checks_enabled
            && terms.cancellation_enabled
            && !terms.decode_workers_prefill
    );
    assert_eq!((terms.retry_after_enabled, terms.max_retry_after), (true, 5_000));
    assert_eq!(terms.classes[1].idempotency, Idempotency::NonIdempotent);
    assert_eq!(terms.classes[1].ttft_objective_for(2_000.0), 25_000 + 2_400);
    let bare = tideroute_settings::terms(&with("/family_info/ahead", None)).expect("sound");
    assert!(!bare.reservations_enabled, "a switch that is not there is off");
    // Without advice nobody needs the longest.
    let mut quiet = with("/caps/max_retry_after_ms", None);
    quiet["caps"]["retry_after"] = false.into();
    assert_eq!(tideroute_settings::terms(&quiet).expect("sound").max_retry_after, 0);
}

#[test]
fn repeats_of_a_keyed_class_are_sent_so_early_that_they_arrive_in_its_window() {
    let window = |ttl: f64, dial: Option<f64>| {
        let mut root = settings();
        root["classes"][0]["idempotency"] = "token".into();
        root["classes"][0]["dedup_scope"] = "zone".into();
        root["classes"][0]["key_ttl_ms"] = ttl.into();
        dial.into_iter().for_each(|ms| root["caps"]["dial_timeout_ms"] = ms.into());
        match tideroute_settings::terms(&root).expect("sound").classes[0].idempotency {
            Idempotency::IdempotentWithKey { window, .. } => window,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(
        [(500.0, Some(250.0)), (200.0, Some(250.0)), (500.0, None)].map(|(t, d)| window(t, d)),
        [1_500, 0, 4_000]
    );
}

#[test]
fn readers_are_asked_where_a_probe_says_how_much_waits() {
    let load = |how: &str, columns: Value, meaning: &str| {
        let mut root = with("/report", Some(json!({"how": how, "columns": columns})));
        root["family_info"]["report_x1"] = meaning.into();
        let report = tideroute_settings::report(&root).expect("sound");
        let terms = tideroute_settings::terms(&root).expect("sound");
        (terms.load_reports_enabled, terms.load_in_tokens, report.map(|r| (r.column, r.amount(1.5))))
    };
    let tokens = "thousands of prompt tokens waiting to be read or fetched";
    assert_eq!(
        load("probe", json!(["recent_ms", "x0", "x1"]), tokens),
        (true, true, Some((2, Some(1_500.0))))
    );
    let both = json!(["outstanding", "backlog", "x1"]);
    assert_eq!(load("probe", both.clone(), tokens), (true, true, Some((2, Some(1_500.0)))));
    assert_eq!(load("probe", both, "share of memory"), (true, false, Some((0, Some(1.5)))));
    assert_eq!(load("probe", json!(["recent_ms", "x1"]), "share of memory"), (false, false, None));
    assert_eq!(load("answers", json!(["x1"]), tokens), (false, false, None));
    let mut unprobed = with("/report", Some(json!({"how": "probe", "columns": ["outstanding"]})));
    unprobed["caps"]["probing"] = false.into();
    assert!(!tideroute_settings::terms(&unprobed).expect("sound").load_reports_enabled);
    assert_eq!(tideroute_settings::report(&with("/report", Some(json!({"how": "probe"})))), Ok(None));
    let report = tideroute_settings::report(&with("/report", Some(json!({"how": "probe", "columns": "x1"}))));
    assert!(report.expect_err("no list of columns").contains("report.columns"));
    let attempts = tideroute_settings::Report { name: "outstanding".into(), column: 0, tokens: false };
    assert_eq!([-1.0, f64::NAN, f64::INFINITY].map(|v| attempts.amount(v)), [None; 3]);
}

#[test]
fn what_is_missing_wrong_or_contradicts_itself_is_named_by_its_key() {
    let cases: [(&str, Option<Value>, &str); 27] = [
        ("/balancers", None, "balancers"),
        ("/balancers", Some(json!(-1)), "balancers"),
        ("/classes", Some(json!({})), "classes"),
        ("/discovery", Some(json!("by post")), "discovery"),
        ("/discovery", None, "discovery"),
        ("/kinds", Some(json!(["r", "w", "x"])), "family_info.kind_role"),
        ("/caps/max_attempts", Some(json!(0)), "caps.max_attempts"),
        ("/caps/max_attempts", Some(json!("six")), "caps.max_attempts"),
        ("/caps/probing", Some(json!("yes")), "caps.probing"),
        ("/caps/cancel", Some(json!(1)), "caps.cancel"),
        ("/caps/max_retry_after_ms", None, "caps.max_retry_after_ms"),
        ("/family_info/ahead", Some(json!(null)), "family_info.ahead"),
        ("/family_info/writers_read", Some(json!([])), "family_info.writers_read"),
        ("/family_info/pin_limit_ms", None, "family_info.pin_limit_ms"),
        ("/family_info/pin_limit_ms", Some(json!(0.0)), "family_info.pin_limit_ms in the settings is 0.0"),
        ("/family_info/pin_limit_ms", Some(json!(-5.0)), "milliseconds over 0 are needed"),
        ("/caps/dial_timeout_ms", Some(json!(0)), "caps.dial_timeout_ms in the settings is 0"),
        ("/classes/0/idempotency", Some(json!("perhaps")), "perhaps"),
        ("/classes/1/name", Some(json!("a")), "classes[1].name in the settings is \"a\" again"),
        ("/family_info/kind_role", None, "family_info.kind_role"),
        ("/family_info/kind_role", Some(json!(["read", "listen"])), "family_info.kind_role"),
        ("/family_info/kind_role", Some(json!(["read", "read"])), "no kind that writes"),
        ("/family_info/kind_role", Some(json!(["write", "write"])), "no kind that reads"),
        ("/family_info/aim_us_per_1000_prompt_tokens", Some(json!([1.0])), "aim_us_per_1000_prompt_tokens"),
        (
            "/family_info/aim_us_per_1000_prompt_tokens",
            Some(json!([1.0, -2.0])),
            "aim_us_per_1000_prompt_tokens",
        ),
        ("/invariants/fall_ms", Some(json!(-5.0)), "invariants.fall_ms"),
        ("/invariants/cold_share", None, "invariants.cold_share"),
    ];
    for (path, value, named) in cases {
        let problem = tideroute_settings::terms(&with(path, value.clone())).expect_err(path);
        assert!(problem.contains(named), "{path} as {value:?}: {problem}");
    }
    // A fleet of writers that read is none to complain of.
    let mut alone = with("/family_info/writers_read", Some(json!(true)));
    alone["family_info"]["kind_role"] = json!(["write", "write"]);
    assert!(tideroute_settings::terms(&alone).is_ok());
}
