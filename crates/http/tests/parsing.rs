//! Checks the parsers of heads, bodies and chunks: the result does not depend on where the input is split, and no input
//! makes a parser panic.

use bytes::{Bytes, BytesMut};
use quickcheck::{Gen, QuickCheck};
use tideroute_http::{number, request, response, write, Body, Framing, HttpError, Limits};

const LIMITS: Limits = Limits { head: 4 << 10, fields: 16, body: 256 << 10 };
/// Number of inputs generated for each property.
const CASES: u64 = 20_000;

/// Reads a body from pieces. Returns its content, whether it is complete, and the bytes that follow it.
fn read_body(framing: Framing, pieces: &[&[u8]]) -> Result<(Vec<u8>, bool, Vec<u8>), HttpError> {
    let (mut body, mut buffer, mut content) = (Body::new(framing, LIMITS.body), BytesMut::new(), vec![]);
    for piece in pieces {
        buffer.extend_from_slice(piece);
        while let Some(body_piece) = body.next(&mut buffer)? {
            content.extend_from_slice(&body_piece);
        }
    }
    Ok((content, body.done(), buffer.to_vec()))
}

#[test]
fn a_request_parses_the_same_wherever_it_is_split() {
    let text = write::request("POST", "/a?b=c", [("host", "here"), ("x-a", "1")], Some(b"body"));
    let (head, length) = request(&text, &LIMITS).expect("valid").expect("complete");
    assert_eq!((head.method.as_str(), head.target.as_str()), ("POST", "/a?b=c"));
    assert_eq!((head.framing, head.last, head.fields.one("x-a")), (Framing::Length(4), false, Some("1")));
    for split in 0..text.len() {
        let parsed = request(&text[..split], &LIMITS).expect("valid so far");
        assert_eq!(parsed.is_some(), split >= length, "split at {split}");
    }
}

#[test]
fn chunks_parse_the_same_wherever_they_are_split_and_leave_the_bytes_that_follow() {
    let text =
        [&write::chunk(b"data: a\n\n")[..], b"5;x=y\r\nhello\r\n", write::LAST_CHUNK, b"HTTP/1.1 "].concat();
    for split in 0..=text.len() {
        let (content, done, rest) =
            read_body(Framing::Chunked, &[&text[..split], &text[split..]]).expect("valid");
        assert_eq!(
            (content.as_slice(), done, rest.as_slice()),
            (&b"data: a\n\nhello"[..], true, &b"HTTP/1.1 "[..])
        );
    }
    let bytes: Vec<&[u8]> = text.chunks(1).collect();
    assert_eq!(read_body(Framing::Chunked, &bytes).expect("valid").0, b"data: a\n\nhello");
    // Fields after the last chunk are ignored.
    let with_trailer = read_body(Framing::Chunked, &[b"1\r\na\r\n0\r\nx: y\r\n\r\nrest"]).expect("valid");
    assert_eq!(with_trailer, (b"a".to_vec(), true, b"rest".to_vec()));
}

#[test]
fn malformed_chunks_are_rejected_at_once() {
    for (bytes, error) in [
        (&b"zz\r\n"[..], HttpError::ChunkSize),
        (b"\r\n", HttpError::ChunkSize),
        (b"-1\r\n", HttpError::ChunkSize),
        (b"+1\r\n", HttpError::ChunkSize),
        (b"0x1\r\n", HttpError::ChunkSize),
        (b"c0000000\r\n", HttpError::ChunkSize),
        (b"fffffffffffffffff", HttpError::ChunkSize),
        (b"5\nhello\r\n", HttpError::ChunkSize),
        (b"3\r\nhello\r\n", HttpError::ChunkEnd),
        (b"5\r\nhello5\r\n", HttpError::ChunkEnd),
    ] {
        assert_eq!(read_body(Framing::Chunked, &[bytes]), Err(error), "{}", String::from_utf8_lossy(bytes));
    }
    for (endless_line, error) in [
        ([b"1;".as_slice(), &[b'x'; 17 << 10]].concat(), HttpError::ChunkSize),
        (b"0".repeat(300), HttpError::ChunkSize),
        ([b"0\r\nx: ".as_slice(), &[b'x'; 65 << 10]].concat(), HttpError::ChunkEnd),
        ([b"0\r\n".as_slice(), &b"x: y\r\n".repeat(17 << 10)].concat(), HttpError::ChunkEnd),
    ] {
        assert_eq!(read_body(Framing::Chunked, &[&endless_line]), Err(error));
        let pieces: Vec<&[u8]> = endless_line.chunks(7).collect();
        assert_eq!(read_body(Framing::Chunked, &pieces), Err(error), "in pieces");
    }
    let oversized_body =
        [&write::chunk(&[b'a'; 200 << 10])[..], &write::chunk(&[b'b'; 200 << 10])[..]].concat();
    assert_eq!(read_body(Framing::Chunked, &[&oversized_body]), Err(HttpError::BodyTooLarge(LIMITS.body)));
}

