//! Records in which one thing is wrong, each found; and the good one that they are made from.

use bytes::Bytes;
use tideroute_membership_checker::{check, Cut, Members, Report, Terms};
use tideroute_wire::capture::{self, CaptureEvent, CapturedFrame, CapturedProcess};

const S: u64 = 1_000_000;
const COUNT: u32 = 6;
const END: u64 = 40 * S;

struct Story {
    events: Vec<CapturedFrame>,
    cuts: Vec<Cut>,
}

impl Story {
    /// All start and see each other; router5 is killed at 10 s, and all know after 3; all end at 40 s.
    fn good() -> Story {
        let mut story = Story { events: vec![], cuts: vec![] };
        for n in 0..COUNT {
            story.note(S + u64::from(n), n, CaptureEvent::ProcessStarted, "");
            for other in (0..COUNT).filter(|o| *o != n) {
                story.note(2 * S, n, CaptureEvent::Observed, &format!("there 1 router{other}"));
            }
        }
        story.note(10 * S, 5, CaptureEvent::ProcessKilled, "");
        for n in 0..5 {
            story.note(12 * S, n, CaptureEvent::Observed, "suspected 1 router5");
            story.note(13 * S, n, CaptureEvent::Observed, "dead 1 router5");
            story.note(END + u64::from(n), n, CaptureEvent::ProcessExited, "");
        }
        story
    }

    fn note(&mut self, at: u64, n: u32, what: CaptureEvent, word: &str) {
        let frame = Bytes::copy_from_slice(word.as_bytes());
        self.events.push(CapturedFrame {
            at,
            process: n + 1,
            connection: 0,
            event: what,
            position: 0,
            frame,
        });
    }

    /// Takes out what fits.
    fn without(mut self, n: u32, word: &str) -> Story {
        let before = self.events.len();
        self.events.retain(|p| p.process != n + 1 || p.frame != word.as_bytes());
        assert!(self.events.len() < before, "it was there");
        self
    }

    fn with(mut self, at: u64, n: u32, what: CaptureEvent, word: &str) -> Story {
        self.note(at, n, what, word);
        self
    }

    fn cut(mut self, from: u64, until: u64) -> Story {
        let named = |range: std::ops::Range<u32>| range.map(|n| format!("router{n}")).collect();
        self.cuts.push(Cut { from, until, between: named(0..3), and: named(3..5) });
        self
    }

    fn judged(mut self) -> Report {
        let names = (0..COUNT).map(|n| format!("router{n}")).collect();
        let terms = Terms { members: Some(Members { names, cuts: self.cuts }) };
        let who = |n: u32| CapturedProcess {
            number: n + 1,
            name: format!("router{n}"),
            role: "member".into(),
            address: None,
        };
        let mut record = Vec::new();
        let terms = serde_json::to_string(&terms).expect("plain data");
        capture::write_head(&mut record, &(0..COUNT).map(who).collect::<Vec<_>>(), &terms).expect("a head");
        self.events.sort_by_key(|p| p.at);
        self.events.iter().for_each(|p| capture::write(&mut record, p).expect("an event"));
        check(&record[..]).expect("it can be read").expect("they know each other")
    }

    /// One break at least, all of them naming this.
    fn breaks(self, what: &str) {
        let report = self.judged();
        assert!(!report.kept(), "{what}: not found");
        assert!(report.broken.iter().all(|(_, said)| said.contains(what)), "{what}: {:?}", report.broken);
    }
}

#[test]
fn a_good_record_is_kept_and_says_what_it_compared() {
    let report = Story::good().judged();
    assert_eq!(report.broken, []);
    assert_eq!((report.kills, report.known, report.deaths, report.excused), (1, [3 * S; 3], 5, 0));
    // 6 x 5 before the kill, at two moments; 5 x 4 and later 5 x 5 after it.
    assert_eq!((report.moments, report.compared), (4, 2 * 30 + 20 + 25));
}

#[test]
fn each_thing_that_is_wrong_is_found() {
    let good = Story::good;
    good()
        .with(20 * S, 2, CaptureEvent::Observed, "dead 1 router3")
        .with(21 * S, 2, CaptureEvent::Observed, "there 2 router3")
        .breaks("router2 took router3 for dead, which was up");
    good().without(4, "dead 1 router5").breaks("router5");
    good().without(1, "there 1 router4").breaks("router1 does not see router4, which is up");
    good()
        .with(30 * S, 1, CaptureEvent::Observed, "there 2 router5")
        .breaks("router1 still sees router5, which is not");
    good().with(30 * S, 1, CaptureEvent::Observed, "left 1 router2").breaks("router");
    good().with(30 * S, 1, CaptureEvent::Observed, "there 1 router77").breaks("whom nobody started");
    good().with(30 * S, 1, CaptureEvent::Observed, "lurking 1 router2").breaks("no sight");
    let mut late = good().without(4, "dead 1 router5").without(3, "dead 1 router5");
    for n in [3, 4] {
        late = late.with(17 * S, n, CaptureEvent::Observed, "dead 1 router5");
    }
    late.breaks("7.0 s at the 99th percentile");
    let mut endless = good();
    endless.events.retain(|p| p.event != CaptureEvent::ProcessExited);
    endless.breaks("no router ended in order");
    // What is seen is seen by one life only.
    let mut again = good().with(20 * S, 5, CaptureEvent::ProcessStarted, "");
    for n in 0..5 {
        again = again.with(21 * S, n, CaptureEvent::Observed, "there 2 router5");
    }
    again.breaks("router5 does not see");
}

#[test]
fn halts_and_cuts_excuse_what_they_explain_and_no_more() {
    let halted = |lasts: u64| {
        Story::good()
            .with(20 * S, 3, CaptureEvent::ProcessPaused, "")
            .with(20 * S + lasts, 3, CaptureEvent::ProcessResumed, "")
            .with(22 * S, 2, CaptureEvent::Observed, "dead 1 router3")
            .with(23 * S, 2, CaptureEvent::Observed, "there 2 router3")
    };
    assert_eq!(halted(1_900_000).judged().broken, []);
    halted(S).breaks("router2 took router3 for dead, which was up");
    let cut = || {
        Story::good().cut(20 * S, 24 * S).with(23 * S, 2, CaptureEvent::Observed, "dead 1 router3").with(
            26 * S,
            2,
            CaptureEvent::Observed,
            "there 2 router3",
        )
    };
    assert_eq!(cut().judged().broken, []);
    cut().without(2, "there 2 router3").breaks("router2 does not see router3, which is up");
    cut().with(35 * S, 2, CaptureEvent::Observed, "dead 2 router3").breaks("router3");
}
