//! The story of a run as routers' logs tell it, beside what the stand-ins saw.

use std::collections::BTreeMap;

use tideroute_test_support::http_messages::{attempted_request, value_after};
use tideroute_test_support::worker_event::WorkerEvent;

use crate::fleet::Fleet;

/// A call that came to a worker: of which request, where, and what it was.
type Call = (String, String, &'static str);

/// The value behind a field's name in a line of the log, without its quotes.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.split(&format!(" {name}=")).nth(1)?;
    value.split([' ', '\n']).next().map(|value| value.trim_matches('"'))
}

/// The kind of a state that sends something.
fn kind_of(state: &str) -> Option<&'static str> {
    match state {
        "attempt-chosen" => Some("attempt"),
        "reservation-requested" => Some("place"),
        "release-sent" => Some("release"),
        _ => None,
    }
}

/// What the logs say was sent, and how often.
fn told(fleet: &Fleet) -> BTreeMap<Call, usize> {
    let mut told = BTreeMap::new();
    for path in fleet.files().into_iter().filter(|path| path.extension().is_some_and(|e| e == "log")) {
        let Ok(text) = std::fs::read_to_string(path) else { continue };
        for line in text.lines().filter(|line| line.contains("tideroute::request")) {
            let fields =
                (field(line, "trace"), field(line, "worker"), field(line, "state").and_then(kind_of));
            if let (Some(trace), Some(worker), Some(kind)) = fields {
                *told.entry((trace.to_string(), worker.to_string(), kind)).or_default() += 1;
            }
        }
    }
    told
}

/// A call as a stand-in reported it.
fn call_of(fleet: &Fleet, report: &WorkerEvent) -> Option<Call> {
    let WorkerEvent::CallReceived { on, head } = report else { return None };
    let worker = fleet.workers[on.worker].address.clone();
    if let Some(request) = attempted_request(head) {
        return Some((format!("t{request}"), worker, "attempt"));
    }
    let trace = value_after(head, "/internal/reservations/").to_string();
    let kind = if head.starts_with("DELETE ") { "release" } else { "place" };
    (!trace.is_empty()).then_some((trace, worker, kind))
}

/// What came to workers and stands in no log.
pub fn gaps(fleet: &Fleet) -> Vec<String> {
    let (mut told, mut gaps) = (told(fleet), vec![]);
    for call in fleet.judge.events().iter().filter_map(|report| call_of(fleet, report)) {
        match told.get_mut(&call) {
            Some(left) if *left > 0 => *left -= 1,
            _ => gaps.push(format!("no log tells of {call:?}, which came to its worker")),
        }
    }
    gaps
}
