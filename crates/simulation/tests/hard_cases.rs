//! Hard cases in virtual time: the real router, emulated workers and client load, with the rules checked on the
//! capture. Each test first shows that its case occurred.

use tideroute_config_language::records::Scenario;
use tideroute_simulation::virtual_scenario::{play, VirtualOutcome};
use tideroute_wire::capture::{CaptureEvent, CapturedFrame, Reader};

/// A small day with a place for its troubles.
fn scenario(faults: &str, rate: u32, more: &str) -> Scenario {
    let text = format!(
        r#"
day: {{
	routers: 2, cells: 2, zones: 2, seed: 5, lag: 100ms
	kinds: [{{name: "readers", role: "reader"}}, {{name: "writers", role: "writer"}}]
	fleet: [
		{{name: "reader", kind: "readers", count: 2, does: {{role: "reader"}}}},
		{{name: "writer", kind: "writers", count: 4, does: {{role: "writer", streams_at_once: 24}}}},
	]
	tracks: [
		{{name: "query", contract: 1s, cut_off: 4s}},
		{{name: "lodge", repeat: "single-use", contract: 1500ms, cut_off: 5s, earnings: 3}},
		{{name: "note", repeat: "referenced", group: "cell", contract: 1500ms, cut_off: 5s}},
	]
	terms: {{warm_after: 4s}}
	load: {{
		rate: {rate}, for: 6s, clients: 6
		traffic: [{{track: "query", part: 3}}, {{track: "lodge"}}, {{track: "note"}}]
		{more}
	}}
	troubles: [{faults}]
	expect: {{}}
}}
"#
    );
    tideroute_config_language::read("a test's day", &text)
        .unwrap_or_else(|p| panic!("{p}"))
        .day
        .expect("a day")
}

fn assert_rules_kept(outcome: &VirtualOutcome) {
    assert!(
        outcome.report.is_clean(),
        "{:#?}",
        &outcome.report.violations[..outcome.report.violations.len().min(5)]
    );
    assert_eq!((outcome.statistics.wrong, outcome.statistics.unanswered), (0, 0));
    assert!(outcome.report.counts.completed > 50, "{:?}", outcome.report.counts);
    assert!(outcome.crashed.is_empty(), "{:?}", outcome.crashed);
}

fn captured_frames(outcome: &VirtualOutcome) -> Vec<CapturedFrame> {
    let mut reader = Reader::new(outcome.capture.as_slice());
    reader.head().expect("a head");
    std::iter::from_fn(|| reader.next_passed().expect("a whole record")).collect()
}

/// How many frames of a kind were heard: of a conversation's field number, the first byte's upper bits.
fn count_received(outcome: &VirtualOutcome, role: &str, field: u8) -> usize {
    let mut reader = Reader::new(outcome.capture.as_slice());
    let (processes, _) = reader.head().expect("a head");
    let of: Vec<_> = processes.iter().filter(|p| p.role == role).map(|p| p.number).collect();
    let is = |p: &&CapturedFrame| {
        p.event == CaptureEvent::Received
            && of.contains(&p.process)
            && p.frame.first() == Some(&(field << 3 | 2))
    };
    captured_frames(outcome).iter().filter(is).count()
}

/// Fields of what a router hears from a worker, and a fetcher from a reader.
const ENDED: u8 = 5;
const MISSING: u8 = 3;

#[test]
fn an_ordinary_scenario_is_served_completely() {
    let outcome = play(&scenario("", 60, "")).expect("it plays");
    assert_rules_kept(&outcome);
    assert!(outcome.statistics.service() > 0.98, "{}", outcome.statistics.table());
    assert!(outcome.report.counts.reservations > 200);
}

#[test]
fn workers_are_killed_between_prefill_and_decode_and_during_state_transfer() {
    // States of 60 KiB and slow reads: at any moment some are half moved.
    let faults = r#"
		{at: 1s, do: "kill", who: ["reader0"], back: 1s},
		{at: 1500ms, do: "kill", who: ["writer0", "writer1"], back: 1s},
		{at: 3s, do: "kill", who: ["reader1"], back: 500ms},
		{at: 4s, do: "kill", who: ["writer2"]},
	"#;
    let outcome = play(&scenario(faults, 80, "")).expect("it plays");
    assert_rules_kept(&outcome);
    // A state went with its reader: a writer was told of none, or its fetch broke and the shot came back.
    assert!(count_received(&outcome, "worker", MISSING) + count_received(&outcome, "router", ENDED) > 0);
    assert!(outcome.report.counts.failed > 0, "a single-use shot at a dead writer is abandoned");
}

