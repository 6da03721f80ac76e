//! Client load in open loop. Requests are sent when they were planned; a client retries after a rejection, a failure
//! that its request class lets it retry, or the loss of its router, as often as the settings say and until its
//! deadline.

mod event_handler;
mod responses;

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;
use tideroute_config_language::records::Load as LoadConfig;
use tideroute_emulator::kv_state;
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

fn timer_key(kind: u64, index: usize) -> u64 {
    kind << TIMER_KIND_SHIFT | index as u64
}

/// The progress of one request.
struct RequestProgress {
    began: Micros,
    deadline: Micros,
    attempts: u32,
    /// The attempt in flight: its client and number.
    in_flight: Option<(usize, u64)>,
    tokens: u32,
    last_token: Micros,
    first_token: Option<Micros>,
    wrong: bool,
    finished: bool,
    /// The checksum of the KV state that its response must be made from.
    state_checksum: Option<u32>,
}

/// One connection to a router.
struct Client {
    router: usize,
    connection: Option<ConnectionId>,
    last_number: u64,
    /// The requests in flight by their numbers on this connection.
    in_flight: HashMap<u64, usize>,
    sluggish: bool,
}

/// All clients and their requests.
pub struct Load {
    terms: LoadConfig,
    routers: Vec<Address>,
    planned: Vec<Planned>,
    next: usize,
    began: Micros,
    requests: BTreeMap<usize, RequestProgress>,
    clients: Vec<Client>,
    by_connection: HashMap<ConnectionId, usize>,
    /// What came of the requests so far.
    pub statistics: LoadStatistics,
    progress: Arc<Progress>,
    stopped: bool,
}

