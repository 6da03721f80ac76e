//! The request traces in the routers' logs, compared with the requests that the emulated workers received.

use std::collections::BTreeMap;

use tideroute_test_support::http_messages::{attempted_request, value_after};
use tideroute_test_support::worker_event::WorkerEvent;

use crate::fleet::Fleet;

/// A call to a worker: its trace id, the worker's address, and its kind.
type Call = (String, String, &'static str);

/// Returns the value of a field in a line of the log, without quotes.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.split(&format!(" {name}=")).nth(1)?;
    value.split([' ', '\n']).next().map(|value| value.trim_matches('"'))
}

/// Returns the kind of call that a request's state sends, or `None` if the state sends no call.
fn kind_of(state: &str) -> Option<&'static str> {
    match state {
        "attempt-chosen" => Some("attempt"),
        "reservation-requested" => Some("reservation"),
        "release-sent" => Some("release"),
        _ => None,
    }
}

/// Returns the calls that the routers' logs report as sent, with their counts.
fn logged_calls(fleet: &Fleet) -> BTreeMap<Call, usize> {
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

/// Returns the call that an emulated worker reported, or `None` for other events and other requests.
fn call_of(fleet: &Fleet, event: &WorkerEvent) -> Option<Call> {
    let WorkerEvent::CallReceived { on, head } = event else { return None };
    let worker = fleet.workers[on.worker].address.clone();
    if let Some(request) = attempted_request(head) {
        return Some((format!("t{request}"), worker, "attempt"));
    }
    let trace = value_after(head, "/internal/reservations/").to_string();
    let kind = if head.starts_with("DELETE ") { "release" } else { "reservation" };
    (!trace.is_empty()).then_some((trace, worker, kind))
}

/// Returns a message for each call that arrived at a worker and is missing from the routers' logs.
pub fn missing(fleet: &Fleet) -> Vec<String> {
    let mut logged = logged_calls(fleet);
    let mut missing = vec![];
    for call in fleet.monitor.events().iter().filter_map(|event| call_of(fleet, event)) {
        match logged.get_mut(&call) {
            Some(remaining) if *remaining > 0 => *remaining -= 1,
            _ => missing.push(format!("no log contains {call:?}, which arrived at its worker")),
        }
    }
    missing
}
