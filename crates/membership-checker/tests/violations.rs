//! Each test changes a valid capture and asserts which violations the checker reports.

use bytes::Bytes;
use tideroute_membership_checker::{check, CaptureHeader, ClusterMembers, Partition, Report};
use tideroute_wire::capture::{self, CaptureEvent, CapturedFrame, CapturedProcess};

const SECOND: u64 = 1_000_000;
const MEMBER_COUNT: u32 = 6;
const END: u64 = 40 * SECOND;

struct TestCapture {
    events: Vec<CapturedFrame>,
    partitions: Vec<Partition>,
}

impl TestCapture {
    /// All routers start and see each other; router5 is killed at 10 s, and all others detect it 3 s later; all exit at
    /// 40 s.
    fn valid() -> TestCapture {
        let mut capture = TestCapture { events: vec![], partitions: vec![] };
        for n in 0..MEMBER_COUNT {
            capture.add(SECOND + u64::from(n), n, CaptureEvent::ProcessStarted, "");
            for other in (0..MEMBER_COUNT).filter(|other| *other != n) {
                capture.add(2 * SECOND, n, CaptureEvent::Observed, &format!("there 1 router{other}"));
            }
        }
        capture.add(10 * SECOND, 5, CaptureEvent::ProcessKilled, "");
        for n in 0..5 {
            capture.add(12 * SECOND, n, CaptureEvent::Observed, "suspected 1 router5");
            capture.add(13 * SECOND, n, CaptureEvent::Observed, "dead 1 router5");
            capture.add(END + u64::from(n), n, CaptureEvent::ProcessExited, "");
        }
        capture
    }

    fn add(&mut self, at: u64, n: u32, event: CaptureEvent, text: &str) {
        let frame = Bytes::copy_from_slice(text.as_bytes());
        self.events.push(CapturedFrame { at, process: n + 1, connection: 0, event, position: 0, frame });
    }

    /// Removes the events of a member that have this text.
    fn without(mut self, n: u32, text: &str) -> TestCapture {
        let before = self.events.len();
        self.events.retain(|event| event.process != n + 1 || event.frame != text.as_bytes());
        assert!(self.events.len() < before, "the capture has no such event");
        self
    }

    fn with(mut self, at: u64, n: u32, event: CaptureEvent, text: &str) -> TestCapture {
        self.add(at, n, event, text);
        self
    }

    fn with_partition(mut self, from: u64, until: u64) -> TestCapture {
        let named = |range: std::ops::Range<u32>| range.map(|n| format!("router{n}")).collect();
        self.partitions.push(Partition { from, until, side: named(0..3), other_side: named(3..5) });
        self
    }

    fn check(mut self) -> Report {
        let names = (0..MEMBER_COUNT).map(|n| format!("router{n}")).collect();
        let header = CaptureHeader { cluster: Some(ClusterMembers { names, partitions: self.partitions }) };
        let process = |n: u32| CapturedProcess {
            number: n + 1,
            name: format!("router{n}"),
            role: "member".into(),
            address: None,
        };
        let mut bytes = Vec::new();
        let header = serde_json::to_string(&header).expect("the header is serializable");
        capture::write_head(&mut bytes, &(0..MEMBER_COUNT).map(process).collect::<Vec<_>>(), &header)
            .expect("writing to memory succeeds");
        self.events.sort_by_key(|event| event.at);
        self.events
            .iter()
            .for_each(|event| capture::write(&mut bytes, event).expect("writing to memory succeeds"));
        check(&bytes[..]).expect("the capture is readable").expect("the routers form a cluster")
    }

    /// Asserts that there is a violation, and that all violations contain this text.
    fn assert_violation(self, text: &str) {
        let report = self.check();
        assert!(!report.is_clean(), "{text}: not found");
        let violations = &report.violations;
        let all_match = violations.iter().all(|violation| violation.kind.to_string().contains(text));
        assert!(all_match, "{text}: {violations:?}");
    }
}

