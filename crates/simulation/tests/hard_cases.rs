//! Hard cases in virtual time: the real router with emulated workers and client load. The rules are checked on the capture,
//! and most tests also check that their case occurred.

use tideroute_config_language::records::Scenario;
use tideroute_simulation::virtual_scenario::{play, VirtualOutcome};
use tideroute_wire::capture::{CaptureEvent, CapturedFrame, Reader};

/// Returns a small scenario with these faults and this rate; `more` are further settings of the load.
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
    tideroute_config_language::read("test scenario", &text)
        .unwrap_or_else(|errors| panic!("{errors}"))
        .day
        .expect("a scenario")
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
    reader.head().expect("a capture head");
    std::iter::from_fn(|| reader.next_passed().expect("a complete capture")).collect()
}

/// Returns how many messages of a kind the processes of a role received. `field` is the field number of the message, which
/// the upper bits of the first byte hold.
fn count_received(outcome: &VirtualOutcome, role: &str, field: u8) -> usize {
    let mut reader = Reader::new(outcome.capture.as_slice());
    let (processes, _) = reader.head().expect("a capture head");
    let processes_of_role: Vec<_> =
        processes.iter().filter(|process| process.role == role).map(|process| process.number).collect();
    let matches = |frame: &&CapturedFrame| {
        frame.event == CaptureEvent::Received
            && processes_of_role.contains(&frame.process)
            && frame.frame.first() == Some(&(field << 3 | 2))
    };
    captured_frames(outcome).iter().filter(matches).count()
}

/// Field number of the message by which a worker tells a router that an attempt ended without a response.
const ATTEMPT_ENDED: u8 = 5;
/// Field number of the message by which a prefill worker tells a decode worker that it does not have a KV state.
const STATE_MISSING: u8 = 3;

#[test]
fn an_ordinary_scenario_is_served_completely() {
    let outcome = play(&scenario("", 60, "")).expect("the scenario is played");
    assert_rules_kept(&outcome);
    assert!(outcome.statistics.service() > 0.98, "{}", outcome.statistics.table());
    assert!(outcome.report.counts.reservations > 200);
}

#[test]
fn rules_hold_when_workers_are_killed_between_prefill_and_decode_and_during_state_transfer() {
    // KV states have 60 KiB and prefills are slow, so that at any time some states are partly transferred.
    let faults = r#"
		{at: 1s, do: "kill", who: ["reader0"], back: 1s},
		{at: 1500ms, do: "kill", who: ["writer0", "writer1"], back: 1s},
		{at: 3s, do: "kill", who: ["reader1"], back: 500ms},
		{at: 4s, do: "kill", who: ["writer2"]},
	"#;
    let outcome = play(&scenario(faults, 80, "")).expect("the scenario is played");
    assert_rules_kept(&outcome);
    // A KV state was lost with its prefill worker: the decode worker was told that it is missing, or its fetch failed and
    // the attempt ended.
    assert!(
        count_received(&outcome, "worker", STATE_MISSING) + count_received(&outcome, "router", ATTEMPT_ENDED)
            > 0
    );
    assert!(outcome.report.counts.failed > 0, "no non-idempotent request at a killed decode worker failed");
}

#[test]
fn kv_state_corrupted_in_transfer_is_never_used() {
    let faults = r#"{at: 1s, do: "corrupt", who: ["reader0", "reader1"], for: 2s}"#;
    let outcome = play(&scenario(faults, 60, "")).expect("the scenario is played");
    assert_rules_kept(&outcome);
    assert!(count_received(&outcome, "router", ATTEMPT_ENDED) > 10);
}

#[test]
fn rules_hold_with_late_reservation_answers_and_reservations_at_draining_workers() {
    // Decode workers pause while they are asked for reservations, so that prefills end before the answers; others are
    // draining while they have reservations.
    let text = r#"
		{at: 1s, do: "drain", who: ["writer0"], for: 1500ms},
		{at: 2s, do: "drain", who: ["writer2"], for: 1500ms},
		{at: 1500ms, do: "halt", who: ["writer0", "writer1", "writer2", "writer3"], for: 200ms},
		{at: 4s, do: "halt", who: ["writer0", "writer1", "writer2", "writer3"], for: 200ms},
	"#;
    let mut scenario = scenario(text, 80, "");
    scenario.worker_groups[0].capacity.prefill_tokens_per_second = 900_000.0;
    let outcome = play(&scenario).expect("the scenario is played");
    assert_rules_kept(&outcome);
    let late_answers = reservations_answered_after_prefill(&outcome);
    assert!(late_answers > 5, "only {late_answers} reservations were answered after their prefill");
    assert!(outcome.report.counts.latest_send_after_drain <= scenario.settings.drain_grace);
}

