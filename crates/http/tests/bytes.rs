//! Heads, bodies and chunks as bytes: cut anywhere they read the same, and no bytes whatever make them panic.

use bytes::{Bytes, BytesMut};
use quickcheck::{Gen, QuickCheck};
use tideroute_http::{answer, number, request, write, Body, Bounds, Framing, Problem};

const BOUNDS: Bounds = Bounds { head: 4 << 10, fields: 16, body: 256 << 10 };
/// Inputs drawn for each property.
const DRAWN: u64 = 20_000;

/// A body read from pieces, with what is left behind it.
fn read(framing: Framing, pieces: &[&[u8]]) -> Result<(Vec<u8>, bool, Vec<u8>), Problem> {
    let (mut body, mut arrived, mut got) = (Body::new(framing, BOUNDS.body), BytesMut::new(), vec![]);
    for piece in pieces {
        arrived.extend_from_slice(piece);
        while let Some(part) = body.next(&mut arrived)? {
            got.extend_from_slice(&part);
        }
    }
    Ok((got, body.done(), arrived.to_vec()))
}

#[test]
fn a_request_reads_the_same_wherever_it_is_cut() {
    let text = write::request("POST", "/a?b=c", [("host", "here"), ("x-a", "1")], Some(b"body"));
    let (whole, length) = request(&text, &BOUNDS).expect("sound").expect("whole");
    assert_eq!((whole.method.as_str(), whole.target.as_str()), ("POST", "/a?b=c"));
    assert_eq!((whole.framing, whole.last, whole.fields.one("x-a")), (Framing::Length(4), false, Some("1")));
    for cut in 0..text.len() {
        let read = request(&text[..cut], &BOUNDS).expect("sound so far");
        assert_eq!(read.is_some(), cut >= length, "cut at {cut}");
    }
}

#[test]
fn chunks_read_the_same_wherever_they_are_cut_and_leave_what_follows() {
    let text =
        [&write::chunk(b"data: a\n\n")[..], b"5;x=y\r\nhello\r\n", write::LAST_CHUNK, b"HTTP/1.1 "].concat();
    for cut in 0..=text.len() {
        let (got, done, left) = read(Framing::Chunked, &[&text[..cut], &text[cut..]]).expect("sound");
        assert_eq!(
            (got.as_slice(), done, left.as_slice()),
            (&b"data: a\n\nhello"[..], true, &b"HTTP/1.1 "[..])
        );
    }
    let bytes: Vec<&[u8]> = text.chunks(1).collect();
    assert_eq!(read(Framing::Chunked, &bytes).expect("sound").0, b"data: a\n\nhello");
    // Fields behind the last chunk are passed over.
    let trailed = read(Framing::Chunked, &[b"1\r\na\r\n0\r\nx: y\r\n\r\nrest"]).expect("sound");
    assert_eq!(trailed, (b"a".to_vec(), true, b"rest".to_vec()));
}

#[test]
fn chunks_that_lie_are_known_at_once() {
    for (bytes, problem) in [
        (&b"zz\r\n"[..], Problem::ChunkSize),
        (b"\r\n", Problem::ChunkSize),
        (b"-1\r\n", Problem::ChunkSize),
        (b"+1\r\n", Problem::ChunkSize),
        (b"0x1\r\n", Problem::ChunkSize),
        (b"c0000000\r\n", Problem::ChunkSize),
        (b"fffffffffffffffff", Problem::ChunkSize),
        (b"5\nhello\r\n", Problem::ChunkSize),
        (b"3\r\nhello\r\n", Problem::ChunkEnd),
        (b"5\r\nhello5\r\n", Problem::ChunkEnd),
    ] {
        assert_eq!(read(Framing::Chunked, &[bytes]), Err(problem), "{}", String::from_utf8_lossy(bytes));
    }
    let endless = [b"1;".as_slice(), &[b'x'; 1_000]].concat();
    assert_eq!(read(Framing::Chunked, &[&endless]), Err(Problem::ChunkSize));
    let big = [&write::chunk(&[b'a'; 200 << 10])[..], &write::chunk(&[b'b'; 200 << 10])[..]].concat();
    assert_eq!(read(Framing::Chunked, &[&big]), Err(Problem::BodyTooLarge(BOUNDS.body)));
}

