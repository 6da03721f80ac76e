//! How processes of a test tell its judge what passes: a JSON line each, answered by one digit.

use std::cell::RefCell;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};

use tideroute::rng::Rng;

use crate::judge::{Judge, Report};
use crate::worker::Surroundings;

/// Takes the reports of all who connect.
pub fn hear(listener: TcpListener, judge: Arc<Judge>) {
    for stream in listener.incoming().flatten() {
        let judge = judge.clone();
        std::thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let mut lines = BufReader::new(&stream);
            let mut line = String::new();
            while lines.read_line(&mut line).is_ok_and(|got| got > 0) {
                let Ok(report) = serde_json::from_str(&line) else { return };
                let answer = if judge.take(report) { b"1\n" } else { b"0\n" };
                if (&stream).write_all(answer).is_err() {
                    return;
                }
                line.clear();
            }
        });
    }
}

thread_local! {
    static LINE: RefCell<Option<BufReader<TcpStream>>> = const { RefCell::new(None) };
}

/// The judge as another process sees it. Without it that process ends.
pub struct Remote {
    judge: String,
    draw: Mutex<Rng>,
}

impl Remote {
    pub fn new(judge: &str, seed: u64) -> Remote {
        Remote { judge: judge.to_string(), draw: Mutex::new(Rng::new(seed)) }
    }

    fn tell(&self, report: &Report) -> std::io::Result<bool> {
        LINE.with_borrow_mut(|line| {
            if line.is_none() {
                let stream = TcpStream::connect(&self.judge)?;
                stream.set_nodelay(true)?;
                *line = Some(BufReader::new(stream));
            }
            let Some(line) = line else { return Ok(false) };
            line.get_mut().write_all(format!("{}\n", serde_json::to_string(report)?).as_bytes())?;
            let mut answer = String::new();
            line.read_line(&mut answer)?;
            Ok(answer == "1\n")
        })
    }
}

impl Surroundings for Remote {
    fn take(&self, report: Report) -> bool {
        self.tell(&report).unwrap_or_else(|_| std::process::exit(0))
    }

    fn unit(&self) -> f64 {
        self.draw.lock().unwrap_or_else(PoisonError::into_inner).unit()
    }

    fn is_over(&self) -> bool {
        false
    }

    fn sees_the_wire(&self) -> bool {
        false
    }

    /// The port from which the proxy in front dialled.
    fn number(&self, stream: &TcpStream) -> u64 {
        stream.peer_addr().map_or(0, |peer| u64::from(peer.port()))
    }
}
