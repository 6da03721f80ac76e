//! Rules 1, 2 and 5: each submission from its client to its end, with all that was sent for it.

use std::collections::{BTreeMap, BTreeSet};

use tideroute_wire::capture::{CaptureEvent, CapturedFrame};
use tideroute_wire::{Address, Micros};

use crate::cold::{shown, Cold};
use crate::halts::Halts;
use crate::links::{Between, Links, Talk};
use crate::talk::Answer;
use crate::terms::{Group, Repeat, Terms};
use crate::{Report, Rule};

/// A submission as its client saw it.
#[derive(Default)]
struct Asked {
    until: Micros,
    sent_at: Micros,
    taken: bool,
    tokens: u32,
    first_token: Option<Micros>,
    answers: u32,
    left: bool,
}

/// A submission as its router saw it.
struct Held {
    /// The client's number for it, at the router's end.
    number: Number,
    client: u64,
    track: u8,
    at: Micros,
    left: Micros,
    shots: u16,
    out: Option<Out>,
    /// When and where the first shot went that may have run.
    ran: Option<(Micros, Address)>,
    /// Where a state or place is held or asked for.
    held: BTreeSet<Address>,
    /// The last outcome, or the last place asked for.
    since: Micros,
    /// When the first token went to the client.
    relayed: Option<Micros>,
    over: Option<Micros>,
}

struct Out {
    number: u16,
    worker: Address,
    link: u64,
    sent: Micros,
}

type Number = (u32, u64, u64);

/// Microseconds for which what is over is remembered: longer than any client waits or any process halts.
const REMEMBERS: Micros = 120_000_000;

pub struct Shots {
    terms: Terms,
    pub cold: Cold,
    pub halts: Halts,
    asked: BTreeMap<Number, Asked>,
    /// Heard by the router and not yet taken or turned back.
    coming: BTreeMap<Number, (u8, Micros, Micros)>,
    ids: BTreeMap<Number, u64>,
    /// By router and its id, which is its own.
    held: BTreeMap<(u32, u64), Held>,
    /// When each router's answer to a client's number went out.
    answered: BTreeMap<Number, Micros>,
    probes: BTreeSet<(u32, u64)>,
    ended: BTreeSet<u32>,
}

fn number(passed: &CapturedFrame, number: u64) -> Number {
    (passed.process, passed.connection, number)
}

impl Shots {
    pub fn new(terms: &Terms, homes: BTreeMap<u32, Address>) -> Shots {
        Shots {
            terms: terms.clone(),
            cold: Cold::new(terms, homes),
            halts: Halts::default(),
            asked: BTreeMap::new(),
            coming: BTreeMap::new(),
            ids: BTreeMap::new(),
            held: BTreeMap::new(),
            answered: BTreeMap::new(),
            probes: BTreeSet::new(),
            ended: BTreeSet::new(),
        }
    }

    // What a client says and hears.

    pub fn client_submits(&mut self, passed: &CapturedFrame, n: u64, left: Micros, report: &mut Report) {
        report.counts.submitted += 1;
        let asked = Asked { until: passed.at + left, sent_at: passed.at, ..Asked::default() };
        if self.asked.insert(number(passed, n), asked).is_some() {
            report.note(Rule::Record, passed.at, None, format!("the client uses number {n} twice"));
        }
    }

    pub fn client_leaves(&mut self, passed: &CapturedFrame, n: u64, report: &mut Report) {
        match self.asked.get_mut(&number(passed, n)) {
            Some(asked) => asked.left = true,
            None => report.note(Rule::Record, passed.at, None, format!("leaves {n}, which it never sent")),
        }
    }

    fn asked(&mut self, passed: &CapturedFrame, n: u64, report: &mut Report) -> Option<&mut Asked> {
        let asked = self.asked.get_mut(&number(passed, n));
        if asked.is_none() {
            report.note(Rule::Record, passed.at, None, format!("a client hears of {n}, which it never sent"));
        }
        asked.filter(|a| {
            if a.answers > 0 {
                let what =
                    format!("client link {:x} number {n}: more was sent after the answer", passed.connection);
                report.note(Rule::Lost, passed.at, None, what);
            }
            a.answers == 0
        })
    }