#[test]
fn ambiguous_messages_are_rejected() {
    let parse_with = |fields: &str| {
        let text = format!("POST / HTTP/1.1\r\nhost: a\r\n{fields}\r\n\r\n");
        request(text.as_bytes(), &LIMITS).map(|head| head.map(|(head, _)| head.framing))
    };
    assert_eq!(parse_with("content-length: 5"), Ok(Some(Framing::Length(5))));
    assert_eq!(parse_with("transfer-encoding: chunked"), Ok(Some(Framing::Chunked)));
    for (fields, status) in [
        ("content-length: 5\r\ncontent-length: 5", 400),
        ("content-length: 5\r\ntransfer-encoding: chunked", 400),
        ("transfer-encoding: chunked\r\ncontent-length: 5", 400),
        ("content-length: +5", 400),
        ("content-length: -5", 400),
        ("content-length: 5, 5", 400),
        ("content-length: 5 5", 400),
        ("content-length: 0x5", 400),
        ("content-length:", 400),
        ("content-length: 262145", 413),
        ("content-length: 99999999999999999999999999", 413),
        ("transfer-encoding: gzip, chunked", 501),
        ("transfer-encoding: chunked\r\ntransfer-encoding: chunked", 501),
        ("transfer-encoding : chunked", 400),
        ("host: b", 400),
        (" folded: x", 400),
        ("x: \u{1}", 400),
    ] {
        assert_eq!(parse_with(fields).map_err(HttpError::status), Err(status), "{fields:?}");
    }
    let long_field = format!("x: {}", "a".repeat(5_000));
    assert_eq!(parse_with(&long_field), Err(HttpError::HeadTooLarge(LIMITS.head)));
    let many_fields = "x: y\r\n".repeat(17);
    assert_eq!(parse_with(many_fields.trim_end()), Err(HttpError::TooManyFields(LIMITS.fields)));
    assert_eq!(request(&[b'a'; 5_000], &LIMITS).map(|_| ()), Err(HttpError::HeadTooLarge(LIMITS.head)));
    assert_eq!(request(b"GET / HTTP/1.0\r\nhost: a\r\n\r\n", &LIMITS).map(|_| ()), Err(HttpError::Version));
}

#[test]
fn responses_are_framed_by_status_and_by_fields() {
    let framing =
        |text: &str| response(text.as_bytes(), &LIMITS).expect("valid").expect("complete").0.framing;
    assert_eq!(framing("HTTP/1.1 204 No Content\r\ncontent-length: 7\r\n\r\n"), Framing::Length(0));
    assert_eq!(framing("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"), Framing::Length(0));
    assert_eq!(framing("HTTP/1.1 200 OK\r\n\r\n"), Framing::ToEnd);
    assert_eq!(read_body(Framing::Length(3), &[b"abcdef"]), Ok((b"abc".to_vec(), true, b"def".to_vec())));
    assert_eq!(read_body(Framing::ToEnd, &[b"abc", b"def"]), Ok((b"abcdef".to_vec(), false, vec![])));
}

#[test]
fn only_digits_that_fit_into_a_u64_are_numbers() {
    assert_eq!(number("0042"), Some(42));
    assert_eq!(number("18446744073709551615"), Some(u64::MAX));
    for text in ["", "+1", "-1", " 1", "1 ", "1.0", "1e3", "0x1", "٣", "18446744073709551616"] {
        assert_eq!(number(text), None, "{text:?}");
    }
}

/// Returns valid input with some bytes changed, removed or inserted; parsers get further with it than with random
/// bytes.
fn mutated(valid: &[u8], seeds: &[(u16, u8, u8)]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for (position, change, byte) in seeds.iter().take(4).filter(|_| !valid.is_empty()) {
        let position = usize::from(*position) % bytes.len().max(1);
        match change % 3 {
            0 if position < bytes.len() => bytes[position] = *byte,
            1 if position < bytes.len() => drop(bytes.remove(position)),
            _ => bytes.insert(position, *byte),
        }
    }
    bytes
}

#[test]
fn no_input_makes_a_parser_panic_and_splitting_it_changes_no_result() {
    fn parses_the_same(seeds: Vec<(u16, u8, u8)>, split: u16, noise: Vec<u8>) -> bool {
        let valid = write::request("POST", "/x", [("host", "a"), ("content-length", "3")], None);
        let chunks = [&write::chunk(b"data: x\n\n")[..], &write::chunk(b"y")[..], write::LAST_CHUNK].concat();
        for bytes in [mutated(&valid, &seeds), noise] {
            // A head that is complete or rejected stays so, whatever bytes follow.
            let split = usize::from(split) % (bytes.len() + 1);
            let (split_result, full_result) = (request(&bytes[..split], &LIMITS), request(&bytes, &LIMITS));
            match split_result {
                Ok(Some(head)) if full_result != Ok(Some(head.clone())) => return false,
                Err(_) if full_result.is_ok() => return false,
                _ => {}
            }
            let _ = response(&bytes, &LIMITS);
        }
        let chunks = mutated(&chunks, &seeds);
        let split = usize::from(split) % (chunks.len() + 1);
        read_body(Framing::Chunked, &[&chunks])
            == read_body(Framing::Chunked, &[&chunks[..split], &chunks[split..]])
    }
    QuickCheck::new()
        .rng(Gen::new(200))
        .tests(CASES)
        .max_tests(CASES)
        .quickcheck(parses_the_same as fn(_, _, _) -> bool);
}

