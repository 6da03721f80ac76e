//! The program: what happens on links goes to the books and to the module, then the module's decisions are
//! carried out until there is none.

use std::collections::BTreeMap;

use bytes::Bytes;
use metrics::{counter, gauge, histogram};
use tideroute::choice::Router;
use tideroute::interface::{Ending, Listing, Role, Standing, SubmissionId, Tenths, WorkerId};
use tideroute_shares::{Asked, Known, Ticket, Verdict};
use tideroute_wire::link::{Link, Loss, Outbox, Program};
use tideroute_wire::{client, list, worker, Malformed, Micros, Party};

use crate::clients::Clients;
use crate::lateness::Lateness;
use crate::lines::Lines;
use crate::submissions::{Submission, Submissions};
use crate::tenancy::{Ear, Tenancy};
use crate::terms::Terms;

/// Microseconds in one of the module's tenths of a millisecond.
pub(crate) const TENTH: Micros = 100;
/// Microseconds between two tellings of tenants' figures: what a person who watches takes for now.
const TELLS: Micros = 1_000_000;
/// The kind of a timer stands in the top byte of its key, what it is for beneath.
const KIND: u32 = 56;

/// What a timer is for.
#[derive(Clone, Copy)]
pub(crate) enum Timer {
    /// The module asked to be woken.
    Wake,
    /// A client's time is up.
    CutOff(SubmissionId),
    /// A probe, by its nonce, has not been answered.
    Probe(u64),
    /// A connection, by its number, has not said Hello.
    Hello(Link),
    /// A verdict on what waits to be let in may be due.
    Shares,
    /// Tenants' figures are told.
    Figures,
}

pub(crate) fn tenths(at: Micros) -> Tenths {
    (at / TENTH) as Tenths
}

/// A final answer to a client.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Answer {
    Honoured(u32),
    TurnedBack(Micros),
    Abandoned,
}

pub struct Host {
    pub(crate) terms: Terms,
    pub(crate) module: Router,
    pub(crate) submissions: Submissions,
    pub(crate) clients: Clients,
    pub(crate) lines: Lines,
    /// What the list says of each worker, the role by its kind beside it.
    pub(crate) listed: BTreeMap<WorkerId, (Listing, Role)>,
    pub(crate) version: u64,
    pub(crate) list_link: Option<Link>,
    pub(crate) list_changed: bool,
    /// What came of decisions while they were pulled; the module hears it after the last of them.
    pub(crate) settled: Vec<(SubmissionId, u16, Ending)>,
    /// Submissions that may be over and free of everything.
    pub(crate) closing: Vec<SubmissionId>,
    pub(crate) probes: BTreeMap<u64, WorkerId>,
    pub(crate) nonce: u64,
    /// The module has heard something since it was last asked.
    pub(crate) stirred: bool,
    pub(crate) lateness: Lateness,
    tenancy: Option<Tenancy>,
    stopping: bool,
    kept: Option<Bytes>,
    /// How many open submissions the figures show.
    shown: Option<usize>,
}

impl Host {
    /// A router that starts now; `kept` is the list as the last run of it kept it.
    pub fn new(terms: Terms, kept: Option<Bytes>, now: Micros) -> Host {
        Host {
            module: Router::new(terms.module.clone(), terms.seed, tenths(now)),
            submissions: Submissions::new(terms.seed),
            tenancy: terms.tenants.as_ref().map(|t| Tenancy::new(t, terms.part, shares_terms(&terms), now)),
            terms,
            clients: Clients::default(),
            lines: Lines::default(),
            listed: BTreeMap::new(),
            version: 0,
            list_link: None,
            list_changed: false,
            settled: vec![],
            closing: vec![],
            probes: BTreeMap::new(),
            nonce: 0,
            stirred: true,
            lateness: Lateness::default(),
            stopping: false,
            kept,
            shown: None,
        }
    }

    /// Submissions that are open.
    pub fn open(&self) -> usize {
        self.submissions.len()
    }

    pub(crate) fn key(timer: Timer) -> u64 {
        let (kind, what) = match timer {
            Timer::Wake => (0, 0),
            Timer::CutOff(id) => (1, Submissions::short(id)),
            Timer::Probe(nonce) => (2, nonce),
            Timer::Hello(link) => (3, link.0),
            Timer::Shares => (4, 0),
            Timer::Figures => (5, 0),
        };
        kind << KIND | what
    }

