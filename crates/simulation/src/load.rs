//! Clients in open loop. Submissions are made when they were planned; a client comes back after a turn-back, an
//! abandonment that its track lets it repeat, or the loss of its router, as often as the terms say and while
//! its own time lasts.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use tideroute_config_language::kinds::Load as Record;
use tideroute_emulator::kv_state;
use tideroute_wire::event_loop::{ConnectionId, DisconnectReason, Effects, EventHandler};
use tideroute_wire::{client, say_hello_with, Address, Malformed, Micros, Party};

use crate::tally::{Progress, Tally};
use crate::traffic::{plan, routers_of, Planned};

/// Microseconds: how long a dial may take, and how long after a loss a client tries the next router.
const DIAL: Micros = 500_000;
const FAILOVER: Micros = 300_000;
/// Microseconds that a client waits past its time before it calls a submission unanswered: longer than a
/// sluggish one dozes, whose answer may be there and not read.
const SLACK: Micros = 1_200_000;
/// Microseconds that must be left for another try: both ways and a loop that is busy take as long, and nobody asks
/// for what cannot be answered any more.
const LEAST: Micros = 50_000;
/// Microseconds that a sluggish client does not read, and then does.
const DOZES: Micros = 700_000;
const WAKES: Micros = 300_000;

/// Kinds of timers, in the top byte of their keys.
const ARRIVAL: u64 = 0;
const RETRY: u64 = 1;
const PATIENCE: u64 = 2;
const DOZE: u64 = 3;
const WAKE: u64 = 4;
const DIAL_AGAIN: u64 = 5;
const KIND: u32 = 56;

fn key(kind: u64, what: usize) -> u64 {
    kind << KIND | what as u64
}

/// Where one planned submission stands.
struct Course {
    began: Micros,
    until: Micros,
    tries: u32,
    /// The try that is out: its client and number.
    out: Option<(usize, u64)>,
    tokens: u32,
    last_token: Micros,
    first_token: Option<Micros>,
    wrong: bool,
    over: bool,
    /// The checksum of the state that its answer must come from.
    crc: Option<u32>,
}

/// One connection to a router.
struct Client {
    router: usize,
    connection: Option<ConnectionId>,
    numbers: u64,
    /// Numbers that are out, and whose submissions they are.
    out: HashMap<u64, usize>,
    sluggish: bool,
}

pub struct Load {
    terms: Record,
    routers: Vec<Address>,
    planned: Vec<Planned>,
    next: usize,
    began: Micros,
    courses: BTreeMap<usize, Course>,
    clients: Vec<Client>,
    by_link: HashMap<ConnectionId, usize>,
    pub tally: Tally,
    progress: Arc<Progress>,
    stopped: bool,
}

impl Load {
    /// A load that begins when it is run; `routers` are the record's, as addresses.
    pub fn new(terms: Record, routers: Vec<Address>) -> Load {
        let planned = plan(&terms);
        let at = routers_of(&terms, routers.len());
        let client = |n: usize| Client {
            router: at[n],
            connection: None,
            numbers: 0,
            out: HashMap::new(),
            sluggish: n < terms.sluggish,
        };
        let progress = Arc::new(Progress::default());
        progress.planned.store(planned.len() as u64, Ordering::Relaxed);
        Load {
            clients: (0..terms.clients).map(client).collect(),
            tally: Tally::new(&terms.tracks, terms.keys.iter().map(|k| k.tenant.clone())),
            terms,
            routers,
            planned,
            next: 0,
            began: 0,
            courses: BTreeMap::new(),
            by_link: HashMap::new(),
            progress,
            stopped: false,
        }
    }

    /// What others may watch while it runs.
    pub fn progress(&self) -> Arc<Progress> {
        self.progress.clone()
    }

    fn second(&self, place: usize) -> usize {
        (self.planned[place].at / 1_000_000) as usize
    }

