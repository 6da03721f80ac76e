//! The checker on short records: a clean one passes, one with a rule broken on purpose is found out by rule and
//! submission, and nothing can be taken out of a clean one without being missed.

use std::collections::BTreeMap;

use bytes::Bytes;
use tideroute_trace_checker::{check, Group, Repeat, Report, Rule, Terms, TrackTerms, WorkerTerms};
use tideroute_wire::capture::{self, counts, CaptureEvent, CapturedFrame, CapturedProcess};
use tideroute_wire::endpoint_list::{EndpointStatus, Page};
use tideroute_wire::{client, endpoint_list, say_hello, say_router, worker, Address, Party};

const CLIENT: u32 = 1;
const ROUTER: u32 = 2;
const READER: u32 = 3;
const WRITER: u32 = 4;
const LIST: u32 = 5;
const OTHER: u32 = 6;
/// A second router, where a test has one.
const SECOND: u32 = 7;
const MS: u64 = 1000;
/// The id of the one submission of most records.
const ID: u64 = 77;

fn address(process: u32) -> Address {
    [127, 0, 0, 1, 0, process as u8]
}

fn terms() -> Terms {
    let track = |name: &str, repeat, group| TrackTerms {
        name: name.into(),
        repeat,
        group,
        window: 3000 * MS,
        contract: 0,
        per_thousand: 0,
    };
    let worker = |reader, cell| WorkerTerms { rate: 1000.0, reader, cell, zone: 0, at_once: 8 };
    let at = |process: u32| format!("127.0.0.1:{process}");
    Terms {
        tracks: vec![
            track("query", Repeat::Replayable, Group::All),
            track("lodge", Repeat::SingleUse, Group::All),
            track("note", Repeat::Referenced, Group::Cell),
        ],
        workers: BTreeMap::from([
            (at(READER), worker(true, 0)),
            (at(WRITER), worker(false, 0)),
            (at(OTHER), worker(false, 1)),
        ]),
        release: 500 * MS,
        drain_grace: 500 * MS,
        cold_share: 0.25,
        warm_after: 10_000 * MS,
        fall_multiple: 2.0,
        fall_span: 1000 * MS,
        most_shots: 5,
    }
}

/// One connection: who dialled and who took it, with frames said each way.
struct Line {
    from: u32,
    to: u32,
    link: u64,
    said: [u64; 2],
}

/// A record being written.
struct Book {
    now: u64,
    passed: Vec<CapturedFrame>,
    lines: Vec<Line>,
}

impl Book {
    /// Everybody is there and knows everybody: client 0, reader 1, writer 2, list 3, both workers' lists 4 to 6.
    fn new() -> Book {
        let mut book = Book { now: 1_000_000 * MS, passed: vec![], lines: vec![] };
        for process in [CLIENT, ROUTER, READER, WRITER, LIST, OTHER] {
            book.note(process, 0, CaptureEvent::ProcessStarted, 0, Bytes::new());
        }
        for (from, to, party) in [
            (CLIENT, ROUTER, Party::Client),
            (ROUTER, READER, Party::Router),
            (ROUTER, WRITER, Party::Router),
            (ROUTER, LIST, Party::Router),
            (READER, LIST, Party::Worker),
            (WRITER, LIST, Party::Worker),
            (ROUTER, OTHER, Party::Router),
        ] {
            book.connect(from, to, party);
        }
        book.say(4, true, endpoint_list::register(address(READER), 0, 1.0, EndpointStatus::Serving, 0, 0, 0));
        book.say(5, true, endpoint_list::register(address(WRITER), 1, 1.0, EndpointStatus::Serving, 0, 0, 0));
        book.say(3, true, endpoint_list::watch(0));
        book.page(&[(READER, EndpointStatus::Serving, 0), (WRITER, EndpointStatus::Serving, 0)]);
        book
    }

    fn note(&mut self, process: u32, link: u64, what: CaptureEvent, place: u64, frame: Bytes) {
        self.passed.push(CapturedFrame {
            at: self.now,
            process,
            connection: link,
            event: what,
            position: place,
            frame,
        });
    }

