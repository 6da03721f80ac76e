//! Heads, bodies and chunks as bytes: cut anywhere they read the same, and no bytes whatever make them panic.

use bytes::{Bytes, BytesMut};
use quickcheck::{Gen, QuickCheck};
use tideroute_http::{number, request, response, write, Body, Framing, HttpError, Limits};

const LIMITS: Limits = Limits { head: 4 << 10, fields: 16, body: 256 << 10 };
/// Inputs generated for each property.
const CASES: u64 = 20_000;

/// A body read from pieces, with what follows it.
fn read(framing: Framing, pieces: &[&[u8]]) -> Result<(Vec<u8>, bool, Vec<u8>), HttpError> {
    let (mut body, mut buffer, mut content) = (Body::new(framing, LIMITS.body), BytesMut::new(), vec![]);
    for piece in pieces {
        buffer.extend_from_slice(piece);
        while let Some(part) = body.next(&mut buffer)? {
            content.extend_from_slice(&part);
        }
    }
    Ok((content, body.done(), buffer.to_vec()))
}

#[test]
fn a_request_parses_the_same_wherever_it_is_cut() {
    let text = write::request("POST", "/a?b=c", [("host", "here"), ("x-a", "1")], Some(b"body"));
    let (head, length) = request(&text, &LIMITS).expect("valid").expect("complete");
    assert_eq!((head.method.as_str(), head.target.as_str()), ("POST", "/a?b=c"));
    assert_eq!((head.framing, head.last, head.fields.one("x-a")), (Framing::Length(4), false, Some("1")));
    for cut in 0..text.len() {
        let read = request(&text[..cut], &LIMITS).expect("valid so far");
        assert_eq!(read.is_some(), cut >= length, "cut at {cut}");
    }
}

#[test]
fn chunks_parse_the_same_wherever_they_are_cut_and_leave_what_follows() {
    let text =
        [&write::chunk(b"data: a\n\n")[..], b"5;x=y\r\nhello\r\n", write::LAST_CHUNK, b"HTTP/1.1 "].concat();
    for cut in 0..=text.len() {
        let (content, done, left) = read(Framing::Chunked, &[&text[..cut], &text[cut..]]).expect("valid");
        assert_eq!(
            (content.as_slice(), done, left.as_slice()),
            (&b"data: a\n\nhello"[..], true, &b"HTTP/1.1 "[..])
        );
    }
    let bytes: Vec<&[u8]> = text.chunks(1).collect();
    assert_eq!(read(Framing::Chunked, &bytes).expect("valid").0, b"data: a\n\nhello");
    // Fields behind the last chunk are ignored.
    let with_trailer = read(Framing::Chunked, &[b"1\r\na\r\n0\r\nx: y\r\n\r\nrest"]).expect("valid");
    assert_eq!(with_trailer, (b"a".to_vec(), true, b"rest".to_vec()));
}

#[test]
fn malformed_chunks_are_refused_at_once() {
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
        assert_eq!(read(Framing::Chunked, &[bytes]), Err(error), "{}", String::from_utf8_lossy(bytes));
    }
    let endless = [b"1;".as_slice(), &[b'x'; 1_000]].concat();
    assert_eq!(read(Framing::Chunked, &[&endless]), Err(HttpError::ChunkSize));
    let big = [&write::chunk(&[b'a'; 200 << 10])[..], &write::chunk(&[b'b'; 200 << 10])[..]].concat();
    assert_eq!(read(Framing::Chunked, &[&big]), Err(HttpError::BodyTooLarge(LIMITS.body)));
}

#[test]
fn ambiguous_messages_are_refused() {
    let with = |fields: &str| {
        let text = format!("POST / HTTP/1.1\r\nhost: a\r\n{fields}\r\n\r\n");
        request(text.as_bytes(), &LIMITS).map(|head| head.map(|(head, _)| head.framing))
    };
    assert_eq!(with("content-length: 5"), Ok(Some(Framing::Length(5))));
    assert_eq!(with("transfer-encoding: chunked"), Ok(Some(Framing::Chunked)));
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
        assert_eq!(with(fields).map_err(HttpError::status), Err(status), "{fields:?}");
    }
    let long = format!("x: {}", "a".repeat(5_000));
    assert_eq!(with(&long), Err(HttpError::HeadTooLarge(LIMITS.head)));
    let many = "x: y\r\n".repeat(17);
    assert_eq!(with(many.trim_end()), Err(HttpError::TooManyFields(LIMITS.fields)));
    assert_eq!(request(&[b'a'; 5_000], &LIMITS).map(|_| ()), Err(HttpError::HeadTooLarge(LIMITS.head)));
    assert_eq!(request(b"GET / HTTP/1.0\r\nhost: a\r\n\r\n", &LIMITS).map(|_| ()), Err(HttpError::Version));
}

