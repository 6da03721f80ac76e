//! A proxy in front of a worker: it tells when calls arrive and connections end, and delays, cuts up, silences or resets
//! what passes. Its orders are lines.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::http_messages::take_request;
use crate::judge::{On, Report};
use crate::worker::{waits, Surroundings, LOOKS};

const OPEN: u8 = 0;
const SILENT: u8 = 1;

/// What the proxy does with what passes.
#[derive(Default)]
pub struct Orders {
    mode: AtomicU8,
    delay_ms: AtomicU64,
    /// Bytes passed on at once; none for as many as there are.
    piece: AtomicUsize,
    /// How often all connections were reset.
    resets: AtomicU64,
}

impl Orders {
    /// Takes an order; false if it is none.
    pub fn take(&self, order: &str) -> bool {
        let (what, number) = order.split_once(' ').unwrap_or((order, "0"));
        let Ok(number) = number.trim().parse::<u64>() else { return false };
        match what.trim() {
            "open" => {
                // What was silent is reset, as a machine does that comes back.
                if self.mode.swap(OPEN, Ordering::SeqCst) == SILENT {
                    self.resets.fetch_add(1, Ordering::SeqCst);
                }
                self.delay_ms.store(0, Ordering::SeqCst);
                self.piece.store(0, Ordering::SeqCst);
            }
            "silent" => self.mode.store(SILENT, Ordering::SeqCst),
            "reset" => drop(self.resets.fetch_add(1, Ordering::SeqCst)),
            "delay" => self.delay_ms.store(number, Ordering::SeqCst),
            "piece" => self.piece.store(number as usize, Ordering::SeqCst),
            _ => return false,
        }
        true
    }

    fn is_silent(&self) -> bool {
        self.mode.load(Ordering::SeqCst) == SILENT
    }
}

/// Serves all who connect, each with a connection to the worker.
pub fn serve<S: Surroundings>(
    listener: TcpListener,
    worker: usize,
    to: &str,
    orders: &Arc<Orders>,
    at: Arc<S>,
) {
    for near in listener.incoming().flatten() {
        let (orders, at, to) = (orders.clone(), at.clone(), to.to_string());
        std::thread::spawn(move || {
            let Ok(far) = TcpStream::connect(to) else { return reset(&near) };
            let number = far.local_addr().map_or(0, |own| u64::from(own.port()));
            let on = On { worker, number };
            let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else { return };
            let answers = Arc::new(Way { from: far_too, to: near_too, orders: orders.clone() });
            std::thread::spawn(move || answers.pass(|_| {}));
            let mut arrived = vec![];
            Way { from: near, to: far, orders }.pass(|bytes| {
                arrived.extend_from_slice(bytes);
                while let Some(head) = take_request(&mut arrived) {
                    at.take(Report::Arrives { on, head });
                }
            });
            at.take(Report::Closed { on });
        });
    }
}

/// One direction of a connection.
struct Way {
    from: TcpStream,
    to: TcpStream,
    orders: Arc<Orders>,
}

impl Way {
    /// Passes on what comes, until one side ends or all are reset; tells what is about to be passed on.
    fn pass(&self, mut tells: impl FnMut(&[u8])) {
        for stream in [&self.from, &self.to] {
            let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(LOOKS)));
        }
        let resets = self.orders.resets.load(Ordering::SeqCst);
        // A connection that was silent once stays so, to both ends, until it is reset.
        let (mut dead, mut over, mut piece) = (false, false, [0; 16 << 10]);
        loop {
            if self.orders.resets.load(Ordering::SeqCst) != resets {
                reset(&self.from);
                return reset(&self.to);
            }
            dead |= self.orders.is_silent();
            if over {
                std::thread::sleep(LOOKS);
            } else {
                match (&self.from).read(&mut piece) {
                    Ok(0) => over = true,
                    Ok(got) if !dead => {
                        tells(&piece[..got]);
                        over = self.write(&piece[..got]).is_none();
                    }
                    Ok(_) => {}
                    Err(e) if waits(&e) => {}
                    Err(_) => over = true,
                }
            }
            if over && !dead {
                let _ = (self.to.shutdown(Shutdown::Write), self.from.shutdown(Shutdown::Read));
                return;
            }
        }
    }

    fn write(&self, bytes: &[u8]) -> Option<()> {
        let delay = self.orders.delay_ms.load(Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(delay));
        let piece = self.orders.piece.load(Ordering::SeqCst);
        let pieces = bytes.chunks(if piece == 0 { bytes.len() } else { piece });
        for bytes in pieces {
            (&self.to).write_all(bytes).ok()?;
            if piece > 0 {
                std::thread::sleep(Duration::from_micros(200));
            }
        }
        Some(())
    }
}

/// Ends a connection both ways at once.
fn reset(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}
