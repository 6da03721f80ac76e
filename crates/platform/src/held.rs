//! What may be held for each request at workers, read states and places, and the calls that release it.
//!
//! An entry stands from the moment in which something may be held until a worker shows that nothing is: events have
//! begun, a worker that runs has answered a release, or one has said that it never held anything. It is paid in one
//! way whatever ended before it: at once where nobody wants it any more, else early enough before its time is over.
//! That time runs on while an attempt is out of which nothing is heard, for a connection may lead nowhere.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use tideroute::interface::{SubmissionId, WorkerId};
use tideroute_host::short;
use tideroute_http::write;
use tideroute_wire::link::{Link, Outbox};
use tideroute_wire::Micros;

use crate::patience::Patience;
use crate::pools::{Job, Pools};
use crate::program::{key, Ring};
use crate::words;

/// Microseconds after which a worker that has not answered is not waited for alone: some round trips and a
/// handshake, and short enough that several can be tried within any release time.
const TRY: Micros = 100_000;
/// Calls at most that are out for one request: each time as many more as were made before, so that of a fleet of
/// which half can't be reached one is found within any release time.
const CALLS: usize = 16;
/// Microseconds in which a dialled connection is there, unless something is wrong on its way: some round trips
/// and what the worker needs for it.
const COMES_UP: Micros = 50_000;
/// Microseconds before the end of its time at which what is held is released, whatever is out for it.
const AHEAD: Micros = 200_000;
/// Microseconds that the protocol allows beyond the settings' time.
const BEYOND: Micros = 300_000;

struct Entry {
    trace: Arc<str>,
    /// Where it is held, as far as is known.
    at: Option<WorkerId>,
    /// Since when its time runs; it rests while an attempt is known to be at a worker that runs.
    since: Option<Micros>,
    /// Nothing but what a place that was asked for may hold.
    asked: bool,
    /// Calls that ask for a place and are out: what they hold they may hold after a release has passed them.
    asking: Vec<Link>,
    /// Nobody will want it again.
    over: bool,
    patience: Patience,
    release: Option<Release>,
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
struct Release {
    /// Workers yet to be tried in this round.
    left: VecDeque<WorkerId>,
    /// Calls made, and those of them that are out, the oldest first.
    calls: usize,
    out: VecDeque<Link>,
    /// When trying ends.
    until: Micros,
}

pub struct Held {
    entries: BTreeMap<SubmissionId, Entry>,
    /// Requests of which a read has just ended badly.
    doubtful: Vec<SubmissionId>,
    /// The time allowed, by the settings.
    allowed: Micros,
}

impl Held {
    pub fn new(allowed: Micros) -> Held {
        Held { entries: BTreeMap::new(), doubtful: vec![], allowed }
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Requests of which a read has ended badly since the last call.
    pub fn doubtful(&mut self) -> Vec<SubmissionId> {
        std::mem::take(&mut self.doubtful)
    }

    fn entry(&mut self, id: SubmissionId, trace: &Arc<str>) -> &mut Entry {
        self.entries.entry(id).or_insert_with(|| Entry {
            trace: trace.clone(),
            at: None,
            since: None,
            asked: false,
            asking: vec![],
            over: false,
            patience: Patience::ENDLESS,
            release: None,
        })
    }

    /// The time runs since then, and a release under way, which may have come too early, is none.
    fn runs(&mut self, id: SubmissionId, since: Micros, pools: &mut Pools, out: &mut Outbox) {
        let due = due(since, self.allowed);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        stop(entry, None, pools, out);
        entry.since = Some(since);
        entry.patience.set(due, key(Ring::Held(short(id))), out);
    }

    /// A read has ended well: its state takes the turn of whatever was held before.
    pub fn read(
        &mut self,
        now: Micros,
        id: SubmissionId,
        trace: &Arc<str>,
        at: WorkerId,
        pools: &mut Pools,
        out: &mut Outbox,
    ) {
        let entry = self.entry(id, trace);
        (entry.at, entry.asked) = (Some(at), false);
        self.runs(id, now, pools, out);
    }

    /// A read that went out then has ended badly: it may have ended well over there at any time since.
    pub fn read_badly(
        &mut self,
        (now, sent): (Micros, Micros),
        id: SubmissionId,
        trace: &Arc<str>,
        at: WorkerId,
        pools: &mut Pools,
        out: &mut Outbox,
    ) {
        let entry = self.entry(id, trace);
        (entry.at, entry.asked) = (Some(at), false);
        let since = entry.since.map_or(sent, |since| since.min(sent));
        self.doubtful.push(id);
        self.runs(id, since, pools, out);
        // The next attempt takes nothing while it does not come up.
        let entry = self.entry(id, trace);
        entry.patience.set((now + COMES_UP).min(entry.patience.until()), key(Ring::Held(short(id))), out);
    }

    /// The call that asks for a place goes out on that link.
    pub fn asked(
        &mut self,
        now: Micros,
        id: SubmissionId,
        trace: &Arc<str>,
        (at, on): (WorkerId, Link),
        pools: &mut Pools,
        out: &mut Outbox,
    ) {
        let new = !self.entries.contains_key(&id);
        let entry = self.entry(id, trace);
        entry.asking.push(on);
        if new {
            (entry.at, entry.asked) = (Some(at), true);
            self.runs(id, now, pools, out);
        }
    }

    /// That call is over; `reading` if its read is out.
    pub fn answered(
        &mut self,
        now: Micros,
        id: SubmissionId,
        on: Link,
        (place, reading): (Place, bool),
        pools: &mut Pools,
        out: &mut Outbox,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        // An answer to an earlier call may be of an earlier read.
        let known = entry.asking.last() == Some(&on) && matches!(place, Place::Held | Place::Refused);
        entry.asking.retain(|link| *link != on);
        entry.asked &= matches!(place, Place::Refused | Place::None);
        if entry.asked && entry.asking.is_empty() && matches!(place, Place::Refused | Place::None) {
            stop(entry, None, pools, out);
            self.entries.remove(&id);
        } else if (entry.over || entry.release.is_some()) && matches!(place, Place::Held | Place::Unknown) {
            // A release may have been there before it.
            self.runs(id, now, pools, out);
            self.unwanted(now, id, pools, out);
        } else if known && reading && entry.release.is_none() {
            // The read is out at a worker that runs: the time rests.
            entry.since = None;
            entry.patience.set(Micros::MAX, key(Ring::Held(short(id))), out);
        } else if place == Place::Unknown && entry.since.is_none() {
            // Nobody there knows of the read that was taken to be out.
            self.runs(id, now, pools, out);
        }
    }

    /// No place is wanted any more: calls for one that have not left never do.
    pub fn unasked(&mut self, id: SubmissionId, pools: &mut Pools, out: &mut Outbox) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.asking.retain(|link| {
            let left = pools.get_mut(*link).is_some_and(|conn| conn.written);
            if !left {
                pools.end(*link, out);
            }
            left
        });
        if entry.asked && entry.asking.is_empty() {
            stop(entry, None, pools, out);
            self.entries.remove(&id);
        }
    }