    /// Gives a submission its final answer, once.
    pub(crate) fn answer(&mut self, now: Micros, id: SubmissionId, answer: Answer, out: &mut Outbox) {
        let Some(s) = self.submissions.get_mut(id).filter(|s| !s.over) else { return };
        s.over = true;
        self.closing.push(id);
        let first = s.first.or_else(|| matches!(answer, Answer::TurnedBack(_)).then_some(Micros::MAX));
        let (came, prompt, track_of) = (s.came, s.prompt_tokens, usize::from(s.track));
        let (frame, outcome) = match answer {
            Answer::Honoured(tokens) => (client::honoured(s.number, tokens), "honoured"),
            Answer::TurnedBack(after) => (client::turned_back(s.number, after), "turned back"),
            Answer::Abandoned => (client::abandoned(s.number), "abandoned"),
        };
        out.send(s.client, frame);
        let track = self.terms.tracks.get(usize::from(s.track)).cloned().unwrap_or_default();
        counter!("tideroute_answers_total", "outcome" => outcome, "track" => track).increment(1);
        histogram!("tideroute_answer_seconds").record((now - s.came) as f64 / 1e6);
        tracing::debug!(id, outcome, shots = s.shots, "answered");
        if let Some(client) = self.clients.get_mut(s.client) {
            client.open.remove(&s.number);
        }
        if let (Some(tenancy), Some(track)) = (&mut self.tenancy, self.terms.module.tracks.get(track_of)) {
            let contract = came + track.contract_of(f64::from(prompt)) as Micros * TENTH;
            let known = first.map(|at| if at <= contract { Known::InTime } else { Known::Late });
            tenancy.shares.answered(now, Ticket(id), known.unwrap_or(Known::Nothing));
            self.stirred = true;
        }
    }

    /// A shot has ended: the module hears of it, and the client if that was the end of its stream.
    pub(crate) fn settle(
        &mut self,
        now: Micros,
        id: SubmissionId,
        number: u16,
        ending: Ending,
        out: &mut Outbox,
    ) {
        let Some(s) = self.submissions.get_mut(id) else { return };
        let Some(shot) = s.shot.take_if(|s| s.number == number) else { return };
        self.lines.at(shot.worker).shots.remove(&id);
        let terminal = s.over || shot.started || ending == Ending::Honoured;
        if ending == Ending::Read {
            s.state = Some(shot.worker);
        }
        tracing::debug!(id, shot = number, worker = ?shot.worker, ?ending, "a shot ended");
        counter!("tideroute_shots_ended_total", "ending" => name_of(ending)).increment(1);
        self.module.settled(tenths(now), id, number, ending, terminal);
        self.stirred = true;
        self.closing.push(id);
        if ending == Ending::Honoured {
            self.answer(now, id, Answer::Honoured(shot.tokens), out);
        } else if shot.started {
            self.answer(now, id, Answer::Abandoned, out);
        }
    }

    /// The client no longer waits. A stream that nobody reads ends; the rest is the module's to call back.
    pub(crate) fn dropped(&mut self, now: Micros, id: SubmissionId, out: &mut Outbox) {
        let Some(s) = self.submissions.get_mut(id) else { return };
        s.over = true;
        self.closing.push(id);
        counter!("tideroute_left_total").increment(1);
        self.module.dropped(tenths(now), id);
        self.tenancy.iter_mut().for_each(|t| t.shares.left(now, Ticket(id)));
        self.stirred = true;
        if let Some(shot) = s.shot.as_ref().filter(|shot| shot.started) {
            let (worker, number) = (shot.worker, shot.number);
            self.lines.send_if_there(worker, worker::withdraw(id, number), out);
            self.settle(now, id, number, Ending::Withdrawn, out);
        }
    }

