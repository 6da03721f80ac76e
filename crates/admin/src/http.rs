//! HTTP/1.1 as bytes: requests cut out of what arrived, replies made into bytes.

use bytes::{Buf, Bytes, BytesMut};
use percent_encoding::percent_decode_str;

use crate::problem;

/// Bytes and fields that the head of a request may have, and bytes of its body.
const HEAD: usize = 16 << 10;
const FIELDS: usize = 64;
pub const BODY: usize = 64 << 10;

#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    /// Between slashes, decoded.
    pub path: Vec<String>,
    pub query: Vec<(String, String)>,
    /// Names small.
    fields: Vec<(String, String)>,
    pub body: Bytes,
    /// The connection ends after the reply.
    pub last: bool,
}

#[derive(Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub fields: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a field, if there is one; two of one name count as none.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut of_name = self.fields.iter().filter(|(n, _)| n == name);
        of_name.next().filter(|_| of_name.next().is_none()).map(|(_, value)| value.as_str())
    }

    pub fn asked(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// Takes the next whole request off the front; None while it is incomplete. After a problem nothing more can be
/// read from the connection, as nobody knows where the next request begins.
pub fn next(arrived: &mut BytesMut) -> Result<Option<Request>, Reply> {
    // RFC 9112, 2.2: empty lines before a request are passed over.
    while arrived.starts_with(b"\r\n") {
        arrived.advance(2);
    }
    let mut fields = [httparse::EMPTY_HEADER; FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let length = match head.parse(arrived) {
        Ok(httparse::Status::Complete(length)) if length <= HEAD => length,
        Ok(httparse::Status::Partial) if arrived.len() <= HEAD => return Ok(None),
        Ok(_) => return Err(problem::reply(431, "head-too-large", "the head is over 16 KiB")),
        Err(httparse::Error::TooManyHeaders) => {
            return Err(problem::reply(431, "too-many-fields", "there are over 64 fields"));
        }
        Err(e) => return Err(problem::reply(400, "malformed", format!("the head of the request: {e}"))),
    };
    if head.version != Some(1) {
        return Err(problem::reply(505, "version", "HTTP/1.1 is spoken here"));
    }
    let mut request = Request { method: head.method.unwrap_or_default().to_string(), ..Request::default() };
    for field in head.headers.iter() {
        let value = std::str::from_utf8(field.value)
            .map_err(|_| problem::reply(400, "malformed", format!("the field {} is no text", field.name)))?;
        request.fields.push((field.name.to_ascii_lowercase(), value.trim().to_string()));
    }
    if request.fields.iter().any(|(name, _)| name == "transfer-encoding") {
        return Err(problem::reply(501, "transfer-encoding", "bodies have a content-length here"));
    }
    let hosts = request.fields.iter().filter(|(name, _)| name == "host").count();
    if hosts != 1 {
        return Err(problem::reply(400, "host", format!("{hosts} host fields; one is needed")));
    }
    // Two lengths, or one with a sign, would let two readers see two requests.
    let lengths: Vec<_> = request.fields.iter().filter(|(name, _)| name == "content-length").collect();
    let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let body = match lengths.as_slice() {
        [] => 0,
        [(_, text)] if digits(text) => text.parse::<usize>().unwrap_or(usize::MAX),
        _ => return Err(problem::reply(400, "content-length", "the length of the body is not one number")),
    };
    if body > BODY {
        return Err(problem::reply(413, "too-large", format!("the body is over {BODY} bytes")));
    }
    request.last = request.field("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
    let target = head.path.unwrap_or_default().to_string();
    if arrived.len() < length + body {
        return Ok(None);
    }
    arrived.advance(length);
    request.body = arrived.split_to(body).freeze();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let decode = |text: &str| {
        let text = percent_decode_str(text).decode_utf8().map(|text| text.into_owned());
        text.map_err(|_| problem::reply(400, "malformed", "the address is no UTF-8"))
    };
    let Some(path) = path.strip_prefix('/') else {
        return Err(problem::reply(400, "malformed", "the address does not begin with /"));
    };
    for part in path.split('/') {
        request.path.push(decode(part)?);
    }
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        request.query.push((decode(name)?, decode(value)?));
    }
    Ok(Some(request))
}

impl Reply {
    pub fn json(status: u16, body: &impl serde::Serialize) -> Reply {
        // What is replied are our own types, which have no maps with keys that are not text.
        let body = serde_json::to_vec(body).unwrap_or_default();
        Reply { status, fields: vec![("content-type", "application/json".into())], body }
    }

    pub fn with(mut self, field: &'static str, value: impl Into<String>) -> Reply {
        self.fields.push((field, value.into()));
        self
    }

    pub fn bytes(&self, last: bool) -> Bytes {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        for (name, value) in &self.fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        // RFC 9110, 8.6: no length with 204.
        if self.status != 204 {
            head.push_str(&format!("content-length: {}\r\n", self.body.len()));
        }
        head.push_str(if last { "connection: close\r\n\r\n" } else { "\r\n" });
        [head.as_bytes(), &self.body].concat().into()
    }
}

pub fn reason(status: u16) -> &'static str {
    match status {
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
        422 => "Unprocessable Content",
        428 => "Precondition Required",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        507 => "Insufficient Storage",
        _ => "Error",
    }
}