    /// An attempt has ended that left a state, or what else is held, where it was; `spoke` if its worker said so,
    /// with which the time begins anew, and `reached` if it may have come there.
    pub fn stays(
        &mut self,
        now: Micros,
        id: SubmissionId,
        trace: &Arc<str>,
        (state, reached, spoke): (Option<WorkerId>, bool, bool),
        pools: &mut Pools,
        out: &mut Outbox,
    ) {
        if state.is_some() {
            let entry = self.entry(id, trace);
            entry.at = state;
        }
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if spoke || entry.since.is_none() {
            self.runs(id, now, pools, out);
        } else if reached && entry.release.is_some() {
            // The release may have come while the attempt still waited with the state, which it frees not then.
            stop(entry, None, pools, out);
            self.unwanted(now, id, pools, out);
        }
    }

    /// Events have begun, with which all that is held goes by itself.
    pub fn taken(&mut self, now: Micros, id: SubmissionId, pools: &mut Pools, out: &mut Outbox) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.over = true;
        self.paid(now, id, None, pools, out);
    }

    /// A worker has answered a release, on that link.
    pub fn released(&mut self, now: Micros, id: SubmissionId, on: Link, pools: &mut Pools, out: &mut Outbox) {
        tracing::debug!(id, "what was held is released");
        self.paid(now, id, Some(on), pools, out);
    }

