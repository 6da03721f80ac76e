//! Discarded requests are counted the same wherever their bytes are divided.

use super::*;
use crate::request_head::REQUEST_LIMITS;

const LENGTH: &str = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n{\"a\":\"GET /\n\nHTTPS\"}";
const CHUNKED: &str =
    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{\r\n\r\n2\r\n }\r\n0\r\n\r\n";
const WITHOUT_BODY: &str = "\r\nGET /up HTTP/1.1\r\nHost: a\r\n\r\n";

fn discard_in_pieces(bytes: &str, piece_length: usize) -> RefusedRequests {
    let mut refused = RefusedRequests::default();
    bytes.as_bytes().chunks(piece_length).for_each(|piece| refused.discard(piece, &REQUEST_LIMITS));
    refused
}

fn count(refused: &mut RefusedRequests) -> usize {
    std::iter::from_fn(|| refused.take_complete().then_some(())).count()
}

#[test]
fn requests_are_counted_however_they_are_divided() {
    let requests = [LENGTH, CHUNKED, WITHOUT_BODY, LENGTH].concat();
    let partial_head = "GET /up HTTP/1.1\r\nHo";
    for piece_length in 1..requests.len() {
        let mut refused = discard_in_pieces(&format!("{requests}{partial_head}"), piece_length);
        assert_eq!(count(&mut refused), 4, "in pieces of {piece_length} bytes");
        let rest = refused.into_rest();
        assert!(matches!(rest, AfterRefused::Head(head) if head == partial_head), "{piece_length}");
    }
}

#[test]
fn a_body_in_progress_and_malformed_bytes_are_told_from_the_next_head() {
    let (partial_body, _) = LENGTH.split_at(LENGTH.len() - 5);
    for piece_length in [1, 7, 1_000] {
        let mut refused = discard_in_pieces(&format!("{WITHOUT_BODY}{partial_body}"), piece_length);
        assert_eq!(count(&mut refused), 1);
        assert!(matches!(refused.into_rest(), AfterRefused::Body(_)));
        let mut refused = discard_in_pieces(&format!("{CHUNKED}no request\r\n\r\n{LENGTH}"), piece_length);
        assert_eq!(count(&mut refused), 1);
        assert!(matches!(refused.into_rest(), AfterRefused::Malformed));
    }
}