    /// Takes a new submission, or turns it back at once where the operator's bounds are reached.
    pub(crate) fn submitted(
        &mut self,
        now: Micros,
        s: Submission,
        out: &mut Outbox,
    ) -> Result<(), Malformed> {
        let track = s.track;
        if self.terms.module.tracks.get(usize::from(track)).is_none() {
            return Err(Malformed::Range("track"));
        }
        let Some(client) = self.clients.get_mut(s.client) else { return Err(Malformed::Hello) };
        if client.last.is_some_and(|last| s.number <= last) {
            return Err(Malformed::Order("a number that is not above the last"));
        }
        client.last = Some(s.number);
        let full =
            self.submissions.len() >= self.terms.most_open || client.open.len() >= self.terms.most_a_client;
        if self.stopping || full {
            let why = if full { "full" } else { "stopping" };
            counter!("tideroute_untaken_total", "why" => why).increment(1);
            let advice = full && self.terms.module.advice;
            let after = if advice { self.terms.module.longest_advice.max(0) as Micros * TENTH } else { 0 };
            out.send(s.client, client::turned_back(s.number, after));
            return Ok(());
        }
        let (link, number, cut_off) = (s.client, s.number, s.cut_off);
        let (key, tokens) = (client.key, s.prompt_tokens);
        let id = self.submissions.insert(s);
        client.open.insert(number, id);
        out.send(link, client::taken(number, id));
        counter!("tideroute_taken_total").increment(1);
        out.ring(cut_off, Self::key(Timer::CutOff(id)));
        self.stirred = true;
        let earnings = self.terms.module.tracks.get(usize::from(track)).map_or(0.0, |t| t.earnings);
        let Some(tenancy) = &mut self.tenancy else {
            self.let_in(now, id);
            return Ok(());
        };
        // A key may have been revoked since its Hello.
        match key.and_then(|key| tenancy.of(&key)) {
            Some(tenant) => {
                let ticket = Ticket(id);
                tenancy.shares.asked(now, Asked { ticket, tenant, tokens, earnings, cut_off });
            }
            None => self.answer(now, id, Answer::TurnedBack(0), out),
        }
        Ok(())
    }

    /// The module hears of a submission.
    fn let_in(&mut self, now: Micros, id: SubmissionId) {
        let Some(s) = self.submissions.get(id).filter(|s| !s.over) else { return };
        let arrival = tideroute::interface::Arrival {
            id,
            track: s.track,
            session: s.session,
            prefix: s.prefix,
            prompt: f64::from(s.prompt_tokens),
            left: tenths(s.cut_off.saturating_sub(now)),
        };
        self.module.arrived(tenths(now), arrival);
        self.stirred = true;
    }

    /// Tells tenants' figures, and again a while later.
    fn tell_figures(&mut self, now: Micros, out: &mut Outbox) {
        let Some(tenancy) = &mut self.tenancy else { return };
        tenancy.news(&self.terms.name).into_iter().for_each(|letter| out.publish(letter));
        out.ring(now + TELLS, Self::key(Timer::Figures));
    }

    /// Carries out what the shares decide.
    fn admit(&mut self, now: Micros, out: &mut Outbox) {
        while let Some(verdict) = self.tenancy.as_mut().and_then(|t| t.shares.decide(now)) {
            match verdict {
                Verdict::Let(Ticket(id)) => self.let_in(now, id),
                Verdict::TurnBack { ticket: Ticket(id), after } => {
                    counter!("tideroute_untaken_total", "why" => "share").increment(1);
                    let after = if self.terms.module.advice { after } else { 0 };
                    self.answer(now, id, Answer::TurnedBack(after), out);
                }
                Verdict::Wake { at } => out.ring(at, Self::key(Timer::Shares)),
            }
        }
    }

    /// A client has said Hello; where there are tenants it must speak for one.
    fn greeted(&mut self, link: Link, name: &str, key: &[u8], out: &mut Outbox) {
        let hash = self.tenancy.as_ref().map(|_| *blake3::hash(key).as_bytes());
        if self.tenancy.as_ref().zip(hash).is_some_and(|(t, hash)| t.of(&hash).is_none()) {
            counter!("tideroute_denied_total").increment(1);
            tracing::debug!(link = link.0, name, "a client without a tenant's key");
            self.clients.lose(link);
            out.send(link, client::denied("no tenant has this key"));
            return out.close(link, "no tenant has its key");
        }
        tracing::debug!(link = link.0, name, "a client is there");
        self.clients.greeted(link, hash);
    }

    /// The client's time is up: a shot that has not begun to answer has timed out.
    fn cut_off(&mut self, now: Micros, id: SubmissionId, out: &mut Outbox) {
        let Some(s) = self.submissions.get(id).filter(|s| !s.over && !s.streams()) else { return };
        let Some(shot) = &s.shot else {
            self.stirred = true;
            return;
        };
        let (worker, number) = (shot.worker, shot.number);
        self.lines.send_if_there(worker, worker::withdraw(id, number), out);
        self.settle(now, id, number, Ending::TimedOut, out);
    }

    /// A connection to a worker has ended, or never came about.
    fn line_lost(&mut self, now: Micros, link: Link, loss: Loss, out: &mut Outbox) {
        let Some((worker, line)) = self.lines.lose(link) else { return };
        tracing::info!(worker = %shown(worker), ?loss, shots = line.shots.len(), "lost a worker's line");
        for id in line.places {
            if let Some(s) = self.submissions.get_mut(id) {
                s.places.retain(|&p| p != worker);
            }
        }
        let ending = if loss == Loss::Unreached { Ending::Unreachable } else { Ending::Broken };
        for id in line.shots {
            let number = self.submissions.get(id).and_then(|s| s.shot.as_ref()).map(|s| s.number);
            if let Some(number) = number {
                self.settle(now, id, number, ending, out);
            }
        }
        if let Some(nonce) = line.probe {
            self.probed(now, nonce, false);
        }
    }

