//! What must hold over all cores of a router together. Cores share nothing, so that N cores are to everybody else N
//! routers whose settings count them all: they are simulated as such here, in virtual time.

use std::collections::BTreeMap;

use tideroute_config_language::records::Scenario;
use tideroute_simulation::virtual_scenario::{play, VirtualOutcome};
use tideroute_wire::capture::{CaptureEvent, Reader};

/// The field of a frame that asks a reader for a read.
const READ: u8 = 2;

fn day(cores: usize, rate: u32, traffic: &str, troubles: &str) -> Scenario {
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
	troubles: [{troubles}]
	expect: {{}}
}}
"#
    );
    tideroute_config_language::read("a test's day", &text)
        .unwrap_or_else(|p| panic!("{p}"))
        .day
        .expect("a day")
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
    let troubles = r#"
		{at: 2s, do: "burst", for: 2s, times: 6},
		{at: 2400ms, do: "halt", who: ["router1"], for: 900ms},
		{at: 2450ms, do: "drain", who: ["reader0", "writer0"], for: 2s},
		{at: 2500ms, do: "kill", who: ["writer1"], back: 2s},
	"#;
    let outcome = play(&day(4, 80, BOTH, troubles)).expect("it plays");
    assert_rules_kept(&outcome);
    let latest = outcome.report.counts.latest_send_after_drain;
    assert!(latest <= 500_000, "sent {latest} us after the drain was told");
    assert!(outcome.report.counts.rejected > 0, "the flood was no flood");
}

#[test]
fn warming_up_workers_are_not_overloaded_by_any_number_of_cores() {
    let mut fullest: f64 = 0.0;
    for cores in [1, 2, 4, 8] {
        for (rate, burst) in [(15, 1), (60, 5)] {
            let troubles = format!(
                r#"
		{{at: 500ms, do: "kill", who: ["writer0", "writer3", "reader1"], back: 500ms}},
		{{at: 1500ms, do: "burst", for: 2s, times: {burst}}},
	"#
            );
            let outcome = play(&day(cores, rate, BOTH, &troubles)).expect("it plays");
            assert_rules_kept(&outcome);
            let cold = outcome.report.counts.peak_slow_start_load;
            assert!(cold <= 1.0, "{cores} cores filled a cold worker to {cold} of its limit");
            fullest = fullest.max(cold);
        }
    }
    assert!(fullest > 0.0, "no cold worker got anything");
}

#[test]
fn half_of_all_traffic_on_one_shared_text_spreads_over_prefill_workers() {
    let traffic = r#"
		{track: "query", shared: 100%, texts: 1, text_tokens: {least: 800, most: 800}},
		{track: "query", shared: 0%},
	"#;
    let outcome = play(&day(4, 150, traffic, "")).expect("it plays");
    assert_rules_kept(&outcome);
    assert!(outcome.statistics.service() > 0.9, "{}", outcome.statistics.table());
    let mut reader = Reader::new(outcome.capture.as_slice());
    let (processes, _) = reader.head().expect("a head");
    let readers: BTreeMap<u32, String> =
        processes.into_iter().filter(|p| p.name.starts_with("reader")).map(|p| (p.number, p.name)).collect();
    let mut reads = BTreeMap::<&str, usize>::new();
    while let Some(p) = reader.next_passed().expect("a whole record") {
        let is_read = p.event == CaptureEvent::Received && p.frame.first() == Some(&(READ << 3 | 2));
        if let Some(name) = readers.get(&p.process).filter(|_| is_read) {
            *reads.entry(name).or_default() += 1;
        }
    }
    let (all, most) = (reads.values().sum::<usize>(), reads.values().max().copied().unwrap_or(0));
    assert!(reads.len() == 4 && all > 500, "{reads:?}");
    assert!(most * 2 < all, "one reader took over half of all reads: {reads:?}");
}
