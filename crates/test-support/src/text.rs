//! The texts that clients, workers and discovery say on the platform's protocol.

use tideroute_wire::Micros;

/// The moment at which virtual time begins.
pub const BEGAN: Micros = 1_700_000_000_000_000;
/// Microseconds of a millisecond.
pub const MS: Micros = 1_000;
/// Where discovery is in virtual time.
pub const DISCOVERY: &str = "127.0.9.9:85";

/// Where a worker is in virtual time.
pub fn address_of(worker: usize) -> String {
    format!("127.0.1.{}:80", worker + 1)
}

/// A client's request that waits four seconds.
pub fn ask(trace: &str, track: &str) -> String {
    ask_for(trace, track, 4_000, r#"{"model":"m","messages":[]}"#)
}

/// A client's request of a class, with how long it waits and its body.
pub fn ask_for(trace: &str, track: &str, left: u64, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {trace}\r\nX-Qos: {track}\r\n\
         X-Object: 7f3a\r\nX-Expires-In-Ms: {left}\r\nX-Props: prefix=5c0f,prompt_len=500,prefix_len=200,max_out=80\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A whole answer.
pub fn plain(status: u16, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} Some\r\n{fields}content-length: {}\r\n\r\n{body}", body.len())
}

/// A reader's answer: the prompt is read.
pub const READ: &str = "HTTP/1.1 202 Accepted\r\ncontent-length: 20\r\n\r\n{\"cached_tokens\":10}";
/// A worker's refusal.
pub const NEVER_RAN: &str = "HTTP/1.1 503 Full\r\nx-never-ran: 1\r\ncontent-length: 0\r\n\r\n";
/// The head of a stream.
pub const HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
/// The events of a stream.
pub const EVENTS: [&str; 3] = ["data: {\"a\":1}\n\n", "data: {\"b\":2}\n\n", "data: [DONE]\n\n"];

/// One chunk of a body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A whole stream as a worker sends it.
pub fn stream() -> String {
    format!("{HEAD}{}0\r\n\r\n", EVENTS.map(chunk).concat())
}

/// The body of a chunked answer, and whether its last chunk is there.
pub fn unchunked(text: &str) -> (String, bool) {
    let (mut left, mut body) = (text.split_once("\r\n\r\n").map_or("", |(_, b)| b), String::new());
    while let Some((size, rest)) = left.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a size");
        if size == 0 {
            return (body, rest == "\r\n");
        }
        body.push_str(&rest[..size]);
        left = &rest[size + 2..];
    }
    (body, false)
}
