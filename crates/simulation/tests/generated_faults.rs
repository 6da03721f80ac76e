//! Faults and busy routers drawn from a seed.

use std::collections::BTreeSet;

use tideroute_config_language::records::Scenario;
use tideroute_simulation::faults::with_generated_faults;
use tideroute_simulation::traffic::router_by_client;

fn scenario(more: &str) -> Scenario {
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
	{more}
}}
"#
    );
    tideroute_config_language::read("a test's day", &text)
        .unwrap_or_else(|p| panic!("{p}"))
        .day
        .expect("a day")
}

#[test]
fn generated_faults_are_the_same_by_seed_and_name_existing_processes() {
    let mut kinds = BTreeSet::new();
    for seed in 1..=300 {
        let scenario =
            scenario(&format!("faults: {{draw: 8, seed: {seed}, from: 2s, until: 15s, longest: 3s}}"));
        let (one, two) = (with_generated_faults(&scenario), with_generated_faults(&scenario));
        let text = |d: &Scenario| serde_json::to_string(&d.scheduled_faults).expect("plain data");
        assert_eq!(text(&one), text(&two));
        assert!(!one.scheduled_faults.is_empty() && one.random_faults.is_none());
        let known: BTreeSet<String> =
            scenario.workers().map(|(name, ..)| name).chain(scenario.router_names()).collect();
        // Written down, as when a failed day was shrunk, it is the same day.
        let file = tideroute_config_language::records::File { day: Some(one.clone()), ..Default::default() };
        let printed = tideroute_config_language::print(&file).unwrap_or_else(|p| panic!("{p}"));
        let again = tideroute_config_language::read("printed", &printed).unwrap_or_else(|p| panic!("{p}"));
        assert_eq!(text(&again.day.expect("a day")), text(&one));
        let mut clocks = BTreeSet::new();
        for t in &one.scheduled_faults {
            kinds.insert(t.kind.clone());
            assert!((2_000_000..=15_000_000).contains(&t.at));
            assert!(
                t.duration.or(t.restart_after).is_some_and(|l| (200_000..=3_000_000).contains(&l)),
                "{t:?}"
            );
            assert!(t.targets.iter().all(|who| known.contains(who)), "{t:?}");
            assert!(t.side.iter().chain(&t.other_side).all(|name| !scenario.named(name).is_empty()), "{t:?}");
            assert!(t.kind != "clock" || t.targets.iter().all(|who| clocks.insert(who.clone())), "{t:?}");
        }
    }
    assert_eq!(kinds.into_iter().collect::<Vec<_>>(), ["clock", "cut", "delay", "halt", "kill"]);
}

#[test]
fn busy_routers_get_so_many_times_as_many_clients() {
    let mut load = tideroute_config_language::read(
        "a load",
        r#"load: {
	routers: ["127.0.0.1:1"], clients: 920, uneven: {part: 10%, times: 6}
	tracks: [{name: "query", contract: 1s, cut_off: 4s}], traffic: [{track: "query"}]
}"#,
    )
    .unwrap_or_else(|p| panic!("{p}"))
    .load
    .expect("a load");
    let of = |load: &tideroute_config_language::records::Load| {
        let mut counts = vec![0; 60];
        router_by_client(load, 60).into_iter().for_each(|n| counts[n] += 1);
        counts
    };
    let counts = of(&load);
    let busy: Vec<_> = counts.iter().filter(|c| **c > 20).collect();
    // 6 x 6 + 54 = 90 parts of 920 clients.
    assert_eq!(busy.len(), 6, "{counts:?}");
    assert!(busy.iter().all(|c| (60..=65).contains(*c)), "{counts:?}");
    assert!(counts.iter().filter(|c| **c <= 20).all(|c| (9..=11).contains(c)), "{counts:?}");
    load.seed += 1;
    assert_ne!(of(&load), counts, "another seed has others busy");
    load.skew = None;
    assert!(of(&load).iter().all(|c| (15..=16).contains(c)));
}