    pub fn client_taken(&mut self, passed: &CapturedFrame, n: u64, report: &mut Report) {
        let Some(asked) = self.asked(passed, n, report) else { return };
        if std::mem::replace(&mut asked.taken, true) {
            report.note(Rule::Lost, passed.at, None, format!("number {n} was taken twice"));
        }
    }

    pub fn client_token(&mut self, passed: &CapturedFrame, n: u64, index: u32, report: &mut Report) {
        let Some(asked) = self.asked(passed, n, report) else { return };
        let expected = asked.tokens;
        asked.tokens += 1;
        asked.first_token.get_or_insert(passed.at);
        if index != expected {
            let what = format!("number {n}: token {index} came where {expected} was due");
            report.note(Rule::Lost, passed.at, None, what);
        }
    }

    pub fn client_answered(&mut self, passed: &CapturedFrame, n: u64, answer: Answer, report: &mut Report) {
        let Some(asked) = self.asked(passed, n, report) else { return };
        asked.answers += 1;
        let (taken, tokens) = (asked.taken, asked.tokens);
        if !taken && answer != Answer::TurnedBack {
            report.note(Rule::Record, passed.at, None, format!("number {n} was answered but never taken"));
        }
        match answer {
            Answer::Honoured(whole) => {
                report.counts.honoured += 1;
                if whole != tokens {
                    let what = format!("number {n}: {tokens} tokens came of {whole}");
                    report.note(Rule::Lost, passed.at, None, what);
                }
            }
            Answer::TurnedBack => {
                report.counts.turned_back += 1;
                if tokens > 0 {
                    let what = format!("number {n} was turned back after {tokens} tokens");
                    report.note(Rule::Twice, passed.at, None, what);
                }
            }
            Answer::Abandoned => report.counts.abandoned += 1,
        }
    }

    // What a router hears from and says to clients.

    pub fn router_is_asked(
        &mut self,
        passed: &CapturedFrame,
        n: u64,
        track: u8,
        left: Micros,
        report: &mut Report,
    ) {
        if usize::from(track) >= self.terms.tracks.len() {
            let what = format!("number {n} is of track {track}, which the terms do not name");
            return report.note(Rule::Record, passed.at, None, what);
        }
        self.coming.insert(number(passed, n), (track, passed.at, left));
    }

    pub fn router_is_left(&mut self, passed: &CapturedFrame, n: u64) {
        let id = self.ids.get(&number(passed, n));
        if let Some(held) = id.and_then(|&id| self.held.get_mut(&(passed.process, id))) {
            held.over.get_or_insert(passed.at);
        }
    }

    pub fn router_takes(&mut self, passed: &CapturedFrame, n: u64, id: u64, report: &mut Report) {
        let Some((track, at, left)) = self.coming.remove(&number(passed, n)) else {
            let what = format!("a router takes number {n}, which it never heard of");
            return report.note(Rule::Record, passed.at, Some(id), what);
        };
        report.counts.taken += 1;
        let held = Held {
            number: number(passed, n),
            client: passed.connection,
            track,
            at,
            left,
            shots: 0,
            out: None,
            ran: None,
            held: BTreeSet::new(),
            since: passed.at,
            relayed: None,
            over: None,
        };
        self.ids.insert(number(passed, n), id);
        if self.held.insert((passed.process, id), held).is_some() {
            report.note(Rule::Record, passed.at, Some(id), "two submissions have one id");
        }
    }

    pub fn router_relays(&mut self, passed: &CapturedFrame, n: u64, report: &mut Report) {
        let id = self.ids.get(&number(passed, n)).copied();
        let Some(held) = id.and_then(|id| self.held.get_mut(&(passed.process, id))) else {
            return report.note(Rule::Record, passed.at, id, format!("a token for number {n}, never taken"));
        };
        held.relayed.get_or_insert(passed.at);
        if held.over.is_some() {
            report.note(Rule::Lost, passed.at, id, "a token was sent after the end");
        }
    }