#[test]
fn what_two_readers_could_read_in_two_ways_is_refused() {
    let with = |fields: &str| {
        let text = format!("POST / HTTP/1.1\r\nhost: a\r\n{fields}\r\n\r\n");
        request(text.as_bytes(), &BOUNDS).map(|head| head.map(|(head, _)| head.framing))
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
        assert_eq!(with(fields).map_err(Problem::status), Err(status), "{fields:?}");
    }
    let long = format!("x: {}", "a".repeat(5_000));
    assert_eq!(with(&long), Err(Problem::HeadTooLarge(BOUNDS.head)));
    let many = "x: y\r\n".repeat(17);
    assert_eq!(with(many.trim_end()), Err(Problem::TooManyFields(BOUNDS.fields)));
    assert_eq!(request(&[b'a'; 5_000], &BOUNDS).map(|_| ()), Err(Problem::HeadTooLarge(BOUNDS.head)));
    assert_eq!(request(b"GET / HTTP/1.0\r\nhost: a\r\n\r\n", &BOUNDS).map(|_| ()), Err(Problem::Version));
}

#[test]
fn answers_without_a_body_have_none() {
    let framing = |text: &str| answer(text.as_bytes(), &BOUNDS).expect("sound").expect("whole").0.framing;
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

/// Sound bytes with some of them changed, left out or put in, which come further than noise does.
fn mangled(sound: &[u8], seeds: &[(u16, u8, u8)]) -> Vec<u8> {
    let mut bytes = sound.to_vec();
    for (place, how, byte) in seeds.iter().take(4).filter(|_| !sound.is_empty()) {
        let place = usize::from(*place) % bytes.len().max(1);
        match how % 3 {
            0 if place < bytes.len() => bytes[place] = *byte,
            1 if place < bytes.len() => drop(bytes.remove(place)),
            _ => bytes.insert(place, *byte),
        }
    }
    bytes
}

#[test]
fn no_bytes_make_a_reader_panic_and_cutting_changes_nothing() {
    fn same(seeds: Vec<(u16, u8, u8)>, cut: u16, noise: Vec<u8>) -> bool {
        let sound = write::request("POST", "/x", [("host", "a"), ("content-length", "3")], None);
        let chunks = [&write::chunk(b"data: x\n\n")[..], &write::chunk(b"y")[..], write::LAST_CHUNK].concat();
        for bytes in [mangled(&sound, &seeds), noise] {
            // A head that is whole, or refused, stays so whatever else comes.
            let cut = usize::from(cut) % (bytes.len() + 1);
            let (early, late) = (request(&bytes[..cut], &BOUNDS), request(&bytes, &BOUNDS));
            match early {
                Ok(Some(head)) if late != Ok(Some(head.clone())) => return false,
                Err(_) if late.is_ok() => return false,
                _ => {}
            }
            let _ = answer(&bytes, &BOUNDS);
        }
        let chunks = mangled(&chunks, &seeds);
        let cut = usize::from(cut) % (chunks.len() + 1);
        read(Framing::Chunked, &[&chunks]) == read(Framing::Chunked, &[&chunks[..cut], &chunks[cut..]])
    }
    QuickCheck::new()
        .rng(Gen::new(200))
        .tests(DRAWN)
        .max_tests(DRAWN)
        .quickcheck(same as fn(_, _, _) -> bool);
}

#[test]
fn chunks_of_any_bytes_come_back() {
    fn back(parts: Vec<Vec<u8>>, sizes: Vec<u8>) -> bool {
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
    let check = back as fn(Vec<Vec<u8>>, Vec<u8>) -> bool;
    QuickCheck::new().rng(Gen::new(60)).tests(DRAWN / 4).max_tests(DRAWN / 4).quickcheck(check);
    assert_eq!(write::chunk(b"abc"), Bytes::from_static(b"3\r\nabc\r\n"));
}
