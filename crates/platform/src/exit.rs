//! The books' words as calls to workers and answers to clients.

use std::sync::Arc;

use bytes::Bytes;
use tideroute::interface::{Ending, Repeat, SubmissionId, WorkerId};
use tideroute_host::{Answer, Shot, Submission, Timer, Ways};
use tideroute_http::write;
use tideroute_wire::link::{Link, Outbox};
use tideroute_wire::Micros;

use crate::ask::Asked;
use crate::clients::{text, Clients};
use crate::file::Terms;
use crate::held::Held;
use crate::pools::{Job, Pools};
use crate::program::{key, Ring};
use crate::watch::Watch;
use crate::words;

/// Microseconds: an answer on a place comes within 0.3 s, or after the read has ended.
const PLACE: Micros = 1_000_000;

/// What came of decisions while they were carried out, to be told to the books afterwards.
#[derive(Default)]
pub struct Later {
    pub endings: Vec<(SubmissionId, u16, Ending)>,
    /// Clients whose answer is complete: their next request may be there already.
    pub answered: Vec<Link>,
}

/// A plain text as an answer, with the microseconds that its client should stay away; 0 for no advice.
pub fn said(status: u16, after: Micros, what: &str, last: bool) -> Bytes {
    let after = (after > 0).then(|| format!("{:.3}", after as f64 / 1e6));
    let fields = [("content-type", "text/plain")];
    let fields = fields.into_iter().chain(after.iter().map(|a| ("retry-after", a.as_str())));
    write::answer(status, fields, &text(what), last)
}

pub struct Exit<'a> {
    pub terms: &'a Terms,
    pub clients: &'a mut Clients,
    pub pools: &'a mut Pools,
    pub held: &'a mut Held,
    pub watch: &'a mut Watch,
    pub later: &'a mut Later,
    pub stopping: bool,
    pub now: Micros,
    pub out: &'a mut Outbox,
}

impl Exit<'_> {
    /// Asks for a place; only called once the reader has the whole request.
    pub fn place(&mut self, id: SubmissionId, trace: &Arc<str>, at: WorkerId) {
        let target = format!("{}{trace}", words::PLACES);
        let bytes = write::request("POST", &target, [("host", "worker")], Some(b""));
        let link = self.pools.call(self.now, at, Job::Place { id }, bytes, self.out);
        if let Some(conn) = link.and_then(|link| self.pools.get_mut(link).zip(Some(link))) {
            let (conn, link) = conn;
            conn.patience.set(self.now + PLACE, key(Ring::Worker(link)), self.out);
            self.held.asked(self.now, id, trace, (at, link), self.pools, self.out);
        }
    }

    /// An answer that is all there is to say, on a connection that goes on if it can.
    pub fn say(&mut self, link: Link, status: u16, after: Micros, what: &str) {
        let last = self.stopping || self.clients.get(link).is_none_or(|c| c.last);
        self.out.send(link, said(status, after, what, last));
        self.complete(link, last);
    }

    /// The answer is complete.
    fn complete(&mut self, link: Link, last: bool) {
        if last {
            self.clients.lose(link);
            self.out.close(link, "its last answer");
        } else {
            self.clients.answered(self.now, link);
            self.later.answered.push(link);
        }
    }
}

