//! Blocking HTTP/1.1 connections of emulated clients, workers and services.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

/// Reads one message, framed by Content-Length or chunks, and returns its head in lower case and its body. Returns
/// `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut piece = [0; 4096];
    loop {
        if let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
            let field = |name: &str| {
                head.split(&format!("\r\n{name}: ")).nth(1).map(|v| v.split("\r\n").next().unwrap_or(""))
            };
            let length = field("content-length").and_then(|l| l.parse::<usize>().ok()).unwrap_or(0);
            let message_end = if field("transfer-encoding").is_some() {
                received[end..].windows(5).position(|w| w == b"0\r\n\r\n").map(|at| end + at + 5)
            } else {
                (received.len() >= end + 4 + length).then_some(end + 4 + length)
            };
            if let Some(message_end) = message_end {
                let body = received[end + 4..message_end].to_vec();
                received.drain(..message_end);
                return Some((head, body));
            }
        }
        match stream.read(&mut piece) {
            Ok(0) => return None,
            Ok(length) => received.extend_from_slice(&piece[..length]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

/// Returns the value of a header field, or an empty text if the field is missing.
pub fn field<'a>(head: &'a str, name: &str) -> &'a str {
    head.split(&format!("\r\n{name}: ")).nth(1).and_then(|v| v.split("\r\n").next()).unwrap_or("")
}

/// Accepts connections and handles each on a thread of its own.
pub fn serve(listener: TcpListener, handle_connection: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle_connection = Arc::new(handle_connection);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handle_connection, _) = (handle_connection.clone(), stream.set_nodelay(true));
            std::thread::spawn(move || handle_connection(stream));
        }
    });
}

/// Returns whether a router answers its readiness check with 200; `None` stands for no.
pub fn is_up(router: &str) -> Option<()> {
    let mut stream = TcpStream::connect(router).ok()?;
    stream.write_all(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n").ok()?;
    let (head, _) = read_message(&mut stream, &mut vec![])?;
    head.starts_with("http/1.1 200").then_some(())
}
