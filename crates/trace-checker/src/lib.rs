//! Whether the five rules were kept, read from a record of what passed on the sockets. [`check`] takes the
//! record once, in order of time, and knows nothing of the router but what it said and heard: no code is
//! shared with the host or the decision module.
//!
//! A record that lacks something cannot show that a rule was kept. So gaps are looked for first: frames are
//! numbered on each connection, both ends are compared, and a word that answers nothing is a fault too.

mod cold;
mod halts;
mod links;
mod shots;
mod talk;
mod terms;

use std::collections::BTreeMap;
use std::io::Read;

use tideroute_wire::capture::{CaptureError, CaptureEvent, CapturedFrame, Reader};
use tideroute_wire::Micros;

use links::{Links, Talk};
use shots::Shots;
pub use terms::{Group, Repeat, Terms, TrackTerms, WorkerTerms};

/// Breaks named one by one; of further ones only the number is told.
const NAMED: usize = 200;
/// Events after which what is long over is judged and forgotten, so that memory follows what is open.
const SETTLES: u64 = 1 << 18;

/// What a break concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// The record has a gap or contradicts itself.
    Record,
    Lost,
    Twice,
    Drain,
    Cold,
    Pinned,
}

impl Rule {
    pub fn name(self) -> &'static str {
        match self {
            Rule::Record => "the record is whole",
            Rule::Lost => "rule 1, no submission lost",
            Rule::Twice => "rule 2, no effect twice",
            Rule::Drain => "rule 3, drains kept",
            Rule::Cold => "rule 4, no cold worker pushed over",
            Rule::Pinned => "rule 5, nothing left pinned",
        }
    }
}

/// One break of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub rule: Rule,
    pub at: Micros,
    /// The router's id of the submission, if one is concerned and known.
    pub submission: Option<u64>,
    pub what: String,
}

/// How much of everything there was; a record with little in it shows little.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    pub events: u64,
    pub submitted: u64,
    pub taken: u64,
    pub honoured: u64,
    pub turned_back: u64,
    pub abandoned: u64,
    /// Left by their clients.
    pub left: u64,
    /// Held by a router that was killed, or by a connection that broke.
    pub void: u64,
    pub shots: u64,
    pub places: u64,
    /// The latest send to a worker after its drain or end was told, microseconds.
    pub latest_after_drain: Micros,
    /// The most that was sent to a cold worker, as a part of what makes it fall over.
    pub fullest_cold: f64,
    /// The longest that something was held with no shot out, microseconds.
    pub longest_pinned: Micros,
}

#[derive(Debug, Default)]
pub struct Report {
    pub counts: Counts,
    pub broken: Vec<Broken>,
    /// Breaks beyond those named.
    pub more: u64,
}

impl Report {
    pub fn kept(&self) -> bool {
        self.broken.is_empty()
    }

    pub(crate) fn note(&mut self, rule: Rule, at: Micros, submission: Option<u64>, what: impl Into<String>) {
        if self.broken.len() < NAMED {
            self.broken.push(Broken { rule, at, submission, what: what.into() });
        } else {
            self.more += 1;
        }
    }
}

#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    #[error("the record cannot be read: {0}")]
    Record(#[from] CaptureError),
    #[error("the record's terms cannot be read: {0}")]
    Terms(#[from] serde_json::Error),
}

/// Reads a whole record and tells what it shows.
pub fn check(record: impl Read) -> Result<Report, CheckError> {
    let mut reader = Reader::new(record);
    let (processes, terms) = reader.head()?;
    let terms: Terms = serde_json::from_str(&terms)?;
    let mut report = Report::default();
    let roles = processes.iter().map(|p| (p.number, p.role.clone())).collect::<BTreeMap<_, _>>();
    let mut links = Links::new(&processes);
    let routers = processes.iter().filter(|p| p.role == "router");
    let homes = routers.filter_map(|p| Some((p.number, p.address?))).collect();
    let mut shots = Shots::new(&terms, homes);
    let mut last = 0;
    while let Some(passed) = reader.next_passed()? {
        report.counts.events += 1;
        if passed.at < last {
            report.note(Rule::Record, passed.at, None, "the record goes back in time");
        }
        last = passed.at;
        if report.counts.events % SETTLES == 0 {
            shots.settle(last, &links, &mut report);
        }
        if !roles.contains_key(&passed.process) {
            report.note(Rule::Record, passed.at, None, format!("process {} is unknown", passed.process));
            continue;
        }
        let talk = links.follow(&passed, &mut report);
        one(&passed, talk, &mut shots, &mut report);
    }
    links.finish(&mut report);
    shots.finish(last, &links, &mut report);
    report.broken.sort_by_key(|b| (b.rule, b.at));
    Ok(report)
}

fn one(passed: &CapturedFrame, talk: Option<Talk>, shots: &mut Shots, report: &mut Report) {
    match passed.event {
        CaptureEvent::Sent | CaptureEvent::Received => {
            let Some(talk) = talk else { return };
            if let Err(problem) = talk::hear(passed, talk, shots, report) {
                let what = format!("a frame cannot be read: {problem}");
                report.note(Rule::Record, passed.at, None, what);
            }
        }
        CaptureEvent::Closed | CaptureEvent::ConnectFailed => shots.closed(passed, talk, report),
        CaptureEvent::ProcessKilled | CaptureEvent::ProcessExited => shots.process_ended(passed, report),
        CaptureEvent::ProcessPaused => shots.halts.begin(passed.process, passed.at),
        CaptureEvent::ProcessResumed => shots.halts.end(passed.process, passed.at),
        CaptureEvent::Connecting
        | CaptureEvent::Connected
        | CaptureEvent::Accepted
        | CaptureEvent::ProcessStarted
        | CaptureEvent::Joined
        | CaptureEvent::Observed => {}
    }
}