    /// Makes the submissions whose time has come.
    fn arrive(&mut self, now: Micros, out: &mut Effects) {
        while let Some(p) = self.planned.get(self.next).filter(|p| self.began + p.at <= now) {
            let (place, left) = (self.next, p.left);
            let earnings = self.terms.tracks[usize::from(p.track)].earnings;
            self.tally.ask(p.track, p.tenant, earnings, self.second(place));
            let began = self.began + self.planned[place].at;
            let course = Course {
                began,
                until: began + left,
                tries: 0,
                out: None,
                tokens: 0,
                last_token: 0,
                first_token: None,
                wrong: false,
                over: false,
                crc: None,
            };
            self.courses.insert(place, course);
            self.next += 1;
            self.try_it(now, place, out);
        }
        if let Some(p) = self.planned.get(self.next) {
            out.set_timer(self.began + p.at, key(ARRIVAL, 0));
        }
    }

    fn connection(&mut self, n: usize, out: &mut Effects) -> ConnectionId {
        let client = &mut self.clients[n];
        if let Some(connection) = client.connection {
            return connection;
        }
        let connection = out.connect(self.routers[client.router], DIAL);
        client.connection = Some(connection);
        (client.numbers, client.out) = (0, HashMap::new());
        self.by_link.insert(connection, n);
        let keys = &self.terms.keys;
        let shown = if keys.is_empty() { "" } else { &keys[n % keys.len()].key };
        out.send(connection, say_hello_with(Party::Client, &format!("client{n}"), shown.as_bytes()));
        if client.sluggish {
            out.set_timer(0, key(DOZE, n));
        }
        connection
    }

    fn try_it(&mut self, now: Micros, place: usize, out: &mut Effects) {
        let n = self.planned[place].client;
        let connection = self.connection(n, out);
        let Some(course) = self.courses.get_mut(&place).filter(|c| !c.over) else { return };
        if now >= course.until {
            return self.end(place, |t| &mut t.unanswered);
        }
        let (p, client) = (&self.planned[place], &mut self.clients[n]);
        client.numbers += 1;
        client.out.insert(client.numbers, place);
        course.out = Some((n, client.numbers));
        (course.tries, course.tokens) = (course.tries + 1, 0);
        let left = course.until - now;
        out.send(
            connection,
            client::submit(
                client.numbers,
                p.track,
                p.session,
                p.prefix,
                p.prompt_tokens,
                p.prefix_tokens,
                p.most_tokens,
                left,
                p.mark,
                p.prompt.clone(),
            ),
        );
        self.tally.tries += 1;
        self.progress.made.store(self.next as u64, Ordering::Relaxed);
        out.set_timer(course.until + SLACK, key(PATIENCE, place));
        if p.leaves_after == Some(0) {
            self.leave(place, out);
        }
    }

    fn leave(&mut self, place: usize, out: &mut Effects) {
        let Some((n, number)) = self.courses.get_mut(&place).and_then(|c| c.out.take()) else { return };
        self.clients[n].out.remove(&number);
        if let Some(connection) = self.clients[n].connection {
            out.send(connection, client::cancel(number));
        }
        self.end(place, |t| &mut t.left);
    }

    fn end(&mut self, place: usize, count: impl Fn(&mut Tally) -> &mut u64) {
        if let Some(course) = self.courses.get_mut(&place).filter(|c| !c.over) {
            (course.over, course.out) = (true, None);
            *count(&mut self.tally) += 1;
        }
    }

    /// The try ended without an answer that the client wanted; it comes back if it may and has the time.
    fn again(
        &mut self,
        now: Micros,
        place: usize,
        harmless: bool,
        after: Micros,
        out: &mut Effects,
        count: impl Fn(&mut Tally) -> &mut u64,
    ) {
        let track = &self.terms.tracks[usize::from(self.planned[place].track)];
        let repeats = track.repeat == "replayable" || track.repeat == "referenced" && track.group == "all";
        let Some(course) = self.courses.get_mut(&place) else { return };
        course.out = None;
        let at = now + after.max(self.terms.retry_wait);
        let may = (harmless || repeats) && course.tries <= self.terms.retries && at + LEAST < course.until;
        if may && !course.over && !self.stopped {
            out.set_timer(at, key(RETRY, place));
        } else {
            self.end(place, count);
        }
    }