    pub fn router_answers(&mut self, passed: &CapturedFrame, n: u64, answer: Answer, report: &mut Report) {
        let key = number(passed, n);
        if self.answered.insert(key, passed.at).is_some() {
            report.note(Rule::Lost, passed.at, self.ids.get(&key).copied(), "a second answer was sent");
        }
        if self.coming.remove(&key).is_some() {
            return;
        }
        let id = self.ids.get(&key).copied();
        let Some(held) = id.and_then(|id| self.held.get_mut(&(passed.process, id))) else {
            return report.note(Rule::Record, passed.at, id, format!("number {n} is answered, never taken"));
        };
        held.over.get_or_insert(passed.at);
        let halted = self.halts.within(passed.process, held.at, passed.at);
        let late = passed.at.saturating_sub(held.at + held.left + halted);
        if late > 0 && held.relayed.is_none() {
            let what = format!("it was answered {} us after its client's time was up", late);
            report.note(Rule::Lost, passed.at, id, what);
        }
        let terms = &self.terms.tracks[usize::from(held.track)];
        let harmless = held.ran.is_none()
            || match terms.repeat {
                Repeat::Replayable => true,
                Repeat::SingleUse => false,
                Repeat::Referenced => terms.group == Group::All,
            };
        if answer == Answer::TurnedBack && !harmless {
            let what = format!("of {} and turned back, though a shot may have run", terms.name);
            report.note(Rule::Twice, passed.at, id, what);
        }
    }

    // What a router sends to and hears from workers.

    /// The submission, with anything pinned until now told first.
    fn book(&mut self, passed: &CapturedFrame, id: u64, report: &mut Report) -> Option<&mut Held> {
        let release = self.terms.release;
        let Some(held) = self.held.get_mut(&(passed.process, id)) else {
            report.note(Rule::Record, passed.at, Some(id), "a shot of a submission that was never taken");
            return None;
        };
        held.look_for_pins(id, passed.at, release, &self.halts, report);
        Some(held)
    }

    pub fn sends(
        &mut self,
        passed: &CapturedFrame,
        id: u64,
        shot: u16,
        to: Address,
        reading: bool,
        tokens: f64,
        report: &mut Report,
    ) {
        report.counts.shots += 1;
        let terms = self.terms.clone();
        let Some(held) = self.book(passed, id, report) else { return };
        let mut twice = |what: String| report.note(Rule::Twice, passed.at, Some(id), what);
        if let Some(out) = &held.out {
            twice(format!("shot {shot} goes out while shot {} still is", out.number));
        }
        if shot != held.shots {
            twice(format!("shot {shot} is the {}th that was sent", held.shots + 1));
        }
        if shot >= terms.most_shots {
            twice(format!("shot {shot} is one too many"));
        }
        if held.over.is_some() {
            report.note(Rule::Lost, passed.at, Some(id), format!("shot {shot} goes out after the end"));
        }
        let track = &terms.tracks[usize::from(held.track)];
        if let (Some((first, there)), false) = (held.ran, reading) {
            let place = |a: Address| terms.worker(a);
            let together = match (track.group, place(there), place(to)) {
                (Group::All, ..) => true,
                (Group::Zone, Some(a), Some(b)) => a.zone == b.zone,
                (Group::Cell, Some(a), Some(b)) => a.cell == b.cell,
                _ => false,
            };
            let why = match track.repeat {
                Repeat::Replayable => None,
                Repeat::SingleUse => Some("though an earlier one may have run"),
                Repeat::Referenced if passed.at > first + track.window => Some("after the window"),
                Repeat::Referenced if !together => Some("outside the group that drops its repeats"),
                Repeat::Referenced => None,
            };
            if let Some(why) = why {
                let what = format!("of {}: shot {shot} goes out {why}", track.name);
                report.note(Rule::Twice, passed.at, Some(id), what);
            }
        }
        held.shots = shot + 1;
        if !reading {
            held.ran.get_or_insert((passed.at, to));
            held.held.remove(&to);
        }
        let (link, worker, sent) = (passed.connection, to, passed.at);
        held.out = Some(Out { number: shot, worker, link, sent });
        self.cold.new_goes(passed, id, to, &self.halts, report);
        self.cold.works(passed, id, to, tokens, report);
    }

    pub fn holds(&mut self, passed: &CapturedFrame, id: u64, at: Address, report: &mut Report) {
        report.counts.places += 1;
        if let Some(held) = self.book(passed, id, report) {
            held.held.insert(at);
            held.since = passed.at;
        }
        self.cold.new_goes(passed, id, at, &self.halts, report);
    }

    pub fn hold_answered(
        &mut self,
        passed: &CapturedFrame,
        id: u64,
        at: Address,
        yes: bool,
        report: &mut Report,
    ) {
        // After the end nothing is expected of it: it was let go of while the answer was under way.
        if !self.held.contains_key(&(passed.process, id)) {
            return report.note(Rule::Record, passed.at, Some(id), "an answer on a place never asked for");
        }
        let Some(held) = self.book(passed, id, report) else { return };
        if !yes {
            held.held.remove(&at);
        }
    }