    /// Nothing is held any more, but for what a call for a place under way may hold yet.
    fn paid(&mut self, now: Micros, id: SubmissionId, on: Option<Link>, pools: &mut Pools, out: &mut Outbox) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        stop(entry, on, pools, out);
        entry.asked = true;
        self.unasked(id, pools, out);
        self.runs(id, now, pools, out);
    }

    /// The request is over, and nobody wants what is held for it.
    pub fn over(&mut self, now: Micros, id: SubmissionId, pools: &mut Pools, out: &mut Outbox) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.over = true;
            // What comes of a call for a place is waited for, as long as its time lasts.
            if !entry.asked {
                self.unwanted(now, id, pools, out);
            }
        }
    }

    /// The next attempt is there. What it makes takes the turn of what is held, and must not be released under it,
    /// unless the time is over.
    pub fn pause(&mut self, now: Micros, id: SubmissionId, pools: &mut Pools, out: &mut Outbox) {
        let Some(since) = self.entries.get(&id).and_then(|e| e.since) else { return };
        let due = due(since, self.allowed);
        let Some(entry) = self.entries.get_mut(&id).filter(|_| now < due) else { return };
        stop(entry, None, pools, out);
        entry.patience.set(due, key(Ring::Held(short(id))), out);
    }

    /// Nobody wants what is held. Without an entry there is nothing to do.
    pub fn unwanted(&mut self, now: Micros, id: SubmissionId, pools: &mut Pools, out: &mut Outbox) {
        self.unasked(id, pools, out);
        let Some(entry) = self.entries.get_mut(&id).filter(|e| e.release.is_none()) else { return };
        let since = *entry.since.get_or_insert(now);
        let until = (since + self.allowed).max(now + AHEAD) + BEYOND;
        tracing::debug!(id, at = ?entry.at, held = now - since, "releases what is held");
        entry.release = Some(Release { left: round(entry.at, pools), calls: 0, out: VecDeque::new(), until });
        self.go(now, id, 1, pools, out);
    }

    /// The same of what the books know to be held, there as far as they know.
    pub fn let_go(
        &mut self,
        now: Micros,
        id: SubmissionId,
        trace: &Arc<str>,
        at: Option<WorkerId>,
        pools: &mut Pools,
        out: &mut Outbox,
    ) {
        let entry = self.entry(id, trace);
        entry.at = at.or(entry.at);
        self.unwanted(now, id, pools, out);
    }

    /// Makes so many calls more, and sets the time for those after them.
    fn go(&mut self, now: Micros, id: SubmissionId, more: usize, pools: &mut Pools, out: &mut Outbox) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Some(release) = &mut entry.release else { return };
        if now >= release.until {
            tracing::warn!(id, calls = release.calls, "nobody could be told to release what is held");
            stop(entry, None, pools, out);
            self.entries.remove(&id);
            return;
        }
        for _ in 0..more.min(CALLS) {
            let target = format!("{}{}", words::PLACES, entry.trace);
            let bytes = write::request("DELETE", &target, [("host", "worker")], None);
            let mut called = None;
            while let Some(worker) = called.is_none().then(|| release.left.pop_front()).flatten() {
                called = pools.call(now, worker, Job::Release { id }, bytes.clone(), out);
                tracing::debug!(id, ?worker, called = called.is_some(), "tells to release");
            }
            let Some(link) = called else { break };
            release.calls += 1;
            release.out.push_back(link);
            if release.out.len() > CALLS {
                release.out.pop_front().into_iter().for_each(|oldest| pools.end(oldest, out));
            }
        }
        entry.patience.set(now + TRY, key(Ring::Held(short(id))), out);
    }

    /// The time of an entry is over, or a worker has not answered in time: the next ones are asked too.
    pub fn rang(&mut self, now: Micros, id: SubmissionId, pools: &mut Pools, out: &mut Outbox) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if !entry.patience.over(now, key(Ring::Held(short(id))), out) {
            return;
        }
        let Some(release) = &mut entry.release else {
            let due = entry.since.map_or(now, |since| due(since, self.allowed));
            if now < due && pools.shot_is_up(id) {
                return entry.patience.set(due, key(Ring::Held(short(id))), out);
            }
            return self.unwanted(now, id, pools, out);
        };
        if release.left.is_empty() {
            release.left = round(entry.at, pools);
        }
        let more = release.calls.max(1);
        self.go(now, id, more, pools, out);
    }

    /// A connection with a release on it came to nothing.
    pub fn lost(&mut self, now: Micros, id: SubmissionId, link: Link, pools: &mut Pools, out: &mut Outbox) {
        let Some(release) = self.entries.get_mut(&id).and_then(|e| e.release.as_mut()) else { return };
        release.out.retain(|l| *l != link);
        // A round that is over is begun anew by time alone, or refusals would follow each other without a pause.
        if release.out.is_empty() && !release.left.is_empty() {
            self.go(now, id, 1, pools, out);
        }
    }
}

/// When what is held since then has to be released, of the time allowed for it.
fn due(since: Micros, allowed: Micros) -> Micros {
    since + allowed - AHEAD.min(allowed / 2)
}

/// Who is told, in order: where it is held, then who was heard last, for one call at any worker that runs will do.
fn round(at: Option<WorkerId>, pools: &Pools) -> VecDeque<WorkerId> {
    let known = at.filter(|w| pools.address(*w).is_some());
    known.into_iter().chain(pools.heard_last().filter(|w| Some(*w) != known)).collect()
}

/// Ends the calls that are out, but for the one that was answered.
fn stop(entry: &mut Entry, answered: Option<Link>, pools: &mut Pools, out: &mut Outbox) {
    let calls = entry.release.take().map(|r| r.out).unwrap_or_default();
    calls.into_iter().filter(|link| Some(*link) != answered).for_each(|link| pools.end(link, out));
}
