//! Scripts read the report as JSON, so its keys and structure must not change.

use tideroute_load_balance_report::{ClassLatency, LoadBalanceReport, RoleBalance, WindowPeak};

const ROLE_JSON: &str = concat!(
    r#"{"workers":2,"arrivals":3,"ratio_p50":1.5,"ratio_p99":2.5,"ratio_worst":3.5,"idle_beside":0.25,"#,
    r#""dispersion":1.25,"herds":4,"windows":60,"herds_by_chance":0.5,"worst_window":[14,19],"#,
    r#""ratios":[1.0,2.0]}"#,
);

#[test]
fn report_is_written_with_the_keys_that_operators_scripts_read() {
    let role = RoleBalance {
        workers: 2,
        arrivals: 3,
        peak_to_mean_p50: 1.5,
        peak_to_mean_p99: 2.5,
        peak_to_mean_max: 3.5,
        idle_while_queued: 0.25,
        dispersion_index: 1.25,
        herd_windows: 4,
        windows: 60,
        expected_herd_windows: 0.5,
        worst_window: WindowPeak { at_worker: 14, in_window: 19 },
        peak_to_mean: vec![1.0, 2.0],
    };
    let class = ClassLatency {
        name: "query".to_string(),
        requests: 5,
        objective_met: 0.75,
        ttft_p50_ms: 12.5,
        ttft_p99_ms: 99.5,
    };
    let report =
        LoadBalanceReport { prefill: role.clone(), decode: role, cached_share: 0.125, classes: vec![class] };
    let class_json = concat!(
        r#"{"name":"query","submitted":5,"service":0.75,"first_token_p50_ms":12.5,"#,
        r#""first_token_p99_ms":99.5}"#,
    );
    let expected =
        format!(r#"{{"readers":{ROLE_JSON},"writers":{ROLE_JSON},"kept":0.125,"tracks":[{class_json}]}}"#);
    assert_eq!(serde_json::to_string(&report).unwrap(), expected);
}
