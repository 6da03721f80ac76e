//! Random faults and busy routers, generated from a seed.

use std::collections::BTreeSet;

use tideroute_config_language::records::Scenario;
use tideroute_simulation::faults::with_generated_faults;
use tideroute_simulation::traffic::router_by_client;

fn scenario(extra_sections: &str) -> Scenario {
    let text = format!(
        r#"
day: {{
	routers: 12, cells: 2, zones: 2
	kinds: [{{name: "readers", role: "reader"}}, {{name: "writers", role: "writer"}}]
	fleet: [
		{{name: "reader", kind: "readers", count: 3, does: {{role: "reader"}}}},
		{{name: "writer", kind: "writers", count: 5, does: {{role: "writer"}}}},
	]
	tracks: [{{name: "query", contract: 1s, cut_off: 4s}}]
	terms: {{}}
	load: {{rate: 10, for: 20s, traffic: [{{track: "query"}}]}}
	expect: {{}}
	{extra_sections}
}}
"#
    );
    tideroute_config_language::read("test scenario", &text)
        .unwrap_or_else(|errors| panic!("{errors}"))
        .day
        .expect("a scenario")
}

#[test]
fn generated_faults_are_the_same_by_seed_and_name_existing_processes() {
    let mut kinds = BTreeSet::new();
    for seed in 1..=300 {
        let scenario =
            scenario(&format!("faults: {{draw: 8, seed: {seed}, from: 2s, until: 15s, longest: 3s}}"));
        let (generated, generated_again) =
            (with_generated_faults(&scenario), with_generated_faults(&scenario));
        let text =
            |scenario: &Scenario| serde_json::to_string(&scenario.scheduled_faults).expect("plain data");
        assert_eq!(text(&generated), text(&generated_again));
        assert!(!generated.scheduled_faults.is_empty() && generated.random_faults.is_none());
        let known: BTreeSet<String> =
            scenario.workers().map(|(name, ..)| name).chain(scenario.router_names()).collect();
        // Printed and read again, as the scenario with shrunk faults is, it is the same scenario.
        let file =
            tideroute_config_language::records::File { day: Some(generated.clone()), ..Default::default() };
        let printed = tideroute_config_language::print(&file).unwrap_or_else(|errors| panic!("{errors}"));
        let reread =
            tideroute_config_language::read("printed", &printed).unwrap_or_else(|errors| panic!("{errors}"));
        assert_eq!(text(&reread.day.expect("a scenario")), text(&generated));
        let mut clocks = BTreeSet::new();
        for fault in &generated.scheduled_faults {
            kinds.insert(fault.kind.clone());
            assert!((2_000_000..=15_000_000).contains(&fault.at));
            assert!(
                fault
                    .duration
                    .or(fault.restart_after)
                    .is_some_and(|duration| (200_000..=3_000_000).contains(&duration)),
                "{fault:?}"
            );
            assert!(fault.targets.iter().all(|target| known.contains(target)), "{fault:?}");
            assert!(
                fault
                    .side
                    .iter()
                    .chain(&fault.other_side)
                    .all(|name| !scenario.processes_matching(name).is_empty()),
                "{fault:?}"
            );
            assert!(
                fault.kind != "clock" || fault.targets.iter().all(|target| clocks.insert(target.clone())),
                "{fault:?}"
            );
        }
    }
    assert_eq!(kinds.into_iter().collect::<Vec<_>>(), ["clock", "cut", "delay", "halt", "kill"]);
}

#[test]
fn busy_routers_get_the_configured_multiple_of_clients() {
    let mut load = tideroute_config_language::read(
        "test load",
        r#"load: {
	routers: ["127.0.0.1:1"], clients: 920, uneven: {part: 10%, times: 6}
	tracks: [{name: "query", contract: 1s, cut_off: 4s}], traffic: [{track: "query"}]
}"#,
    )
    .unwrap_or_else(|errors| panic!("{errors}"))
    .load
    .expect("a client load");
    let client_counts = |load: &tideroute_config_language::records::Load| {
        let mut counts = vec![0; 60];
        router_by_client(load, 60).into_iter().for_each(|router| counts[router] += 1);
        counts
    };
    let counts = client_counts(&load);
    let busy: Vec<_> = counts.iter().filter(|count| **count > 20).collect();
    // 6 busy routers with weight 6 and 54 with weight 1 share 920 clients: 90 shares of about 10 clients.
    assert_eq!(busy.len(), 6, "{counts:?}");
    assert!(busy.iter().all(|count| (60..=65).contains(*count)), "{counts:?}");
    assert!(counts.iter().filter(|count| **count <= 20).all(|count| (9..=11).contains(count)), "{counts:?}");
    load.seed += 1;
    assert_ne!(client_counts(&load), counts, "another seed makes the same routers busy");
    load.skew = None;
    assert!(client_counts(&load).iter().all(|count| (15..=16).contains(count)));
}