    fn connect(&mut self, from: u32, to: u32, party: Party) {
        let link = self.lines.len() as u64;
        let (dialler, taker) = ([127, 0, 0, 1, 9, link as u8], address(to));
        self.note(from, link, CaptureEvent::Connecting, 0, Bytes::copy_from_slice(&taker));
        self.note(to, link, CaptureEvent::Accepted, 0, Bytes::from([dialler, taker].concat()));
        self.note(from, link, CaptureEvent::Connected, 0, Bytes::from([taker, dialler].concat()));
        self.lines.push(Line { from, to, link, said: [0, 0] });
        let hello = match party {
            Party::Router => say_router("somebody", u128::from(from)),
            _ => say_hello(party, "somebody"),
        };
        self.say(link as usize, true, hello);
    }

    /// Something is said on a line, by who dialled it or by who took it, and heard.
    fn say(&mut self, line: usize, by_dialler: bool, frame: Bytes) {
        let Line { from, to, link, said } = &mut self.lines[line];
        let (from, to, link, way) = (*from, *to, *link, usize::from(by_dialler));
        let place = said[way];
        said[way] += 1;
        let (speaker, listener) = if by_dialler { (from, to) } else { (to, from) };
        self.note(speaker, link, CaptureEvent::Sent, place, frame.clone());
        self.note(listener, link, CaptureEvent::Received, place, frame);
    }

    fn page(&mut self, entries: &[(u32, EndpointStatus, u64)]) {
        let mut page = Page::new(self.now, false);
        for &(process, standing, started) in entries {
            page.add(address(process), u16::from(process != READER), 1.0, standing, 0, 0, started);
        }
        self.say(3, false, page.frame());
    }

    fn pass(&mut self, ms: u64) -> &mut Book {
        self.now += ms * MS;
        self
    }

    fn submit(&mut self, number: u64, track: u8, left_ms: u64) {
        let prompt = Bytes::from_static(b"text");
        self.say(0, true, client::submit(number, track, 1, 0, 100, 0, 20, left_ms * MS, 0, prompt));
        self.say(0, false, client::accepted(number, ID + number - 1));
    }

    fn read(&mut self, id: u64, shot: u16) {
        self.say(1, true, worker::prefill(id, shot, 0, 1, 0, 100, 0, 0, Bytes::new()));
    }

    /// A send to the writer on line 2, or to the other one on line 6.
    fn write(&mut self, line: usize, id: u64, shot: u16, most: u32) {
        let reader = Some(address(READER));
        self.say(line, true, worker::decode(id, shot, 0, 100, most, 0, 0, reader, 8, 1, 0, 0, Bytes::new()));
    }

    fn stream(&mut self, number: u64, id: u64, shot: u16) {
        for index in 0..2 {
            let text = Bytes::from_static(b"word");
            self.say(2, false, worker::token(id, shot, index, text.clone()));
            self.say(0, false, client::token(number, index, text));
        }
        self.say(2, false, worker::completed(id, shot, 2));
        self.say(0, false, client::completed(number, 2));
    }

    /// A submission all the way, every kind of message in it.
    fn whole(&mut self, number: u64, track: u8) {
        let id = ID + number - 1;
        self.pass(10).submit(number, track, 4000);
        self.read(id, 0);
        self.say(2, true, worker::reserve(id, 100, 20, address(READER)));
        self.pass(5).say(2, false, worker::reservation_answered(id, true));
        self.pass(50).say(1, false, worker::prefill_completed(id, 0, 0, 1600));
        self.pass(1).write(2, id, 1, 20);
        self.pass(20).stream(number, id, 1);
    }

    fn close_all(&mut self) {
        for line in 0..self.lines.len() {
            let Line { from, to, link, said } = self.lines[line];
            self.note(from, link, CaptureEvent::Closed, 0, counts(said[1], said[0]));
            self.note(to, link, CaptureEvent::Closed, 0, counts(said[0], said[1]));
        }
    }

    fn check(&mut self) -> Report {
        self.close_all();
        check_events(&self.passed)
    }
}

