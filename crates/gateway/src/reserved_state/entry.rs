//! One entry of what may be held, and its clock.

use std::collections::VecDeque;
use std::sync::Arc;

use tideroute::types::WorkerId;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::Micros;

use crate::timers::{Timeout, TimerKey};
use crate::worker_pool::Pools;

/// Microseconds in which a reader that runs answers a probe, and a writer that knows of a read a call for its place.
const ANSWERS: Micros = 150_000;
/// Microseconds for which a machine that vanishes is away at least: a sign of life is asked for so often that one falls
/// into that time.
pub const AWAY: Micros = 1_000_000;
/// Microseconds in which a worker sees that a connection to it was ended: a round trip between zones and a busy loop.
pub const SEES: Micros = 50_000;
/// Microseconds before the end of its time at which what is held is released, whatever is out for it.
pub const AHEAD: Micros = 200_000;

/// How the time of an entry goes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Clock {
    /// It has run since then.
    Runs(Micros),
    /// It rests: a read was known to be out then. Whether a sign of that has been asked for since.
    Rests { since: Micros, asked: bool },
}

pub struct Entry {
    pub trace: Arc<str>,
    /// Where it is held, as far as is known.
    pub at: Option<WorkerId>,
    pub clock: Clock,
    /// Nothing but what a place that was asked for may hold.
    pub asked: bool,
    /// Calls that ask for a place and are out: what they hold they may hold after a release has passed them.
    pub asking: Vec<ConnectionId>,
    /// Releases that were answered while such calls were out: from the third each waits twice as long as the one before.
    pub rounds: u32,
    /// Attempts that were ended by this side or by a reset, until their workers have seen that.
    pub given_up: Vec<GivenUp>,
    /// Nobody will want it again.
    pub over: bool,
    pub timeout: Timeout,
    pub release: Option<Release>,
}

impl Entry {
    /// Since when its time runs, if it does.
    pub fn since(&self) -> Option<Micros> {
        match self.clock {
            Clock::Runs(since) => Some(since),
            Clock::Rests { .. } => None,
        }
    }

    /// Nothing is held for it, nor may anything come to be.
    pub fn holds_nothing(&self) -> bool {
        self.asked && self.asking.is_empty() && self.given_up.is_empty()
    }

    /// Workers that have hung for too long are taken for gone.
    pub fn forget_hung(&mut self, at: &Context) {
        self.given_up.retain(|given_up| at.now < given_up.when + at.pools.hangs);
    }

    /// A read is known to be out now: the time rests.
    pub fn rests(&mut self, now: Micros, allowed: Micros, key: TimerKey, effects: &mut Effects) {
        self.clock = Clock::Rests { since: now, asked: false };
        self.timeout.set(unsure_at(now, allowed), key, effects);
    }

    /// When what is held since then has to be released, of the time allowed for it.
    pub fn due(&self, since: Micros, allowed: Micros) -> Micros {
        since + ((allowed - AHEAD.min(allowed / 4)) << self.rounds.saturating_sub(1))
    }
}

/// When something is done for what is held, and on which connections.
pub struct Context<'a> {
    pub now: Micros,
    pub pools: &'a mut Pools,
    pub effects: &'a mut Effects,
}

/// Who ended the connection of an attempt that was out.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndedBy {
    ThisSide,
    /// The worker or the network: both ends see it by themselves, at about the same time.
    Reset,
}

/// An attempt that this side has ended, or that was reset. Its worker may learn of that behind a release that was sent
/// later, or first end well what it was at, after a hang: what it then holds outlives that release.
pub struct GivenUp {
    pub worker: WorkerId,
    pub when: Micros,
    pub by: EndedBy,
    /// The worker has been heard since.
    pub heard: bool,
}

impl GivenUp {
    /// Whether a release that began then, and has been answered, leaves something of it.
    pub fn outlives(&mut self, began: Micros, at: &Context) -> bool {
        let seen = self.when + SEES;
        if began >= seen && (self.heard || self.by == EndedBy::Reset) {
            return false;
        }
        // It runs, but one that has hung may take up the release before it sees the end: one more will do.
        self.heard = began >= seen && at.pools.heard_since(self.worker, seen);
        true
    }
}

/// What has come of a call that asked for a place.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Place {
    Held,
    /// By a worker that knows of the read.
    Refused,
    /// It never came there, or did nothing.
    None,
    /// It may be held.
    Unknown,
}

/// A release under way.
pub struct Release {
    pub began: Micros,
    /// Workers yet to be tried in this round.
    pub left: VecDeque<WorkerId>,
    /// Calls made, and those of them that are out, the oldest first.
    pub calls: usize,
    pub in_flight: VecDeque<ConnectionId>,
    /// When trying ends.
    pub until: Micros,
}

/// When it has to be asked whether a read that was out then still is, so that the answer is there in time.
pub fn unsure_at(since: Micros, allowed: Micros) -> Micros {
    since + allowed.min(AWAY) - ANSWERS.min(allowed / 2)
}

/// Who is told, in order: where it is held, then who was heard last, for one call at any worker that runs will do.
pub fn round(at: Option<WorkerId>, pools: &Pools) -> VecDeque<WorkerId> {
    let known = at.filter(|w| pools.address(*w).is_some());
    known.into_iter().chain(pools.heard_last().filter(|w| Some(*w) != known)).collect()
}

/// Ends the calls that are out, but for the one that was answered.
pub fn stop(entry: &mut Entry, answered: Option<ConnectionId>, at: &mut Context) {
    let calls = entry.release.take().map(|r| r.in_flight).unwrap_or_default();
    calls
        .into_iter()
        .filter(|connection| Some(*connection) != answered)
        .for_each(|connection| at.pools.end(connection, at.effects));
}