#[test]
fn chunks_of_any_bytes_round_trip() {
    fn round_trips(parts: Vec<Vec<u8>>, sizes: Vec<u8>) -> bool {
        let non_empty = parts.iter().filter(|part| !part.is_empty());
        let mut text: Vec<u8> = non_empty.flat_map(|part| write::chunk(part)).collect();
        text.extend(write::LAST_CHUNK);
        let (mut pieces, mut rest) = (vec![], text.as_slice());
        for size in sizes {
            let (piece, after_piece) = rest.split_at(usize::from(size).min(rest.len()));
            pieces.push(piece);
            rest = after_piece;
        }
        pieces.push(rest);
        read_body(Framing::Chunked, &pieces) == Ok((parts.concat(), true, vec![]))
    }
    let check = round_trips as fn(Vec<Vec<u8>>, Vec<u8>) -> bool;
    QuickCheck::new().rng(Gen::new(60)).tests(CASES / 4).max_tests(CASES / 4).quickcheck(check);
    assert_eq!(write::chunk(b"abc"), Bytes::from_static(b"3\r\nabc\r\n"));
}

/// Guards against framing fields that are overlooked because their values are no text, and so read differently by others.
#[test]
fn a_framing_field_that_is_no_text_is_rejected() {
    for (line, status) in [
        (&b"content-length: 5\xff"[..], 400),
        (b"content-length: 5\r\ncontent-length: \xff", 400),
        (b"transfer-encoding: chunked\xff", 501),
        (b"transfer-encoding: chunked\r\ntransfer-encoding: \xff", 501),
        (b"transfer-encoding: \xff\r\ncontent-length: 5", 400),
        (b"host: \xff", 400),
    ] {
        let head = [b"POST / HTTP/1.1\r\nhost: a\r\n", line, b"\r\n\r\n"].concat();
        let result = request(&head, &LIMITS).map_err(HttpError::status).map(|_| ());
        assert_eq!(result, Err(status), "{}", String::from_utf8_lossy(line));
    }
    let head = b"HTTP/1.1 200 OK\r\nconnection: \xff, close\r\ncontent-length: 0\r\n\r\n";
    assert!(response(head, &LIMITS).expect("valid").expect("complete").0.last);
}

/// Guards against bodies that are rejected for chunk extensions, leading zeros or trailer fields, all of which are ignored.
#[test]
fn chunks_with_long_extensions_and_trailers_are_read() {
    let report = "9".repeat(10_000);
    let text = format!("00000000000000000005;report={report}\r\nhello\r\n000000000000\r\nx: {report}\r\ny: \u{1}\r\n\r\nrest");
    for length in [1, 7, text.len()] {
        let pieces: Vec<&[u8]> = text.as_bytes().chunks(length).collect();
        let whole = (b"hello".to_vec(), true, b"rest".to_vec());
        assert_eq!(read_body(Framing::Chunked, &pieces), Ok(whole), "pieces of {length} bytes");
    }
}

/// Guards against responses that are rejected for a field that nobody reads. In requests the same lines are rejected.
#[test]
fn response_fields_that_a_recipient_may_put_up_with_are_read() {
    for line in ["x: \u{1}\u{7f}\0\x1b[0m", "x: a\r\n b\r\n\t\u{2}c", "x : a", "x: a\rb", "x:"] {
        let text = format!("HTTP/1.1 200 OK\r\n{line}\r\ncontent-length: 4\r\ny: \u{1}\r\n\r\nbody");
        let (head, length) = response(text.as_bytes(), &LIMITS).expect(line).expect("complete");
        assert_eq!((head.framing, &text[length..]), (Framing::Length(4), "body"), "{line:?}");
        for split in 0..length {
            assert_eq!(response(&text.as_bytes()[..split], &LIMITS), Ok(None), "{line:?} split at {split}");
        }
        let request_text = format!("GET / HTTP/1.1\r\nhost: a\r\n{line}\r\n\r\n");
        assert!(line == "x:" || request(request_text.as_bytes(), &LIMITS).is_err(), "{line:?} in a request");
    }
    // Empty lines before the first line are ignored, and what follows the head is not looked at.
    let text = "\r\n\r\nHTTP/1.1 200 OK\r\nx: \u{1}\r\ncontent-length: 0\r\n\r\n\u{1}: \u{1}\r\n";
    let (_, length) = response(text.as_bytes(), &LIMITS).expect("valid").expect("complete");
    assert_eq!(&text[length..], "\u{1}: \u{1}\r\n");
    for malformed in [
        "HTTP/1.1 2\u{1}0 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\u{1}x: y\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno field\r\n\r\n",
        "noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\x007\r\n\r\n",
    ] {
        assert!(response(malformed.as_bytes(), &LIMITS).is_err(), "{malformed:?}");
    }
}