fn check_events(passed: &[CapturedFrame]) -> Report {
    let role = |process| match process {
        CLIENT => "client",
        ROUTER | SECOND => "router",
        LIST => "list",
        _ => "worker",
    };
    let who = |number: u32| CapturedProcess {
        number,
        name: format!("p{number}"),
        role: role(number).into(),
        address: Some(address(number)),
    };
    let mut record = Vec::new();
    let processes: Vec<_> = (1..=7).map(who).collect();
    capture::write_head(&mut record, &processes, &serde_json::to_string(&terms()).unwrap()).unwrap();
    passed.iter().for_each(|p| capture::write(&mut record, p).unwrap());
    check(record.as_slice()).unwrap()
}

/// The one rule that broke, and by which submission.
fn broke(report: &Report, rule: Rule, submission: Option<u64>) {
    let found = report.broken.iter().find(|b| b.rule == rule);
    let found = found.unwrap_or_else(|| panic!("{rule:?} was not found: {:?}", report.broken));
    assert_eq!(found.submission, submission, "{found:?}");
    assert!(report.broken.iter().all(|b| b.rule == rule), "{:?}", report.broken);
}

fn clean() -> Book {
    let mut book = Book::new();
    book.whole(1, 0);
    book.whole(2, 1);
    // One that is turned back, one abandoned, one left, and a shot called back; a probe and its answer.
    book.pass(10).submit(3, 0, 1000);
    book.pass(5).say(0, false, client::rejected(3, 500 * MS));
    book.submit(4, 1, 1000);
    book.read(ID + 3, 0);
    book.pass(20).say(1, false, worker::prefill_completed(ID + 3, 0, 0, 1600));
    book.write(2, ID + 3, 1, 20);
    book.pass(5).say(2, false, worker::attempt_ended(ID + 3, 1, worker::AttemptFailure::ServerError));
    book.say(1, true, worker::release(ID + 3));
    book.say(0, false, client::failed(4));
    book.submit(5, 0, 1000);
    book.read(ID + 4, 0);
    book.pass(5).say(0, true, client::cancel(5));
    book.say(1, true, worker::cancel(ID + 4, 0));
    book.say(1, true, worker::check_health(9));
    book.say(1, false, worker::health_reported(9, 0, 0, 0));
    book.say(2, true, worker::grant_tokens(ID, 1, 2));
    book
}

#[test]
fn a_clean_record_passes() {
    let report = clean().check();
    assert!(report.kept(), "{:?}", report.broken);
    let c = report.counts;
    assert_eq!((c.submitted, c.taken, c.honoured, c.turned_back, c.abandoned, c.left), (5, 5, 2, 1, 1, 1));
}

#[test]
fn rule_1_an_answer_that_never_comes() {
    let mut book = Book::new();
    book.pass(10).submit(1, 0, 1000);
    // The connection stays: nobody can say that it was lost with it.
    let mut report = check_events(&book.passed);
    report.broken.retain(|b| b.rule != Rule::Record);
    broke(&report, Rule::Lost, Some(ID));
}

#[test]
fn rule_1_late_answers_second_answers_and_shots_after_the_end() {
    let mut book = Book::new();
    book.pass(10).submit(1, 0, 1000);
    book.pass(1001).say(0, false, client::rejected(1, 0));
    broke(&book.check(), Rule::Lost, Some(ID));
    let mut book = Book::new();
    book.whole(1, 0);
    book.say(0, false, client::failed(1));
    assert!(book.check().broken.iter().any(|b| b.rule == Rule::Lost && b.submission == Some(ID)));
    let mut book = Book::new();
    book.pass(10).submit(1, 0, 1000);
    book.say(0, false, client::rejected(1, 0));
    book.read(ID, 0);
    broke(&book.check(), Rule::Lost, Some(ID));
}

