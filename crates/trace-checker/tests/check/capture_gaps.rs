//! Captures with missing or contradictory events are reported as violations.

use bytes::Bytes;
use tideroute_trace_checker::Report;
use tideroute_wire::capture::{counts, CaptureEvent, CapturedFrame};
use tideroute_wire::{say_router, worker, Address, Party};

use crate::capture_builder::{
    address, check_events, clean_capture, CaptureBuilder, DECODE, DISCOVERY, OTHER_DECODE, ROUTER,
    SECOND_ROUTER,
};

/// Request ids are unique only if the origins of routers are unique and do not change.
#[test]
fn routers_that_share_or_change_an_origin_are_reported() {
    for (process, origin) in [(OTHER_DECODE, u128::from(ROUTER)), (ROUTER, 99)] {
        let mut capture = clean_capture();
        capture.connect(process, DISCOVERY, Party::Client);
        let is_hello = |frame: &&mut CapturedFrame| {
            frame.connection == 7 && matches!(frame.event, CaptureEvent::Sent | CaptureEvent::Received)
        };
        capture.events.iter_mut().filter(is_hello).for_each(|event| event.frame = say_router("it", origin));
        if process == OTHER_DECODE {
            // The process is a worker in the other tests.
            capture
                .events
                .iter_mut()
                .filter(|event| event.process == OTHER_DECODE)
                .for_each(|event| event.process = SECOND_ROUTER);
            capture.events.retain(|event| event.connection == 7 || event.process != SECOND_ROUTER);
        }
        let report = capture.check();
        let is_found =
            report.violations.iter().any(|violation| violation.description.contains("share an origin"));
        assert!(is_found, "{:?}", report.violations);
    }
}

/// The relay's address that the router dials.
const RELAY_LISTENER: Address = [127, 0, 0, 9, 1, 1];
/// The relay's address that the worker sees.
const RELAY_SOURCE: Address = [127, 0, 0, 9, 2, 2];

/// Checks a clean capture with a relay between the router and the decode worker: each end sees the relay's address in
/// place of the other end's. `is_changed`: a frame differs between both ends. `is_late`: the relay's own event comes
/// last instead of first. `is_captured`: the relay's own event is in the capture.
fn check_relayed(is_changed: bool, is_late: bool, is_captured: bool) -> Report {
    let mut capture = clean_capture();
    capture.close_all();
    let dialler = [127, 0, 0, 1, 9, 2];
    let joined = [RELAY_LISTENER, dialler, address(DECODE), RELAY_SOURCE].concat();
    for captured in capture.events.iter_mut().filter(|event| event.connection == 2) {
        match captured.event {
            CaptureEvent::Connected => captured.frame = Bytes::from([RELAY_LISTENER, dialler].concat()),
            CaptureEvent::Accepted => captured.frame = Bytes::from([RELAY_SOURCE, address(DECODE)].concat()),
            CaptureEvent::Received if is_changed && captured.position == 2 => {
                captured.frame = Bytes::from_static(b"else")
            }
            _ => {}
        }
    }
    let mut event = capture.events[0].clone();
    event.event = CaptureEvent::Joined;
    event.connection = 0;
    event.frame = joined.into();
    let index = if is_late { capture.events.len() - 1 } else { 0 };
    event.at = capture.events[index].at;
    if is_captured {
        capture.events.insert(index, event);
    }
    check_events(&capture.events)
}

