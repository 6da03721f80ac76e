//! Heads of requests and of answers.

use httparse::Status;

use crate::{number, Problem};

/// What a head may have at most, and the body that it announces.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub head: usize,
    pub fields: usize,
    pub body: u64,
}

/// Fields that are for one hop alone.
const ONE_HOP: [&str; 10] = [
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

/// Fields of one head; names are small.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<(String, String)>);

/// How a body's end is told.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Framing {
    Length(u64),
    Chunked,
    /// By the end of the connection.
    ToEnd,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub fields: Fields,
    pub framing: Framing,
    /// The client wants the connection closed after the answer.
    pub last: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub fields: Fields,
    pub framing: Framing,
    /// The server will close the connection after the body.
    pub last: bool,
}

impl Fields {
    fn new(headers: &[httparse::Header]) -> Result<Fields, Problem> {
        let mut fields = Vec::with_capacity(headers.len());
        for h in headers {
            let value = std::str::from_utf8(h.value).map_err(|_| Problem::NoText)?;
            fields.push((h.name.to_ascii_lowercase(), value.trim().to_string()));
        }
        Ok(Fields(fields))
    }

    /// The value of a field, if there is one; two of one name count as none.
    pub fn one(&self, name: &str) -> Option<&str> {
        let mut of_name = self.0.iter().filter(|(n, _)| n == name);
        of_name.next().filter(|_| of_name.next().is_none()).map(|(_, value)| value.as_str())
    }

    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn has(&self, name: &str) -> bool {
        self.all(name).next().is_some()
    }

    /// Those that go on to the next hop with the message: not the ones meant for this connection (RFC 9110, 7.6.1),
    /// nor what frames the body, which is framed anew.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &str)> {
        let goes = |name: &str| !ONE_HOP.contains(&name) && !self.lists("connection", name);
        self.0.iter().filter(move |(name, _)| goes(name)).map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Whether a list of words, which may be spread over several fields, has this one.
    fn lists(&self, name: &str, word: &str) -> bool {
        self.all(name).flat_map(|value| value.split(',')).any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    fn length(&self, most: u64) -> Result<Option<u64>, Problem> {
        let mut lengths = self.all("content-length");
        let Some(first) = lengths.next() else { return Ok(None) };
        // Two lengths, or one with a sign, would let two readers see two messages. One that no number holds is
        // still a number.
        if lengths.next().is_some() || first.is_empty() || !first.bytes().all(|b| b.is_ascii_digit()) {
            return Err(Problem::Length);
        }
        match number(first) {
            Some(length) if length <= most => Ok(Some(length)),
            _ => Err(Problem::BodyTooLarge(most)),
        }
    }

    /// The framing that the fields tell, if they tell any.
    fn framing(&self, most: u64) -> Result<Option<Framing>, Problem> {
        if !self.has("transfer-encoding") {
            return Ok(self.length(most)?.map(Framing::Length));
        }
        if self.has("content-length") {
            return Err(Problem::BothLengths);
        }
        let chunked = self.one("transfer-encoding").is_some_and(|c| c.eq_ignore_ascii_case("chunked"));
        if chunked {
            Ok(Some(Framing::Chunked))
        } else {
            Err(Problem::Coding)
        }
    }
}

/// Reads the head of a request that begins at the first byte, and how many bytes it takes; None while it is
/// incomplete.
pub fn request(arrived: &[u8], bounds: &Bounds) -> Result<Option<(Request, usize)>, Problem> {
    let mut headers = vec![httparse::EMPTY_HEADER; bounds.fields];
    let mut head = httparse::Request::new(&mut headers);
    let Some(length) = complete(head.parse(arrived), arrived, bounds)? else { return Ok(None) };
    if head.version != Some(1) {
        return Err(Problem::Version);
    }
    let fields = Fields::new(head.headers)?;
    let hosts = fields.all("host").count();
    if hosts != 1 {
        return Err(Problem::Host(hosts));
    }
    let request = Request {
        method: head.method.unwrap_or_default().to_string(),
        target: head.path.unwrap_or_default().to_string(),
        framing: fields.framing(bounds.body)?.unwrap_or(Framing::Length(0)),
        last: fields.lists("connection", "close"),
        fields,
    };
    Ok(Some((request, length)))
}

/// Reads the head of an answer in the same way. Heads of status 1xx are answers too, with no body.
pub fn answer(arrived: &[u8], bounds: &Bounds) -> Result<Option<(Answer, usize)>, Problem> {
    let mut headers = vec![httparse::EMPTY_HEADER; bounds.fields];
    let mut head = httparse::Response::new(&mut headers);
    let Some(length) = complete(head.parse(arrived), arrived, bounds)? else { return Ok(None) };
    if head.version != Some(1) {
        return Err(Problem::Version);
    }
    let (status, fields) = (head.code.unwrap_or_default(), Fields::new(head.headers)?);
    let framing = match status {
        // RFC 9112, 6.3: these have no body, whatever their fields say.
        100..=199 | 204 | 304 => Framing::Length(0),
        _ => fields.framing(bounds.body)?.unwrap_or(Framing::ToEnd),
    };
    let last = fields.lists("connection", "close") || framing == Framing::ToEnd;
    Ok(Some((Answer { status, framing, last, fields }, length)))
}

fn complete(
    parsed: Result<Status<usize>, httparse::Error>,
    arrived: &[u8],
    bounds: &Bounds,
) -> Result<Option<usize>, Problem> {
    match parsed {
        Ok(Status::Complete(length)) if length <= bounds.head => Ok(Some(length)),
        Ok(Status::Partial) if arrived.len() <= bounds.head => Ok(None),
        Ok(_) => Err(Problem::HeadTooLarge(bounds.head)),
        Err(httparse::Error::TooManyHeaders) => Err(Problem::TooManyFields(bounds.fields)),
        Err(e) => Err(Problem::Malformed(e)),
    }
}
