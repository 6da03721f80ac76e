//! The file format of traffic captures.

use bytes::Bytes;
use tideroute_wire::capture::{self, counted, counts, CaptureEvent, CapturedFrame, CapturedProcess, Reader};

use crate::{from_hex, to_hex};

/// All kinds of events, in the order of their numbers in the file.
const EVENTS: [CaptureEvent; 14] = [
    CaptureEvent::Connecting,
    CaptureEvent::Accepted,
    CaptureEvent::Closed,
    CaptureEvent::Sent,
    CaptureEvent::Received,
    CaptureEvent::ProcessStarted,
    CaptureEvent::ProcessExited,
    CaptureEvent::ProcessKilled,
    CaptureEvent::Connected,
    CaptureEvent::ConnectFailed,
    CaptureEvent::Joined,
    CaptureEvent::ProcessPaused,
    CaptureEvent::ProcessResumed,
    CaptureEvent::Observed,
];

fn captured(position: usize, event: CaptureEvent) -> CapturedFrame {
    let position = position as u64;
    CapturedFrame {
        at: 1_700_000_000_000_000,
        process: 3,
        connection: 5,
        event,
        position,
        frame: Bytes::from_static(b"x"),
    }
}

#[test]
fn a_capture_with_every_kind_of_event() {
    let address = Some([10, 0, 0, 7, 0x1f, 0x90]);
    let process = CapturedProcess { number: 3, name: "w1".into(), role: "worker".into(), address };
    let frames: Vec<_> =
        EVENTS.into_iter().enumerate().map(|(position, event)| captured(position, event)).collect();
    let mut file = Vec::new();
    capture::write_head(&mut file, std::slice::from_ref(&process), "terms")
        .expect("writing to a vector succeeds");
    for frame in &frames {
        capture::write(&mut file, frame).expect("writing to a vector succeeds");
    }
    let expected =
        "1f0a160803120277311a06776f726b657222060a0000071f9012057465726d7312088080f9c0c1c48203100318052001\
        32017814088080f9c0c1c48203100318052002280132017814088080f9c0c1c482031003180520032802320178140880\
        80f9c0c1c48203100318052004280332017814088080f9c0c1c48203100318052005280432017814088080f9c0c1c482\
        03100318052006280532017814088080f9c0c1c48203100318052007280632017814088080f9c0c1c482031003180520\
        08280732017814088080f9c0c1c48203100318052009280832017814088080f9c0c1c4820310031805200a2809320178\
        14088080f9c0c1c4820310031805200b280a32017814088080f9c0c1c4820310031805200c280b32017814088080f9c0\
        c1c4820310031805200d280c32017814088080f9c0c1c4820310031805200e280d320178";
    assert_eq!(to_hex(&file), expected);

    let bytes = from_hex(expected);
    let mut reader = Reader::new(&bytes[..]);
    assert_eq!(reader.head().expect("a head"), (vec![process], "terms".to_string()));
    for frame in frames {
        assert_eq!(reader.next_passed().expect("a frame"), Some(frame));
    }
    assert_eq!(reader.next_passed().expect("the end"), None);
}

#[test]
fn frame_counts_of_a_closed_connection() {
    assert_eq!(to_hex(&counts(1, 258)), "01000000000000000201000000000000");
    assert_eq!(counted(&counts(1, 258)), Some((1, 258)));
    assert_eq!(counted(b"short"), None);
}