/// Checks a capture in which a relay reuses a port. Connections that ended before have the same addresses and must not
/// be paired with the present one.
fn check_reused_port(is_late: bool) -> Report {
    const DIALLER: Address = [127, 0, 0, 1, 9, 9];
    let mut capture = CaptureBuilder::new();
    let old =
        Bytes::from([[127, 0, 0, 9, 7, 7], [127, 0, 0, 1, 7, 7], address(DECODE), RELAY_SOURCE].concat());
    let ends = Bytes::from([RELAY_SOURCE, address(DECODE)].concat());
    // A connection whose joining the relay captured before it was accepted, and one whose joining it never captured.
    capture.add_event(DISCOVERY, 0, CaptureEvent::Joined, 0, old);
    for connection in [50, 49] {
        capture.add_event(DECODE, connection, CaptureEvent::Accepted, 0, ends.clone());
        capture.add_event(DECODE, connection, CaptureEvent::Closed, 0, counts(0, 0));
        capture.advance(10);
    }
    capture.advance(10_000);
    let joined = [RELAY_LISTENER, DIALLER, address(DECODE), RELAY_SOURCE].concat();
    if !is_late {
        capture.add_event(DISCOVERY, 0, CaptureEvent::Joined, 0, joined.clone().into());
    }
    let hello = say_router("somebody", u128::from(ROUTER));
    capture.add_event(ROUTER, 51, CaptureEvent::Connecting, 0, Bytes::copy_from_slice(&address(DECODE)));
    capture.add_event(
        ROUTER,
        51,
        CaptureEvent::Connected,
        0,
        Bytes::from([RELAY_LISTENER, DIALLER].concat()),
    );
    capture.add_event(DECODE, 52, CaptureEvent::Accepted, 0, ends);
    if is_late {
        capture.add_event(DISCOVERY, 0, CaptureEvent::Joined, 0, joined.into());
    }
    for (position, frame) in [hello, worker::check_health(9)].into_iter().enumerate() {
        capture.add_event(ROUTER, 51, CaptureEvent::Sent, position as u64, frame.clone());
        capture.add_event(DECODE, 52, CaptureEvent::Received, position as u64, frame);
    }
    capture.add_event(DECODE, 52, CaptureEvent::Sent, 0, worker::health_reported(9, 0, 0, 0));
    capture.add_event(ROUTER, 51, CaptureEvent::Received, 0, worker::health_reported(9, 0, 0, 0));
    capture.add_event(ROUTER, 51, CaptureEvent::Closed, 0, counts(2, 1));
    capture.add_event(DECODE, 52, CaptureEvent::Closed, 0, counts(1, 2));
    capture.check()
}

#[test]
fn ends_joined_by_a_relay_are_checked_as_one_connection() {
    for is_late in [false, true] {
        let report = check_reused_port(is_late);
        assert!(report.is_clean(), "{:?}", report.violations);
        let report = check_relayed(false, is_late, true);
        assert!(report.is_clean(), "{:?}", report.violations);
        assert!(!check_relayed(true, is_late, true).is_clean());
    }
    // Without the relay's event, the ends cannot be paired, and the received frames have no sender.
    assert!(!check_relayed(false, false, false).is_clean());
}

#[test]
fn no_event_can_be_removed_without_a_violation() {
    let mut capture = clean_capture();
    capture.close_all();
    // The kind of a frame: whether it was sent, which process captured it, and its first byte, which names the message.
    let kind = |captured: &CapturedFrame| {
        (captured.event == CaptureEvent::Sent, captured.process, captured.frame.first().copied())
    };
    let is_frame =
        |captured: &CapturedFrame| matches!(captured.event, CaptureEvent::Sent | CaptureEvent::Received);
    let mut kinds: Vec<_> = capture.events.iter().filter(|captured| is_frame(captured)).map(kind).collect();
    kinds.sort_unstable();
    kinds.dedup();
    assert!(kinds.len() > 30, "only {} kinds", kinds.len());
    for removed in kinds {
        let at_both_ends =
            |captured: &CapturedFrame| is_frame(captured) && captured.frame.first().copied() == removed.2;
        let at_one_end = |captured: &CapturedFrame| is_frame(captured) && kind(captured) == removed;
        for is_removed in [&at_one_end as &dyn Fn(&CapturedFrame) -> bool, &at_both_ends] {
            let rest: Vec<_> =
                capture.events.iter().filter(|captured| !is_removed(captured)).cloned().collect();
            assert!(rest.len() < capture.events.len());
            assert!(!check_events(&rest).is_clean(), "without {removed:?} it passes");
        }
    }
    for index in 0..capture.events.len() {
        let mut rest = capture.events.clone();
        let removed = rest.remove(index);
        let matters = !matches!(removed.event, CaptureEvent::ProcessStarted | CaptureEvent::Closed);
        assert!(!matters || !check_events(&rest).is_clean(), "without {removed:?} it passes");
    }
}
