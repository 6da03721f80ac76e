//! Captures of earlier versions hold the checker's configuration in their header, so its JSON must not change.

use std::collections::BTreeMap;

use tideroute_trace_checker::{CheckerConfig, ClassConfig, DeduplicationScope, Idempotency, WorkerConfig};

const JSON: &str = concat!(
    r#"{"tracks":["#,
    r#"{"name":"a","repeat":"replayable","group":"all","window":1,"contract":2,"per_thousand":3},"#,
    r#"{"name":"b","repeat":"referenced","group":"zone","window":4,"contract":5,"per_thousand":6},"#,
    r#"{"name":"c","repeat":"single-use","group":"cell","window":7,"contract":8,"per_thousand":9}],"#,
    r#""workers":{"127.0.0.1:7000":{"rate":1000.5,"reader":true,"cell":1,"zone":2,"at_once":8}},"#,
    r#""release":10,"drain_grace":11,"cold_share":0.25,"warm_after":12,"fall_multiple":2.0,"#,
    r#""fall_span":13,"most_shots":5}"#,
);

/// The form that captures had before they contained latency objectives and slots.
const OLD_JSON: &str = concat!(
    r#"{"tracks":[{"name":"a","repeat":"replayable","group":"all","window":1}],"#,
    r#""workers":{"127.0.0.1:7000":{"rate":1000.5,"reader":true,"cell":1,"zone":2}},"#,
    r#""release":10,"drain_grace":11,"cold_share":0.25,"warm_after":12,"fall_multiple":2.0,"#,
    r#""fall_span":13,"most_shots":5}"#,
);

fn class(
    name: &str,
    idempotency: Idempotency,
    deduplication_scope: DeduplicationScope,
    first_number: u64,
) -> ClassConfig {
    ClassConfig {
        name: name.into(),
        idempotency,
        deduplication_scope,
        deduplication_window: first_number,
        ttft_objective: first_number + 1,
        ttft_objective_per_1000_tokens: first_number + 2,
    }
}

fn config() -> CheckerConfig {
    let worker = WorkerConfig { tokens_per_second: 1000.5, is_prefill: true, cell: 1, zone: 2, slots: 8 };
    CheckerConfig {
        classes: vec![
            class("a", Idempotency::Idempotent, DeduplicationScope::All, 1),
            class("b", Idempotency::IdempotentWithKey, DeduplicationScope::Zone, 4),
            class("c", Idempotency::NonIdempotent, DeduplicationScope::Cell, 7),
        ],
        workers: BTreeMap::from([("127.0.0.1:7000".to_string(), worker)]),
        max_idle_state: 10,
        drain_grace: 11,
        slow_start_share: 0.25,
        warm_up: 12,
        overload_multiple: 2.0,
        overload_window: 13,
        max_attempts: 5,
    }
}

#[test]
fn config_is_written_with_the_keys_of_earlier_captures() {
    assert_eq!(serde_json::to_string(&config()).unwrap(), JSON);
}

#[test]
fn config_of_earlier_captures_is_read() {
    let read: CheckerConfig = serde_json::from_str(JSON).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), JSON);
    let old: CheckerConfig = serde_json::from_str(OLD_JSON).unwrap();
    assert_eq!(old.classes[0].ttft_objective, 0);
    assert_eq!(old.classes[0].ttft_objective_per_1000_tokens, 0);
    assert_eq!(old.workers["127.0.0.1:7000"].slots, 0);
}
