//! The program's figures as text for Prometheus, at an address of their own. The page is plain HTTP/1.0: one
//! thread, one caller at a time, each with a second to ask.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// How long a caller may take to ask or to listen.
const PATIENCE: Duration = Duration::from_secs(1);
/// Bytes of a question that are read.
const LONGEST: usize = 4096;

/// Keeps figures from now on and serves them at the address, if there is one.
pub fn serve(address: Option<SocketAddr>) -> Result<(), String> {
    let Some(address) = address else { return Ok(()) };
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|e| e.to_string())?;
    let listener = TcpListener::bind(address).map_err(|e| format!("cannot listen at {address}: {e}"))?;
    std::thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            if let Err(problem) = answer(caller, &handle) {
                tracing::debug!(%problem, "a caller for the figures went away");
            }
        }
    });
    Ok(())
}

fn answer(mut caller: TcpStream, handle: &PrometheusHandle) -> std::io::Result<()> {
    caller.set_read_timeout(Some(PATIENCE))?;
    caller.set_write_timeout(Some(PATIENCE))?;
    let (mut question, mut piece) = (Vec::new(), [0; 512]);
    while question.len() < LONGEST && !question.windows(4).any(|w| w == b"\r\n\r\n") {
        match caller.read(&mut piece)? {
            0 => break,
            got => question.extend_from_slice(&piece[..got]),
        }
    }
    let (status, body) = if question.starts_with(b"GET /metrics ") {
        handle.run_upkeep();
        ("200 OK", handle.render())
    } else {
        ("404 Not Found", "the figures are at /metrics\n".to_string())
    };
    let head = "Content-Type: text/plain; version=0.0.4";
    write!(caller, "HTTP/1.0 {status}\r\n{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