#[test]
fn rule_2_a_single_use_submission_sent_again_or_turned_back() {
    for again in [true, false] {
        let mut book = Book::new();
        book.pass(10).submit(1, 1, 4000);
        book.write(2, ID, 0, 20);
        book.pass(10).say(2, false, worker::attempt_ended(ID, 0, worker::AttemptFailure::ServerError));
        if again {
            book.write(2, ID, 1, 20);
            book.pass(10).say(2, false, worker::attempt_ended(ID, 1, worker::AttemptFailure::ServerError));
            book.say(0, false, client::failed(1));
        } else {
            book.say(0, false, client::rejected(1, 0));
        }
        broke(&book.check(), Rule::Twice, Some(ID));
    }
    // One that is known not to have run may be both.
    let mut book = Book::new();
    book.pass(10).submit(1, 1, 4000);
    book.write(2, ID, 0, 20);
    book.pass(10).say(2, false, worker::attempt_ended(ID, 0, worker::AttemptFailure::Rejected));
    book.write(2, ID, 1, 20);
    book.pass(10).say(2, false, worker::attempt_ended(ID, 1, worker::AttemptFailure::StateMissing));
    book.say(0, false, client::rejected(1, 0));
    assert!(book.check().kept());
}

#[test]
fn rule_2_a_referenced_one_outside_its_group_or_window() {
    for (line, wait, kept) in [(2, 10, true), (6, 10, false), (2, 3100, false)] {
        let mut book = Book::new();
        book.pass(10).submit(1, 2, 9000);
        book.write(2, ID, 0, 20);
        book.pass(wait).say(2, false, worker::attempt_ended(ID, 0, worker::AttemptFailure::ServerError));
        book.write(line, ID, 1, 20);
        book.pass(10).say(line, false, worker::attempt_ended(ID, 1, worker::AttemptFailure::ServerError));
        book.say(0, false, client::failed(1));
        let report = book.check();
        if kept {
            assert!(report.kept(), "{:?}", report.broken);
        } else {
            broke(&report, Rule::Twice, Some(ID));
        }
    }
}

#[test]
fn rule_2_two_shots_out_at_once() {
    let mut book = Book::new();
    book.pass(10).submit(1, 0, 4000);
    book.read(ID, 0);
    book.read(ID, 1);
    book.say(0, false, client::rejected(1, 0));
    broke(&book.check(), Rule::Twice, Some(ID));
}

#[test]
fn rule_3_sends_and_places_after_a_drain_was_told() {
    for (wait, place, kept) in [(499, false, true), (501, false, false), (501, true, false)] {
        let mut book = Book::new();
        book.pass(10).submit(1, 0, 4000);
        book.read(ID, 0);
        book.page(&[(WRITER, EndpointStatus::Draining, 0)]);
        book.pass(wait);
        if place {
            book.say(2, true, worker::reserve(ID, 100, 20, address(READER)));
            book.say(2, false, worker::reservation_answered(ID, false));
        }
        book.say(1, false, worker::prefill_completed(ID, 0, 0, 1600));
        if !place {
            book.write(2, ID, 1, 20);
            book.stream(1, ID, 1);
        } else {
            book.say(1, true, worker::release(ID));
            book.say(0, false, client::rejected(1, 0));
        }
        let report = book.check();
        if kept {
            assert!(report.kept(), "{:?}", report.broken);
        } else {
            broke(&report, Rule::Drain, Some(ID));
        }
    }
}

#[test]
fn rule_4_a_cold_worker_pushed_over() {
    // It does 250 tokens a second at its start: twice that in a second makes it fall, a little later more.
    for (tokens, told, kept) in [(480, true, true), (560, true, false), (560, false, true)] {
        let mut book = Book::new();
        let started = book.now;
        book.say(
            5,
            true,
            endpoint_list::register(address(WRITER), 1, 1.0, EndpointStatus::Serving, 0, 0, started),
        );
        if told {
            book.page(&[(WRITER, EndpointStatus::Serving, started)]);
        }
        book.pass(10).submit(1, 0, 4000);
        book.write(2, ID, 0, tokens);
        book.pass(20).stream(1, ID, 0);
        let report = book.check();
        if kept {
            assert!(report.kept(), "{:?}", report.broken);
        } else {
            broke(&report, Rule::Cold, Some(ID));
        }
    }
}

#[test]
fn rule_5_a_state_left_pinned() {
    for (wait, kept) in [(499, true), (501, false)] {
        let mut book = Book::new();
        book.pass(10).submit(1, 0, 4000);
        book.read(ID, 0);
        book.pass(50).say(1, false, worker::prefill_completed(ID, 0, 0, 1600));
        book.say(0, false, client::rejected(1, 0));
        book.pass(wait).say(1, true, worker::release(ID));
        let report = book.check();
        if kept {
            assert!(report.kept(), "{:?}", report.broken);
        } else {
            broke(&report, Rule::Pinned, Some(ID));
        }
    }
}