    pub(crate) fn probed(&mut self, now: Micros, nonce: u64, well: bool) {
        let Some(worker) = self.probes.remove(&nonce) else { return };
        self.lines.at(worker).probe = None;
        self.module.probed(tenths(now), worker, well);
        self.stirred = true;
    }

    /// Begins a page of the list; entries follow.
    pub(crate) fn page(&mut self, now: Micros, version: u64, whole: bool) {
        if whole {
            self.listed.values_mut().for_each(|(l, _)| l.standing = Standing::Gone);
            self.module.list_anew(tenths(now));
        }
        (self.version, self.list_changed, self.stirred) = (version, true, true);
    }

    pub(crate) fn entry(&mut self, now: Micros, listing: Listing) {
        let Some(&role) = self.terms.module.roles.get(usize::from(listing.kind)) else {
            tracing::warn!(worker = %shown(listing.worker), kind = listing.kind, "a kind that no term names");
            return;
        };
        tracing::debug!(worker = %shown(listing.worker), standing = ?listing.standing, "listed");
        self.listed.insert(listing.worker, (listing, role));
        self.module.listed(tenths(now), listing);
    }

    /// The list as it stands, as a page that `new` takes again.
    fn list_to_keep(&self) -> Bytes {
        let mut page = list::Page::new(self.version, true);
        for (l, _) in self.listed.values().filter(|(l, _)| l.standing != Standing::Gone) {
            let standing = match l.standing {
                Standing::Ready => list::Standing::Ready,
                _ => list::Standing::Draining,
            };
            let started = l.started.max(0) as Micros * TENTH;
            page.add(l.worker, l.kind, l.size, standing, l.cell, l.zone, started);
        }
        page.frame()
    }

    /// Lets go of what is left of submissions that are over and forgets them.
    fn close_up(&mut self, out: &mut Outbox) {
        for id in std::mem::take(&mut self.closing) {
            let Some(s) = self.submissions.get(id).filter(|s| s.over && s.shot.is_none()) else { continue };
            if !s.holds_nothing() {
                self.let_go(id, out);
            }
            self.submissions.remove(id);
        }
    }
}

impl Program for Host {
    fn begin(&mut self, now: Micros, out: &mut Outbox) {
        if let Some(kept) = self.kept.take() {
            let mut listener = crate::hear::ListLink { host: self, now };
            if let Err(problem) = list::hear_list(&kept, &mut listener) {
                tracing::warn!(%problem, "the list that was kept cannot be read; starts without");
            }
            // The list server may have started anew too: it is asked for all.
            (self.version, self.list_changed) = (0, false);
        }
        self.tell_figures(now, out);
        self.turn(now, out);
    }

    fn accepted(&mut self, now: Micros, link: Link, _door: usize, out: &mut Outbox) {
        if self.clients.len() >= self.terms.most_clients {
            counter!("tideroute_clients_sent_away_total").increment(1);
            return out.close(link, "too many clients");
        }
        self.clients.accepted(link);
        out.ring(now + self.terms.unheard, Self::key(Timer::Hello(link)));
    }

    fn opened(&mut self, _now: Micros, _link: Link, _out: &mut Outbox) {}

    fn heard(&mut self, now: Micros, link: Link, frame: &Bytes, out: &mut Outbox) {
        let taken = if self.lines.worker_of(link).is_some() {
            let mut listener = crate::hear::WorkerLink { host: self, now, link, out };
            worker::hear_worker(frame, &mut listener)
        } else if self.list_link == Some(link) {
            list::hear_list(frame, &mut crate::hear::ListLink { host: self, now })
        } else if self.clients.is_silent(link) {
            tideroute_wire::first(frame).and_then(|(party, name, key)| match party {
                Party::Client => {
                    self.greeted(link, &name, &key, out);
                    Ok(())
                }
                _ => Err(Malformed::Range("party")),
            })
        } else if self.clients.knows(link) {
            client::hear_client(frame, &mut crate::hear::ClientLink { host: self, now, link, out })
        } else {
            Ok(())
        };
        if let Err(problem) = taken {
            tracing::warn!(link = link.0, %problem, "closes a connection that breaks the protocol");
            counter!("tideroute_protocol_breaks_total").increment(1);
            out.close(link, problem.to_string());
            self.lost(now, link, Loss::Broken, out);
        }
    }

