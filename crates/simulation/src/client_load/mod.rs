//! Client load in open loop. Requests are sent when they were planned; a client retries after a rejection, a failure
//! that its request class lets it retry, or the loss of its router, as often as the settings say and until its
//! deadline.

mod event_handler;
mod responses;

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;
use tideroute_config_language::kinds::Load as Record;
use tideroute_emulator::state;
use tideroute_wire::event_loop::{ConnectionId, Effects};
use tideroute_wire::{client, say_hello_with, Address, Malformed, Micros, Party};

use crate::load_statistics::{LoadStatistics, Progress};
use crate::traffic::{plan, routers_of, Planned};
use responses::ResponseHandler;

/// Microseconds that connecting may take.
const CONNECT_TIMEOUT: Micros = 500_000;
/// Microseconds after a disconnect until a client tries the next router.
const FAILOVER_DELAY: Micros = 300_000;
/// Microseconds that a client waits past its deadline before it counts a request as unanswered: longer than a sluggish
/// client pauses, whose response may have arrived without being read.
const RESPONSE_GRACE: Micros = 1_200_000;
/// Microseconds that must remain for a retry: the network and a busy event loop take as long.
const MIN_RETRY_TIME: Micros = 50_000;
/// Microseconds for which a sluggish client does not read.
const SLUGGISH_PAUSE: Micros = 700_000;
/// Microseconds for which it reads then.
const SLUGGISH_READ: Micros = 300_000;

/// Kinds of timers, in the top byte of their keys; the rest is the index of a request or client.
const NEXT_REQUEST: u64 = 0;
const RETRY: u64 = 1;
const GIVE_UP: u64 = 2;
const PAUSE_READING: u64 = 3;
const RESUME_READING: u64 = 4;
const RECONNECT: u64 = 5;
const TIMER_KIND_SHIFT: u32 = 56;

fn timer_key(kind: u64, what: usize) -> u64 {
    kind << TIMER_KIND_SHIFT | what as u64
}

/// The progress of one request.
struct RequestProgress {
    began: Micros,
    until: Micros,
    tries: u32,
    /// The attempt in flight: its client and number.
    in_flight: Option<(usize, u64)>,
    tokens: u32,
    last_token: Micros,
    first_token: Option<Micros>,
    wrong: bool,
    over: bool,
    /// The checksum of the KV state that its response must be made from.
    crc: Option<u32>,
}

/// One connection to a router.
struct Client {
    router: usize,
    connection: Option<ConnectionId>,
    numbers: u64,
    /// The requests in flight by their numbers on this connection.
    in_flight: HashMap<u64, usize>,
    sluggish: bool,
}

/// All clients and their requests.
pub struct Load {
    terms: Record,
    routers: Vec<Address>,
    planned: Vec<Planned>,
    next: usize,
    began: Micros,
    requests: BTreeMap<usize, RequestProgress>,
    clients: Vec<Client>,
    by_connection: HashMap<ConnectionId, usize>,
    /// What came of the requests so far.
    pub tally: LoadStatistics,
    progress: Arc<Progress>,
    stopped: bool,
}

impl Load {
    /// A load that begins when it is started; `routers` are those of its configuration, as addresses.
    pub fn new(terms: Record, routers: Vec<Address>) -> Load {
        let planned = plan(&terms);
        let at = routers_of(&terms, routers.len());
        let client = |n: usize| Client {
            router: at[n],
            connection: None,
            numbers: 0,
            in_flight: HashMap::new(),
            sluggish: n < terms.sluggish,
        };
        let progress = Arc::new(Progress::default());
        progress.planned.store(planned.len() as u64, Ordering::Relaxed);
        Load {
            clients: (0..terms.clients).map(client).collect(),
            tally: LoadStatistics::new(&terms.tracks, terms.keys.iter().map(|k| k.tenant.clone())),
            terms,
            routers,
            planned,
            next: 0,
            began: 0,
            requests: BTreeMap::new(),
            by_connection: HashMap::new(),
            progress,
            stopped: false,
        }
    }

    /// Counters that can be read while it runs.
    pub fn progress(&self) -> Arc<Progress> {
        self.progress.clone()
    }

    fn arrival_second(&self, place: usize) -> usize {
        (self.planned[place].at / 1_000_000) as usize
    }

    /// Sends the requests that are due.
    fn send_due_requests(&mut self, now: Micros, effects: &mut Effects) {
        while let Some(p) = self.planned.get(self.next).filter(|p| self.began + p.at <= now) {
            let (place, left) = (self.next, p.left);
            let earnings = self.terms.tracks[usize::from(p.track)].earnings;
            self.tally.record_request(p.track, p.tenant, earnings, self.arrival_second(place));
            let began = self.began + self.planned[place].at;
            let request = RequestProgress {
                began,
                until: began + left,
                tries: 0,
                in_flight: None,
                tokens: 0,
                last_token: 0,
                first_token: None,
                wrong: false,
                over: false,
                crc: None,
            };
            self.requests.insert(place, request);
            self.next += 1;
            self.send_attempt(now, place, effects);
        }
        if let Some(p) = self.planned.get(self.next) {
            effects.set_timer(self.began + p.at, timer_key(NEXT_REQUEST, 0));
        }
    }