#[test]
fn a_valid_capture_passes_and_reports_what_was_compared() {
    let report = TestCapture::valid().check();
    assert_eq!(report.violations, []);
    let times = report.detection_times;
    assert_eq!([times.median, times.p99, times.max], [3 * SECOND; 3]);
    assert_eq!((report.kills, report.deaths, report.excused_deaths), (1, 5, 0));
    // 6 x 5 views before the kill, compared at two times; after it, 5 x 4 views and later 5 x 5.
    assert_eq!((report.compared_moments, report.compared_views), (4, 2 * 30 + 20 + 25));
}

#[test]
fn each_violation_is_found() {
    let valid = TestCapture::valid;
    valid()
        .with(20 * SECOND, 2, CaptureEvent::Observed, "dead 1 router3")
        .with(21 * SECOND, 2, CaptureEvent::Observed, "there 2 router3")
        .assert_violation("router2 considered router3 dead, which was up");
    valid().without(4, "dead 1 router5").assert_violation("router5");
    valid().without(1, "there 1 router4").assert_violation("router1 does not see router4, which is up");
    valid()
        .with(30 * SECOND, 1, CaptureEvent::Observed, "there 2 router5")
        .assert_violation("router1 still sees router5, which is down");
    valid().with(30 * SECOND, 1, CaptureEvent::Observed, "left 1 router2").assert_violation("router");
    valid()
        .with(30 * SECOND, 1, CaptureEvent::Observed, "there 1 router77")
        .assert_violation("which is not a member of the cluster");
    valid()
        .with(30 * SECOND, 1, CaptureEvent::Observed, "lurking 1 router2")
        .assert_violation("which is not a valid observation");
    let mut slow_detection = valid().without(4, "dead 1 router5").without(3, "dead 1 router5");
    for n in [3, 4] {
        slow_detection = slow_detection.with(17 * SECOND, n, CaptureEvent::Observed, "dead 1 router5");
    }
    slow_detection.assert_violation("7.0 s at the 99th percentile");
    let mut without_exits = valid();
    without_exits.events.retain(|event| event.event != CaptureEvent::ProcessExited);
    without_exits.assert_violation("no router exited gracefully");
    // What a router observed in one run does not count in the next.
    let mut restarted = valid().with(20 * SECOND, 5, CaptureEvent::ProcessStarted, "");
    for n in 0..5 {
        restarted = restarted.with(21 * SECOND, n, CaptureEvent::Observed, "there 2 router5");
    }
    restarted.assert_violation("router5 does not see");
}

#[test]
fn pauses_and_partitions_excuse_what_they_explain_and_no_more() {
    let paused = |length: u64| {
        TestCapture::valid()
            .with(20 * SECOND, 3, CaptureEvent::ProcessPaused, "")
            .with(20 * SECOND + length, 3, CaptureEvent::ProcessResumed, "")
            .with(22 * SECOND, 2, CaptureEvent::Observed, "dead 1 router3")
            .with(23 * SECOND, 2, CaptureEvent::Observed, "there 2 router3")
    };
    assert_eq!(paused(1_900_000).check().violations, []);
    paused(SECOND).assert_violation("router2 considered router3 dead, which was up");
    let with_partition = || {
        TestCapture::valid()
            .with_partition(20 * SECOND, 24 * SECOND)
            .with(23 * SECOND, 2, CaptureEvent::Observed, "dead 1 router3")
            .with(26 * SECOND, 2, CaptureEvent::Observed, "there 2 router3")
    };
    assert_eq!(with_partition().check().violations, []);
    with_partition()
        .without(2, "there 2 router3")
        .assert_violation("router2 does not see router3, which is up");
    with_partition()
        .with(35 * SECOND, 2, CaptureEvent::Observed, "dead 2 router3")
        .assert_violation("router3");
}

#[test]
fn the_header_keeps_its_serialized_names() {
    let partition = Partition { from: 1, until: 2, side: vec!["a".into()], other_side: vec!["b".into()] };
    let cluster = ClusterMembers { names: vec!["a".into(), "b".into()], partitions: vec![partition] };
    let json = concat!(
        r#"{"members":{"names":["a","b"],"#,
        r#""cuts":[{"from":1,"until":2,"between":["a"],"and":["b"]}]}}"#
    );
    let header = CaptureHeader { cluster: Some(cluster) };
    assert_eq!(serde_json::to_string(&header).expect("the header is serializable"), json);
}