impl Ways for Exit<'_> {
    type Asked = Asked;

    fn shoot(&mut self, id: SubmissionId, s: &Submission<Asked>, shot: &Shot, left: Micros) {
        if !shot.reading {
            // A place comes too late now.
            self.held.unasked(id, self.pools, self.out);
        }
        let left = (left / 1_000).to_string();
        let fields = s.asked.fields.iter().map(|(name, value)| (name.as_str(), value.as_str()));
        let fields = fields.chain([(words::LEFT, left.as_str())]);
        let bytes = write::request("POST", &s.asked.target, fields, Some(&s.asked.body));
        let track = self.terms.books.module.tracks.get(usize::from(s.track));
        let once = !shot.reading && track.is_some_and(|t| t.repeat == Repeat::SingleUse);
        let job = Job::Shot { id, number: shot.number, reading: shot.reading, once };
        if self.pools.call(self.now, shot.worker, job, bytes, self.out).is_none() {
            self.later.endings.push((id, shot.number, Ending::NeverSent));
        }
        if self.pools.shot_is_up(id) {
            self.held.pause(self.now, id, self.pools, self.out);
        }
    }

    fn hold(&mut self, id: SubmissionId, s: &Submission<Asked>, at: WorkerId, _reader: WorkerId) {
        let Some(conn) = self.pools.shot(id).and_then(|link| self.pools.get_mut(link)) else { return };
        if conn.written {
            self.place(id, &s.asked.trace, at);
        } else {
            conn.place = Some(at);
        }
    }

    /// A new place or a shot elsewhere takes the old place's turn by itself; a word here would free the state too.
    fn unplace(&mut self, _id: SubmissionId, _at: WorkerId, _tell: bool) {}

    fn let_go(
        &mut self,
        id: SubmissionId,
        s: &Submission<Asked>,
        places: &[WorkerId],
        state: Option<WorkerId>,
    ) {
        let at = state.or(places.last().copied());
        self.held.let_go(self.now, id, &s.asked.trace, at, self.pools, self.out);
    }

    fn withdraw(&mut self, id: SubmissionId, _shot: &Shot) -> bool {
        let Some(link) = self.pools.shot(id) else { return true };
        // Of one that is not known any more nothing shows that it never ran.
        let written = self.pools.get_mut(link).is_none_or(|c| c.written);
        self.pools.end(link, self.out);
        !written
    }

    fn settled(&mut self, id: SubmissionId, s: &Submission<Asked>, shot: &Shot, ending: Ending) {
        let sent = self.pools.over(id).unwrap_or(self.now);
        let (trace, pools, out) = (&s.asked.trace, &mut *self.pools, &mut *self.out);
        if ending == Ending::Read {
            self.held.read(self.now, id, trace, shot.worker, pools, out);
        } else if shot.reading && !ending.never_ran() {
            self.held.read_badly((self.now, sent), id, trace, shot.worker, pools, out);
        } else if ending != Ending::Honoured && !shot.started {
            let spoke = matches!(ending, Ending::Full | Ending::Stateless | Ending::Fault);
            let reached = !matches!(ending, Ending::Unreachable | Ending::NeverSent);
            self.held.stays(self.now, id, trace, (s.state, reached, spoke), pools, out);
        }
    }

    fn closed(&mut self, id: SubmissionId) {
        self.held.over(self.now, id, self.pools, self.out);
    }

    fn answer(&mut self, id: SubmissionId, s: &Submission<Asked>, answer: Answer) {
        let link = s.asked.client;
        let Some(streams) = self.clients.streams(link, id) else { return };
        match answer {
            Answer::Honoured(_) => {
                let last = self.stopping || self.clients.get(link).is_none_or(|c| c.last);
                self.out.send(link, write::LAST_CHUNK.into());
                self.complete(link, last);
            }
            // The client sees from the missing last chunk that there was more.
            Answer::Abandoned if streams => {
                self.clients.lose(link);
                self.out.close(link, "its stream broke");
            }
            Answer::Abandoned if self.now >= s.cut_off => self.say(link, 504, 0, "no answer in time"),
            Answer::Abandoned => self.say(link, 502, 0, "no worker answered it"),
            Answer::TurnedBack(after) => self.say(link, 503, after, "turned back: it has not run"),
        }
    }

    fn probe(&mut self, nonce: u64, at: WorkerId) {
        let path = if self.terms.report.is_some() { words::LOAD } else { words::ALIVE };
        let bytes = write::request("GET", path, [("host", "worker")], None);
        self.pools.call(self.now, at, Job::Probe { nonce }, bytes, self.out);
    }

    fn probed(&mut self, at: WorkerId) {
        self.pools.end_probe(at, self.out);
    }

    /// Changes come by themselves once the watch is open, which it is whenever it can be.
    fn subscribe(&mut self, version: u64) {
        self.watch.begin(self.now, self.terms.discovery, version, self.out);
    }

    fn ring(&mut self, at: Micros, timer: Timer) {
        self.out.ring(at, key(Ring::Books(timer)));
    }
}
