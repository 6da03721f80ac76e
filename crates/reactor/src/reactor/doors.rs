//! Doors: who is taken there, and what is done where that fails.

use std::io;

use polling::{Event, PollMode};
use tideroute_wire::capture::CaptureEvent;
use tideroute_wire::event_loop::{ConnectionId, Effects, EventHandler, ListenerState};
use tideroute_wire::Micros;

use super::{add, Reactor, Ring, TICK};
use crate::conn::{Conn, Stage};

/// Connections taken at a door in one turn, so that a flood of them leaves time for those that are there.
const ACCEPTS: usize = 64;
/// Looks at a door where nobody can be taken, before the process ends all the same: a second in all.
const LAST_LOOKS: u32 = 20;
/// Microseconds until a door is looked at again where a connection could not be taken.
const WANTING: Micros = 50_000;

/// How a look at a door ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Look {
    /// Nobody waits there now.
    Nobody,
    /// Others may wait, whose turn is later.
    Others,
    /// This machine can't take anybody just now; the door is looked at again after a pause.
    Paused,
}

/// Who waited at the doors of a program that is done.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Last {
    Nobody,
    Came,
    /// Nobody can be taken just now; a timer is set for the next look.
    Unknown,
}

/// Why nobody was taken at a door.
enum Untaken {
    Nobody,
    /// The connection that waited first has ended, or the call was interrupted: the next one may be sound.
    Gone,
    /// This machine lacks something, or it is not known what is wrong.
    Failed,
}

impl Untaken {
    /// By accept(2): errors of the connection itself, and of its network, are told on the call that takes it.
    fn of(problem: &io::Error) -> Untaken {
        if problem.kind() == io::ErrorKind::WouldBlock {
            return Untaken::Nobody;
        }
        match problem.raw_os_error() {
            Some(
                libc::EINTR
                | libc::ECONNABORTED
                | libc::ECONNRESET
                | libc::EPERM
                | libc::EPROTO
                | libc::ENOPROTOOPT
                | libc::EOPNOTSUPP
                | libc::ENETDOWN
                | libc::ENETUNREACH
                | libc::EHOSTDOWN
                | libc::EHOSTUNREACH
                | libc::ENONET
                | libc::ETIMEDOUT,
            ) => Untaken::Gone,
            _ => Untaken::Failed,
        }
    }
}

impl Reactor {
    /// Takes those who wait at a door, up to a bound.
    pub(super) fn accept(
        &mut self,
        door: usize,
        program: &mut impl EventHandler,
        effects: &mut Effects,
    ) -> Look {
        let mut gone = 0;
        for _ in 0..ACCEPTS {
            let Some(listener) = self.doors.get(door).and_then(|d| d.listener.as_ref()) else {
                return Look::Nobody;
            };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(problem) => match Untaken::of(&problem) {
                    Untaken::Nobody => return Look::Nobody,
                    Untaken::Gone => {
                        tracing::debug!(%problem, "a connection ended before it was taken");
                        gone += 1;
                        continue;
                    }
                    Untaken::Failed => {
                        tracing::warn!(%problem, "a connection could not be taken");
                        return self.pause(door);
                    }
                },
            };
            if let Err(problem) = stream.set_nonblocking(true) {
                tracing::warn!(%problem, "a connection could not be set up");
                continue;
            }
            if let Err(problem) = stream.set_nodelay(true) {
                tracing::debug!(%problem, "a connection whose small writes may wait");
            }
            let connection = ConnectionId(self.connections);
            self.connections += 1;
            let (now, ends) = (self.clock.now(), [stream.peer_addr().ok(), stream.local_addr().ok()]);
            if let Some(tap) = self.tap.as_mut() {
                tap.met(now, connection, CaptureEvent::Accepted, ends);
            }
            let mut conn = Conn::new(connection, stream, Stage::Open);
            conn.raw = self.raw;
            self.insert(conn, Event::readable(0));
            program.on_accepted(now, connection, door, effects);
            self.carry_out(effects);
        }
        // Guards against calls that fail over and over with nobody taken.
        if gone == ACCEPTS {
            return self.pause(door);
        }
        Look::Others
    }

    /// Guards against a door that is ready over and over while nobody can be taken there.
    fn pause(&mut self, door: usize) -> Look {
        self.look_at(door, false);
        self.wheel.set((self.now() + WANTING) / TICK, Ring::Door(door));
        Look::Paused
    }

    /// Takes those who still wait at the doors of a program that is done: with the end of the process the kernel would
    /// reset their connections.
    pub(super) fn take_the_last(&mut self, program: &mut impl EventHandler, effects: &mut Effects) -> Last {
        if !self.patient {
            return Last::Nobody;
        }
        let before = self.connections;
        for door in 0..self.doors.len() {
            let mut look = self.accept(door, program, effects);
            if look == Look::Nobody {
                // Nobody is let in between the last look and the end.
                self.doors[door].admit_no_more();
                look = self.accept(door, program, effects);
            }
            match look {
                Look::Nobody => {}
                Look::Others => return Last::Came,
                Look::Paused if self.last_looks < LAST_LOOKS => {
                    self.last_looks += 1;
                    return Last::Unknown;
                }
                Look::Paused => {}
            }
        }
        if self.connections > before {
            Last::Came
        } else {
            Last::Nobody
        }
    }

    /// Opens or shuts a door; what cannot be done leaves it as it is, told aloud.
    pub(super) fn shut(&mut self, place: usize, shut: ListenerState) {
        let Some(door) = self.doors.get_mut(place) else { return };
        if let Some(listener) =
            door.listener.as_ref().filter(|_| door.is_open() && shut != ListenerState::Open)
        {
            let _ = self.poller.delete(listener);
        }
        let was_open = door.is_open();
        if let Err(problem) = door.set(shut) {
            tracing::error!(%problem, address = %door.address(), "a door could not be opened or shut");
        }
        if let Some(listener) = door.listener.as_ref().filter(|_| !was_open && door.is_open()) {
            if let Err(problem) = add(&self.poller, listener, Event::readable(place)) {
                tracing::error!(%problem, "a door could not be watched");
            }
        }
    }

    /// Has the poller look at an open door, or not.
    pub(super) fn look_at(&mut self, door: usize, look: bool) {
        let Some(door_there) = self.doors.get(door).filter(|d| d.is_open()) else { return };
        let Some(listener) = &door_there.listener else { return };
        let interest = Event::new(door, look, false);
        if let Err(problem) = self.poller.modify_with_mode(listener, interest, PollMode::Level) {
            tracing::error!(%problem, "a door could not be watched");
        }
    }
}
