//! Encodes messages as bytes.

use bytes::{BufMut, Bytes, BytesMut};

/// Maximum number of bytes that a chunk adds to its data: up to eight hexadecimal digits and two line breaks.
const CHUNK_OVERHEAD: usize = 12;

/// The last chunk, without a trailer.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Encodes a request; `body` is `None` for a request without a body.
pub fn request<'a>(
    method: &str,
    target: &str,
    fields: impl IntoIterator<Item = (&'a str, &'a str)>,
    body: Option<&[u8]>,
) -> Bytes {
    let mut head = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    write_fields(&mut head, fields);
    with_body(head, body)
}

/// Encodes the head of a request whose body of `body_length` bytes the caller sends behind it. The values of the fields
/// need not be text.
pub fn request_head<'a>(
    method: &str,
    target: &str,
    fields: impl IntoIterator<Item = (&'a str, &'a [u8])>,
    body_length: usize,
) -> Bytes {
    let mut head = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    write_fields(&mut head, fields);
    end_head(&mut head, body_length);
    head.into()
}

/// Encodes a response with a complete body. With `last`, the response announces that the connection closes after it.
pub fn response<'a>(
    status: u16,
    fields: impl IntoIterator<Item = (&'a str, &'a str)>,
    body: &[u8],
    last: bool,
) -> Bytes {
    let mut head = response_head(status, fields, last);
    // RFC 9110, 8.6: a response with status 1xx or 204 has no Content-Length.
    if status == 204 || status < 200 {
        head.extend_from_slice(b"\r\n");
        return head.into();
    }
    with_body(head, Some(body))
}

/// Encodes the head of a response whose body follows in chunks. With `last`, the response announces that the connection
/// closes after it.
pub fn chunked_head<'a>(
    status: u16,
    fields: impl IntoIterator<Item = (&'a str, &'a str)>,
    last: bool,
) -> Bytes {
    let mut head = response_head(status, fields, last);
    head.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
    head.into()
}

/// Encodes a chunk. `data` must not be empty, because an empty chunk ends the body.
pub fn chunk(data: &[u8]) -> Bytes {
    let mut chunk = BytesMut::with_capacity(data.len() + CHUNK_OVERHEAD);
    chunk.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    chunk.put_slice(data);
    chunk.put_slice(b"\r\n");
    chunk.freeze()
}

fn response_head<'a>(
    status: u16,
    fields: impl IntoIterator<Item = (&'a str, &'a str)>,
    last: bool,
) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status)).into_bytes();
    write_fields(&mut head, fields);
    if last {
        head.extend_from_slice(b"connection: close\r\n");
    }
    head
}

fn write_fields<'a, V: AsRef<[u8]> + ?Sized + 'a>(
    head: &mut Vec<u8>,
    fields: impl IntoIterator<Item = (&'a str, &'a V)>,
) {
    for (name, value) in fields {
        head.extend_from_slice(name.as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value.as_ref());
        head.extend_from_slice(b"\r\n");
    }
}

/// Appends the Content-Length field and the end of the head.
fn end_head(head: &mut Vec<u8>, body_length: usize) {
    head.extend_from_slice(format!("content-length: {body_length}\r\n\r\n").as_bytes());
}

/// Returns the message of a head and a body, with a Content-Length field if there is a body.
fn with_body(mut head: Vec<u8>, body: Option<&[u8]>) -> Bytes {
    let Some(body) = body else {
        head.extend_from_slice(b"\r\n");
        return head.into();
    };
    end_head(&mut head, body.len());
    head.extend_from_slice(body);
    head.into()
}

/// Returns the reason phrase of a status code (RFC 9110, 15).
pub fn reason(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        417 => "Expectation Failed",
        422 => "Unprocessable Content",
        428 => "Precondition Required",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        507 => "Insufficient Storage",
        _ => "Error",
    }
}
