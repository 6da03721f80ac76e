//! The hard cases in virtual time: the real host, module, stand-ins and load, with the rules read from what
//! passed. Each test first shows that its case came about.

use tideroute_config_language::kinds::Day;
use tideroute_simulation::virtual_scenario::{play, VirtualOutcome};
use tideroute_wire::capture::{CaptureEvent, CapturedFrame, Reader};

/// A small day with a place for its troubles.
fn day(troubles: &str, rate: u32, more: &str) -> Day {
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

fn kept(played: &VirtualOutcome) {
    assert!(played.report.kept(), "{:#?}", &played.report.broken[..played.report.broken.len().min(5)]);
    assert_eq!((played.tally.wrong, played.tally.unanswered), (0, 0));
    assert!(played.report.counts.honoured > 50, "{:?}", played.report.counts);
    assert!(played.fallen.is_empty(), "{:?}", played.fallen);
}

fn passed(played: &VirtualOutcome) -> Vec<CapturedFrame> {
    let mut reader = Reader::new(played.record.as_slice());
    reader.head().expect("a head");
    std::iter::from_fn(|| reader.next_passed().expect("a whole record")).collect()
}

/// How many frames of a kind were heard: of a conversation's field number, the first byte's upper bits.
fn heard(played: &VirtualOutcome, role: &str, field: u8) -> usize {
    let mut reader = Reader::new(played.record.as_slice());
    let (processes, _) = reader.head().expect("a head");
    let of: Vec<_> = processes.iter().filter(|p| p.role == role).map(|p| p.number).collect();
    let is = |p: &&CapturedFrame| {
        p.event == CaptureEvent::Received
            && of.contains(&p.process)
            && p.frame.first() == Some(&(field << 3 | 2))
    };
    passed(played).iter().filter(is).count()
}

/// Fields of what a router hears from a worker, and a fetcher from a reader.
const ENDED: u8 = 5;
const MISSING: u8 = 3;

#[test]
fn an_ordinary_day_is_served_whole() {
    let played = play(&day("", 60, "")).expect("it plays");
    kept(&played);
    assert!(played.tally.service() > 0.98, "{}", played.tally.table());
    assert!(played.report.counts.places > 200);
}

#[test]
fn workers_die_between_reading_and_writing_and_with_states_half_moved() {
    // States of 60 KiB and slow reads: at any moment some are half moved.
    let troubles = r#"
		{at: 1s, do: "kill", who: ["reader0"], back: 1s},
		{at: 1500ms, do: "kill", who: ["writer0", "writer1"], back: 1s},
		{at: 3s, do: "kill", who: ["reader1"], back: 500ms},
		{at: 4s, do: "kill", who: ["writer2"]},
	"#;
    let played = play(&day(troubles, 80, "")).expect("it plays");
    kept(&played);
    // A state went with its reader: a writer was told of none, or its fetch broke and the shot came back.
    assert!(heard(&played, "worker", MISSING) + heard(&played, "router", ENDED) > 0);
    assert!(played.report.counts.abandoned > 0, "a single-use shot at a dead writer is abandoned");
}

#[test]
fn states_that_break_on_their_way_are_never_used() {
    let troubles = r#"{at: 1s, do: "corrupt", who: ["reader0", "reader1"], for: 2s}"#;
    let played = play(&day(troubles, 60, "")).expect("it plays");
    kept(&played);
    assert!(heard(&played, "router", ENDED) > 10);
}

#[test]
fn answers_on_places_that_come_late_and_places_at_writers_that_drain() {
    // Writers pause while they are asked, so that reads end before the answer; others drain with places held.
    let text = r#"
		{at: 1s, do: "drain", who: ["writer0"], for: 1500ms},
		{at: 2s, do: "drain", who: ["writer2"], for: 1500ms},
		{at: 1500ms, do: "halt", who: ["writer0", "writer1", "writer2", "writer3"], for: 200ms},
		{at: 4s, do: "halt", who: ["writer0", "writer1", "writer2", "writer3"], for: 200ms},
	"#;
    let mut day = day(text, 80, "");
    day.fleet[0].does.read_rate = 900_000.0;
    let played = play(&day).expect("it plays");
    kept(&played);
    let places = held_after_read(&played);
    assert!(places > 5, "only {places} answers came after their read");
    assert!(played.report.counts.latest_after_drain <= day.terms.drain_grace);
}

/// Answers on places that a router heard after the read had ended.
fn held_after_read(played: &VirtualOutcome) -> usize {
    use tideroute_wire::{worker, Malformed};
    #[derive(Default)]
    struct Ear {
        read: std::collections::BTreeSet<u64>,
        late: usize,
    }
    impl worker::Router for Ear {
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
    let mut reader = Reader::new(played.record.as_slice());
    let (processes, _) = reader.head().expect("a head");
    let routers: Vec<_> = processes.iter().filter(|p| p.role == "router").map(|p| p.number).collect();
    let mut ear = Ear::default();
    for p in
        passed(played).iter().filter(|p| p.event == CaptureEvent::Received && routers.contains(&p.process))
    {
        // Words of clients and of the list are other messages; what does not fit is none of these.
        if p.connection >> 63 == 1 {
            let _ = worker::receive_from_worker(&p.frame, &mut ear);
        }
    }
    ear.late
}

#[test]
fn a_quarter_dies_and_comes_back_cold_while_traffic_doubles_and_the_list_is_late() {
    let troubles = r#"
		{at: 500ms, do: "list-late", lag: 2s, for: 5s},
		{at: 1s, do: "kill", who: ["writer1", "reader1"], back: 1s},
		{at: 1s, do: "burst", for: 3s, times: 2},
	"#;
    let played = play(&day(troubles, 90, "retries: 3")).expect("it plays");
    kept(&played);
    assert!(played.report.counts.fullest_cold > 0.0, "nothing reached a cold worker");
    assert!(played.report.counts.fullest_cold < 1.0);
}

#[test]
fn a_worker_that_takes_connections_and_says_nothing() {
    let troubles = r#"{at: 1s, do: "silent", who: ["writer0", "reader1"], for: 3s}"#;
    let played = play(&day(troubles, 60, "")).expect("it plays");
    kept(&played);
    assert!(played.tally.service() > 0.6, "{}", played.tally.table());
}

#[test]
fn clients_leave_mid_stream_and_read_slowly() {
    let played = play(&day("", 80, "leaves: 30%, sluggish: 2")).expect("it plays");
    kept(&played);
    assert!(played.report.counts.left > 80, "{:?}", played.report.counts);
}

#[test]
fn a_router_is_killed_and_comes_back_with_its_last_list_though_the_list_is_gone() {
    let troubles = r#"
		{at: 1500ms, do: "kill", who: ["list"], back: 3s},
		{at: 2s, do: "kill", who: ["router0"], back: 500ms},
		{at: 3s, do: "kill", who: ["writer0"], back: 500ms},
	"#;
    let played = play(&day(troubles, 60, "retries: 3")).expect("it plays");
    kept(&played);
    assert!(played.report.counts.void > 0, "nothing was held by the router that was killed");
    assert!(played.tally.service() > 0.8, "{}", played.tally.table());
}

#[test]
fn the_same_day_gives_the_same_record_and_another_seed_another() {
    let troubles = r#"{at: 1s, do: "kill", who: ["writer1"], back: 1s}"#;
    let (mut one, other) = (day(troubles, 40, ""), day(troubles, 40, "leaves: 5%"));
    let (first, again) = (play(&one).expect("it plays"), play(&one).expect("it plays"));
    assert!(first.record == again.record, "two runs of one day differ");
    assert!(play(&other).expect("it plays").record != first.record);
    one.seed = 6;
    assert!(play(&one).expect("it plays").record != first.record);
}

#[test]
fn rules_hold_on_days_drawn_at_random() {
    use rand::{RngExt, SeedableRng};
    for seed in 0..60 {
        let mut chance = rand_pcg::Pcg64::seed_from_u64(seed);
        let workers = ["reader0", "reader1", "writer0", "writer1", "writer2", "writer3"];
        let mut troubles = String::new();
        for _ in 0..chance.random_range(1..7) {
            let at = chance.random_range(0..5500);
            let lasts = chance.random_range(50..2500);
            let who = workers[chance.random_range(0..workers.len())];
            let times = chance.random_range(2..8);
            troubles += &match chance.random_range(0..11) {
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
        let mut day = day(&troubles, 60, "leaves: 5%, sluggish: 1, retries: 3");
        day.seed = seed;
        let played = play(&day).expect("it plays");
        let broken = &played.report.broken;
        assert!(broken.is_empty(), "seed {seed}: {:#?}\n{troubles}", &broken[..broken.len().min(3)]);
        assert_eq!(played.tally.unanswered + played.tally.wrong, 0, "seed {seed}\n{troubles}");
    }
}
