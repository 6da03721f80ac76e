//! What a client asks, out of the head of its request.

use std::sync::Arc;

use bytes::Bytes;
use tideroute_http::{number, Fields, Request};
use tideroute_wire::event_loop::ConnectionId;
use tideroute_wire::Micros;

use crate::headers::{self, is_trace, number_of};

/// Microseconds: a day is longer than any client waits, and keeps sums of times far from their ends.
const DAY: Micros = 86_400_000_000;
/// Letters of a prompt for each of its tokens, where the client does not say how long it is.
const LETTERS: usize = 4;

/// What the protocol keeps of a submission beside the books.
pub struct Asked {
    pub client: ConnectionId,
    pub trace: Arc<str>,
    pub target: String,
    /// Fields that go on to workers.
    pub fields: Vec<(String, String)>,
    /// Kept while another shot may need it.
    pub body: Bytes,
}

/// A request's head, understood.
#[derive(Debug)]
pub struct Ask {
    pub trace: Arc<str>,
    pub class: u8,
    pub session: u64,
    pub prefix: u64,
    pub prompt_tokens: Option<u32>,
    pub left: Micros,
    pub target: String,
    pub fields: Vec<(String, String)>,
}

/// Why a request is not taken, with the status that says so.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Refusal(pub u16, pub &'static str);

const BAD: u16 = 400;

impl Ask {
    /// Understands the head of a submission; the names of tracks come in their order.
    pub fn read(request: Request, classes: &[String]) -> Result<Ask, Refusal> {
        let fields = &request.fields;
        let trace = fields.one(headers::TRACE).filter(|t| is_trace(t));
        let trace = trace.ok_or(Refusal(BAD, "x-trace-id must be there once, as letters and digits"))?;
        let class = fields.one(headers::CLASS).and_then(|name| classes.iter().position(|t| t == name));
        let class = class.ok_or(Refusal(BAD, "x-qos must name a class of this deployment"))?;
        let left = fields.one(headers::LEFT).and_then(number);
        let left = left.ok_or(Refusal(BAD, "x-expires-in-ms must be whole milliseconds"))?;
        let session = match (fields.one(headers::SESSION), fields.has(headers::SESSION)) {
            (Some(name), _) => number_of(name),
            (None, false) => 0,
            (None, true) => return Err(Refusal(BAD, "x-object must be there once at most")),
        };
        let (prefix, prompt_tokens) = sizes(fields)?;
        // Workers are told anew how long the router waits; all else is theirs to understand, as the key by which they
        // know a repeat again.
        let passed = fields.end_to_end().filter(|(name, _)| *name != headers::LEFT);
        Ok(Ask {
            trace: trace.into(),
            class: class as u8,
            session,
            prefix,
            prompt_tokens,
            left: left.saturating_mul(1_000).min(DAY),
            fields: passed.map(|(name, value)| (name.to_string(), value.to_string())).collect(),
            target: request.target,
        })
    }

    /// How long the prompt is, by what the client said or else by its body.
    pub fn prompt_tokens(&self, body: usize) -> u32 {
        self.prompt_tokens.unwrap_or((body / LETTERS) as u32)
    }
}

/// The prefix as a number, 0 for none, and the prompt's length if it is told. What else is named there is not
/// needed.
fn sizes(fields: &Fields) -> Result<(u64, Option<u32>), Refusal> {
    let bad = Refusal(BAD, "x-props must be pairs of name=value, with lengths as numbers");
    let (mut prefix, mut prompt) = (0, None);
    if !fields.has(headers::SIZES) {
        return Ok((prefix, prompt));
    }
    for pair in fields.one(headers::SIZES).ok_or(bad)?.split(',').map(str::trim).filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or(bad)?;
        match name.trim() {
            "prefix" => prefix = number_of(value.trim()).max(1),
            "prompt_len" => prompt = Some(length(value).ok_or(bad)?),
            "prefix_len" | "max_out" => drop(length(value).ok_or(bad)?),
            _ => {}
        }
    }
    Ok((prefix, prompt))
}

fn length(value: &str) -> Option<u32> {
    u32::try_from(number(value.trim())?).ok()
}

/// Whether a body is one JSON value: one that was cut by a wrong length is not, and goes to no worker.
pub fn is_json(body: &[u8]) -> bool {
    serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
}