/// A router that is halted from outside can answer nobody; what it answers once it goes on is excused by as much,
/// and no more, and only by its own halts.
#[test]
fn what_a_halted_router_could_not_do_is_excused_and_nothing_else() {
    let late = |halted: Option<(u32, u64)>| {
        let mut book = Book::new();
        book.pass(10).submit(1, 0, 1000);
        book.read(ID, 0);
        book.pass(5).say(1, false, worker::prefill_completed(ID, 0, 0, 1600));
        let (process, ms) = halted.unwrap_or((ROUTER, 0));
        if halted.is_some() {
            book.note(process, 0, CaptureEvent::ProcessPaused, 0, Bytes::new());
        }
        book.pass(ms);
        if halted.is_some() {
            book.note(process, 0, CaptureEvent::ProcessResumed, 0, Bytes::new());
        }
        // Its state waits at the reader for 1,990 ms, and its answer is 995 ms late.
        book.pass(1990 - ms).say(1, true, worker::release(ID));
        book.say(0, false, client::rejected(1, 0));
        book.check()
    };
    assert!(late(Some((ROUTER, 1900))).kept(), "{:?}", late(Some((ROUTER, 1900))).broken);
    for halted in [None, Some((READER, 1900)), Some((ROUTER, 900))] {
        let report = late(halted);
        let broken = |rule| report.broken.iter().any(|b| b.rule == rule);
        assert!(broken(Rule::Lost) && broken(Rule::Pinned), "{halted:?}: {:?}", report.broken);
    }
}

/// Ids were once told apart by a time and a process number, and two routers of a fleet had the same ones.
#[test]
fn two_processes_with_one_origin_or_one_with_two_are_found() {
    for (process, origin) in [(OTHER, u128::from(ROUTER)), (ROUTER, 99)] {
        let mut book = clean();
        book.connect(process, LIST, Party::Client);
        let hello = |p: &&mut CapturedFrame| {
            p.connection == 7 && matches!(p.event, CaptureEvent::Sent | CaptureEvent::Received)
        };
        book.passed.iter_mut().filter(hello).for_each(|p| p.frame = say_router("it", origin));
        if process == OTHER {
            // It is a worker in the other tests.
            book.passed.iter_mut().filter(|p| p.process == OTHER).for_each(|p| p.process = SECOND);
            book.passed.retain(|p| p.connection == 7 || p.process != SECOND);
        }
        let report = book.check();
        let told = report.broken.iter().any(|b| b.what.contains("have one origin"));
        assert!(told, "{:?}", report.broken);
    }
}

