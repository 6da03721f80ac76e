//! Checks that settings are read into the scheduler's configuration, that unknown keys are ignored, and that an error
//! names the key of a wrong value.

use serde_json::{json, Value};
use tideroute::types::{Idempotency, Role};

/// Returns valid settings.
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

/// Returns valid settings with a value set at a path, or removed.
fn settings_with(path: &str, value: Option<Value>) -> Value {
    let mut root = settings();
    let (parent, key) = path.rsplit_once('/').expect("the path has a parent");
    let object = root.pointer_mut(parent).and_then(Value::as_object_mut).expect("the parent is an object");
    match value {
        Some(value) => object.insert(key.to_string(), value),
        None => object.remove(key),
    };
    root
}

#[test]
fn settings_are_read_into_the_configuration_and_unknown_keys_are_ignored() {
    let config = tideroute_settings::scheduler_config(&settings()).expect("the settings are valid");
    assert_eq!((config.router_count, config.max_attempts, config.state_release_timeout), (3, 6, 10_000));
    assert_eq!(config.role_by_kind, [Role::Prefill, Role::Decode]);
    assert!(
        config.reservations_enabled
            && config.endpoint_watch_enabled
            && config.health_checks_enabled
            && config.cancellation_enabled
            && !config.decode_workers_prefill
    );
    assert_eq!((config.retry_after_enabled, config.max_retry_after), (true, 5_000));
    assert_eq!(config.classes[1].idempotency, Idempotency::NonIdempotent);
    assert_eq!(config.classes[1].ttft_objective_for_prompt(2_000.0), 25_000 + 2_400);
    let without_reservations =
        tideroute_settings::scheduler_config(&settings_with("/family_info/ahead", None))
            .expect("the settings are valid");
    assert!(!without_reservations.reservations_enabled, "a missing boolean is read as false");
    // The maximum of Retry-After is not needed if Retry-After is off.
    let mut without_retry_after = settings_with("/caps/max_retry_after_ms", None);
    without_retry_after["caps"]["retry_after"] = false.into();
    assert_eq!(
        tideroute_settings::scheduler_config(&without_retry_after)
            .expect("the settings are valid")
            .max_retry_after,
        0
    );
}

#[test]
fn deduplication_window_leaves_time_for_a_retry_to_connect_and_arrive() {
    let window = |key_ttl_ms: f64, connect_timeout_ms: Option<f64>| {
        let mut root = settings();
        root["classes"][0]["idempotency"] = "token".into();
        root["classes"][0]["dedup_scope"] = "zone".into();
        root["classes"][0]["key_ttl_ms"] = key_ttl_ms.into();
        if let Some(ms) = connect_timeout_ms {
            root["caps"]["dial_timeout_ms"] = ms.into();
        }
        match tideroute_settings::scheduler_config(&root).expect("the settings are valid").classes[0]
            .idempotency
        {
            Idempotency::IdempotentWithKey { window, .. } => window,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(
        [(500.0, Some(250.0)), (200.0, Some(250.0)), (500.0, None)]
            .map(|(key_ttl_ms, connect_timeout_ms)| window(key_ttl_ms, connect_timeout_ms)),
        [1_500, 0, 4_000]
    );
}

#[test]
fn load_reports_are_enabled_if_health_checks_report_waiting_work() {
    let read_report = |source: &str, columns: Value, meaning: &str| {
        let mut root = settings_with("/report", Some(json!({"how": source, "columns": columns})));
        root["family_info"]["report_x1"] = meaning.into();
        let report = tideroute_settings::load_report_column(&root).expect("the settings are valid");
        let config = tideroute_settings::scheduler_config(&root).expect("the settings are valid");
        (
            config.load_reports_enabled,
            config.load_in_tokens,
            report.map(|report| (report.column, report.load(1.5))),
        )
    };
    let tokens = "thousands of prompt tokens waiting to be read or fetched";
    assert_eq!(
        read_report("probe", json!(["recent_ms", "x0", "x1"]), tokens),
        (true, true, Some((2, Some(1_500.0))))
    );
    let both = json!(["outstanding", "backlog", "x1"]);
    assert_eq!(read_report("probe", both.clone(), tokens), (true, true, Some((2, Some(1_500.0)))));
    assert_eq!(read_report("probe", both, "share of memory"), (true, false, Some((0, Some(1.5)))));
    assert_eq!(read_report("probe", json!(["recent_ms", "x1"]), "share of memory"), (false, false, None));
    assert_eq!(read_report("answers", json!(["x1"]), tokens), (false, false, None));
    let mut without_health_checks =
        settings_with("/report", Some(json!({"how": "probe", "columns": ["outstanding"]})));
    without_health_checks["caps"]["probing"] = false.into();
    assert!(
        !tideroute_settings::scheduler_config(&without_health_checks)
            .expect("the settings are valid")
            .load_reports_enabled
    );
    assert_eq!(
        tideroute_settings::load_report_column(&settings_with("/report", Some(json!({"how": "probe"})))),
        Ok(None)
    );
    let report = tideroute_settings::load_report_column(&settings_with(
        "/report",
        Some(json!({"how": "probe", "columns": "x1"})),
    ));
    assert!(report.expect_err("a string is not a list of columns").to_string().contains("report.columns"));
    let attempts =
        tideroute_settings::LoadReportColumn { name: "outstanding".into(), column: 0, counts_tokens: false };
    assert_eq!([-1.0, f64::NAN, f64::INFINITY].map(|value| attempts.load(value)), [None; 3]);
}

#[test]
fn missing_wrong_and_contradictory_values_are_rejected_with_their_key() {
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
        ("/family_info/kind_role", Some(json!(["read", "read"])), "no worker kind that can decode"),
        ("/family_info/kind_role", Some(json!(["write", "write"])), "no worker kind that can prefill"),
        ("/family_info/aim_us_per_1000_prompt_tokens", Some(json!([1.0])), "aim_us_per_1000_prompt_tokens"),
        (
            "/family_info/aim_us_per_1000_prompt_tokens",
            Some(json!([1.0, -2.0])),
            "aim_us_per_1000_prompt_tokens",
        ),
        ("/invariants/fall_ms", Some(json!(-5.0)), "invariants.fall_ms"),
        ("/invariants/cold_share", None, "invariants.cold_share"),
    ];
    for (path, value, expected_text) in cases {
        let error = tideroute_settings::scheduler_config(&settings_with(path, value.clone()))
            .expect_err(path)
            .to_string();
        assert!(error.contains(expected_text), "{path} as {value:?}: {error}");
    }
    // A prefill or mixed kind is not needed if decode workers prefill.
    let mut decode_only = settings_with("/family_info/writers_read", Some(json!(true)));
    decode_only["family_info"]["kind_role"] = json!(["write", "write"]);
    assert!(tideroute_settings::scheduler_config(&decode_only).is_ok());
}
