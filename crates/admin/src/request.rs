//! HTTP requests, which `tideroute-http` parses.

use bytes::{Buf, Bytes, BytesMut};
use percent_encoding::percent_decode_str;
use tideroute_http::{Fields, Framing, HttpError, Limits};

use crate::api_error::{ApiError, ProblemKind};

/// Maximum size of head and body in bytes, and maximum number of header fields.
const LIMITS: Limits = Limits { head: 16 << 10, fields: 64, body: 64 << 10 };

/// A complete HTTP request.
#[derive(Debug, Default)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The segments of the path, percent-decoded.
    pub path: Vec<String>,
    /// Names and values of the query's parameters, percent-decoded.
    pub query: Vec<(String, String)>,
    headers: Fields,
    /// The body.
    pub body: Bytes,
    /// Whether the connection closes after the response.
    pub is_last: bool,
}

impl Request {
    /// Returns the value of a header field; `None` if it is missing or occurs more than once.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.one(name)
    }

    /// Returns the first value of a query parameter.
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        let parameter = self.query.iter().find(|(parameter_name, _)| parameter_name == name);
        parameter.map(|(_, value)| value.as_str())
    }

    /// Returns the value of a numeric query parameter, or `None` if the parameter is missing.
    pub(crate) fn query_number(&self, name: &str) -> Result<Option<u64>, ApiError> {
        let Some(text) = self.query_parameter(name) else { return Ok(None) };
        let number = text.parse().map_err(|_| {
            let detail = format!("{name} is {text:?}, no number");
            ApiError::new(400, ProblemKind::Query, detail).with_field(name)
        })?;
        Ok(Some(number))
    }
}

/// Removes the next complete request from the front of `received`; returns `None` while the request is incomplete.
/// After an error the connection must be closed, because the start of the next request is unknown.
pub(crate) fn take_request(received: &mut BytesMut) -> Result<Option<Request>, ApiError> {
    // Empty lines before a request are ignored (RFC 9112, 2.2).
    while received.starts_with(b"\r\n") {
        received.advance(2);
    }
    let Some((head, head_length)) = tideroute_http::request(received, &LIMITS).map_err(parse_error)? else {
        return Ok(None);
    };
    let Framing::Length(body_length) = head.framing else { return Err(parse_error(HttpError::Coding)) };
    if (received.len() as u64) < head_length as u64 + body_length {
        return Ok(None);
    }
    received.advance(head_length);
    let mut request = Request {
        method: head.method,
        headers: head.fields,
        body: received.split_to(body_length as usize).freeze(),
        is_last: head.last,
        ..Request::default()
    };
    parse_target(&head.target, &mut request)?;
    Ok(Some(request))
}

fn parse_target(target: &str, request: &mut Request) -> Result<(), ApiError> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let Some(path) = path.strip_prefix('/') else {
        return Err(ApiError::new(400, ProblemKind::Malformed, "the address does not begin with /"));
    };
    for segment in path.split('/') {
        request.path.push(percent_decode(segment)?);
    }
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        request.query.push((percent_decode(name)?, percent_decode(value)?));
    }
    Ok(())
}

fn percent_decode(text: &str) -> Result<String, ApiError> {
    match percent_decode_str(text).decode_utf8() {
        Ok(decoded) => Ok(decoded.into_owned()),
        Err(_) => Err(ApiError::new(400, ProblemKind::Malformed, "the address is no UTF-8")),
    }
}

fn parse_error(error: HttpError) -> ApiError {
    let kind = match error {
        HttpError::HeadTooLarge(_) => ProblemKind::HeadTooLarge,
        HttpError::TooManyFields(_) => ProblemKind::TooManyFields,
        HttpError::Version => ProblemKind::Version,
        HttpError::Coding => ProblemKind::TransferEncoding,
        HttpError::Host(_) => ProblemKind::Host,
        HttpError::Length | HttpError::BothLengths => ProblemKind::ContentLength,
        HttpError::BodyTooLarge(_) => ProblemKind::TooLarge,
        _ => ProblemKind::Malformed,
    };
    ApiError::new(error.status(), kind, error.to_string())
}