#[test]
fn kv_state_corrupted_in_transfer_is_never_used() {
    let faults = r#"{at: 1s, do: "corrupt", who: ["reader0", "reader1"], for: 2s}"#;
    let outcome = play(&scenario(faults, 60, "")).expect("it plays");
    assert_rules_kept(&outcome);
    assert!(count_received(&outcome, "router", ENDED) > 10);
}

#[test]
fn late_reservation_answers_and_reservations_at_draining_workers() {
    // Writers pause while they are asked, so that reads end before the answer; others drain with places held.
    let text = r#"
		{at: 1s, do: "drain", who: ["writer0"], for: 1500ms},
		{at: 2s, do: "drain", who: ["writer2"], for: 1500ms},
		{at: 1500ms, do: "halt", who: ["writer0", "writer1", "writer2", "writer3"], for: 200ms},
		{at: 4s, do: "halt", who: ["writer0", "writer1", "writer2", "writer3"], for: 200ms},
	"#;
    let mut scenario = scenario(text, 80, "");
    scenario.worker_groups[0].capacity.prefill_tokens_per_second = 900_000.0;
    let outcome = play(&scenario).expect("it plays");
    assert_rules_kept(&outcome);
    let places = reservations_answered_after_prefill(&outcome);
    assert!(places > 5, "only {places} answers came after their read");
    assert!(outcome.report.counts.latest_send_after_drain <= scenario.settings.drain_grace);
}

/// Answers on places that a router heard after the read had ended.
fn reservations_answered_after_prefill(outcome: &VirtualOutcome) -> usize {
    use tideroute_wire::{worker, Malformed};
    #[derive(Default)]
    struct LateAnswers {
        read: std::collections::BTreeSet<u64>,
        late: usize,
    }
    impl worker::Router for LateAnswers {
        fn reservation_answered(&mut self, id: u64, _held: bool) -> Result<(), Malformed> {
            self.late += usize::from(self.read.contains(&id));
            Ok(())
        }
        fn prefill_completed(&mut self, id: u64, _: u16, _: u32, _: u64) -> Result<(), Malformed> {
            self.read.insert(id);
            Ok(())
        }
        fn token(&mut self, _: u64, _: u16, _: u32, _: bytes::Bytes) -> Result<(), Malformed> {
            Ok(())
        }
        fn completed(&mut self, _: u64, _: u16, _: u32) -> Result<(), Malformed> {
            Ok(())
        }
        fn attempt_ended(&mut self, _: u64, _: u16, _: worker::AttemptFailure) -> Result<(), Malformed> {
            Ok(())
        }
        fn health_reported(&mut self, _: u64, _: u32, _: u32, _: u32) -> Result<(), Malformed> {
            Ok(())
        }
    }
    let mut reader = Reader::new(outcome.capture.as_slice());
    let (processes, _) = reader.head().expect("a head");
    let routers: Vec<_> = processes.iter().filter(|p| p.role == "router").map(|p| p.number).collect();
    let mut ear = LateAnswers::default();
    for p in captured_frames(outcome)
        .iter()
        .filter(|p| p.event == CaptureEvent::Received && routers.contains(&p.process))
    {
        // Words of clients and of the list are other messages; what does not fit is none of these.
        if p.connection >> 63 == 1 {
            let _ = worker::receive_from_worker(&p.frame, &mut ear);
        }
    }
    ear.late
}

#[test]
fn a_quarter_of_workers_restarts_cold_while_traffic_doubles_and_the_list_is_late() {
    let faults = r#"
		{at: 500ms, do: "list-late", lag: 2s, for: 5s},
		{at: 1s, do: "kill", who: ["writer1", "reader1"], back: 1s},
		{at: 1s, do: "burst", for: 3s, times: 2},
	"#;
    let outcome = play(&scenario(faults, 90, "retries: 3")).expect("it plays");
    assert_rules_kept(&outcome);
    assert!(outcome.report.counts.peak_slow_start_load > 0.0, "nothing reached a cold worker");
    assert!(outcome.report.counts.peak_slow_start_load < 1.0);
}

