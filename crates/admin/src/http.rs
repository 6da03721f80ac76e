//! Requests and replies of the API, over `tideroute-http`.

use bytes::{Buf, Bytes, BytesMut};
use percent_encoding::percent_decode_str;
use tideroute_http::{write, Bounds, Fields, Framing, Problem};

use crate::problem;

const BOUNDS: Bounds = Bounds { head: 16 << 10, fields: 64, body: 64 << 10 };

#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    /// Between slashes, decoded.
    pub path: Vec<String>,
    pub query: Vec<(String, String)>,
    fields: Fields,
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
        self.fields.one(name)
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
    let Some((head, length)) = tideroute_http::request(arrived, &BOUNDS).map_err(told)? else {
        return Ok(None);
    };
    let Framing::Length(body) = head.framing else { return Err(told(Problem::Coding)) };
    if (arrived.len() as u64) < length as u64 + body {
        return Ok(None);
    }
    arrived.advance(length);
    let mut request = Request {
        method: head.method,
        fields: head.fields,
        body: arrived.split_to(body as usize).freeze(),
        last: head.last,
        ..Request::default()
    };
    let target = head.target;
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
        write::answer(self.status, self.fields.iter().map(|(n, v)| (*n, v.as_str())), &self.body, last)
    }
}

/// What kept a request from being read, as a reply.
fn told(problem: Problem) -> Reply {
    let kind = match problem {
        Problem::HeadTooLarge(_) => "head-too-large",
        Problem::TooManyFields(_) => "too-many-fields",
        Problem::Version => "version",
        Problem::Coding => "transfer-encoding",
        Problem::Host(_) => "host",
        Problem::Length | Problem::BothLengths => "content-length",
        Problem::BodyTooLarge(_) => "too-large",
        _ => "malformed",
    };
    problem::reply(problem.status(), kind, problem.to_string())
}
