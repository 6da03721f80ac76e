//! The fields of a head, and how they frame the body.

use crate::{number, HttpError};

/// Fields that are for one hop alone.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The fields of one head, in order; names are in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<(String, String)>);

/// How the end of a body is known.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    ToEnd,
}

impl Fields {
    pub(crate) fn new(headers: &[httparse::Header]) -> Result<Fields, HttpError> {
        let mut fields = Vec::with_capacity(headers.len());
        for header in headers {
            let value = std::str::from_utf8(header.value).map_err(|_| HttpError::NoText)?;
            fields.push((header.name.to_ascii_lowercase(), value.trim().to_string()));
        }
        Ok(Fields(fields))
    }

    /// The value of the only field of that name; None if there is none, or more than one.
    pub fn one(&self, name: &str) -> Option<&str> {
        let mut values = self.0.iter().filter(|(field, _)| field == name).map(|(_, value)| value.as_str());
        let first = values.next()?;
        if values.next().is_some() {
            return None;
        }
        Some(first)
    }

    /// The values of all fields of that name, in order.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    /// Whether there is a field of that name.
    pub fn has(&self, name: &str) -> bool {
        self.all(name).next().is_some()
    }

    /// The fields that are forwarded to the next hop: not those meant for this connection (RFC 9110, 7.6.1), nor those
    /// that frame the body, which is framed anew.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &str)> {
        let is_forwarded = |name: &str| !HOP_BY_HOP.contains(&name) && !self.lists("connection", name);
        self.0
            .iter()
            .filter(move |(name, _)| is_forwarded(name))
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Whether a comma-separated list, which may be spread over several fields, contains this token.
    pub(crate) fn lists(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|listed| listed.trim().eq_ignore_ascii_case(token))
    }

    /// The framing of the body, if the fields tell any.
    pub(crate) fn framing(&self, max_body: u64) -> Result<Option<Framing>, HttpError> {
        if !self.has("transfer-encoding") {
            return Ok(self.content_length(max_body)?.map(Framing::Length));
        }
        if self.has("content-length") {
            return Err(HttpError::BothLengths);
        }
        match self.one("transfer-encoding") {
            Some(coding) if coding.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
            _ => Err(HttpError::Coding),
        }
    }

    fn content_length(&self, max_body: u64) -> Result<Option<u64>, HttpError> {
        let mut lengths = self.all("content-length");
        let Some(first) = lengths.next() else { return Ok(None) };
        // Two lengths, or one with a sign, would let two parsers see two messages. One that does not fit into a number
        // is still a length.
        let is_decimal = !first.is_empty() && first.bytes().all(|byte| byte.is_ascii_digit());
        if lengths.next().is_some() || !is_decimal {
            return Err(HttpError::Length);
        }
        match number(first) {
            Some(length) if length <= max_body => Ok(Some(length)),
            _ => Err(HttpError::BodyTooLarge(max_body)),
        }
    }
}
