//! HTTP requests, parsed by `tideroute-http`.

use bytes::{Buf, Bytes, BytesMut};
use percent_encoding::percent_decode_str;
use tideroute_http::{Fields, Framing, HttpError, Limits};

use crate::api_error::{ApiError, ProblemKind};

/// Largest head and body in bytes, and most header fields.
const BOUNDS: Limits = Limits { head: 16 << 10, fields: 64, body: 64 << 10 };

/// A complete HTTP request.
#[derive(Debug, Default)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The segments of the path, decoded.
    pub path: Vec<String>,
    /// Names and values of the query, decoded.
    pub query: Vec<(String, String)>,
    headers: Fields,
    /// The body.
    pub body: Bytes,
    /// The connection closes after the response.
    pub is_last: bool,
}

impl Request {
    /// The value of a header field; `None` if there is none, or several of the name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.one(name)
    }

    /// The first value of a query parameter.
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        let parameter = self.query.iter().find(|(parameter_name, _)| parameter_name == name);
        parameter.map(|(_, value)| value.as_str())
    }

    /// The number in a query parameter, if it is given.
    pub(crate) fn query_number(&self, name: &str) -> Result<Option<u64>, ApiError> {
        let Some(text) = self.query_parameter(name) else { return Ok(None) };
        let number = text.parse().map_err(|_| {
            let detail = format!("{name} is {text:?}, no number");
            ApiError::new(400, ProblemKind::Query, detail).with_field(name)
        })?;
        Ok(Some(number))
    }
}

/// Takes the next complete request from the front of `received`; `None` while it is incomplete. After an error the
/// connection cannot be used any more, as the beginning of the next request is unknown.
pub(crate) fn take_request(received: &mut BytesMut) -> Result<Option<Request>, ApiError> {
    // RFC 9112, 2.2: empty lines before a request are ignored.
    while received.starts_with(b"\r\n") {
        received.advance(2);
    }
    let Some((head, head_length)) = tideroute_http::request(received, &BOUNDS).map_err(parse_error)? else {
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

fn parse_error(problem: HttpError) -> ApiError {
    let kind = match problem {
        HttpError::HeadTooLarge(_) => ProblemKind::HeadTooLarge,
        HttpError::TooManyFields(_) => ProblemKind::TooManyFields,
        HttpError::Version => ProblemKind::Version,
        HttpError::Coding => ProblemKind::TransferEncoding,
        HttpError::Host(_) => ProblemKind::Host,
        HttpError::Length | HttpError::BothLengths => ProblemKind::ContentLength,
        HttpError::BodyTooLarge(_) => ProblemKind::TooLarge,
        _ => ProblemKind::Malformed,
    };
    ApiError::new(problem.status(), kind, problem.to_string())
}