impl Load {
    /// A load that begins when it is started; `routers` are those of its configuration, as addresses.
    pub fn new(terms: LoadConfig, routers: Vec<Address>) -> Load {
        let planned = plan(&terms);
        let at = routers_of(&terms, routers.len());
        let client = |n: usize| Client {
            router: at[n],
            connection: None,
            last_number: 0,
            in_flight: HashMap::new(),
            sluggish: n < terms.slow_readers,
        };
        let progress = Arc::new(Progress::default());
        progress.planned.store(planned.len() as u64, Ordering::Relaxed);
        Load {
            clients: (0..terms.clients).map(client).collect(),
            statistics: LoadStatistics::new(&terms.classes, terms.keys.iter().map(|k| k.tenant.clone())),
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

    fn arrival_second(&self, request_index: usize) -> usize {
        (self.planned[request_index].at / 1_000_000) as usize
    }

    /// Sends the requests that are due.
    fn send_due_requests(&mut self, now: Micros, effects: &mut Effects) {
        while let Some(p) = self.planned.get(self.next).filter(|p| self.began + p.at <= now) {
            let (request_index, remaining) = (self.next, p.left);
            let priority_weight = self.terms.classes[usize::from(p.track)].priority_weight;
            self.statistics.record_request(
                p.track,
                p.tenant,
                priority_weight,
                self.arrival_second(request_index),
            );
            let began = self.began + self.planned[request_index].at;
            let request = RequestProgress {
                began,
                deadline: began + remaining,
                attempts: 0,
                in_flight: None,
                tokens: 0,
                last_token: 0,
                first_token: None,
                wrong: false,
                finished: false,
                state_checksum: None,
            };
            self.requests.insert(request_index, request);
            self.next += 1;
            self.send_attempt(now, request_index, effects);
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
        (client.last_number, client.in_flight) = (0, HashMap::new());
        self.by_connection.insert(connection, n);
        let keys = &self.terms.keys;
        let shown_key = if keys.is_empty() { "" } else { &keys[n % keys.len()].key };
        effects.send(connection, say_hello_with(Party::Client, &format!("client{n}"), shown_key.as_bytes()));
        if client.sluggish {
            effects.set_timer(0, timer_key(PAUSE_READING, n));
        }
        connection
    }

    /// Sends an attempt of a request, or ends it at its deadline.
    fn send_attempt(&mut self, now: Micros, request_index: usize, effects: &mut Effects) {
        let n = self.planned[request_index].client;
        let connection = self.connection(n, effects);
        let Some(request) = self.requests.get_mut(&request_index).filter(|c| !c.finished) else { return };
        if now >= request.deadline {
            return self.finish(request_index, |t| &mut t.unanswered);
        }
        let (p, client) = (&self.planned[request_index], &mut self.clients[n]);
        client.last_number += 1;
        client.in_flight.insert(client.last_number, request_index);
        request.in_flight = Some((n, client.last_number));
        (request.attempts, request.tokens) = (request.attempts + 1, 0);
        let remaining = request.deadline - now;
        effects.send(
            connection,
            client::submit(
                client.last_number,
                p.track,
                p.session,
                p.prefix,
                p.prompt_tokens,
                p.prefix_tokens,
                p.most_tokens,
                remaining,
                p.mark,
                p.prompt.clone(),
            ),
        );
        self.statistics.attempts += 1;
        self.progress.sent.store(self.next as u64, Ordering::Relaxed);
        effects.set_timer(request.deadline + RESPONSE_GRACE, timer_key(GIVE_UP, request_index));
        if p.leaves_after == Some(0) {
            self.cancel(request_index, effects);
        }
    }

    /// The client leaves: its attempt is cancelled.
    fn cancel(&mut self, request_index: usize, effects: &mut Effects) {
        let Some((n, number)) = self.requests.get_mut(&request_index).and_then(|c| c.in_flight.take()) else {
            return;
        };
        self.clients[n].in_flight.remove(&number);
        if let Some(connection) = self.clients[n].connection {
            effects.send(connection, client::cancel(number));
        }
        self.finish(request_index, |t| &mut t.cancelled);
    }

    /// Ends a request and counts how.
    fn finish(&mut self, request_index: usize, count: impl Fn(&mut LoadStatistics) -> &mut u64) {
        if let Some(request) = self.requests.get_mut(&request_index).filter(|c| !c.finished) {
            (request.finished, request.in_flight) = (true, None);
            *count(&mut self.statistics) += 1;
        }
    }

    /// The attempt ended without a complete response; it is retried if that is allowed and time remains.
    fn retry_or_end(
        &mut self,
        now: Micros,
        request_index: usize,
        is_safe_to_retry: bool,
        after: Micros,
        effects: &mut Effects,
        count: impl Fn(&mut LoadStatistics) -> &mut u64,
    ) {
        let track = &self.terms.classes[usize::from(self.planned[request_index].track)];
        let is_retryable = track.idempotency == "replayable"
            || track.idempotency == "referenced" && track.deduplication_scope == "all";
        let Some(request) = self.requests.get_mut(&request_index) else { return };
        request.in_flight = None;
        let at = now + after.max(self.terms.retry_delay);
        let may_retry = (is_safe_to_retry || is_retryable)
            && request.attempts <= self.terms.max_retries
            && at + MIN_RETRY_TIME < request.deadline;
        if may_retry && !request.finished && !self.stopped {
            effects.set_timer(at, timer_key(RETRY, request_index));
        } else {
            self.finish(request_index, count);
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
    fn on_completed(&mut self, now: Micros, request_index: usize, tokens: u32) {
        let p = &self.planned[request_index];
        let track = &self.terms.classes[usize::from(p.track)];
        let Some(request) = self.requests.get_mut(&request_index) else { return };
        let expected = request
            .state_checksum
            .map(|state_checksum| kv_state::response_tokens(state_checksum, p.most_tokens));
        if request.wrong || expected != Some(tokens) || request.tokens != tokens {
            self.statistics.wrong += 1;
            tracing::error!(request_index, tokens, ?expected, "an answer is not that of its prompt");
        }
        let elapsed = request.first_token.map_or(now - request.began, |at| at - request.began);
        let objective =
            track.ttft_objective + u64::from(p.prompt_tokens) * track.ttft_objective_per_1000_tokens / 1000;
        let late = (elapsed > objective).then_some(track.late_weight);
        let (number, priority_weight, arrival_second) =
            (p.track, track.priority_weight, self.arrival_second(request_index));
        let tenant = p.tenant;
        self.statistics.record_response(number, tenant, priority_weight, late, arrival_second);
        self.statistics.record_first_token(elapsed);
        if let Some(request) = self.requests.get_mut(&request_index) {
            (request.finished, request.in_flight) = (true, None);
        }
    }

    /// A token arrived.
    fn on_token(
        &mut self,
        now: Micros,
        request_index: usize,
        index: u32,
        text: &Bytes,
        effects: &mut Effects,
    ) {
        let p = &self.planned[request_index];
        let Some(request) = self.requests.get_mut(&request_index) else { return };
        let state_checksum = *request.state_checksum.get_or_insert_with(|| {
            let bytes = self.terms.state_bytes_per_token;
            crc32fast::hash(&kv_state::generate(&p.prompt, p.prompt_tokens, bytes))
        });
        if request.tokens > 0 {
            self.statistics.gaps.saturating_record(now - request.last_token);
        }
        request.wrong |= index != request.tokens || text[..] != kv_state::token_text(state_checksum, index);
        (request.tokens, request.last_token) = (request.tokens + 1, now);
        request.first_token.get_or_insert(now);
        if p.leaves_after.is_some_and(|after| request.tokens >= after.max(1)) {
            self.cancel(request_index, effects);
        }
    }
}
