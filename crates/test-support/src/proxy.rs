//! A proxy in front of a worker. It reports received calls and ended connections, and on command it delays, splits or
//! withholds the bytes that it forwards, or resets connections.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::emulated_worker::{is_timeout, WorkerEnvironment, POLL_INTERVAL};
use crate::http_messages::take_request;
use crate::worker_event::{WorkerConnection, WorkerEvent};

/// Maximum number of bytes per read.
const READ_SIZE: usize = 16 << 10;
/// Pause between two pieces into which the forwarded bytes are split.
const PIECE_INTERVAL: Duration = Duration::from_micros(200);

/// The faults that the proxy injects into its connections. Initially it forwards everything unchanged.
#[derive(Default)]
pub struct ProxyControl {
    is_silent: AtomicBool,
    delay_ms: AtomicU64,
    /// Maximum number of bytes forwarded per write; 0 if it is unlimited.
    piece_length: AtomicUsize,
    /// Number of times that all connections were reset.
    resets: AtomicU64,
}

impl ProxyControl {
    /// Applies a command: `open`, `silent`, `reset`, `delay MILLISECONDS` or `piece BYTES`. Returns false if the
    /// command is invalid.
    pub fn apply(&self, command: &str) -> bool {
        let (name, argument) = command.split_once(' ').unwrap_or((command, "0"));
        let Ok(argument) = argument.trim().parse::<u64>() else { return false };
        match name.trim() {
            "open" => self.open(),
            "silent" => self.is_silent.store(true, Ordering::SeqCst),
            "reset" => self.reset_connections(),
            "delay" => self.delay_ms.store(argument, Ordering::SeqCst),
            "piece" => self.piece_length.store(argument as usize, Ordering::SeqCst),
            _ => return false,
        }
        true
    }

    /// Forwards everything unchanged again. Connections that were silent are reset, as by a machine that has restarted.
    fn open(&self) {
        if self.is_silent.swap(false, Ordering::SeqCst) {
            self.reset_connections();
        }
        self.delay_ms.store(0, Ordering::SeqCst);
        self.piece_length.store(0, Ordering::SeqCst);
    }

    fn reset_connections(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
    }
}

/// Serves every connection, each with its own connection to the worker at `upstream`.
pub fn serve<E: WorkerEnvironment>(
    listener: TcpListener,
    worker: usize,
    upstream: &str,
    control: &Arc<ProxyControl>,
    environment: Arc<E>,
) {
    for client in listener.incoming().flatten() {
        let (control, environment) = (control.clone(), environment.clone());
        let upstream = upstream.to_string();
        std::thread::spawn(move || serve_connection(client, worker, &upstream, control, &*environment));
    }
}

fn serve_connection<E: WorkerEnvironment>(
    client: TcpStream,
    worker: usize,
    upstream: &str,
    control: Arc<ProxyControl>,
    environment: &E,
) {
    let Ok(upstream) = TcpStream::connect(upstream) else { return reset(&client) };
    let number = upstream.local_addr().map_or(0, |address| u64::from(address.port()));
    let on = WorkerConnection { worker, number };
    let (Ok(client_writer), Ok(upstream_reader)) = (client.try_clone(), upstream.try_clone()) else { return };
    let responses = Direction { from: upstream_reader, to: client_writer, control: control.clone() };
    std::thread::spawn(move || responses.forward(|_| {}));
    let mut arrived = vec![];
    Direction { from: client, to: upstream, control }.forward(|bytes| {
        arrived.extend_from_slice(bytes);
        while let Some(head) = take_request(&mut arrived) {
            environment.handle(WorkerEvent::CallReceived { on, head });
        }
    });
    environment.handle(WorkerEvent::ConnectionClosed { on });
}

/// One direction of a proxied connection.
struct Direction {
    from: TcpStream,
    to: TcpStream,
    control: Arc<ProxyControl>,
}

impl Direction {
    /// Forwards bytes until one side ends or all connections are reset. Calls `observe` with bytes before they are
    /// forwarded.
    fn forward(&self, mut observe: impl FnMut(&[u8])) {
        for stream in [&self.from, &self.to] {
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(POLL_INTERVAL));
        }
        let initial_resets = self.control.resets.load(Ordering::SeqCst);
        // A connection that was silent once stays silent in both directions until it is reset.
        let mut is_blackholed = false;
        let mut is_over = false;
        let mut buffer = [0; READ_SIZE];
        loop {
            if self.control.resets.load(Ordering::SeqCst) != initial_resets {
                reset(&self.from);
                return reset(&self.to);
            }
            is_blackholed |= self.control.is_silent.load(Ordering::SeqCst);
            if is_over {
                std::thread::sleep(POLL_INTERVAL);
            } else {
                match (&self.from).read(&mut buffer) {
                    Ok(0) => is_over = true,
                    Ok(length) if !is_blackholed => {
                        observe(&buffer[..length]);
                        is_over = self.write(&buffer[..length]).is_none();
                    }
                    Ok(_) => {}
                    Err(error) if is_timeout(&error) => {}
                    Err(_) => is_over = true,
                }
            }
            if is_over && !is_blackholed {
                let _ = self.to.shutdown(Shutdown::Write);
                let _ = self.from.shutdown(Shutdown::Read);
                return;
            }
        }
    }

    fn write(&self, bytes: &[u8]) -> Option<()> {
        let delay_ms = self.control.delay_ms.load(Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(delay_ms));
        let piece_length = self.control.piece_length.load(Ordering::SeqCst);
        if piece_length == 0 {
            return (&self.to).write_all(bytes).ok();
        }
        for piece in bytes.chunks(piece_length) {
            (&self.to).write_all(piece).ok()?;
            std::thread::sleep(PIECE_INTERVAL);
        }
        Some(())
    }
}

/// Shuts down both directions of a connection.
fn reset(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}