#[test]
fn responses_without_a_body_have_none() {
    let framing =
        |text: &str| response(text.as_bytes(), &LIMITS).expect("valid").expect("complete").0.framing;
    assert_eq!(framing("HTTP/1.1 204 No Content\r\ncontent-length: 7\r\n\r\n"), Framing::Length(0));
    assert_eq!(framing("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"), Framing::Length(0));
    assert_eq!(framing("HTTP/1.1 200 OK\r\n\r\n"), Framing::ToEnd);
    assert_eq!(read(Framing::Length(3), &[b"abcdef"]), Ok((b"abc".to_vec(), true, b"def".to_vec())));
    assert_eq!(read(Framing::ToEnd, &[b"abc", b"def"]), Ok((b"abcdef".to_vec(), false, vec![])));
}

#[test]
fn numbers_are_digits_that_fit() {
    assert_eq!(number("0042"), Some(42));
    assert_eq!(number("18446744073709551615"), Some(u64::MAX));
    for text in ["", "+1", "-1", " 1", "1 ", "1.0", "1e3", "0x1", "٣", "18446744073709551616"] {
        assert_eq!(number(text), None, "{text:?}");
    }
}

/// Valid bytes with some of them changed, removed or inserted, which get further than noise does.
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
fn no_bytes_make_a_parser_panic_and_cutting_changes_nothing() {
    fn same(seeds: Vec<(u16, u8, u8)>, cut: u16, noise: Vec<u8>) -> bool {
        let valid = write::request("POST", "/x", [("host", "a"), ("content-length", "3")], None);
        let chunks = [&write::chunk(b"data: x\n\n")[..], &write::chunk(b"y")[..], write::LAST_CHUNK].concat();
        for bytes in [mutated(&valid, &seeds), noise] {
            // A head that is complete, or refused, stays so whatever else comes.
            let cut = usize::from(cut) % (bytes.len() + 1);
            let (early, late) = (request(&bytes[..cut], &LIMITS), request(&bytes, &LIMITS));
            match early {
                Ok(Some(head)) if late != Ok(Some(head.clone())) => return false,
                Err(_) if late.is_ok() => return false,
                _ => {}
            }
            let _ = response(&bytes, &LIMITS);
        }
        let chunks = mutated(&chunks, &seeds);
        let cut = usize::from(cut) % (chunks.len() + 1);
        read(Framing::Chunked, &[&chunks]) == read(Framing::Chunked, &[&chunks[..cut], &chunks[cut..]])
    }
    QuickCheck::new()
        .rng(Gen::new(200))
        .tests(CASES)
        .max_tests(CASES)
        .quickcheck(same as fn(_, _, _) -> bool);
}

#[test]
fn chunks_of_any_bytes_round_trip() {
    fn round_trips(parts: Vec<Vec<u8>>, sizes: Vec<u8>) -> bool {
        let full = parts.iter().filter(|p| !p.is_empty());
        let mut text: Vec<u8> = full.flat_map(|p| write::chunk(p)).collect();
        text.extend(write::LAST_CHUNK);
        let (mut pieces, mut left) = (vec![], text.as_slice());
        for size in sizes {
            let (piece, rest) = left.split_at(usize::from(size).min(left.len()));
            pieces.push(piece);
            left = rest;
        }
        pieces.push(left);
        read(Framing::Chunked, &pieces) == Ok((parts.concat(), true, vec![]))
    }
    let check = round_trips as fn(Vec<Vec<u8>>, Vec<u8>) -> bool;
    QuickCheck::new().rng(Gen::new(60)).tests(CASES / 4).max_tests(CASES / 4).quickcheck(check);
    assert_eq!(write::chunk(b"abc"), Bytes::from_static(b"3\r\nabc\r\n"));
}
