//! Parses the heads of requests and responses.

use httparse::Status;

use crate::{Fields, Framing, HttpError, Limits};

/// Number of fields for which room is made at first when a response is parsed. Most have fewer.
const USUAL_FIELDS: usize = 64;

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method, as it was sent.
    pub method: String,
    /// The request target: a path with its query.
    pub target: String,
    /// The fields.
    pub fields: Fields,
    /// The way in which the end of the body is determined.
    pub framing: Framing,
    /// Whether the client asks for the connection to be closed after the response.
    pub last: bool,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The fields.
    pub fields: Fields,
    /// The way in which the end of the body is determined.
    pub framing: Framing,
    /// Whether the server closes the connection after the body.
    pub last: bool,
}

/// Parses the head of a request that begins at the first byte. Returns it with its length in bytes; `None` while it is
/// incomplete.
pub fn request(buffer: &[u8], limits: &Limits) -> Result<Option<(Request, usize)>, HttpError> {
    let mut headers = vec![httparse::EMPTY_HEADER; limits.fields];
    let mut head = httparse::Request::new(&mut headers);
    let parsed = head.parse(buffer);
    let Some(length) = head_length(parsed, buffer, limits)? else { return Ok(None) };
    if head.version != Some(1) {
        return Err(HttpError::Version);
    }
    let fields = Fields::new(head.headers);
    let hosts = fields.all("host").count();
    if hosts != 1 {
        return Err(HttpError::Host(hosts));
    }
    let request = Request {
        method: head.method.unwrap_or_default().to_string(),
        target: head.path.unwrap_or_default().to_string(),
        framing: fields.framing(limits.body)?.unwrap_or(Framing::Length(0)),
        last: fields.lists("connection", "close"),
        fields,
    };
    Ok(Some((request, length)))
}

/// Parses the head of a response as [`request`] does that of a request. An informational head (status 1xx) is returned
/// as a response without a body.
///
/// What RFC 9110 and 9112 let a recipient of responses put up with is accepted: blanks before a field's colon, values
/// folded over several lines, and control characters in values, which are read as blanks.
pub fn response(buffer: &[u8], limits: &Limits) -> Result<Option<(Response, usize)>, HttpError> {
    match parse_response(buffer, limits) {
        Err(HttpError::Malformed(httparse::Error::HeaderValue)) => {
            let head = &buffer[..buffer.len().min(limits.head + 1)];
            parse_response(&with_blanks_for_control_characters(head), limits)
        }
        result => result,
    }
}

fn parse_response(buffer: &[u8], limits: &Limits) -> Result<Option<(Response, usize)>, HttpError> {
    let usual_fields = limits.fields.min(USUAL_FIELDS);
    match parse_response_fields(buffer, limits, usual_fields) {
        Err(HttpError::TooManyFields(_)) => parse_response_fields(buffer, limits, limits.fields),
        result => result,
    }
}

/// Parses the head of a response with at most `max_fields` fields.
fn parse_response_fields(
    buffer: &[u8],
    limits: &Limits,
    max_fields: usize,
) -> Result<Option<(Response, usize)>, HttpError> {
    let mut headers = vec![httparse::EMPTY_HEADER; max_fields];
    let mut head = httparse::Response::new(&mut headers);
    let mut parser = httparse::ParserConfig::default();
    parser.allow_spaces_after_header_name_in_responses(true);
    parser.allow_obsolete_multiline_headers_in_responses(true);
    let parsed = parser.parse_response(&mut head, buffer);
    let Some(length) = head_length(parsed, buffer, limits)? else { return Ok(None) };
    if head.version != Some(1) {
        return Err(HttpError::Version);
    }
    let status = head.code.unwrap_or_default();
    let fields = Fields::new(head.headers);
    let framing = match status {
        // RFC 9112, 6.3: responses with these statuses have no body, whatever their fields say.
        100..=199 | 204 | 304 => Framing::Length(0),
        _ => fields.framing(limits.body)?.unwrap_or(Framing::ToEnd),
    };
    let last = fields.lists("connection", "close") || framing == Framing::ToEnd;
    Ok(Some((Response { status, framing, last, fields }, length)))
}

/// Returns the head at the start of `received`, in which each control character in a field's value is a blank (RFC 9110,
/// 5.5). Names and the first line stay as they are.
fn with_blanks_for_control_characters(received: &[u8]) -> Vec<u8> {
    let mut head = vec![];
    let mut is_first_line = true;
    for line in received.split_inclusive(|&byte| byte == b'\n') {
        let is_empty = matches!(line, b"\r\n" | b"\n");
        if is_empty || is_first_line {
            head.extend_from_slice(line);
        } else {
            append_field_line(&mut head, line);
        }
        if is_empty && !is_first_line {
            break;
        }
        // Empty lines before the first line are ignored (RFC 9112, 2.2).
        is_first_line &= is_empty;
    }
    head
}

/// Appends a line of a head, with blanks for the control characters in the value.
fn append_field_line(head: &mut Vec<u8>, line: &[u8]) {
    let value_start = match line.first() {
        // The line continues the value of the line before it.
        Some(b' ' | b'\t') => 0,
        _ => line.iter().position(|&byte| byte == b':').map_or(line.len(), |colon| colon + 1),
    };
    let (name, value) = line.split_at(value_start);
    let line_end = if value.ends_with(b"\r\n") { 2 } else { usize::from(value.ends_with(b"\n")) };
    let (value, line_end) = value.split_at(value.len() - line_end);
    head.extend_from_slice(name);
    head.extend(value.iter().map(|&byte| if byte.is_ascii_control() { b' ' } else { byte }));
    head.extend_from_slice(line_end);
}

/// Returns the length in bytes of a complete head within the limits; `None` while the head is incomplete.
fn head_length(
    parsed: Result<Status<usize>, httparse::Error>,
    buffer: &[u8],
    limits: &Limits,
) -> Result<Option<usize>, HttpError> {
    match parsed {
        Ok(Status::Complete(length)) if length <= limits.head => Ok(Some(length)),
        Ok(Status::Partial) if buffer.len() <= limits.head => Ok(None),
        Ok(_) => Err(HttpError::HeadTooLarge(limits.head)),
        Err(httparse::Error::TooManyHeaders) => Err(HttpError::TooManyFields(limits.fields)),
        Err(error) => Err(HttpError::Malformed(error)),
    }
}
