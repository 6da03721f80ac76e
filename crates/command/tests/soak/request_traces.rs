//! The request traces in the routers' logs, compared with the requests that the emulated workers received.

use std::collections::BTreeMap;

use tideroute_test_support::http_messages::{attempted_request, value_after};
use tideroute_test_support::worker_event::WorkerEvent;

use crate::fleet::Fleet;

/// A call of a worker: its trace id, the worker, and its kind.
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

/// The calls that the logs say were sent, and how often.
fn logged(fleet: &Fleet) -> BTreeMap<Call, usize> {
    let mut calls = BTreeMap::new();
    for path in fleet.files().into_iter().filter(|path| path.extension().is_some_and(|e| e == "log")) {
        let Ok(text) = std::fs::read_to_string(path) else { continue };
        for line in text.lines().filter(|line| line.contains("tideroute::request")) {
            let fields =
                (field(line, "trace"), field(line, "worker"), field(line, "state").and_then(kind_of));
            if let (Some(trace), Some(worker), Some(kind)) = fields {
                *calls.entry((trace.to_string(), worker.to_string(), kind)).or_default() += 1;
            }
        }
    }
    calls
}

/// A call as the emulated worker reported it.
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

/// The calls that arrived at workers and are in no log.
pub fn missing(fleet: &Fleet) -> Vec<String> {
    let mut logged = logged(fleet);
    let mut missing = vec![];
    for call in fleet.judge.events().iter().filter_map(|report| call_of(fleet, report)) {
        match logged.get_mut(&call) {
            Some(left) if *left > 0 => *left -= 1,
            _ => missing.push(format!("no log tells of {call:?}, which came to its worker")),
        }
    }
    missing
}