    fn lost(&mut self, now: Micros, link: Link, loss: Loss, out: &mut Outbox) {
        if self.list_link == Some(link) {
            tracing::warn!(?loss, "lost the list; the old one stays in force");
            self.list_link = None;
            self.module.list_failed(tenths(now));
            self.stirred = true;
        } else if let Some(client) = self.clients.lose(link) {
            for id in client.open.into_values() {
                self.dropped(now, id, out);
            }
        } else {
            self.line_lost(now, link, loss, out);
        }
    }

    fn crowded(&mut self, _now: Micros, link: Link, crowded: bool, out: &mut Outbox) {
        let Some(client) = self.clients.get_mut(link) else { return };
        client.crowded = crowded;
        let open: Vec<_> = client.open.values().copied().collect();
        // Who does not read shall not ask for more either.
        out.hush(link, crowded);
        counter!("tideroute_crowded_total").increment(u64::from(crowded));
        if !crowded {
            open.into_iter().for_each(|id| self.pay(id, 1, out));
        }
    }

    fn rang(&mut self, now: Micros, key: u64, out: &mut Outbox) {
        let what = key & ((1 << KIND) - 1);
        match key >> KIND {
            0 => {
                self.module.woken(tenths(now));
                self.stirred = true;
            }
            1 => self.cut_off(now, self.submissions.long(what), out),
            2 => self.probed(now, what, false),
            4 => self.stirred = true,
            5 => self.tell_figures(now, out),
            _ => {
                let link = Link(what);
                if self.clients.is_silent(link) {
                    self.clients.lose(link);
                    out.close(link, "no Hello in time");
                }
            }
        }
    }

    fn turn(&mut self, now: Micros, out: &mut Outbox) {
        while std::mem::take(&mut self.stirred) {
            self.admit(now, out);
            while let Some(decision) = self.module.decide(tenths(now)) {
                self.carry_out(now, decision, out);
            }
            for (id, shot, ending) in std::mem::take(&mut self.settled) {
                self.settle(now, id, shot, ending, out);
            }
        }
        self.close_up(out);
        if std::mem::take(&mut self.list_changed) {
            out.keep(self.list_to_keep());
        }
        if self.shown != Some(self.submissions.len()) {
            self.shown = Some(self.submissions.len());
            gauge!("tideroute_open", "core" => self.terms.name.clone()).set(self.submissions.len() as f64);
        }
    }

    fn told(&mut self, now: Micros, letter: &Bytes, _out: &mut Outbox) {
        let Some(tenancy) = &mut self.tenancy else { return };
        if let Err(problem) = tideroute_wire::tenant::hear(letter, &mut Ear { tenancy, now }) {
            tracing::error!(%problem, "a letter about tenants cannot be read");
        }
        self.stirred = true;
    }

    fn late(&mut self, now: Micros, by: Micros) {
        let before = self.lateness.worst();
        self.lateness.note(now, by);
        // Each turn of the loop comes here: the figure is only written when it is another.
        if self.lateness.worst() != before {
            gauge!("tideroute_late_seconds", "core" => self.terms.name.clone())
                .set(self.lateness.worst() as f64 / 1e6);
        }
    }

    fn stop(&mut self, _now: Micros, _out: &mut Outbox) {
        tracing::info!(open = self.submissions.len(), "stops: takes nothing new");
        self.stopping = true;
    }

    fn done(&self) -> bool {
        self.stopping && self.submissions.none_waits()
    }
}

/// A quarter of what may be open may wait to be let in.
fn shares_terms(terms: &Terms) -> tideroute_shares::Terms {
    tideroute_shares::Terms {
        longest_wait: terms.longest_wait,
        most_waiting: (terms.most_open / 4).max(1),
        longest_advice: terms.module.longest_advice.max(0) as Micros * TENTH,
    }
}

fn name_of(ending: Ending) -> &'static str {
    match ending {
        Ending::Honoured => "honoured",
        Ending::Fault => "fault",
        Ending::Full => "full",
        Ending::Stateless => "stateless",
        Ending::TimedOut => "timed out",
        Ending::Unreachable => "unreachable",
        Ending::Broken => "broken",
        Ending::Withdrawn => "withdrawn",
        Ending::NeverSent => "never sent",
        Ending::Read => "read",
    }
}

/// A worker's address as people write it.
pub(crate) fn shown(worker: WorkerId) -> String {
    let [a, b, c, d, high, low] = worker;
    format!("{a}.{b}.{c}.{d}:{}", u16::from_be_bytes([high, low]))
}
