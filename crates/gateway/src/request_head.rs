//! The head of a client's request, parsed and checked.

use std::sync::Arc;

use tideroute_http::{number, Fields, Limits, Request};
use tideroute_wire::Micros;

use crate::capacity::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::headers::{self, hash_name, is_valid_trace_id};

/// Maximum remaining time in microseconds: a day is longer than any client waits, and keeps sums of times far from
/// overflow.
const MAX_REMAINING_TIME: Micros = 86_400_000_000;
/// Bytes of a body for each prompt token, used if the client does not send the prompt's length.
const BYTES_PER_TOKEN: usize = 4;
/// Limits of a client's request.
pub const REQUEST_LIMITS: Limits = Limits { head: MAX_HEAD_BYTES, fields: 64, body: MAX_BODY_BYTES as u64 };
const BAD_REQUEST: u16 = 400;

/// Why a request is not admitted, with the status of the response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Rejection {
    /// The HTTP status.
    pub status: u16,
    /// The text of the response.
    pub reason: &'static str,
}

impl Rejection {
    /// Creates a rejection.
    pub const fn new(status: u16, reason: &'static str) -> Rejection {
        Rejection { status, reason }
    }

    const fn bad_request(reason: &'static str) -> Rejection {
        Rejection::new(BAD_REQUEST, reason)
    }
}

/// A request's head, parsed.
#[derive(Debug)]
pub struct RequestHead {
    /// The request's trace id.
    pub trace_id: Arc<str>,
    /// The request class, by its index in the settings.
    pub class: u8,
    /// The session as a number, 0 for none.
    pub session: u64,
    /// The prompt's prefix as a number, 0 for none.
    pub prefix: u64,
    /// The prompt's length in tokens, if the client sent it.
    pub prompt_tokens: Option<u32>,
    /// Microseconds until the client's deadline.
    pub remaining_time: Micros,
    /// The request target, as it was sent.
    pub target: String,
    /// Header fields that are forwarded to workers.
    pub headers: Vec<(String, Vec<u8>)>,
}

impl RequestHead {
    /// Parses a head; `classes` are the names of the request classes in the order of the settings.
    pub fn parse(request: Request, classes: &[String]) -> Result<RequestHead, Rejection> {
        let fields = &request.fields;
        let trace_id = fields
            .one(headers::TRACE_ID)
            .filter(|trace_id| is_valid_trace_id(trace_id))
            .ok_or(Rejection::bad_request("x-trace-id must be there once, as letters and digits"))?;
        let class = fields
            .one(headers::CLASS)
            .and_then(|name| classes.iter().position(|class| class == name))
            .ok_or(Rejection::bad_request("x-qos must name a class of this deployment"))?;
        let remaining_ms = fields
            .one(headers::EXPIRES_IN_MS)
            .and_then(number)
            .ok_or(Rejection::bad_request("x-expires-in-ms must be whole milliseconds"))?;
        let session = parse_session(fields)?;
        let prompt = PromptProperties::parse(fields)?;
        Ok(RequestHead {
            trace_id: trace_id.into(),
            class: class as u8,
            session,
            prefix: prompt.prefix,
            prompt_tokens: prompt.tokens,
            remaining_time: remaining_ms.saturating_mul(1_000).min(MAX_REMAINING_TIME),
            headers: forwarded_headers(fields),
            target: request.target,
        })
    }

    /// Returns the prompt's length in tokens: as the client sent it, else estimated from the length of the body.
    pub fn prompt_tokens(&self, body_length: usize) -> u32 {
        self.prompt_tokens.unwrap_or((body_length / BYTES_PER_TOKEN) as u32)
    }
}

fn parse_session(fields: &Fields) -> Result<u64, Rejection> {
    match (fields.one_value(headers::SESSION), fields.has(headers::SESSION)) {
        (Some(name), _) => Ok(hash_name(name)),
        (None, false) => Ok(0),
        (None, true) => Err(Rejection::bad_request("x-object must be there once at most")),
    }
}

/// Returns the header fields to forward: all except the remaining time, which is computed anew for each attempt. The
/// key by which workers deduplicate is forwarded too.
fn forwarded_headers(fields: &Fields) -> Vec<(String, Vec<u8>)> {
    fields
        .end_to_end()
        .filter(|(name, _)| *name != headers::EXPIRES_IN_MS)
        .map(|(name, value)| (name.to_string(), value.to_vec()))
        .collect()
}

/// What a client states about its prompt.
#[derive(Default)]
struct PromptProperties {
    /// The prefix as a number, 0 for none.
    prefix: u64,
    tokens: Option<u32>,
}

impl PromptProperties {
    /// Parses the properties. Those that the router does not use are ignored, but their values are checked if their
    /// format is known.
    fn parse(fields: &Fields) -> Result<PromptProperties, Rejection> {
        let rejection =
            Rejection::bad_request("x-props must be pairs of name=value, with lengths as numbers");
        let mut properties = PromptProperties::default();
        if !fields.has(headers::PROPERTIES) {
            return Ok(properties);
        }
        let list = fields.one_value(headers::PROPERTIES).ok_or(rejection)?;
        let pairs = list.split(|&byte| byte == b',').map(<[u8]>::trim_ascii);
        for pair in pairs.filter(|pair| !pair.is_empty()) {
            let equals = pair.iter().position(|&byte| byte == b'=').ok_or(rejection)?;
            let (name, value) = (pair[..equals].trim_ascii(), pair[equals + 1..].trim_ascii());
            match name {
                b"prefix" => properties.prefix = hash_name(value).max(1),
                b"prompt_len" => properties.tokens = Some(parse_length(value).ok_or(rejection)?),
                b"prefix_len" | b"max_out" => drop(parse_length(value).ok_or(rejection)?),
                _ => {}
            }
        }
        Ok(properties)
    }
}

fn parse_length(value: &[u8]) -> Option<u32> {
    u32::try_from(number(std::str::from_utf8(value).ok()?)?).ok()
}

/// Returns whether a body is one JSON value. A body cut short by a wrong length is not, and is not sent to a worker.
pub fn is_json(body: &[u8]) -> bool {
    serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
}