    /// The connection of a client, opened if there is none.
    fn connection(&mut self, n: usize, effects: &mut Effects) -> ConnectionId {
        let client = &mut self.clients[n];
        if let Some(connection) = client.connection {
            return connection;
        }
        let connection = effects.connect(self.routers[client.router], CONNECT_TIMEOUT);
        client.connection = Some(connection);
        (client.numbers, client.in_flight) = (0, HashMap::new());
        self.by_connection.insert(connection, n);
        let keys = &self.terms.keys;
        let shown = if keys.is_empty() { "" } else { &keys[n % keys.len()].key };
        effects.send(connection, say_hello_with(Party::Client, &format!("client{n}"), shown.as_bytes()));
        if client.sluggish {
            effects.set_timer(0, timer_key(PAUSE_READING, n));
        }
        connection
    }

    /// Sends an attempt of a request, or ends it at its deadline.
    fn send_attempt(&mut self, now: Micros, place: usize, effects: &mut Effects) {
        let n = self.planned[place].client;
        let connection = self.connection(n, effects);
        let Some(request) = self.requests.get_mut(&place).filter(|c| !c.over) else { return };
        if now >= request.until {
            return self.finish(place, |t| &mut t.unanswered);
        }
        let (p, client) = (&self.planned[place], &mut self.clients[n]);
        client.numbers += 1;
        client.in_flight.insert(client.numbers, place);
        request.in_flight = Some((n, client.numbers));
        (request.tries, request.tokens) = (request.tries + 1, 0);
        let left = request.until - now;
        effects.send(
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
        self.tally.attempts += 1;
        self.progress.sent.store(self.next as u64, Ordering::Relaxed);
        effects.set_timer(request.until + RESPONSE_GRACE, timer_key(GIVE_UP, place));
        if p.leaves_after == Some(0) {
            self.cancel(place, effects);
        }
    }

    /// The client leaves: its attempt is cancelled.
    fn cancel(&mut self, place: usize, effects: &mut Effects) {
        let Some((n, number)) = self.requests.get_mut(&place).and_then(|c| c.in_flight.take()) else {
            return;
        };
        self.clients[n].in_flight.remove(&number);
        if let Some(connection) = self.clients[n].connection {
            effects.send(connection, client::cancel(number));
        }
        self.finish(place, |t| &mut t.cancelled);
    }

    /// Ends a request and counts how.
    fn finish(&mut self, place: usize, count: impl Fn(&mut LoadStatistics) -> &mut u64) {
        if let Some(request) = self.requests.get_mut(&place).filter(|c| !c.over) {
            (request.over, request.in_flight) = (true, None);
            *count(&mut self.tally) += 1;
        }
    }

    /// The attempt ended without a complete response; it is retried if that is allowed and time remains.
    fn retry_or_end(
        &mut self,
        now: Micros,
        place: usize,
        harmless: bool,
        after: Micros,
        effects: &mut Effects,
        count: impl Fn(&mut LoadStatistics) -> &mut u64,
    ) {
        let track = &self.terms.tracks[usize::from(self.planned[place].track)];
        let repeats = track.repeat == "replayable" || track.repeat == "referenced" && track.group == "all";
        let Some(request) = self.requests.get_mut(&place) else { return };
        request.in_flight = None;
        let at = now + after.max(self.terms.retry_wait);
        let may = (harmless || repeats)
            && request.tries <= self.terms.retries
            && at + MIN_RETRY_TIME < request.until;
        if may && !request.over && !self.stopped {
            effects.set_timer(at, timer_key(RETRY, place));
        } else {
            self.finish(place, count);
        }
    }

    fn on_router_message(
        &mut self,
        now: Micros,
        n: usize,
        frame: &Bytes,
        effects: &mut Effects,
    ) -> Result<(), Malformed> {
        client::receive_from_router(frame, &mut ResponseHandler { load: self, now, n, effects })
    }

    /// A response is complete: its tokens are checked and its value is counted.
    fn on_completed(&mut self, now: Micros, place: usize, tokens: u32) {
        let p = &self.planned[place];
        let track = &self.terms.tracks[usize::from(p.track)];
        let Some(request) = self.requests.get_mut(&place) else { return };
        let expected = request.crc.map(|crc| state::answer_tokens(crc, p.most_tokens));
        if request.wrong || expected != Some(tokens) || request.tokens != tokens {
            self.tally.wrong += 1;
            tracing::error!(place, tokens, ?expected, "an answer is not that of its prompt");
        }
        let took = request.first_token.map_or(now - request.began, |at| at - request.began);
        let contract = track.contract + u64::from(p.prompt_tokens) * track.per_thousand / 1000;
        let late = (took > contract).then_some(track.late);
        let (number, earnings, arrival_second) = (p.track, track.earnings, self.arrival_second(place));
        let tenant = p.tenant;
        self.tally.record_response(number, tenant, earnings, late, arrival_second);
        self.tally.record_first_token(took);
        if let Some(request) = self.requests.get_mut(&place) {
            (request.over, request.in_flight) = (true, None);
        }
    }

    /// A token arrived.
    fn on_token(&mut self, now: Micros, place: usize, index: u32, text: &Bytes, effects: &mut Effects) {
        let p = &self.planned[place];
        let Some(request) = self.requests.get_mut(&place) else { return };
        let crc = *request.crc.get_or_insert_with(|| {
            let bytes = self.terms.state_bytes_a_token;
            crc32fast::hash(&state::make(&p.prompt, p.prompt_tokens, bytes))
        });
        if request.tokens > 0 {
            self.tally.gaps.saturating_record(now - request.last_token);
        }
        request.wrong |= index != request.tokens || text[..] != state::text(crc, index);
        (request.tokens, request.last_token) = (request.tokens + 1, now);
        request.first_token.get_or_insert(now);
        if p.leaves_after.is_some_and(|after| request.tokens >= after.max(1)) {
            self.cancel(place, effects);
        }
    }
}
