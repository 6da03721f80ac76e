use super::*;

/// Checks a stream in pieces of `length` bytes. Returns the bytes that can be forwarded, and the state at the end; `None`
/// for the state if a line is invalid.
fn check_in_pieces(stream: &str, length: usize) -> (String, Option<EventStream>) {
    let mut events = EventStream::default();
    let mut valid = vec![];
    for piece in stream.as_bytes().chunks(length) {
        let checked = events.check(Bytes::copy_from_slice(piece));
        valid.extend_from_slice(&checked.valid);
        if checked.is_invalid {
            return (String::from_utf8_lossy(&valid).into_owned(), None);
        }
    }
    (String::from_utf8_lossy(&valid).into_owned(), Some(events))
}

#[test]
fn valid_streams_pass_unchanged_wherever_they_are_split() {
    for stream in [
        "data: a\n\ndata: b\n\ndata: [DONE]\n\n",
        "data: a\r\n\r\nevent: x\r\ndata:b\r\n\r\nid:\r\nretry: 5\r\n\r\ndata:[DONE]\r\n\r\n",
        "data: a\r\rdata: [DONE]\r\r",
        "\n: note\n\ndata: a\ndata: b\n\ndata: [DONE]\n: Endpoint-Load-Metrics: TEXT \u{fffd}\n\n",
    ] {
        for length in 1..=stream.len() {
            let (valid, events) = check_in_pieces(stream, length);
            let events = events.expect("a valid stream");
            assert_eq!(valid, stream, "pieces of {length} bytes");
            assert!(events.has_complete_event() && events.is_terminated() && events.is_between_lines());
        }
    }
}

#[test]
fn the_bytes_before_an_invalid_line_pass_wherever_the_stream_is_split() {
    for invalid in [
        "53\r\n",
        "da\r\n",
        "e;x\r\n",
        "HTTP/1.1 200 OK\r\n",
        "datas: x\n",
        " data: x\n",
        "\0\n",
        "Data: x\n",
    ] {
        let stream = format!("data: a\n\ndata: b\n\n\r\n{invalid}");
        for length in 1..=stream.len() {
            let (valid, events) = check_in_pieces(&stream, length);
            assert_eq!((valid.as_str(), events.is_none()), ("data: a\n\ndata: b\n\n", true), "{invalid:?}");
        }
    }
}

#[test]
fn a_stream_is_terminated_only_by_a_complete_last_event() {
    for stream in [
        "data: a\n\n",
        "data: [DONE]",
        "data: [DONE]\n",
        "data: [DONE] \n\n",
        "data: [DONE]\n\ndata: a\n\n",
        "data: [DONE]\n\nda",
        ": data: [DONE]\n\n",
    ] {
        for length in 1..=stream.len() {
            let (_, events) = check_in_pieces(stream, length);
            let is_terminated =
                events.is_some_and(|events| events.is_terminated() && events.is_between_lines());
            assert!(!is_terminated, "{stream:?} in pieces of {length} bytes");
        }
    }
}

#[test]
fn an_event_that_never_ends_is_invalid() {
    let endless = format!("data: a\n\ndata: {}", "x".repeat(MAX_EVENT_BYTES));
    assert!(check_in_pieces(&endless, 4_000).1.is_none());
    let lines = format!("data: a\n\n{}", "data: x\n".repeat(MAX_EVENT_BYTES / 7 + 1));
    assert!(check_in_pieces(&lines, 4_000).1.is_none());
}

#[test]
fn empty_lines_between_events_pass_with_the_next_event() {
    let stream = format!("data: a\n\n\r\n\n{}data: b\r\n\r\n\r\n", "\n".repeat(MAX_HELD_LINE_BREAKS * 2));
    for length in 1..=stream.len() {
        let (valid, events) = check_in_pieces(&stream, length);
        assert!(events.expect("a valid stream").is_between_lines());
        assert_eq!(
            valid,
            stream.strip_suffix("\r\n").expect("an empty line at the end"),
            "pieces of {length} bytes"
        );
    }
}
