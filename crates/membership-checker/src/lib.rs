//! Whether the routers of a fleet saw each other as they were, read from the record of a day. What was true comes
//! from who started, killed, halted and cut them; what each saw, from its own words. [`check`] knows nothing of how
//! a router learns who is there: no code is shared with the membership that it judges.
//!
//! Four things are judged. A killed one is known to all within [`KNOWN`], at the 99th percentile over all that
//! were there. None is taken for dead that was up, but for what [`judge`] excuses. Once all is quiet for
//! [`MEETS`], each sees all that are up, and none that is not. And a record in which nothing could be compared
//! shows nothing, which is a fault too.

mod judge;
mod truth;

use std::io::Read;

use serde::{Deserialize, Serialize};
use tideroute_wire::capture::{CaptureError, CaptureEvent, Reader};
use tideroute_wire::Micros;

pub use judge::{KNOWN, MEETS};
use truth::Truth;

/// Breaks named one by one; of further ones only the number is told.
const NAMED: usize = 100;

/// What a record's terms say of a fleet, beside what the five rules are read by.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Terms {
    pub members: Option<Members>,
}

#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Members {
    pub names: Vec<String>,
    pub cuts: Vec<Cut>,
}

/// From one moment to another some could not hear some others, or each other.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Cut {
    pub from: Micros,
    pub until: Micros,
    pub between: Vec<String>,
    pub and: Vec<String>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    pub members: usize,
    pub sightings: u64,
    /// Kills after which it was seen when each of the others knew.
    pub kills: u64,
    /// Microseconds until another knew of a kill: at the median, the 99th percentile, and the latest.
    pub known: [Micros; 3],
    /// Moments at which all views were compared with what was true, and how many sights that were.
    pub moments: u64,
    pub compared: u64,
    /// Deaths that were seen, and those among them that were excused.
    pub deaths: u64,
    pub excused: u64,
    pub broken: Vec<(Micros, String)>,
    pub more: u64,
}

impl Report {
    pub fn kept(&self) -> bool {
        self.broken.is_empty()
    }

    pub(crate) fn note(&mut self, at: Micros, what: impl Into<String>) {
        if self.broken.len() < NAMED {
            self.broken.push((at, what.into()));
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

/// Reads a whole record; None if it is of routers that did not know each other.
pub fn check(record: impl Read) -> Result<Option<Report>, CheckError> {
    let mut reader = Reader::new(record);
    let (processes, terms) = reader.head()?;
    let Some(members) = serde_json::from_str::<Terms>(&terms)?.members else { return Ok(None) };
    let mut report = Report { members: members.names.len(), ..Report::default() };
    let mut truth = Truth::new(&members);
    let of: std::collections::BTreeMap<u32, usize> = processes
        .iter()
        .filter(|p| p.role == "member")
        .filter_map(|p| Some((p.number, truth.number(&p.name)?)))
        .collect();
    while let Some(passed) = reader.next_passed()? {
        let Some(&who) = of.get(&passed.process) else { continue };
        match passed.event {
            CaptureEvent::ProcessStarted => truth.started(who, passed.at),
            CaptureEvent::ProcessKilled => truth.ended(who, passed.at, false),
            CaptureEvent::ProcessExited => truth.ended(who, passed.at, true),
            CaptureEvent::ProcessPaused => truth.halted(who, passed.at),
            CaptureEvent::ProcessResumed => truth.went_on(who, passed.at),
            CaptureEvent::Observed => {
                report.sightings += 1;
                if let Err(why) = truth.saw(who, passed.at, &passed.frame) {
                    report.note(passed.at, why);
                }
            }
            _ => {}
        }
    }
    judge::judge(&truth, &mut report);
    report.broken.sort();
    Ok(Some(report))
}