    fn hear(&mut self, now: Micros, n: usize, frame: &Bytes, out: &mut Effects) -> Result<(), Malformed> {
        client::receive_from_router(frame, &mut Ear { load: self, now, n, out })
    }

    fn honoured(&mut self, now: Micros, place: usize, tokens: u32) {
        let p = &self.planned[place];
        let track = &self.terms.tracks[usize::from(p.track)];
        let Some(course) = self.courses.get_mut(&place) else { return };
        let expected = course.crc.map(|crc| kv_state::response_tokens(crc, p.most_tokens));
        if course.wrong || expected != Some(tokens) || course.tokens != tokens {
            self.tally.wrong += 1;
            tracing::error!(place, tokens, ?expected, "an answer is not that of its prompt");
        }
        let took = course.first_token.map_or(now - course.began, |at| at - course.began);
        let contract = track.contract + u64::from(p.prompt_tokens) * track.per_thousand / 1000;
        let late = (took > contract).then_some(track.late);
        let (number, earnings, second) = (p.track, track.earnings, self.second(place));
        let tenant = p.tenant;
        self.tally.earn(number, tenant, earnings, late, second);
        self.tally.note_first(took);
        if let Some(course) = self.courses.get_mut(&place) {
            (course.over, course.out) = (true, None);
        }
    }

    fn token(&mut self, now: Micros, place: usize, index: u32, text: &Bytes, out: &mut Effects) {
        let p = &self.planned[place];
        let Some(course) = self.courses.get_mut(&place) else { return };
        let crc = *course.crc.get_or_insert_with(|| {
            let bytes = self.terms.state_bytes_a_token;
            crc32fast::hash(&kv_state::generate(&p.prompt, p.prompt_tokens, bytes))
        });
        if course.tokens > 0 {
            self.tally.gaps.saturating_record(now - course.last_token);
        }
        course.wrong |= index != course.tokens || text[..] != kv_state::token_text(crc, index);
        (course.tokens, course.last_token) = (course.tokens + 1, now);
        course.first_token.get_or_insert(now);
        if p.leaves_after.is_some_and(|after| course.tokens >= after.max(1)) {
            self.leave(place, out);
        }
    }
}

struct Ear<'a> {
    load: &'a mut Load,
    now: Micros,
    n: usize,
    out: &'a mut Effects,
}

impl Ear<'_> {
    /// The submission that a number stands for; one that was left or called unanswered is over.
    fn place(&self, number: u64) -> Option<usize> {
        self.load.clients[self.n].out.get(&number).copied()
    }

    fn ended(&mut self, number: u64) -> Option<usize> {
        self.load.clients[self.n].out.remove(&number)
    }

    fn count(&self, of: impl Fn(&Progress) -> &AtomicU64) {
        of(&self.load.progress).fetch_add(1, Ordering::Relaxed);
    }
}

impl client::Client for Ear<'_> {
    fn accepted(&mut self, _number: u64, _id: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn token(&mut self, number: u64, index: u32, text: Bytes) -> Result<(), Malformed> {
        if let Some(place) = self.place(number) {
            self.load.token(self.now, place, index, &text, self.out);
        }
        Ok(())
    }

    fn completed(&mut self, number: u64, tokens: u32) -> Result<(), Malformed> {
        if let Some(place) = self.ended(number) {
            self.count(|p| &p.honoured);
            self.load.honoured(self.now, place, tokens);
        }
        Ok(())
    }

    fn rejected(&mut self, number: u64, after: Micros) -> Result<(), Malformed> {
        if let Some(place) = self.ended(number) {
            self.count(|p| &p.turned_back);
            self.load.again(self.now, place, true, after, self.out, |t| &mut t.turned_back);
        }
        Ok(())
    }

    fn failed(&mut self, number: u64) -> Result<(), Malformed> {
        if let Some(place) = self.ended(number) {
            self.count(|p| &p.abandoned);
            self.load.again(self.now, place, false, 0, self.out, |t| &mut t.abandoned);
        }
        Ok(())
    }

    fn unauthorized(&mut self, why: &str) -> Result<(), Malformed> {
        tracing::error!(client = self.n, why, "a router does not take this client");
        self.load.tally.denied += 1;
        Ok(())
    }
}

