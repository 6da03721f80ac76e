//! Serves the program's metrics as text for Prometheus, at their own address. The server speaks plain HTTP/1.0 on one
//! thread, to one client at a time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::error::CommandError;

/// How long to wait for a client in each read of its request, and in each write of the response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(1);
/// The most bytes of a request that are read, in whole chunks.
const MAX_REQUEST_BYTES: usize = 4096;

/// Records metrics from now on and serves them at the address; does nothing if there is none.
pub fn start(address: Option<SocketAddr>) -> Result<(), CommandError> {
    let Some(address) = address else { return Ok(()) };
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|e| CommandError::MetricsRecorder(e.to_string()))?;
    let listener =
        TcpListener::bind(address).map_err(|source| CommandError::MetricsListener { address, source })?;
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            if let Err(error) = respond(client, &handle) {
                tracing::debug!(%error, "metrics request failed");
            }
        }
    });
    Ok(())
}

fn respond(mut client: TcpStream, handle: &PrometheusHandle) -> std::io::Result<()> {
    client.set_read_timeout(Some(CLIENT_TIMEOUT))?;
    client.set_write_timeout(Some(CLIENT_TIMEOUT))?;
    let mut request = Vec::new();
    let mut chunk = [0; 512];
    while request.len() < MAX_REQUEST_BYTES && !request.windows(4).any(|w| w == b"\r\n\r\n") {
        match client.read(&mut chunk)? {
            0 => break,
            length => request.extend_from_slice(&chunk[..length]),
        }
    }
    let (status, body) = if request.starts_with(b"GET /metrics ") {
        handle.run_upkeep();
        ("200 OK", handle.render())
    } else {
        ("404 Not Found", "the figures are at /metrics\n".to_string())
    };
    let content_type = "Content-Type: text/plain; version=0.0.4";
    write!(client, "HTTP/1.0 {status}\r\n{content_type}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