/// A relay between two ends: each sees the relay's address in place of the other's.
#[test]
fn ends_joined_by_a_relay_are_compared_as_one_connection() {
    let (before, behind) = ([127, 0, 0, 9, 1, 1], [127, 0, 0, 9, 2, 2]);
    let relayed = |changed: bool, late: bool, told: bool| {
        let mut book = clean();
        book.close_all();
        let dialler = [127, 0, 0, 1, 9, 2];
        let joined = [before, dialler, address(WRITER), behind].concat();
        for p in book.passed.iter_mut().filter(|p| p.connection == 2) {
            match p.event {
                CaptureEvent::Connected => p.frame = Bytes::from([before, dialler].concat()),
                CaptureEvent::Accepted => p.frame = Bytes::from([behind, address(WRITER)].concat()),
                CaptureEvent::Received if changed && p.position == 2 => p.frame = Bytes::from_static(b"else"),
                _ => {}
            }
        }
        let mut tell = book.passed[0].clone();
        (tell.event, tell.connection, tell.frame) = (CaptureEvent::Joined, 0, joined.into());
        let at = if late { book.passed.len() - 1 } else { 0 };
        tell.at = book.passed[at].at;
        if told {
            book.passed.insert(at, tell);
        }
        check_events(&book.passed)
    };
    // A port that the relay had before: the joining of then is not that of now.
    let again = |late: bool| {
        let mut book = Book::new();
        let old = Bytes::from([[127, 0, 0, 9, 7, 7], [127, 0, 0, 1, 7, 7], address(WRITER), behind].concat());
        let ends = Bytes::from([behind, address(WRITER)].concat());
        // One through the relay, of which it told first, and one that it never told of.
        book.note(LIST, 0, CaptureEvent::Joined, 0, old);
        for link in [50, 49] {
            book.note(WRITER, link, CaptureEvent::Accepted, 0, ends.clone());
            book.note(WRITER, link, CaptureEvent::Closed, 0, counts(0, 0));
            book.pass(10);
        }
        book.pass(10_000);
        let joined = [before, [127, 0, 0, 1, 9, 9], address(WRITER), behind].concat();
        if !late {
            book.note(LIST, 0, CaptureEvent::Joined, 0, joined.clone().into());
        }
        let hello = say_router("somebody", u128::from(ROUTER));
        book.note(ROUTER, 51, CaptureEvent::Connecting, 0, Bytes::copy_from_slice(&address(WRITER)));
        book.note(
            ROUTER,
            51,
            CaptureEvent::Connected,
            0,
            Bytes::from([before, [127, 0, 0, 1, 9, 9]].concat()),
        );
        book.note(WRITER, 52, CaptureEvent::Accepted, 0, ends);
        if late {
            book.note(LIST, 0, CaptureEvent::Joined, 0, joined.into());
        }
        for (place, frame) in [hello, worker::check_health(9)].into_iter().enumerate() {
            book.note(ROUTER, 51, CaptureEvent::Sent, place as u64, frame.clone());
            book.note(WRITER, 52, CaptureEvent::Received, place as u64, frame);
        }
        book.note(WRITER, 52, CaptureEvent::Sent, 0, worker::health_reported(9, 0, 0, 0));
        book.note(ROUTER, 51, CaptureEvent::Received, 0, worker::health_reported(9, 0, 0, 0));
        book.note(ROUTER, 51, CaptureEvent::Closed, 0, counts(2, 1));
        book.note(WRITER, 52, CaptureEvent::Closed, 0, counts(1, 2));
        book.check()
    };
    for late in [false, true] {
        let report = again(late);
        assert!(report.kept(), "{:?}", report.broken);
        let report = relayed(false, late, true);
        assert!(report.kept(), "{:?}", report.broken);
        assert!(!relayed(true, late, true).kept());
    }
    // Not told of the relay, the check finds words that nobody said.
    assert!(!relayed(false, false, false).kept());
}

#[test]
fn nothing_can_be_taken_out_without_being_missed() {
    let mut book = clean();
    book.close_all();
    // A kind: who recorded it, on which connection's conversation, and the first byte, which names the message.
    let kind = |p: &CapturedFrame| (p.event == CaptureEvent::Sent, p.process, p.frame.first().copied());
    let speaks = |p: &CapturedFrame| matches!(p.event, CaptureEvent::Sent | CaptureEvent::Received);
    let mut kinds: Vec<_> = book.passed.iter().filter(|p| speaks(p)).map(kind).collect();
    kinds.sort_unstable();
    kinds.dedup();
    assert!(kinds.len() > 30, "only {} kinds", kinds.len());
    for taken in kinds {
        let both = |p: &CapturedFrame| speaks(p) && p.frame.first().copied() == taken.2;
        for gone in [
            &|p: &CapturedFrame| speaks(p) && kind(p) == taken as _,
            &both as &dyn Fn(&CapturedFrame) -> bool,
        ] {
            let left: Vec<_> = book.passed.iter().filter(|p| !gone(p)).cloned().collect();
            assert!(left.len() < book.passed.len());
            assert!(!check_events(&left).kept(), "without {taken:?} it passes");
        }
    }
    for at in 0..book.passed.len() {
        let mut left = book.passed.clone();
        let gone = left.remove(at);
        let matters = !matches!(gone.event, CaptureEvent::ProcessStarted | CaptureEvent::Closed);
        assert!(!matters || !check_events(&left).kept(), "without {gone:?} it passes");
    }
}