impl EventHandler for Load {
    fn on_start(&mut self, now: Micros, out: &mut Effects) {
        self.began = now;
        (0..self.clients.len()).for_each(|n| {
            self.connection(n, out);
        });
        self.arrive(now, out);
    }

    fn on_accepted(&mut self, _now: Micros, connection: ConnectionId, _door: usize, out: &mut Effects) {
        out.close(connection, "a load listens to nobody");
    }

    fn on_connected(&mut self, _now: Micros, _link: ConnectionId, _out: &mut Effects) {}

    fn on_data(&mut self, now: Micros, connection: ConnectionId, frame: &Bytes, out: &mut Effects) {
        let Some(&n) = self.by_link.get(&connection) else { return };
        if let Err(problem) = self.hear(now, n, frame, out) {
            tracing::error!(%problem, "a router breaks the protocol");
            out.close(connection, problem.to_string());
            self.on_disconnect(now, connection, DisconnectReason::Reset, out);
        }
    }

    fn on_disconnect(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        loss: DisconnectReason,
        out: &mut Effects,
    ) {
        let Some(n) = self.by_link.remove(&connection) else { return };
        let client = &mut self.clients[n];
        client.connection = None;
        // The front layer's next router.
        client.router = (client.router + 1) % self.routers.len();
        let mut lost: Vec<usize> = client.out.drain().map(|(_, place)| place).collect();
        lost.sort_unstable();
        for place in lost {
            let harmless = loss != DisconnectReason::Reset;
            self.again(now, place, harmless, FAILOVER, out, |t| &mut t.unheard);
        }
        out.set_timer(now + FAILOVER, key(DIAL_AGAIN, n));
    }

    fn on_backpressure(&mut self, _now: Micros, _link: ConnectionId, _crowded: bool, _out: &mut Effects) {}

    fn on_timer(&mut self, now: Micros, timer: u64, out: &mut Effects) {
        let (kind, what) = (timer >> KIND, (timer & ((1 << KIND) - 1)) as usize);
        match kind {
            ARRIVAL => self.arrive(now, out),
            RETRY => self.try_it(now, what, out),
            PATIENCE => {
                // A stream that has begun may go on; nothing else may still be out.
                let waits =
                    |c: &Course| !c.over && c.out.is_some() && c.tokens == 0 && now >= c.until + SLACK;
                if let Some(c) = self.courses.get(&what).filter(|c| waits(c)) {
                    tracing::error!(place = what, began = c.began, "no answer came in time");
                    if let Some((n, number)) = c.out {
                        self.clients[n].out.remove(&number);
                    }
                    self.end(what, |t| &mut t.unanswered);
                }
            }
            DOZE | WAKE => {
                let Some(connection) = self.clients[what].connection else { return };
                out.pause_reading(connection, kind == DOZE);
                let (then, next) = if kind == DOZE { (DOZES, WAKE) } else { (WAKES, DOZE) };
                out.set_timer(now + then, key(next, what));
            }
            _ => {
                if !self.stopped {
                    self.connection(what, out);
                }
            }
        }
    }

    fn on_iteration(&mut self, now: Micros, out: &mut Effects) {
        // A submission that is over has nothing more to say; those at the front go.
        while self.courses.first_key_value().is_some_and(|(_, c)| c.over) {
            self.courses.pop_first();
        }
        if self.next == self.planned.len() && self.courses.is_empty() && !self.stopped {
            self.on_shutdown(now, out);
        }
    }

    fn on_shutdown(&mut self, _now: Micros, out: &mut Effects) {
        self.stopped = true;
        self.next = self.planned.len();
        let mut connections: Vec<_> = std::mem::take(&mut self.by_link).into_keys().collect();
        connections.sort_unstable();
        connections.into_iter().for_each(|connection| out.close(connection, "the load is over"));
    }

    fn is_finished(&self) -> bool {
        self.stopped
    }
}
