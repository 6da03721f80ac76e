//! HTTP responses.

use bytes::Bytes;
use tideroute_http::write;

/// An HTTP response.
#[derive(Debug, Default)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields without those that frame the body, which [`to_bytes`](Response::to_bytes) adds.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response with a JSON body.
    pub fn json(status: u16, body: &impl serde::Serialize) -> Response {
        // Serialization cannot fail: all maps in the serialized types have string keys.
        let body = serde_json::to_vec(body).unwrap_or_default();
        Response { status, headers: vec![("content-type", "application/json".into())], body }
    }

    /// Adds a header field.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Response {
        self.headers.push((name, value.into()));
        self
    }

    /// Encodes the response. With `is_last` it tells the client that the connection closes after it.
    pub fn to_bytes(&self, is_last: bool) -> Bytes {
        let headers = self.headers.iter().map(|(name, value)| (*name, value.as_str()));
        write::response(self.status, headers, &self.body, is_last)
    }
}
