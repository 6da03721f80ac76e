//! How connections end, whoever ends them.

use std::time::Duration;

use bytes::Bytes;
use metrics::counter;
use socket2::Socket;
use tideroute_wire::capture::CaptureEvent;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason};
use tideroute_wire::Micros;

use super::{News, Reactor, Ring, TICK};
use crate::conn::Stage;

/// Microseconds in which a closed connection has to get on with its last words, and a raw one, whose peer may be slow.
const LAST_WORDS: Micros = 500_000;
const RAW_LAST_WORDS: Micros = 2_000_000;
/// Bytes that a raw connection may still bring after its last word: what the largest senders have under way.
const WASTE: usize = 96 << 20;
/// Pieces of them thrown away in one go, so that a sender at full speed leaves time for the others.
const WASTES: usize = 8;
/// Microseconds that it may take to stop sending.
const STOPS: Micros = 2_000_000;

impl Reactor {
    /// Ends a connection for the program; what is still to be sent goes first.
    pub(super) fn close(&mut self, connection: ConnectionId, why: &str) {
        let Some(&place) = self.places.get(&connection) else { return };
        tracing::debug!(connection = connection.0, why, "closes a connection");
        counter!("tideroute_links_closed_total", "by" => "program").increment(1);
        if self.conns[place].stage == Stage::Dead {
            return;
        }
        if let Stage::Dialling { .. } = self.conns[place].stage {
            self.note(connection, CaptureEvent::ConnectFailed, &Bytes::new());
        } else {
            self.note_end(place);
        }
        let conn = &mut self.conns[place];
        if conn.stage == Stage::Open && conn.waiting() > 0 {
            self.speaks_its_last(place);
            self.dirty.push(place);
            self.watch(place);
        } else if conn.stage == Stage::Open {
            self.end(place);
        } else {
            self.bury(place);
        }
    }

    /// What is still to be sent has so long again.
    pub(super) fn speaks_its_last(&mut self, place: usize) {
        let now = self.now();
        let conn = &mut self.conns[place];
        let until = now + if conn.raw { RAW_LAST_WORDS } else { LAST_WORDS };
        conn.stage = Stage::Closing { until };
        self.wheel.set(until / TICK + 1, Ring::Patience(conn.connection));
    }

    /// The last words have gone out, just now or before. A reset would follow if the peer still sends, and might
    /// overtake them: a raw connection that was taken at a door ends on this side first.
    pub(super) fn end(&mut self, place: usize) {
        let conn = &mut self.conns[place];
        let lingers = conn.raw && !conn.connection.is_outbound() && self.lingering < self.most_lingering;
        if !lingers || conn.stream.shutdown(std::net::Shutdown::Write).is_err() {
            return self.bury(place);
        }
        let until = self.clock.now() + STOPS;
        conn.stage = Stage::Lingering { until, left: WASTE };
        self.lingering += 1;
        self.wheel.set(until / TICK + 1, Ring::Patience(conn.connection));
        self.watch(place);
    }

    /// Throws away what still comes on a connection that lingers, until its peer has ended it too.
    pub(super) fn waste(&mut self, place: usize) {
        for _ in 0..WASTES {
            let conn = &mut self.conns[place];
            let Stage::Lingering { until, left } = conn.stage else { return };
            match conn.waste(&mut self.piece) {
                Some(0) => return,
                Some(got) if got < left => conn.stage = Stage::Lingering { until, left: left - got },
                _ => return self.bury(place),
            }
        }
    }

    /// Ends a connection that the program did not end, and tells it.
    pub(super) fn lose(&mut self, place: usize, loss: DisconnectReason, why: &str) {
        let conn = &self.conns[place];
        let (connection, told) =
            (conn.connection, matches!(conn.stage, Stage::Dialling { .. } | Stage::Open));
        if told {
            tracing::debug!(connection = connection.0, why, "lost a connection");
            counter!("tideroute_links_closed_total", "by" => "loss").increment(1);
            match loss {
                DisconnectReason::Reset => self.note_end(place),
                DisconnectReason::ConnectFailed | DisconnectReason::LocalFailure => {
                    self.note(connection, CaptureEvent::ConnectFailed, &Bytes::new())
                }
            }
            self.news.push_back(News::Lost(connection, loss));
        }
        self.bury(place);
    }

    /// Ends a connection at once.
    pub(super) fn bury(&mut self, place: usize) {
        if self.conns[place].stage != Stage::Dead {
            self.give_up(place);
            let _ = self.conns[place].stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Has nothing more to do with a connection; its socket ends with this turn.
    pub(super) fn give_up(&mut self, place: usize) {
        let conn = &mut self.conns[place];
        if conn.stage != Stage::Dead {
            self.lingering -= usize::from(matches!(conn.stage, Stage::Lingering { .. }));
            conn.stage = Stage::Dead;
            let _ = self.poller.delete(&conn.stream);
            self.dead.push(place);
        }
    }

    /// The time of a connection for what it is at may be over.
    pub(super) fn out_of_patience(&mut self, connection: ConnectionId) {
        let Some(&place) = self.places.get(&connection) else { return };
        match self.conns[place].stage {
            Stage::Dialling { until } if until <= self.now() => {
                self.lose(place, DisconnectReason::ConnectFailed, "no connection in time");
            }
            Stage::Closing { until } | Stage::Lingering { until, .. } if until <= self.now() => {
                self.bury(place);
            }
            _ => {}
        }
    }

    /// Ends all connections as a crash does, with a reset.
    pub(super) fn reset_all(&mut self) {
        for conn in self.conns.drain() {
            let _ = self.poller.delete(&conn.stream);
            let socket: Socket = conn.stream.into();
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}
