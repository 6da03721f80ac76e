//! Rules that must hold for all cores of a router together, in virtual time. Cores share nothing, so that N cores act like N
//! routers whose settings count them all; the tests simulate them as N routers.

use std::collections::BTreeMap;

use tideroute_config_language::records::Scenario;
use tideroute_simulation::virtual_scenario::{play, VirtualOutcome};
use tideroute_wire::capture::{CaptureEvent, Reader};

/// Field number of the message by which a router requests a prefill.
const PREFILL: u8 = 2;

fn scenario(cores: usize, rate: u32, traffic: &str, faults: &str) -> Scenario {
    let text = format!(
        r#"
day: {{
	routers: {cores}, cells: 2, zones: 2, seed: 11, lag: 100ms
	kinds: [{{name: "readers", role: "reader"}}, {{name: "writers", role: "writer"}}]
	fleet: [
		{{name: "reader", kind: "readers", count: 4, does: {{role: "reader", reads_at_once: 8}}}},
		{{name: "writer", kind: "writers", count: 6, does: {{role: "writer", streams_at_once: 24}}}},
	]
	tracks: [
		{{name: "query", contract: 1s, cut_off: 4s}},
		{{name: "lodge", repeat: "single-use", contract: 1500ms, cut_off: 5s, earnings: 3}},
	]
	terms: {{warm_after: 4s}}
	load: {{rate: {rate}, for: 6s, clients: 32, traffic: [{traffic}]}}
	troubles: [{faults}]
	expect: {{}}
}}
"#
    );
    tideroute_config_language::read("test scenario", &text)
        .unwrap_or_else(|errors| panic!("{errors}"))
        .day
        .expect("a scenario")
}

const BOTH: &str = r#"{track: "query", part: 3}, {track: "lodge"}"#;

fn assert_rules_kept(outcome: &VirtualOutcome) {
    assert!(
        outcome.report.is_clean(),
        "{:#?}",
        &outcome.report.violations[..outcome.report.violations.len().min(5)]
    );
    assert_eq!((outcome.statistics.wrong, outcome.statistics.unanswered), (0, 0));
    assert!(outcome.crashed.is_empty(), "{:?}", outcome.crashed);
}

#[test]
fn a_stalled_core_sends_nothing_to_a_worker_that_was_removed_meanwhile() {
    let faults = r#"
		{at: 2s, do: "burst", for: 2s, times: 6},
		{at: 2400ms, do: "halt", who: ["router1"], for: 900ms},
		{at: 2450ms, do: "drain", who: ["reader0", "writer0"], for: 2s},
		{at: 2500ms, do: "kill", who: ["writer1"], back: 2s},
	"#;
    let outcome = play(&scenario(4, 80, BOTH, faults)).expect("the scenario is played");
    assert_rules_kept(&outcome);
    let latest_send = outcome.report.counts.latest_send_after_drain;
    assert!(
        latest_send <= 500_000,
        "a request was sent {latest_send} us after the router was notified of the draining"
    );
    assert!(outcome.report.counts.rejected > 0, "the burst was too small for rejections");
}

#[test]
fn warming_up_workers_are_not_overloaded_by_any_number_of_cores() {
    let mut peak_load: f64 = 0.0;
    for cores in [1, 2, 4, 8] {
        for (rate, burst) in [(15, 1), (60, 5)] {
            let faults = format!(
                r#"
		{{at: 500ms, do: "kill", who: ["writer0", "writer3", "reader1"], back: 500ms}},
		{{at: 1500ms, do: "burst", for: 2s, times: {burst}}},
	"#
            );
            let outcome = play(&scenario(cores, rate, BOTH, &faults)).expect("the scenario is played");
            assert_rules_kept(&outcome);
            let slow_start_load = outcome.report.counts.peak_slow_start_load;
            assert!(
                slow_start_load <= 1.0,
                "{cores} cores loaded a warming worker to {slow_start_load} of its slow-start limit"
            );
            peak_load = peak_load.max(slow_start_load);
        }
    }
    assert!(peak_load > 0.0, "no request reached a warming worker");
}

#[test]
fn half_of_all_traffic_on_one_shared_text_spreads_over_prefill_workers() {
    let traffic = r#"
		{track: "query", shared: 100%, texts: 1, text_tokens: {least: 800, most: 800}},
		{track: "query", shared: 0%},
	"#;
    let outcome = play(&scenario(4, 150, traffic, "")).expect("the scenario is played");
    assert_rules_kept(&outcome);
    assert!(outcome.statistics.service() > 0.9, "{}", outcome.statistics.table());
    let mut reader = Reader::new(outcome.capture.as_slice());
    let (processes, _) = reader.head().expect("a capture head");
    let prefill_workers: BTreeMap<u32, String> = processes
        .into_iter()
        .filter(|process| process.name.starts_with("reader"))
        .map(|process| (process.number, process.name))
        .collect();
    let mut prefills = BTreeMap::<&str, usize>::new();
    while let Some(frame) = reader.next_passed().expect("a complete capture") {
        let is_prefill =
            frame.event == CaptureEvent::Received && frame.frame.first() == Some(&(PREFILL << 3 | 2));
        if let Some(name) = prefill_workers.get(&frame.process).filter(|_| is_prefill) {
            *prefills.entry(name).or_default() += 1;
        }
    }
    let (total, max) = (prefills.values().sum::<usize>(), prefills.values().max().copied().unwrap_or(0));
    assert!(prefills.len() == 4 && total > 500, "{prefills:?}");
    assert!(max * 2 < total, "one prefill worker got more than half of all prefills: {prefills:?}");
}
