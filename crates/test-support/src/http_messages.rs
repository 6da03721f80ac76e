//! HTTP/1.1 messages as clients and workers write them, and functions to parse such messages.

/// Remaining time that a [`chat_request`] states, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 4_000;

/// Returns a client's request of a class, whose client waits four seconds.
pub fn chat_request(trace_id: &str, class: &str) -> String {
    chat_request_with(trace_id, class, DEFAULT_DEADLINE_MS, r#"{"model":"m","messages":[]}"#)
}

/// Returns a client's request of a class, with the milliseconds until its deadline and its body.
pub fn chat_request_with(trace_id: &str, class: &str, deadline_ms: u64, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: {trace_id}\r\nX-Qos: {class}\r\n\
         X-Object: 7f3a\r\nX-Expires-In-Ms: {deadline_ms}\r\n\
         X-Props: prefix=5c0f,prompt_len=500,prefix_len=200,max_out=80\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a complete response. Each of the `header_lines` ends with CRLF.
pub fn response(status: u16, header_lines: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} Some\r\n{header_lines}content-length: {}\r\n\r\n{body}", body.len())
}

/// A prefill worker's response to a completed prefill, after which the worker holds the KV state.
pub const PREFILL_COMPLETE: &str =
    "HTTP/1.1 202 Accepted\r\ncontent-length: 20\r\n\r\n{\"cached_tokens\":10}";
/// A worker's rejection of an attempt that it never ran.
pub const NEVER_RAN: &str = "HTTP/1.1 503 Full\r\nx-never-ran: 1\r\ncontent-length: 0\r\n\r\n";
/// The head of a streamed response.
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
/// The server-sent events of a streamed response.
pub const STREAM_EVENTS: [&str; 3] = ["data: {\"a\":1}\n\n", "data: {\"b\":2}\n\n", "data: [DONE]\n\n"];

/// Returns one chunk of a body in chunked transfer coding.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// Returns a complete streamed response, as a worker sends it.
pub fn streamed_response() -> String {
    format!("{STREAM_HEAD}{}0\r\n\r\n", STREAM_EVENTS.map(chunk).concat())
}

/// Decodes the body of a response in chunked transfer coding. Returns the body and whether it is complete, which means
/// that its last chunk has arrived and nothing follows it. Panics on an invalid chunk size.
pub fn decode_chunked(response: &str) -> (String, bool) {
    let mut remaining = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let mut body = String::new();
    while let Some((size, rest)) = remaining.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("chunk size is hexadecimal");
        if size == 0 {
            return (body, rest == "\r\n");
        }
        body.push_str(&rest[..size]);
        remaining = &rest[size + "\r\n".len()..];
    }
    (body, false)
}

/// Returns the text after the first occurrence of a prefix, up to the end of the line or a space; empty if the prefix
/// does not occur.
pub fn value_after<'a>(text: &'a str, prefix: &str) -> &'a str {
    text.split(prefix).nth(1).and_then(|rest| rest.split(['\r', ' ']).next()).unwrap_or("")
}

/// Returns the number of the request whose attempt has this head, from its trace id `t<number>`; `None` for other
/// calls.
pub fn attempted_request(head: &str) -> Option<usize> {
    if !head.starts_with("POST /v1") {
        return None;
    }
    value_after(head, "x-trace-id: t").parse().ok()
}

/// Removes the first request from the bytes that have arrived, and returns its head; `None` if it is not complete.
pub fn take_request(arrived: &mut Vec<u8>) -> Option<String> {
    const HEAD_END: &[u8] = b"\r\n\r\n";
    let head_length = arrived.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    let head = String::from_utf8_lossy(&arrived[..head_length]).into_owned();
    let body_length = value_after(&head, "content-length: ").parse().unwrap_or(0);
    let length = head_length + HEAD_END.len() + body_length;
    if arrived.len() < length {
        return None;
    }
    arrived.drain(..length);
    Some(head)
}
