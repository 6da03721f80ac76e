//! What the program asks for, done on sockets, timers and files.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use metrics::counter;
use polling::Event;
use socket2::SockRef;
use tideroute_wire::capture::CaptureEvent;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effect, Effects};

use super::{add, News, Reactor, Ring, CONNS, TICK};
use crate::conn::{Conn, Stage, MOST};

impl Reactor {
    /// Does all that the program has asked for, in order.
    pub(super) fn carry_out(&mut self, effects: &mut Effects) {
        for act in effects.take() {
            match act {
                Effect::Connect { connection, to, timeout: within } => {
                    let until = self.now() + within;
                    self.note(connection, CaptureEvent::Connecting, &Bytes::copy_from_slice(&to));
                    let to = self.ways.get(&to).copied().unwrap_or(to);
                    match Conn::dial(connection, to, until) {
                        Ok(mut conn) => {
                            conn.raw = self.raw;
                            self.insert(conn, Event::writable(0));
                            self.wheel.set(until / TICK + 1, Ring::Patience(connection));
                        }
                        Err(problem) => {
                            let loss = dial_loss(&problem);
                            tracing::debug!(connection = connection.0, %problem, ?loss, "a dial failed at once");
                            self.note(connection, CaptureEvent::ConnectFailed, &Bytes::new());
                            self.news.push_back(News::Lost(connection, loss));
                        }
                    }
                }
                Effect::Send { connection, frame } => self.send(connection, &frame),
                Effect::Close { connection, reason: why } => self.close(connection, &why),
                Effect::Abort { connection } => {
                    if let Some(&place) = self.places.get(&connection) {
                        self.bury(place);
                    }
                }
                Effect::Reset { connection } => {
                    if let Some(&place) = self.places.get(&connection) {
                        let _ = SockRef::from(&self.conns[place].stream).set_linger(Some(Duration::ZERO));
                        self.give_up(place);
                    }
                }
                Effect::SetListenerState { listener: door, state: shut } => self.shut(door, shut),
                Effect::Joined { connections } => self.note_joined(connections),
                Effect::SetTimer { at, key } => self.wheel.set(at.div_ceil(TICK), Ring::EventHandler(key)),
                Effect::PauseReading { connection, paused: hush } => {
                    let Some(&place) = self.places.get(&connection) else { continue };
                    self.conns[place].hushed = hush;
                    self.watch(place);
                }
                Effect::Persist { bytes } => self.keep_file(&bytes),
                Effect::Publish { bytes } => {
                    let taken = self.published.as_ref().is_some_and(|to| to.offer(bytes));
                    counter!("tideroute_published_total", "taken" => taken.to_string()).increment(1);
                }
                Effect::Datagram { socket: door, to, bytes } => {
                    let to = self.ways.get(&to).copied().unwrap_or(to);
                    let sent = self.datagrams.get(door).is_some_and(|d| d.send(to, &bytes));
                    counter!("tideroute_datagrams_total", "sent" => sent.to_string()).increment(1);
                }
                Effect::AnnotateCapture { bytes } => {
                    self.note(ConnectionId(0), CaptureEvent::Observed, &bytes)
                }
                Effect::Crash => self.vanished = true,
            }
        }
    }

    /// Puts the file in its place whole: what a crash leaves is the old one or the new one.
    fn keep_file(&self, bytes: &[u8]) {
        let Some(path) = &self.keep else { return };
        let fresh = path.with_extension("new");
        if let Err(problem) = std::fs::write(&fresh, bytes).and_then(|()| std::fs::rename(&fresh, path)) {
            tracing::error!(%problem, path = %path.display(), "what was to be kept could not be written");
        }
    }

    pub(super) fn insert(&mut self, conn: Conn, mut interest: Event) {
        let connection = conn.connection;
        let place = self.conns.insert(conn);
        interest.key = CONNS + place;
        self.conns[place].watched = (interest.readable, interest.writable);
        if let Err(problem) = add(&self.poller, &self.conns[place].stream, interest) {
            tracing::error!(%problem, "a connection could not be watched");
            self.conns.remove(place);
            self.news.push_back(News::Lost(connection, DisconnectReason::ConnectFailed));
            return;
        }
        self.places.insert(connection, place);
    }

    fn send(&mut self, connection: ConnectionId, frame: &Bytes) {
        let Some(&place) = self.places.get(&connection) else { return };
        let now = self.clock.now();
        let conn = &mut self.conns[place];
        if !matches!(conn.stage, Stage::Dialling { .. } | Stage::Open) {
            return;
        }
        conn.put(frame);
        if let Some(tap) = self.tap.as_mut() {
            tap.note(now, connection, CaptureEvent::Sent, conn.sent, frame);
        }
        conn.sent += 1;
        if conn.waiting() > MOST {
            self.lose(place, DisconnectReason::Reset, "its peer does not read");
        } else if self.conns[place].stage == Stage::Open {
            self.dirty.push(place);
        }
    }
}

/// Whether a dial that failed at once failed at its peer, or for want of something on this machine.
fn dial_loss(problem: &io::Error) -> DisconnectReason {
    match problem.raw_os_error() {
        Some(
            libc::EMFILE
            | libc::ENFILE
            | libc::ENOBUFS
            | libc::ENOMEM
            | libc::EADDRNOTAVAIL
            | libc::EADDRINUSE
            | libc::EAGAIN
            | libc::EACCES
            | libc::EPERM,
        ) => DisconnectReason::LocalFailure,
        _ => DisconnectReason::ConnectFailed,
    }
}