/// Returns how many reservation answers a router received after the prefill of the request had ended.
fn reservations_answered_after_prefill(outcome: &VirtualOutcome) -> usize {
    use tideroute_wire::{worker, Malformed};
    #[derive(Default)]
    struct LateAnswers {
        prefilled: std::collections::BTreeSet<u64>,
        late: usize,
    }
    impl worker::Router for LateAnswers {
        fn reservation_answered(&mut self, id: u64, _held: bool) -> Result<(), Malformed> {
            self.late += usize::from(self.prefilled.contains(&id));
            Ok(())
        }
        fn prefill_completed(&mut self, id: u64, _: u16, _: u32, _: u64) -> Result<(), Malformed> {
            self.prefilled.insert(id);
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
    let (processes, _) = reader.head().expect("a capture head");
    let routers: Vec<_> =
        processes.iter().filter(|process| process.role == "router").map(|process| process.number).collect();
    let mut collector = LateAnswers::default();
    for frame in captured_frames(outcome)
        .iter()
        .filter(|frame| frame.event == CaptureEvent::Received && routers.contains(&frame.process))
    {
        // The router opens connections to workers and to discovery. Messages of discovery are not messages of workers and are
        // ignored here.
        if frame.connection >> 63 == 1 {
            let _ = worker::receive_from_worker(&frame.frame, &mut collector);
        }
    }
    collector.late
}

#[test]
fn workers_restart_cold_while_traffic_doubles_and_the_endpoint_list_is_delayed() {
    let faults = r#"
		{at: 500ms, do: "list-late", lag: 2s, for: 5s},
		{at: 1s, do: "kill", who: ["writer1", "reader1"], back: 1s},
		{at: 1s, do: "burst", for: 3s, times: 2},
	"#;
    let outcome = play(&scenario(faults, 90, "retries: 3")).expect("the scenario is played");
    assert_rules_kept(&outcome);
    assert!(outcome.report.counts.peak_slow_start_load > 0.0, "no request reached a warming worker");
    assert!(outcome.report.counts.peak_slow_start_load < 1.0);
}

#[test]
fn requests_are_served_beside_a_worker_that_accepts_connections_and_stays_silent() {
    let faults = r#"{at: 1s, do: "silent", who: ["writer0", "reader1"], for: 3s}"#;
    let outcome = play(&scenario(faults, 60, "")).expect("the scenario is played");
    assert_rules_kept(&outcome);
    assert!(outcome.statistics.service() > 0.6, "{}", outcome.statistics.table());
}

#[test]
fn rules_hold_when_clients_cancel_during_a_response_and_read_slowly() {
    let outcome = play(&scenario("", 80, "leaves: 30%, sluggish: 2")).expect("the scenario is played");
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
    let outcome = play(&scenario(faults, 60, "retries: 3")).expect("the scenario is played");
    assert_rules_kept(&outcome);
    assert!(outcome.report.counts.disconnected > 0, "no request was in flight at the router that was killed");
    assert!(outcome.statistics.service() > 0.8, "{}", outcome.statistics.table());
}

#[test]
fn the_same_scenario_gives_the_same_capture_and_another_seed_another() {
    let faults = r#"{at: 1s, do: "kill", who: ["writer1"], back: 1s}"#;
    let (mut repeated, other) = (scenario(faults, 40, ""), scenario(faults, 40, "leaves: 5%"));
    let (first, second) =
        (play(&repeated).expect("the scenario is played"), play(&repeated).expect("the scenario is played"));
    assert!(first.capture == second.capture, "two runs of the same scenario differ");
    assert!(play(&other).expect("the scenario is played").capture != first.capture);
    repeated.seed = 6;
    assert!(play(&repeated).expect("the scenario is played").capture != first.capture);
}

#[test]
fn rules_hold_on_generated_scenarios() {
    use rand::{RngExt, SeedableRng};
    for seed in 0..60 {
        let mut rng = rand_pcg::Pcg64::seed_from_u64(seed);
        let workers = ["reader0", "reader1", "writer0", "writer1", "writer2", "writer3"];
        let mut faults = String::new();
        for _ in 0..rng.random_range(1..7) {
            let at = rng.random_range(0..5500);
            let duration = rng.random_range(50..2500);
            let worker = workers[rng.random_range(0..workers.len())];
            let times = rng.random_range(2..8);
            faults += &match rng.random_range(0..11) {
                0 | 1 => format!("{{at: {at}ms, do: \"kill\", who: [\"{worker}\"], back: {duration}ms}},\n"),
                2 => format!("{{at: {at}ms, do: \"halt\", who: [\"{worker}\"], for: {duration}ms}},\n"),
                3 => format!("{{at: {at}ms, do: \"burst\", for: {duration}ms, times: {times}}},\n"),
                4 => format!("{{at: {at}ms, do: \"list-late\", for: {duration}ms, lag: {duration}ms}},\n"),
                5 => format!("{{at: {at}ms, do: \"kill\", who: [\"router1\"], back: {duration}ms}},\n"),
                6 => format!(
                    "{{at: {at}ms, do: \"slow\", who: [\"{worker}\"], for: {duration}ms, times: {times}}},\n"
                ),
                kind => {
                    let fault = ["silent", "drain", "refuse", "fault"][kind - 7];
                    format!("{{at: {at}ms, do: \"{fault}\", who: [\"{worker}\"], for: {duration}ms}},\n")
                }
            };
        }
        let mut scenario = scenario(&faults, 60, "leaves: 5%, sluggish: 1, retries: 3");
        scenario.seed = seed;
        let outcome = play(&scenario).expect("the scenario is played");
        let violations = &outcome.report.violations;
        assert!(
            violations.is_empty(),
            "seed {seed}: {:#?}\n{faults}",
            &violations[..violations.len().min(3)]
        );
        assert_eq!(outcome.statistics.unanswered + outcome.statistics.wrong, 0, "seed {seed}\n{faults}");
    }
}