#[test]
fn a_worker_that_accepts_connections_and_stays_silent() {
    let faults = r#"{at: 1s, do: "silent", who: ["writer0", "reader1"], for: 3s}"#;
    let outcome = play(&scenario(faults, 60, "")).expect("it plays");
    assert_rules_kept(&outcome);
    assert!(outcome.statistics.service() > 0.6, "{}", outcome.statistics.table());
}

#[test]
fn clients_disconnect_mid_stream_and_read_slowly() {
    let outcome = play(&scenario("", 80, "leaves: 30%, sluggish: 2")).expect("it plays");
    assert_rules_kept(&outcome);
    assert!(outcome.report.counts.cancelled > 80, "{:?}", outcome.report.counts);
}

#[test]
fn a_killed_router_restarts_from_its_cached_endpoint_list() {
    let faults = r#"
		{at: 1500ms, do: "kill", who: ["list"], back: 3s},
		{at: 2s, do: "kill", who: ["router0"], back: 500ms},
		{at: 3s, do: "kill", who: ["writer0"], back: 500ms},
	"#;
    let outcome = play(&scenario(faults, 60, "retries: 3")).expect("it plays");
    assert_rules_kept(&outcome);
    assert!(outcome.report.counts.disconnected > 0, "nothing was held by the router that was killed");
    assert!(outcome.statistics.service() > 0.8, "{}", outcome.statistics.table());
}

#[test]
fn the_same_scenario_gives_the_same_capture_and_another_seed_another() {
    let faults = r#"{at: 1s, do: "kill", who: ["writer1"], back: 1s}"#;
    let (mut one, other) = (scenario(faults, 40, ""), scenario(faults, 40, "leaves: 5%"));
    let (first, again) = (play(&one).expect("it plays"), play(&one).expect("it plays"));
    assert!(first.capture == again.capture, "two runs of one day differ");
    assert!(play(&other).expect("it plays").capture != first.capture);
    one.seed = 6;
    assert!(play(&one).expect("it plays").capture != first.capture);
}

#[test]
fn rules_hold_on_generated_scenarios() {
    use rand::{RngExt, SeedableRng};
    for seed in 0..60 {
        let mut chance = rand_pcg::Pcg64::seed_from_u64(seed);
        let workers = ["reader0", "reader1", "writer0", "writer1", "writer2", "writer3"];
        let mut faults = String::new();
        for _ in 0..chance.random_range(1..7) {
            let at = chance.random_range(0..5500);
            let lasts = chance.random_range(50..2500);
            let who = workers[chance.random_range(0..workers.len())];
            let times = chance.random_range(2..8);
            faults += &match chance.random_range(0..11) {
                0 | 1 => format!("{{at: {at}ms, do: \"kill\", who: [\"{who}\"], back: {lasts}ms}},\n"),
                2 => format!("{{at: {at}ms, do: \"halt\", who: [\"{who}\"], for: {lasts}ms}},\n"),
                3 => format!("{{at: {at}ms, do: \"burst\", for: {lasts}ms, times: {times}}},\n"),
                4 => format!("{{at: {at}ms, do: \"list-late\", for: {lasts}ms, lag: {lasts}ms}},\n"),
                5 => format!("{{at: {at}ms, do: \"kill\", who: [\"router1\"], back: {lasts}ms}},\n"),
                6 => format!(
                    "{{at: {at}ms, do: \"slow\", who: [\"{who}\"], for: {lasts}ms, times: {times}}},\n"
                ),
                n => {
                    let what = ["silent", "drain", "refuse", "fault"][n - 7];
                    format!("{{at: {at}ms, do: \"{what}\", who: [\"{who}\"], for: {lasts}ms}},\n")
                }
            };
        }
        let mut scenario = scenario(&faults, 60, "leaves: 5%, sluggish: 1, retries: 3");
        scenario.seed = seed;
        let outcome = play(&scenario).expect("it plays");
        let broken = &outcome.report.violations;
        assert!(broken.is_empty(), "seed {seed}: {:#?}\n{faults}", &broken[..broken.len().min(3)]);
        assert_eq!(outcome.statistics.unanswered + outcome.statistics.wrong, 0, "seed {seed}\n{faults}");
    }
}