    /// The shot, if it is the one that is out; a word of one called back is none of a fault.
    fn out<'a>(
        held: &'a mut Held,
        shot: u16,
        passed: &CapturedFrame,
        report: &mut Report,
    ) -> Option<&'a mut Out> {
        if shot >= held.shots {
            report.note(
                Rule::Record,
                passed.at,
                None,
                format!("a word of shot {shot}, which was never sent"),
            );
        }
        held.out.as_mut().filter(|o| o.number == shot && o.link == passed.connection)
    }

    pub fn read_done(
        &mut self,
        passed: &CapturedFrame,
        id: u64,
        shot: u16,
        at: Address,
        report: &mut Report,
    ) {
        let Some(held) = self.book(passed, id, report) else { return };
        if Self::out(held, shot, passed, report).is_some() {
            held.out = None;
            held.held.insert(at);
            held.since = passed.at;
        }
    }

    pub fn streams(&mut self, passed: &CapturedFrame, id: u64, shot: u16, index: u32, report: &mut Report) {
        let Some(held) = self.book(passed, id, report) else { return };
        if Self::out(held, shot, passed, report).is_some() && index == 0 {
            held.held.clear();
        }
    }

    pub fn ended(
        &mut self,
        passed: &CapturedFrame,
        id: u64,
        shot: u16,
        never_ran: bool,
        report: &mut Report,
    ) {
        let Some(held) = self.book(passed, id, report) else { return };
        let Some(out) = Self::out(held, shot, passed, report) else { return };
        // What this shot alone may have done, it has not.
        let here = Some((out.sent, out.worker));
        if never_ran && held.ran == here {
            held.ran = None;
        }
        held.out = None;
        held.since = passed.at;
    }

    pub fn withdraws(&mut self, passed: &CapturedFrame, id: u64, shot: u16, report: &mut Report) {
        let Some(held) = self.book(passed, id, report) else { return };
        if Self::out(held, shot, passed, report).is_some() {
            held.out = None;
            held.since = passed.at;
        }
    }

    pub fn lets_go(&mut self, passed: &CapturedFrame, id: u64, at: Address, report: &mut Report) {
        if let Some(held) = self.book(passed, id, report) {
            held.held.remove(&at);
        }
    }

    pub fn probes(&mut self, passed: &CapturedFrame, nonce: u64) {
        self.probes.insert((passed.process, nonce));
    }

    pub fn probe_answered(&mut self, passed: &CapturedFrame, nonce: u64, report: &mut Report) {
        if !self.probes.remove(&(passed.process, nonce)) {
            report.note(Rule::Record, passed.at, None, "an answer to a probe that was never sent");
        }
    }

    // Ends of connections and processes.

    pub fn closed(&mut self, passed: &CapturedFrame, talk: Option<Talk>, report: &mut Report) {
        let Some(talk) = talk else { return };
        match talk.between {
            Between::RouterWorker if talk.dialled => {
                let release = self.terms.release;
                let unreached = passed.event == CaptureEvent::ConnectFailed;
                let mine = (passed.process, 0)..=(passed.process, u64::MAX);
                for ((_, id), held) in self.held.range_mut(mine) {
                    let mine = |o: &&Out| o.link == passed.connection;
                    let Some(out) = held.out.as_ref().filter(mine) else {
                        if held.held.contains(&talk.to) {
                            held.look_for_pins(*id, passed.at, release, &self.halts, report);
                            held.held.remove(&talk.to);
                        }
                        continue;
                    };
                    if unreached && held.ran == Some((out.sent, out.worker)) {
                        held.ran = None;
                    }
                    held.out = None;
                    held.since = passed.at;
                    held.held.remove(&talk.to);
                }
            }
            Between::ClientRouter if !talk.dialled => {
                let mine = (passed.process, 0)..=(passed.process, u64::MAX);
                for (_, held) in self.held.range_mut(mine).filter(|(_, h)| h.client == passed.connection) {
                    held.over.get_or_insert(passed.at);
                }
            }
            _ => {}
        }
    }

    pub fn process_ended(&mut self, passed: &CapturedFrame, report: &mut Report) {
        self.ended.insert(passed.process);
        let release = self.terms.release;
        let mine = (passed.process, 0)..=(passed.process, u64::MAX);
        for ((_, id), held) in self.held.range_mut(mine) {
            held.look_for_pins(*id, passed.at, release, &self.halts, report);
            // A router that ended in order owes nothing more; one that was killed is excused.
            if passed.event == CaptureEvent::ProcessExited && held.over.is_none() {
                report.note(Rule::Lost, passed.at, Some(*id), "its router left without an answer");
            }
            held.held.clear();
            held.over.get_or_insert(passed.at);
        }
    }

    /// What was over long before this moment is judged and forgotten; a word of it that still comes is one of
    /// a submission never taken, a break all the same.
    pub fn settle(&mut self, now: Micros, links: &Links, report: &mut Report) {
        let old = |since: Micros| since + REMEMBERS < now;
        let done = |a: &Asked| (a.left || a.answers > 0) && old(a.until.max(a.sent_at));
        let asked: Vec<_> = self.asked.iter().filter(|(_, a)| done(a)).map(|(n, _)| *n).collect();
        for n in asked {
            if let Some(asked) = self.asked.remove(&n) {
                self.judge(n, &asked, links, report);
            }
        }
        // What a client's answer is judged by is kept for as long again.
        let over =
            |h: &Held| h.out.is_none() && h.held.is_empty() && h.over.is_some_and(|at| old(at + REMEMBERS));
        let ids = &mut self.ids;
        let answered = &mut self.answered;
        self.held.retain(|_, held| {
            let gone = over(held);
            if gone {
                ids.remove(&held.number);
                answered.remove(&held.number);
            }
            !gone
        });
    }

    /// The record is at its end: what is still open should not be.
    pub fn finish(&mut self, last: Micros, links: &Links, report: &mut Report) {
        let release = self.terms.release;
        for ((router, id), held) in &mut self.held {
            if !self.ended.contains(router) {
                held.look_for_pins(*id, last, release, &self.halts, report);
            }
        }
        for (n, asked) in std::mem::take(&mut self.asked) {
            self.judge(n, &asked, links, report);
        }
    }

    /// Whether a client had its one answer in time.
    fn judge(&self, (process, link, n): Number, asked: &Asked, links: &Links, report: &mut Report) {
        let other = links.other(process, link);
        let id = other.and_then(|(p, l)| Some((p, *self.ids.get(&(p, l, n))?)));
        if asked.left {
            report.counts.left += 1;
        } else if asked.answers == 0 {
            if links.over(process, link) || other.is_none_or(|(p, l)| links.over(p, l)) {
                report.counts.void += 1;
            } else {
                let what = format!("client link {link:x} number {n} was never answered");
                report.note(Rule::Lost, asked.sent_at, id.map(|(_, id)| id), what);
            }
        } else if asked.first_token.is_none_or(|t| t > asked.until) {
            // The router's clock is the client's: on one machine they agree.
            // A client that reads late has not been answered late.
            let relayed = id.and_then(|key| self.held.get(&key)).and_then(|h| h.relayed);
            let sent = other.and_then(|(p, l)| self.answered.get(&(p, l, n)).copied());
            // What its router could not do while it was halted is excused, as where it was killed.
            let halted = |at| other.map_or(0, |(p, _)| self.halts.within(p, asked.sent_at, at));
            if relayed.or(sent).is_some_and(|at| at > asked.until + halted(at)) {
                let what = format!("client link {link:x} number {n} was answered after its time");
                report.note(Rule::Lost, asked.until, id.map(|(_, id)| id), what);
            }
        }
    }
}

impl Held {
    /// Rule 5: while no shot is out, what is held is taken or let go within the release time.
    fn look_for_pins(&mut self, id: u64, now: Micros, release: Micros, halts: &Halts, report: &mut Report) {
        let Some(&at) = self.held.first().filter(|_| self.out.is_none()) else { return };
        let halted = halts.within(self.number.0, self.since, now);
        let pinned = now.saturating_sub(self.since + halted);
        report.counts.longest_pinned = report.counts.longest_pinned.max(pinned);
        if pinned > release {
            let what = format!("{} held for it {} ms with no shot out", shown(at), pinned / 1000);
            report.note(Rule::Pinned, now, Some(id), what);
            self.held.clear();
        }
    }
}
