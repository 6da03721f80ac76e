//! The header fields of a message, and the framing of the body that they determine.

use crate::{number, HttpError};

/// Fields that apply to a single hop.
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

/// The fields of a head, in order; names are in lower case. A value may hold any bytes that HTTP allows, also such as are
/// no text (RFC 9110, 5.5).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<(String, Vec<u8>)>);

/// The way in which the end of a body is determined.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Framing {
    /// The body has this number of bytes.
    Length(u64),
    /// The body ends with the last chunk.
    Chunked,
    /// The body ends with the connection.
    ToEnd,
}

impl Fields {
    pub(crate) fn new(headers: &[httparse::Header]) -> Fields {
        let fields = headers
            .iter()
            .map(|header| (header.name.to_ascii_lowercase(), header.value.trim_ascii().to_vec()))
            .collect();
        Fields(fields)
    }

    /// Returns the value of the only field with this name; `None` if there is no such field, or more than one.
    pub fn one_value(&self, name: &str) -> Option<&[u8]> {
        let mut values = self.0.iter().filter(|(field, _)| field == name).map(|(_, value)| value.as_slice());
        let first = values.next()?;
        if values.next().is_some() {
            return None;
        }
        Some(first)
    }

    /// Returns what [`one_value`](Self::one_value) does, as text; `None` also if the value is no UTF-8.
    pub fn one(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.one_value(name)?).ok()
    }

    /// Returns the values of all fields with this name, in order.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.0.iter().filter(move |(field, _)| field == name).map(|(_, value)| value.as_slice())
    }

    /// Returns whether there is a field with this name.
    pub fn has(&self, name: &str) -> bool {
        self.all(name).next().is_some()
    }

    /// Returns the fields that are forwarded to the next hop. Leaves out fields that apply to this connection only (RFC
    /// 9110, 7.6.1) and fields that frame the body, whose framing the next hop's message sets itself.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let is_forwarded = |name: &str| !HOP_BY_HOP.contains(&name) && !self.lists("connection", name);
        self.0
            .iter()
            .filter(move |(name, _)| is_forwarded(name))
            .map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Returns whether the comma-separated list in the fields with this name contains this token, ignoring case.
    pub(crate) fn lists(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(|&byte| byte == b','))
            .any(|listed| listed.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Returns the framing of the body; `None` if no field determines it.
    pub(crate) fn framing(&self, max_body: u64) -> Result<Option<Framing>, HttpError> {
        if !self.has("transfer-encoding") {
            return Ok(self.content_length(max_body)?.map(Framing::Length));
        }
        if self.has("content-length") {
            return Err(HttpError::BothLengths);
        }
        match self.one_value("transfer-encoding") {
            Some(coding) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Some(Framing::Chunked)),
            _ => Err(HttpError::Coding),
        }
    }

    fn content_length(&self, max_body: u64) -> Result<Option<u64>, HttpError> {
        let mut lengths = self.all("content-length");
        let Some(first) = lengths.next() else { return Ok(None) };
        // Two lengths, or a length with a sign, could be read differently by different parsers. A length that does not
        // fit into a u64 is valid, but too large.
        let is_decimal = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
        if lengths.next().is_some() || !is_decimal {
            return Err(HttpError::Length);
        }
        match std::str::from_utf8(first).ok().and_then(number) {
            Some(length) if length <= max_body => Ok(Some(length)),
            _ => Err(HttpError::BodyTooLarge(max_body)),
        }
    }
}
